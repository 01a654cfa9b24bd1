"""An unexpected error of a call costs this call alone, or ends the term."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from typing import Any, cast
from unittest.mock import patch

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.fleet import WorkerEntry
from jacinthloom_core.planner.jobs import Job
from jacinthloom_core.planner.lease_authority import LeaseAuthority
from jacinthloom_core.planner.loading import MAX_PART_TASKS
from jacinthloom_core.planner.records import Record, encode_job
from jacinthloom_core.planner.rules import Queue, Rules
from jacinthloom_core.planner.specs import JobSpec, StepSpec, TaskId
from jacinthloom_core.planner.state import PlannerSettings
from jacinthloom_daemon.hosted import clock, messages
from jacinthloom_daemon.hosted.feeds import WorkerFeed
from jacinthloom_daemon.hosted.planner_runner import PlannerRunner
from jacinthloom_daemon.hosted.work_times import WorkTimes
from jacinthloom_daemon.metrics import LatencyHistogram
from jacinthloom_daemon.platform.errors import UnavailableError
from jacinthloom_daemon.platform.log_store import NewestRecords

TASK = TaskId("a" * 16, 0, 0, 0)


class BrokenWorkerClient:
    """A client whose calls raise an unexpected exception."""

    address = "10.0.0.1:1"

    async def _raise(self, order: object) -> None:
        raise ValueError("unexpected")

    start = stop = pace = hold = _raise

    def close(self) -> None:
        """Do nothing."""


class BrokenStore:
    """A store whose appends raise an unexpected exception."""

    async def append(self, *args: object, **kwargs: object) -> None:
        raise ValueError("unexpected")


class LoadingStore:
    """A store with records to load."""

    def __init__(self, records: dict[str, bytes]) -> None:
        self._records = records

    async def append(self, *args: object, **kwargs: object) -> None:
        """Accept the fence."""

    async def read_newest(self, topic: str) -> NewestRecords:
        return NewestRecords(self._records, 0)


class RecordingStore:
    """A store that refuses some appends, by their number."""

    def __init__(self) -> None:
        self.stored: list[list[bytes]] = []
        self.sequences: list[int] = []
        self.refusals: set[int] = set()

    async def append(self, topic: str, data: list[bytes], producer: Any) -> None:
        self.sequences.append(producer.sequence)
        if len(self.sequences) in self.refusals:
            raise UnavailableError("refused", is_outcome_unknown=False)
        self.stored.append(data)


def make_entry(worker: str, address: str) -> WorkerEntry:
    return WorkerEntry(
        worker, "pool", address, "z", True, Resources(1000, 1000), frozenset(), "", 1
    )


class PlannerRunnerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.refusals = 0
        self.has_authority = True
        self.runner = PlannerRunner(
            cast("Any", BrokenStore()),
            PlannerSettings(1, 6.0, 120.0),
            lambda request: None,
            lambda: self.has_authority,
            LeaseAuthority("10.0.0.9:1", None, True, 0.0),
            LatencyHistogram("append_seconds", "help"),
            self.count_refusal,
            Counter(),
            WorkTimes(dict),
        )
        self.state = self.runner._planner.state
        queue = Queue("q", "h", "/q/", "pool")
        self.runner.handle(events.RulesChanged(0.0, Rules(1, {"q": queue})))
        self.addCleanup(self.runner.close)

    def count_refusal(self) -> None:
        self.refusals += 1

    async def wait_for_failures(self, count: int) -> None:
        async with asyncio.timeout(1):
            while self.runner.counters["worker_call_failed"] < count:
                await asyncio.sleep(0.01)

    # Guards against a term that ends because of one worker: the planners of later
    # terms meet the same worker, and nothing is started any more.
    async def test_call_that_raises_counts_as_unanswered(self) -> None:
        client = cast("Any", BrokenWorkerClient())
        self.runner._client_by_worker["w1"] = client
        with self.assertLogs("jacinthloom", "ERROR"):
            self.runner.handle(
                events.WorkerListed(0.0, make_entry("w1", client.address))
            )
            await self.wait_for_failures(1)
        self.assertGreater(self.state.worker_by_id["w1"].failed_polls, 0)
        order = ("w1", client.address, 1, TASK, 1)
        for effect in (
            effects.Start(*order[:3], 1, TASK, 1, "text", "", "", 1000),
            effects.Stop(*order),
            effects.Throttle(*order, 50),
        ):
            before = self.runner.counters["worker_call_failed"]
            with self.assertLogs("jacinthloom", "ERROR"):
                self.runner._handler_by_type[type(effect)](effect)
                await self.wait_for_failures(before + 1)
        self.assertFalse(self.runner.ended.is_set())

    # Guards against the same for an address that can't be parsed.
    async def test_worker_whose_address_is_malformed_fails_its_polls(self) -> None:
        for number, address in enumerate(("http://127.0.0.9:80", "x", "1.1.1.1:99999")):
            with self.assertLogs("jacinthloom", "ERROR"):
                entry = make_entry(f"w{number}", address)
                self.runner.handle(events.WorkerListed(0.0, entry))
                await self.wait_for_failures(number + 1)
        self.assertFalse(self.runner.ended.is_set())

    # Guards against hosts that turn unready, and counts that are refused, as soon as
    # the store fails: a voter has not answered for long, but authority was just lost.
    async def test_time_without_authority_begins_when_it_is_lost(self) -> None:
        authority = self.runner.lease_authority
        authority.on_renewed(clock.now(), ("10.0.0.9:1", "10.0.0.8:1"))
        self.runner.authority.note()
        authority.on_ping_answered("10.0.0.8:1", clock.now() - 5.0)
        authority.abdicate()
        self.assertFalse(self.runner.authority.is_held)
        self.assertLess(self.runner.authority.measure_lost_s(), 0.5)

    # Guards against answers from the state of a planner that may have been replaced: it
    # knows none of the jobs that its successor has accepted.
    async def test_unknown_jobs_and_counts_are_refused_without_authority(self) -> None:
        calls = (messages.Show(1, "a" * 16), messages.Cancel(2, "a" * 16))
        count = messages.Count(3, "q")
        self.runner.lease_authority.on_renewed(clock.now(), None)
        for call in calls:
            self.assertEqual((await self.runner.call(call)).status, 410)
        self.assertEqual((await self.runner.call(count)).status, 200)
        self.has_authority = False
        self.runner.lease_authority.on_renewed(clock.now() - 5.0, None)
        self.runner.authority._held_at -= 5.0
        for call in (*calls, count):
            answer = await self.runner.call(call)
            self.assertEqual((answer.status, answer.retry_after_s), (503, 1))

    # Guards against a load that takes longer than the claim lasts: the renewal of the
    # claim is a task that has to run meanwhile, or no planner ever plans (review/14).
    async def test_other_tasks_run_while_the_records_are_loaded(self) -> None:
        steps = (StepSpec(1, Resources(1, 1), 1.0),) * 500
        jobs = [JobSpec(f"{n:016x}", "q", "t", "text", steps, 0) for n in range(20)]
        records = [encode_job(Job(spec)) for spec in jobs]
        store = LoadingStore({record.key: record.value for record in records})
        self.runner._store = cast("Any", store)
        turns = 0
        run = asyncio.create_task(self.runner.run())
        with patch.object(WorkerFeed, "follow"):
            while not self.runner.is_ready.is_set():
                await asyncio.sleep(0)
                turns += 1
        self.assertGreater(turns, 2 * len(jobs) * len(steps) / MAX_PART_TASKS)
        self.assertEqual(len(self.state.job_by_id), len(jobs))
        self.runner.end("end of the test")
        await run

    # Guards against a batch that is larger than one append may be, and is refused for
    # good; and against jobs that count as refused though their records are stored.
    async def test_large_batch_is_stored_in_several_appends(self) -> None:
        store = RecordingStore()
        self.runner._appender._store = cast("Any", store)
        records = tuple(Record(f"k{n}", bytes(200_000)) for n in range(25))
        store.refusals = {2}
        self.runner._handler_by_type[effects.Store](effects.Store(1, records))
        async with asyncio.timeout(2):
            while sum(map(len, store.stored)) < len(records):
                await asyncio.sleep(0.01)
        self.assertEqual([len(part) for part in store.stored], [9, 9, 7])
        self.assertEqual(store.sequences, [1, 2, 2, 3])
        self.assertFalse(self.runner.ended.is_set())
        self.assertEqual(self.refusals, 0)

    # Guards against a planner that waits without end for a batch whose append raised.
    async def test_term_ends_when_an_append_raises(self) -> None:
        store = effects.Store(1, (Record("k", b"v"),))
        with self.assertLogs("jacinthloom", "ERROR"):
            self.runner._handler_by_type[effects.Store](store)
            async with asyncio.timeout(1):
                await self.runner.ended.wait()


if __name__ == "__main__":
    unittest.main()
