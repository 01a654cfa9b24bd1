"""Load: one client account submits several times its share while the fleet is full.

Jobs of the other accounts come first, and so do the large jobs that the account itself
submitted within its share: its own small jobs must not use up its limit before a gang.
"""

from __future__ import annotations

import unittest

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.rules import ClientAccount, Queue, Rules
from jacinthloom_core.planner.specs import JobSpec, StepSpec

from .test_takeover import Store, answer_poll, find_starts, make_planner, store_batches

LIMIT = Resources(600, 1000)
RULES = Rules(
    1,
    {
        "lookups": Queue("lookups", "h", "/l/", "service", 0, 2, 1.5, 0.25),
        "plans": Queue("plans", "h", "/p/", "service", 1, 2, 2.2, 1.0),
        "checks": Queue("checks", "h", "/c/", "service", 2, 2, 4.0, 3.0),
    },
    {
        "hot": ClientAccount("hot", 5, LIMIT),
        "calm": ClientAccount("calm", 5, LIMIT),
    },
)
LOOKUP = StepSpec(1, Resources(100, 10), 1.0)
CHECK = StepSpec(1, Resources(100, 10), 3.0)
PLAN = StepSpec(4, Resources(100, 10), 5.0, gang=True)


class HotClientAccountTest(unittest.TestCase):
    """The worker has room for ten tasks, and each account may run six."""

    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0, RULES)
        answer_poll(self.planner, 0.1)
        self.now = 0.2
        self.starts: list[effects.Start] = []
        self.job_count = 0

    def submit(self, account: str, queue: str, step: StepSpec) -> str:
        self.job_count += 1
        received_ms = int(self.now * 1000)
        job_id = f"{self.job_count:016x}"
        job = JobSpec(job_id, queue, account, "text", (step,), received_ms)
        self.handle(events.JobSubmitted(self.now, self.job_count, job))
        return job_id

    def handle(self, event: events.Event) -> None:
        emitted = self.planner.handle(event)
        self.starts += find_starts(
            store_batches(self.planner, self.store, emitted, self.now)
        )

    def run_pass(self) -> None:
        self.now += 0.1
        self.handle(events.Tick(self.now, int(self.now * 1000)))
        self.handle(events.FlushDue(self.now))

    def finish_oldest(self, count: int) -> None:
        """End the oldest runs as done."""
        ended = self.starts[:count]
        del self.starts[:count]
        worker = self.planner.state.worker_by_id["w1"]
        first = worker.seen_end + 1
        self.now += 0.1
        running = tuple(events.RunProgress(s.task, s.run, "", 50) for s in self.starts)
        ends = tuple(
            events.RunEnd(first + number, s.task, s.run, events.EndKind.DONE, "")
            for number, s in enumerate(ended)
        )
        self.handle(
            events.WorkerPolled(
                self.now, "w1", self.now, worker.token, 5, 100, running, ends
            )
        )

    def list_started(self) -> list[str]:
        return [start.task.job for start in self.starts]

    def test_jobs_within_the_share_of_others_start_before_the_excess(self) -> None:
        for _ in range(30):
            self.submit("hot", "lookups", LOOKUP)
        self.run_pass()
        self.assertEqual(len(self.starts), 6)
        calm = [self.submit("calm", "checks", CHECK) for _ in range(4)]
        self.run_pass()
        self.assertLessEqual(set(calm), set(self.list_started()))

    def test_excess_runs_when_there_is_room(self) -> None:
        jobs = [self.submit("hot", "checks", CHECK) for _ in range(6)]
        self.run_pass()
        self.assertEqual(set(self.list_started()), set(jobs))
        self.assertTrue(self.planner.state.job_by_id[jobs[5]].is_beyond_share)

    def test_excess_lookups_leave_the_limit_to_a_plan_within_the_share(self) -> None:
        for _ in range(3):
            self.submit("hot", "lookups", LOOKUP)
        plan = self.submit("hot", "plans", PLAN)
        for _ in range(30):
            self.submit("hot", "lookups", LOOKUP)
        self.run_pass()
        for _ in range(6):
            if plan in self.list_started():
                break
            self.finish_oldest(1)
            self.run_pass()
        self.assertEqual(self.list_started().count(plan), 4)

    def test_successor_classifies_the_jobs_that_it_loads(self) -> None:
        jobs = [self.submit("hot", "checks", CHECK) for _ in range(8)]
        self.run_pass()
        successor: Planner = make_planner(2, self.store, self.now, RULES)
        beyond = [successor.state.job_by_id[j].is_beyond_share for j in jobs]
        self.assertEqual(beyond, [False] * 5 + [True] * 3)
