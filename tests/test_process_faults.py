"""Entry processes survive kills, pauses, log outages, lost replies and races.

No accepted job may be lost and no task may run twice.
"""

from __future__ import annotations

import asyncio
import signal
import time
import unittest

from jacinthloom_core.model.configuration import Change, KeyWithdrawal, ZoneOut
from jacinthloom_core.shared_log import codec

from testkit.cluster import Cluster, Shape
from tests.test_thin_path import (
    KEY,
    configure,
    make_change,
    wait_for_job,
    wait_for_workers,
)

MAX_PROPAGATION_S = 5.0


class ProcessFaultTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster(Shape(entries=4))
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        await configure(self.cluster)
        await wait_for_workers(self.cluster)

    async def submit(self, entry: str, tasks: int, run_time_s: float) -> str:
        body = {
            "class": "rebuild",
            "tasks": tasks,
            "need": {"processors": 1},
            "run_time_s": run_time_s,
        }
        status, response = await self.cluster.http(entry, "POST", "/v1/jobs", body, KEY)
        self.assertEqual(status, 202, response)
        return str(response["job"])

    async def ask(self, entry: str, **fields: object) -> tuple[int, dict[str, object]]:
        body = {"class": "lookup", **fields}
        return await self.cluster.http(entry, "POST", "/v1/requests", body, KEY)

    async def find_owner(self) -> str:
        """Return the name of an entry process, not the first, that owns workers."""
        for name in list(self.cluster.settings_by_entry)[1:]:
            if (await self.cluster.status(name))["workers_owned"]:
                return name
        raise AssertionError("no entry process but the first owns workers")

    async def check_no_task_runs_twice(self) -> None:
        history = await self.cluster.worker_history()
        running: dict[str, str] = {}
        for worker, item in history.items():
            self.assertEqual(item["overcommitted"], 0, worker)
            for key in item["running"]:
                task = key.partition("#")[0]
                self.assertNotIn(task, running)
                running[task] = worker

    async def test_owner_killed_with_work_running(self) -> None:
        owner = await self.find_owner()
        job = await self.submit("e1", 30, 2.0)
        await asyncio.sleep(1.0)
        await self.cluster.kill(owner)
        ended = await wait_for_job(self.cluster, "e1", job)
        self.assertEqual((ended["state"], ended["ended"]), ("finished", 30))
        await self.check_no_task_runs_twice()

    async def test_owner_frozen_for_longer_than_its_authority(self) -> None:
        owner = await self.find_owner()
        job = await self.submit("e1", 20, 1.0)
        self.cluster.signal(owner, signal.SIGSTOP)

        async def is_replaced() -> bool:
            status = await self.cluster.status("e1")
            return not any(m["member"].startswith(owner) for m in status["members"])

        await self.cluster.wait_for(is_replaced, "a view without the paused process")
        ended = await wait_for_job(self.cluster, "e1", job)
        self.cluster.signal(owner, signal.SIGCONT)
        self.assertEqual(ended["state"], "finished")

        async def has_rejoined() -> bool:
            return len((await self.cluster.status(owner))["members"]) == 4

        await self.cluster.wait_for(has_rejoined, "the paused process to join again")
        await self.check_no_task_runs_twice()

    async def test_owner_killed_during_log_outage(self) -> None:
        job = await self.submit("e1", 10, 0.5)
        await wait_for_job(self.cluster, "e1", job)
        await self.cluster.switch_log(down=True)
        for entry in self.cluster.settings_by_entry:
            status, response = await self.ask(entry)
            self.assertEqual((status, response["outcome"]), (200, "answered"))

        async def is_outage_known() -> bool:
            return (await self.cluster.status("e1"))["log"] == "down"

        await self.cluster.wait_for(is_outage_known, "the outage to be noticed")
        status, response = await self.ask("e1", idempotent=False, idempotency_key="o")
        self.assertEqual((status, response["error"]["code"]), (503, "log_unavailable"))
        self.assertTrue(response["error"]["not_run"])
        owner = await self.find_owner()
        await self.cluster.kill(owner)
        await self.cluster.switch_log(down=False)

        async def is_log_up() -> bool:
            return (await self.cluster.status("e1"))["log"] == "up"

        await self.cluster.wait_for(is_log_up, "the log to be read again")
        job = await self.submit("e1", 10, 0.5)
        ended = await wait_for_job(self.cluster, "e1", job)
        self.assertEqual(ended["state"], "finished")

    async def test_lost_append_replies_do_not_start_work_twice(self) -> None:
        await self.cluster.switch_log(lose_replies=3)
        job = await self.submit("e1", 5, 0.2)
        ended = await wait_for_job(self.cluster, "e1", job)
        self.assertEqual((ended["state"], ended["ended"]), ("finished", 5))
        await self.cluster.switch_log(lose_replies=2)
        status, response = await self.ask(
            "e1", idempotent=False, idempotency_key="once"
        )
        self.assertEqual((status, response["outcome"]), (200, "answered"))
        history = await self.cluster.worker_history()
        started = [k for item in history.values() for k in item["started"]]
        self.assertEqual(len(started), len(set(started)))
        self.assertEqual(len([k for k in started if k.startswith("r-")]), 1)

    async def test_silent_connections_are_replaced(self) -> None:
        worker = self.cluster.workers[0]["name"]
        path = f"/{worker.replace('/', '-')}/silence"
        await self.cluster.http("workers", "POST", path)
        job = await self.submit("e1", 40, 0.2)
        ended = await wait_for_job(self.cluster, "e1", job)
        self.assertEqual((ended["state"], ended["ended"]), ("finished", 40))

    async def test_late_and_reordered_answers_reach_their_callers(self) -> None:
        for worker in self.cluster.workers:
            await self.cluster.switch_worker(worker["name"], shuffle=True, late_s=0.3)
        calls = [
            self.ask(entry, payload=f'{{"answer": "{entry} {number}", "run_s": 0.05}}')
            for number in range(10)
            for entry in ("e1", "e2", "e3")
        ]
        answers = await asyncio.gather(*calls)
        expected = [f"{e} {n}" for n in range(10) for e in ("e1", "e2", "e3")]
        self.assertEqual([response["answer"] for _, response in answers], expected)

    async def test_only_one_of_two_concurrent_changes_is_accepted(self) -> None:
        _, shown = await self.cluster.operate("e1", "GET", "configuration")
        version = shown["configuration"]["version"]

        def build_change(number: int) -> dict[str, object]:
            change = codec.unstructure(ZoneOut(f"zone-{number}"), Change)
            return {
                "change_id": f"race-{number}",
                "base_version": version,
                "author": f"operator {number}",
                "change": change,
            }

        answers = await asyncio.gather(
            self.cluster.operate("e1", "POST", "changes", build_change(1)),
            self.cluster.operate("e2", "POST", "changes", build_change(2)),
        )
        states = sorted(response["state"] for _, response in answers)
        self.assertEqual(states, ["accepted", "refused"])
        loser = next(
            response for _, response in answers if response["state"] == "refused"
        )
        self.assertIn(
            f"version {version + 1} came first by operator", loser["sentence"]
        )

    async def test_planned_stop_answers_running_requests(self) -> None:
        calls = [
            asyncio.create_task(self.ask("e2", payload='{"run_s": 1.0}'))
            for _ in range(20)
        ]
        await asyncio.sleep(0.3)
        self.cluster.signal("e2", signal.SIGTERM)
        for status, response in await asyncio.gather(*calls):
            outcome = status, response["outcome"]
            self.assertEqual(outcome, (200, "answered"), response)
        code = await asyncio.wait_for(self.cluster.process_by_name["e2"].wait(), 30)
        self.assertEqual(code, 0)

    async def test_key_withdrawn_and_zone_out_under_load(self) -> None:
        stop = time.monotonic() + 3 * MAX_PROPAGATION_S
        change = asyncio.create_task(
            make_change(self.cluster, ZoneOut("zone-a")),
        )
        await change
        deadline = time.monotonic() + MAX_PROPAGATION_S
        answer: tuple[int, dict[str, object]] = (0, {})
        while time.monotonic() < stop:
            answer = await self.ask("e3", payload='{"run_s": 0.01}')
            self.assertEqual(answer[0], 200, answer)
            answered_by = str(answer[1]["answer"])
            if time.monotonic() > deadline:
                self.assertNotIn("zone-a", answered_by)
        await make_change(self.cluster, KeyWithdrawal("k1"))
        for entry in self.cluster.settings_by_entry:
            status, response = await self.ask(entry)
            self.assertEqual((status, response["error"]["code"]), (401, "unknown_key"))
