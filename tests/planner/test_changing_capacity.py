"""Workers whose capacity shrinks and grows while they run tasks."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.events import StartOutcome
from jacinthloom_core.planner.specs import StepSpec

from testkit.planning.world import Scenario, World

from .test_takeover import (
    ENTRY,
    JOB,
    Store,
    answer_poll,
    find_starts,
    make_planner,
    store_batches,
)

SEEDS = range(4000, 4020)
"""Seeds of the simulated scenarios."""


class ChangingCapacityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        answer_poll(self.planner, 0.1)

    def set_capacity(self, now: float, processors: int) -> list[effects.Effect]:
        entry = replace(ENTRY, capacity=Resources(processors, 1000))
        return self.planner.handle(events.WorkerListed(now, entry))

    def submit(self, now: float, size: int) -> list[effects.Effect]:
        job = replace(JOB, steps=(StepSpec(1, Resources(size, 100), 1.0),))
        emitted = self.planner.handle(events.JobSubmitted(now, 1, job))
        return emitted + self.planner.handle(events.FlushDue(now + 0.03))

    # Guards against starts on a worker that has no longer room for them.
    def test_invariants_hold_while_capacities_change(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                World(Scenario(seed, shrinks=10)).run()

    # Guards against a start that was decided before the capacity shrank.
    def test_placed_task_is_not_started_on_a_worker_that_has_shrunk(self) -> None:
        emitted = self.submit(0.2, 600)
        self.set_capacity(0.25, 500)
        emitted = store_batches(self.planner, self.store, emitted, 0.3)
        self.assertEqual(find_starts(emitted), [])

    # Guards against a start that is repeated after the capacity shrank.
    def test_unanswered_start_is_stopped_on_a_worker_that_has_shrunk(self) -> None:
        emitted = store_batches(self.planner, self.store, self.submit(0.2, 600), 0.3)
        (start,) = find_starts(emitted)
        self.set_capacity(0.4, 500)
        unknown = StartOutcome.UNKNOWN
        self.planner.handle(
            events.StartAnswered(0.5, "w1", start.task, start.run, unknown)
        )
        emitted = self.planner.handle(events.Tick(0.6, 600))
        self.assertEqual(find_starts(emitted), [])
        stops = [effect for effect in emitted if isinstance(effect, effects.Stop)]
        self.assertEqual([stop.run for stop in stops], [start.run])

    # Guards against the refusal of a job that fits once the capacity has grown again.
    def test_job_that_fits_no_worker_for_now_is_accepted(self) -> None:
        self.set_capacity(0.15, 500)
        emitted = store_batches(self.planner, self.store, self.submit(0.2, 600), 0.3)
        replies = [effect for effect in emitted if isinstance(effect, effects.Reply)]
        self.assertEqual([reply.status for reply in replies], [200])
        emitted = self.set_capacity(1.0, 1000)
        emitted += self.planner.handle(events.FlushDue(1.1))
        emitted = store_batches(self.planner, self.store, emitted, 1.2)
        self.assertEqual(len(find_starts(emitted)), 1)


if __name__ == "__main__":
    unittest.main()
