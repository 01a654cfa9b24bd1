"""Load: a burst of jobs while the store is slow to acknowledge.

Advice is requested, ends are noticed and placements are kept meanwhile.
"""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.rules import AdvicePolicy, ClientAccount, Queue, Rules
from jacinthloom_core.planner.specs import JobSpec, StepSpec, TaskId
from jacinthloom_core.planner.state import PlannerSettings

from .test_takeover import (
    ENTRY,
    Store,
    answer_poll,
    find_starts,
    make_planner,
    store_batches,
)

ADVICE = AdvicePolicy(0.01, 0.0, 2.0)
RULES = Rules(
    1,
    {"q": Queue("q", "h", "/q/", "service", 0, 2, 1.5, 0.25, False, ADVICE)},
    {"t": ClientAccount("t", 1, Resources())},
)
JOBS = 40
"""Jobs of the burst: more than one advice request per member and batch can cover."""


class SlowStoreTest(unittest.TestCase):
    def test_advice_for_a_burst_does_not_wait_for_the_store(self) -> None:
        planner = Planner(PlannerSettings(1, 6.0, 120.0))
        planner.load({}, 0.0, 0)
        planner.handle(events.RulesChanged(0.0, RULES))
        planner.handle(events.WorkerListed(0.0, ENTRY))
        answer_poll(planner, 0.1)
        planner.handle(events.MemberJoined(0.1, "m"))
        requests: list[effects.RequestAdvice] = []
        now = 0.2
        for number in range(JOBS):
            step = StepSpec(1, Resources(1, 1), 0.5)
            job = JobSpec(f"{number:016x}", "q", "t", "text", (step,), 200)
            emitted = planner.handle(events.JobSubmitted(now, number, job))
            requests += [e for e in emitted if isinstance(e, effects.RequestAdvice)]
        # The store never answers the first batch; the member answers requests in 10 ms.
        while now < 1.0:
            now += 0.01
            emitted = planner.handle(events.FlushDue(now))
            for request in requests:
                recommended = (("w1", "ticket"),)
                event = events.AdviceGiven(
                    now, "m", request.step, request.workers, recommended
                )
                emitted += planner.handle(event)
            requests = [e for e in emitted if isinstance(e, effects.RequestAdvice)]
        placed = planner.state.worker_by_id["w1"].task_by_id
        self.assertEqual(len(placed), JOBS)

    def test_ends_are_noticed_while_earlier_ones_are_being_stored(self) -> None:
        planner = Planner(PlannerSettings(1, 6.0, 120.0))
        planner.load({}, 0.0, 0)
        planner.handle(events.RulesChanged(0.0, RULES))
        planner.handle(events.WorkerListed(0.0, ENTRY))
        answer_poll(planner, 0.1)
        step = StepSpec(2, Resources(1, 1), 0.5)
        job = JobSpec("a" * 16, "q", "t", "text", (step,), 200)
        planner.handle(events.JobSubmitted(0.2, 1, job))
        worker = planner.state.worker_by_id["w1"]
        ended = events.RunEnd(1, TaskId(job.id, 0, 0, 0), 1, events.EndKind.DONE, "")
        polled = events.WorkerPolled(
            1.0, "w1", 0.9, worker.token, 5, 1000, (), (ended,)
        )
        planner.handle(polled)
        # The store does not answer, and the worker lists the end again in each poll.
        polls: list[float] = []
        now = 1.0
        while now < 4.0:
            now += 0.01
            emitted = planner.handle(events.Tick(now, int(now * 1000)))
            if any(isinstance(effect, effects.PollWorker) for effect in emitted):
                polls.append(now)
                planner.handle(replace(polled, now=now, sent_at=now))
        self.assertLess(polls[0], 1.15)
        self.assertLess(polls[1], 1.35)
        self.assertLess(len(polls), 8)

    def start_job(self, planner: Planner, store: Store) -> list[effects.Start]:
        planner.handle(events.MemberJoined(0.1, "m"))
        step = StepSpec(1, Resources(1, 1), 0.5)
        job = JobSpec("a" * 16, "free", "t", "text", (step,), 200)
        emitted = planner.handle(events.JobSubmitted(0.2, 1, job))
        return find_starts(store_batches(planner, store, emitted, 0.2))

    def make_free_planner(self, store: Store) -> Planner:
        queue = Queue("free", "h", "/f/", "service", 0, 2, 1.5, 0.25)
        planner = make_planner(
            1, store, 0.0, replace(RULES, queue_by_name={"free": queue})
        )
        answer_poll(planner, 0.1)
        return planner

    def withhold(self, planner: Planner, start: effects.Start, now: float) -> None:
        outcome = events.StartOutcome.WITHHELD
        planner.handle(
            events.StartAnswered(now, start.worker, start.task, start.run, outcome)
        )

    def test_withheld_start_is_sent_again_without_another_placement(self) -> None:
        store = Store()
        planner = self.make_free_planner(store)
        (start,) = self.start_job(planner, store)
        self.withhold(planner, start, 0.3)
        self.assertTrue(planner.state.worker_by_id["w1"].is_usable(0.3))
        emitted = planner.handle(events.Tick(0.35, 350))
        again = find_starts(emitted)
        self.assertEqual([(s.task, s.run) for s in again], [(start.task, start.run)])
        self.assertEqual(store.append_batches(emitted), [])

    def test_start_that_is_withheld_for_too_long_is_placed_again(self) -> None:
        store = Store()
        planner = self.make_free_planner(store)
        (start,) = self.start_job(planner, store)
        self.withhold(planner, start, 0.3)
        emitted = planner.handle(events.Tick(2.0, 2000))
        self.assertEqual(find_starts(emitted), [])
        emitted = store_batches(planner, store, emitted, 2.0)
        self.assertEqual([s.run for s in find_starts(emitted)], [start.run + 1])

    def test_withheld_start_of_a_cancelled_job_is_not_sent(self) -> None:
        store = Store()
        planner = self.make_free_planner(store)
        (start,) = self.start_job(planner, store)
        self.withhold(planner, start, 0.3)
        planner.handle(events.CancelRequested(0.31, 2, start.task.job))
        emitted = planner.handle(events.Tick(0.35, 350))
        self.assertEqual(find_starts(emitted), [])


if __name__ == "__main__":
    unittest.main()
