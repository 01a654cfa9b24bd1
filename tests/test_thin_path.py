"""End-to-end tests with real processes, from a client to a worker and back."""

from __future__ import annotations

import unittest

from jacinthloom_core.model.configuration import (
    Change,
    ClassesAndTeams,
    KeyGrant,
    KeyHash,
    Team,
    WorkClass,
)
from jacinthloom_core.shared_log import codec

from testkit.cluster import Cluster

KEY = "k1.secret"


async def configure(cluster: Cluster, *teams: Team) -> None:
    """Publish work classes and teams, and grant a key to the first team."""
    classes = (
        WorkClass("lookup", "request", 5.0),
        WorkClass("rebuild", "batch", 3.0),
        WorkClass("together", "gang", 3.0),
        WorkClass("board", "service", 30.0),
    )
    teams = teams or (Team("planning"),)
    await make_change(cluster, ClassesAndTeams(classes, teams))
    key = KeyHash.from_secret("k1", "salt", "secret")
    await make_change(cluster, KeyGrant(teams[0].name, key))


async def make_change(cluster: Cluster, change: object) -> dict[str, object]:
    answer = await cluster.change("e1", codec.unstructure(change, Change))
    assert answer.get("state") == "accepted", answer
    return answer


async def wait_for_workers(cluster: Cluster) -> None:
    """Wait until the owner of every worker has opened it."""

    async def are_open() -> bool:
        opened = 0
        for name in cluster.settings_by_entry:
            owned = (await cluster.status(name))["workers_owned"]
            opened += owned.get("open", 0)
        return opened == len(cluster.workers)

    await cluster.wait_for(are_open, "every worker to be open")


async def wait_for_job(cluster: Cluster, entry: str, job: str) -> dict[str, object]:
    """Wait until a job has ended and return its state."""
    answer: dict[str, object] = {}

    async def has_ended() -> bool:
        status, response = await cluster.http(entry, "GET", f"/v1/jobs/{job}", key=KEY)
        answer.clear()
        answer.update(response)
        return status == 200 and response["state"] not in ("waiting", "running")

    await cluster.wait_for(has_ended, f"job {job} to end")
    return answer


class ThinPathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        await configure(self.cluster)
        await wait_for_workers(self.cluster)

    async def test_requests_and_jobs_end_at_any_entry_process(self) -> None:
        http = self.cluster.http
        for entry in self.cluster.settings_by_entry:
            body = {"class": "lookup", "payload": '{"answer": "in stock"}'}
            status, response = await http(entry, "POST", "/v1/requests", body, KEY)
            self.assertEqual((status, response["outcome"]), (200, "answered"))
            self.assertEqual(response["answer"], "in stock")
            self.assertEqual(response["length"], len("in stock"))
        for work_class, tasks in (("rebuild", 10), ("together", 6)):
            body = {
                "class": work_class,
                "tasks": tasks,
                "need": {"processors": 2},
                "run_time_s": 0.2,
            }
            status, response = await http("e2", "POST", "/v1/jobs", body, KEY)
            self.assertEqual(status, 202, response)
            ended = await wait_for_job(self.cluster, "e3", response["job"])
            self.assertEqual((ended["state"], ended["ended"]), ("finished", tasks))

    async def test_request_with_repeated_key_runs_once(self) -> None:
        body = {"class": "lookup", "idempotent": False, "idempotency_key": "order-1"}
        first = await self.cluster.http("e1", "POST", "/v1/requests", body, KEY)
        again = await self.cluster.http("e2", "POST", "/v1/requests", body, KEY)
        self.assertEqual(first[1]["request"], again[1]["request"])
        self.assertEqual(first[1]["answer"], again[1]["answer"])
        history = await self.cluster.worker_history()
        started = [key for item in history.values() for key in item["started"]]
        self.assertEqual(len(started), 1)

    async def test_wrong_key_is_refused(self) -> None:
        body = {"class": "lookup"}
        status, response = await self.cluster.http(
            "e1", "POST", "/v1/requests", body, "k1.wrong"
        )
        self.assertEqual((status, response["error"]["code"]), (401, "unknown_key"))
        self.assertTrue(response["error"]["not_run"])
