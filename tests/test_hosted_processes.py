"""Entry processes on the platform, run as processes against its stand-ins."""

from __future__ import annotations

import asyncio
import json
import signal
import time
import unittest
from dataclasses import dataclass

from jacinthloom_wire.errors import TransportError

from testkit.hosted.deployment import SERVICE, Deployment
from testkit.hosted.stalls import StallMonitor
from testkit.hosted.worker import WorkerStandIn

STEPS = [
    {"count": 3, "cpu": 500, "memMb": 100, "estRuntimeMs": 300},
    {"count": 1, "cpu": 500, "memMb": 100, "estRuntimeMs": 300, "after": [0]},
]


MAX_CALLS = 200

LOSS_SLACK_S = 0.2
"""Seconds after a request from which the end of its connection counts as a loss."""


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """How a call ended.

    :param status: HTTP status; 0 without a response
    :param was_sent: whether the request may have been sent
    """

    status: int
    was_sent: bool
    sent_at: float
    ended_at: float

    def is_lost(self, stalls: StallMonitor) -> bool:
        """Whether the connection ended without a response, late after the request."""
        if self.status or not self.was_sent:
            return False
        stalled_s = stalls.measure_s(self.sent_at, self.ended_at)
        return self.ended_at - self.sent_at - stalled_s > LOSS_SLACK_S


async def call_once(deployment: Deployment, ip: str, job: str) -> CallOutcome:
    sent_at = time.monotonic()
    status, was_sent = 0, True
    try:
        status = (await deployment.call(ip, "GET", job)).status
    except TransportError as error:
        was_sent = error.sent
    return CallOutcome(status, was_sent, sent_at, time.monotonic())


class HostedProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stalls = StallMonitor()
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.close)
        await self.deployment.start()
        self.planner = await self.deployment.find_planner()
        others = [ip for ip in self.deployment.process_by_ip if ip != self.planner]
        self.other = others[0]

    async def submit(self, ip: str, job: str) -> int:
        body = {"spec": "text", "steps": STEPS}
        return (await self.deployment.call(ip, "POST", job, body)).status

    async def wait_for(self, ip: str, job: str, state: str) -> None:
        async with asyncio.timeout(30):
            while True:
                response = await self.deployment.call(ip, "GET", job)
                if response.status == 200 and json.loads(response.body) == {
                    "state": state
                }:
                    return
                await asyncio.sleep(0.1)

    def count_starts(self, job: str) -> dict[str, int]:
        starts: dict[str, int] = {}
        for worker in self.deployment.workers:
            for task, _ in worker.started:
                if task.startswith(job):
                    starts[task] = starts.get(task, 0) + 1
        return starts

    async def test_job_submitted_through_two_hosts_runs_once(self) -> None:
        job = "00000000000000a1"
        self.assertEqual(await self.submit(self.other, job), 200)
        self.assertEqual(await self.submit(self.planner, job), 200)
        await self.wait_for(self.planner, job, "completed")
        await self.wait_for(self.other, job, "completed")
        starts = self.count_starts(job)
        self.assertEqual(len(starts), 4)
        self.assertEqual(set(starts.values()), {1})

    async def test_invalid_calls_are_refused_without_side_effects(self) -> None:
        call = self.deployment.call
        self.assertEqual(
            (await call(self.other, "GET", "00000000000000ff")).status, 410
        )
        self.assertEqual((await call(self.other, "POST", "short", {})).status, 400)
        job = "00000000000000a2"
        self.assertEqual((await call(self.other, "POST", job, {"spec": 1})).status, 400)
        self.assertEqual(await self.submit(self.other, job), 200)
        await self.wait_for(self.other, job, "completed")

    async def test_no_task_runs_twice_after_the_planner_is_killed(self) -> None:
        job = "00000000000000a3"
        for worker in self.deployment.workers:
            worker.run_s = 3.0
        self.assertEqual(await self.submit(self.other, job), 200)
        await asyncio.sleep(0.5)
        self.deployment.kill(self.planner)
        await self.wait_for(self.other, job, "completed")
        self.assertEqual(set(self.count_starts(job).values()), {1})

    async def test_planned_stop_hands_over_to_another_host(self) -> None:
        process = self.deployment.process_by_ip[self.planner]
        process.send_signal(signal.SIGTERM)
        job = "00000000000000a4"
        self.assertEqual(await self.submit(self.other, job), 200)
        await self.wait_for(self.other, job, "completed")
        await asyncio.to_thread(process.wait, 10)
        self.assertEqual(process.returncode, 0)
        events = [line["event"] for line in self.deployment.read_log(self.planner)]
        self.assertEqual(events[-1], "stop")

    async def call_until_exit(self, ip: str) -> list[CallOutcome]:
        """Call a process every 50 ms until it is gone, each time for another job."""
        process = self.deployment.process_by_ip[ip]
        monitor = asyncio.create_task(self.stalls.run())
        calls = []
        for number in range(MAX_CALLS):
            if process.poll() is not None:
                break
            job = f"{number:016x}"
            calls.append(asyncio.create_task(call_once(self.deployment, ip, job)))
            await asyncio.sleep(0.05)
        outcomes = await asyncio.gather(*calls)
        monitor.cancel()
        return outcomes

    def check_stopped(self, ip: str, calls: list[CallOutcome]) -> None:
        """Check that a process has ended in time and answered all that it has read."""
        lost = [call for call in calls if call.is_lost(self.stalls)]
        self.assertEqual(lost, [], f"of {len(calls)} calls")
        self.assertEqual(self.deployment.process_by_ip[ip].returncode, 0)
        last = self.deployment.read_log(ip)[-1]
        self.assertEqual((last["event"], last["unanswered"]), ("stop", 0))

    async def check_stop_of_all(self, gap_s: float) -> None:
        for ip in (self.other, self.planner):
            self.deployment.process_by_ip[ip].send_signal(signal.SIGTERM)
            await asyncio.sleep(gap_s)
        calls = await self.call_until_exit(self.planner)
        self.assertGreater(len(calls), 20)
        self.check_stopped(self.planner, calls)
        self.assertLessEqual({call.status for call in calls}, {0, 200, 410, 503})

    # Guards against calls that a host has read and that end without an answer, since it
    # stops while they wait for a planner (review/9).
    async def test_calls_are_answered_until_the_last_host_has_stopped(self) -> None:
        await self.check_stop_of_all(0.6)

    async def test_calls_are_answered_while_all_hosts_stop_at_once(self) -> None:
        await self.check_stop_of_all(0.0)

    # Guards against the same for calls that the planner has, and does not answer while
    # the host lives; and against signals that come meanwhile.
    async def test_calls_in_progress_are_answered_before_a_host_stops(self) -> None:
        process = self.deployment.process_by_ip[self.other]
        self.deployment.process_by_ip[self.planner].send_signal(signal.SIGSTOP)
        call = asyncio.create_task(self.submit(self.other, "00000000000000b1"))
        await asyncio.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(1.0)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(await call, 504)
        await asyncio.to_thread(process.wait, 10)
        self.check_stopped(self.other, [])
        self.assertEqual(self.deployment.read_log(self.other)[-1]["unknown"], 1)

    async def test_lost_store_responses_do_not_duplicate_a_job(self) -> None:
        self.deployment.store.responses_to_drop = 2
        job = "00000000000000a5"
        self.assertEqual(await self.submit(self.planner, job), 200)
        await self.wait_for(self.planner, job, "completed")
        self.assertEqual(set(self.count_starts(job).values()), {1})

    async def test_jobs_are_refused_while_the_store_is_down_and_accepted_later(
        self,
    ) -> None:
        self.deployment.store.is_down = True
        first = asyncio.create_task(self.submit(self.planner, "00000000000000a6"))
        await asyncio.sleep(1.6)
        status = await self.submit(self.planner, "00000000000000a7")
        self.assertEqual(status, 503)
        self.deployment.store.is_down = False
        self.assertIn(await first, (200, 503, 504))
        job = "00000000000000a8"
        async with asyncio.timeout(20):
            while await self.submit(self.planner, job) != 200:
                await asyncio.sleep(0.2)
        await self.wait_for(self.planner, job, "completed")
        self.assertEqual(self.count_starts("00000000000000a7"), {})

    # Guards against planners that end one after the other because of one entry among
    # the workers whose address can't be dialled.
    async def test_entries_with_malformed_addresses_are_ignored(self) -> None:
        store, worker = self.deployment.store, self.deployment.workers[0]
        entry = json.loads(worker.describe(SERVICE))
        for number, address in enumerate(
            (
                "http://127.0.0.9:8080",
                "127.0.0.9",
                "127.0.0.9:99999",
                "",
                ":",
                "\u0000:1",
            )
        ):
            odd = json.dumps(entry | {"address": address}).encode()
            await store.put("keyed.servers", f"odd-{number}", odd)
        job = "00000000000000b1"
        self.assertEqual(await self.submit(self.other, job), 200)
        await self.wait_for(self.other, job, "completed")
        events = [line["event"] for line in self.deployment.read_log(self.planner)]
        self.assertEqual(events.count("worker_entry_ignored"), 6)
        self.assertNotIn("planner_failed", events)

    # Guards against entries of another writer that stop every planner, or keep it from
    # following the list of workers.
    async def test_odd_entries_among_the_workers_are_ignored(self) -> None:
        store, worker = self.deployment.store, self.deployment.workers[0]
        valid = worker.describe(SERVICE)
        nested = valid[:-1] + b',"x":' + b"[" * 60_000 + b"]" * 60_000 + b"}"
        born = str(json.loads(valid)["born"]).encode()
        for number, odd in enumerate(
            (
                nested,
                valid.replace(born, b"1" + b"0" * 30),
                valid.replace(b"8000", b"1e308"),
                valid.replace(b"8000", b"-1e400"),
                b"\xff\xfe",
                b"[" * 60_000,
                b"null",
            )
        ):
            await store.put("keyed.servers", f"odd-{number}", odd)
        new = WorkerStandIn("i-new")
        await new.start()
        self.deployment.workers.append(new)
        await store.put("keyed.servers", new.id, new.describe(SERVICE))
        job = "00000000000000b2"
        self.assertEqual(await self.submit(self.other, job), 200)
        await self.wait_for(self.other, job, "completed")
        events = self.deployment.read_log(self.planner)
        self.assertNotIn("planner_failed", [line["event"] for line in events])
        listed = [line["worker"] for line in events if line["event"] == "worker_listed"]
        self.assertIn(new.id, listed)

    async def test_configuration_survives_truncation_of_the_log(self) -> None:
        for topic in ("keyed.op", "keyed.servers", "planner"):
            await self.deployment.store.truncate(topic)
        job = "00000000000000a9"
        self.assertEqual(await self.submit(self.other, job), 200)
        await self.wait_for(self.other, job, "completed")


if __name__ == "__main__":
    unittest.main()
