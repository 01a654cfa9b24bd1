"""Loads of small tasks that come all the time while gangs wait for room."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.rules import AdvicePolicy, ClientAccount, Queue, Rules
from jacinthloom_core.planner.specs import JobSpec, StepSpec

from .test_takeover import ENTRY, Store, find_starts, make_planner, run_batches

WORKERS = 4
ADVICE = AdvicePolicy(0.7, 0.006, 2.0)
RULES = Rules(
    1,
    {
        "gangs": Queue("gangs", "h", "/g/", "service", 1, 2, 2.2, 1.0, False, ADVICE),
        "small": Queue("small", "h", "/s/", "service", 2, 2, 4.0, 3.0),
    },
    {"t": ClientAccount("t", 1, Resources())},
)
GANG = StepSpec(WORKERS, Resources(1000, 100), 5.0, gang=True)
SMALL = StepSpec(1, Resources(300, 100), 3.0)


class GangRoomTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0, RULES)
        self.now = 0.1
        self.jobs = 0
        self.asked: list[effects.AskAdvice] = []
        self.starts: list[effects.Start] = []
        self.planner.handle(events.MemberJoined(0.05, "member"))
        for number in range(1, WORKERS + 1):
            entry = replace(ENTRY, id=f"w{number}", address=f"{number}:1")
            self.planner.handle(events.WorkerListed(0.05, entry))
            token = self.planner.state.worker_by_id[entry.id].token
            self.planner.handle(
                events.WorkerPolled(0.1, entry.id, 0.09, token, 5, 100, (), ())
            )

    def submit(self, queue: str, step: StepSpec) -> str:
        self.jobs += 1
        job = JobSpec(f"{self.jobs:016x}", queue, "t", "text", (step,), 0)
        self.take(self.planner.handle(events.JobSubmitted(self.now, self.jobs, job)))
        return job.id

    def take(self, found: list[effects.Effect]) -> None:
        found = run_batches(self.planner, self.store, found, self.now)
        self.asked += [e for e in found if isinstance(e, effects.AskAdvice)]
        self.starts += find_starts(found)

    def wait(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            self.take(self.planner.handle(events.FlushDue(self.now)))

    def advise(self) -> None:
        for ask in self.asked:
            good = tuple((worker, "ticket") for worker in ask.workers)
            event = events.AdviceGiven(
                self.now, ask.member, ask.step, ask.workers, good
            )
            self.take(self.planner.handle(event))
        self.asked.clear()

    def find_started(self) -> list[str]:
        return [start.task.job for start in self.starts]

    def test_room_is_kept_for_a_gang_whose_tickets_have_expired(self) -> None:
        gang = self.submit("gangs", GANG)
        self.wait(0.2)
        step = self.planner.state.ready_by_id[
            next(iter(self.planner.state.ready_by_id))
        ]
        advice = self.planner.state.advice_requests.find(step.id)
        for number in range(1, WORKERS + 1):
            advice.is_good_by_worker[f"w{number}"] = True  # tickets were valid once
        advice.is_asking = True
        small = self.submit("small", SMALL)
        self.wait(0.2)
        self.assertNotIn(small, self.find_started())
        advice.is_asking = False
        self.wait(0.1)
        self.advise()
        self.wait(0.1)
        self.assertEqual(self.find_started(), [gang] * WORKERS)

    def test_small_tasks_run_while_nothing_is_known_for_the_gang(self) -> None:
        self.submit("gangs", GANG)
        small = self.submit("small", SMALL)
        self.wait(0.2)
        self.assertEqual(self.find_started(), [small])

    def test_gang_that_can_never_run_holds_nobody_up(self) -> None:
        too_wide = replace(GANG, count=WORKERS + 1)
        self.submit("gangs", too_wide)
        self.wait(0.2)
        self.advise()
        small = self.submit("small", SMALL)
        self.wait(0.2)
        self.assertEqual(self.find_started(), [small])

    def test_room_set_aside_is_returned_after_each_pass(self) -> None:
        self.submit("gangs", GANG)
        self.submit("gangs", GANG)
        self.wait(0.3)
        self.advise()
        for worker in self.planner.state.worker_by_id.values():
            held = sum(
                task.step.spec.size.processors for task in worker.task_by_id.values()
            )
            self.assertEqual(worker.free_processors + held, 1000)


if __name__ == "__main__":
    unittest.main()
