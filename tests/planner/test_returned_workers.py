"""A worker returns under its id as a machine of another kind or capacity."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.events import StartOutcome
from jacinthloom_core.planner.jobs import Crash
from jacinthloom_core.planner.specs import StepSpec

from .test_takeover import (
    ENTRY,
    JOB,
    Store,
    answer_poll,
    find_starts,
    make_planner,
    store_batches,
)

LABELLED = replace(JOB, steps=(StepSpec(1, Resources(100, 100), 1.0, label="fast"),))


class ReturnedWorkersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        old = replace(ENTRY, labels=frozenset({"fast", "r1-1"}))
        self.planner.handle(events.WorkerListed(0.05, old))
        answer_poll(self.planner, 0.1)

    def poll(self, now: float, incarnation: int) -> list[effects.Start]:
        token = self.planner.state.worker_by_id["w1"].token
        return self.apply(
            events.WorkerPolled(now, "w1", now - 0.01, token, incarnation, 9, (), ()),
            now,
        )

    def apply(self, event: events.Event, now: float) -> list[effects.Start]:
        """Handle an event, run the pass that it requests, and store the batches."""
        emitted = self.planner.handle(event)
        emitted += self.planner.handle(events.FlushDue(now + 0.05))
        return find_starts(store_batches(self.planner, self.store, emitted, now + 0.05))

    # Guards against a start on a worker without the label of its step, or beyond its
    # capacity, since the planner goes by the entry of an earlier incarnation.
    def test_returned_worker_is_used_once_its_entry_is_renewed(self) -> None:
        self.poll(1.0, 6)
        submitted = events.JobSubmitted(1.1, 1, LABELLED)
        self.assertEqual(self.apply(submitted, 1.1), [])
        self.assertEqual(self.poll(1.2, 6), [])
        slow = replace(ENTRY, labels=frozenset({"slow"}), incarnation=6)
        self.assertEqual(self.apply(events.WorkerListed(1.3, slow), 1.3), [])
        fast = replace(ENTRY, labels=frozenset({"fast"}), incarnation=6)
        starts = self.apply(events.WorkerListed(1.5, fast), 1.5)
        self.assertEqual([start.worker for start in starts], ["w1"])

    def lose_life(self, is_ready: bool, entry_is_first: bool) -> list[Crash]:
        """Run a task on a life that ends; return what counts against the task.

        :param is_ready: whether the life was not leaving
        :param entry_is_first: whether the next life is listed before it answers
        """
        starts = self.apply(events.JobSubmitted(0.2, 1, JOB), 0.2)
        start = starts[0]
        outcome = StartOutcome.STARTED
        self.apply(events.StartAnswered(0.4, "w1", start.task, start.run, outcome), 0.4)
        self.apply(events.WorkerListed(1.0, replace(ENTRY, is_ready=is_ready)), 1.0)
        self.apply(events.WorkerPollFailed(3.0, "w1"), 3.0)
        if entry_is_first:
            self.apply(events.WorkerListed(3.1, replace(ENTRY, incarnation=6)), 3.1)
        self.poll(3.3, 6)
        self.poll(3.4, 6)
        step = self.planner.state.job_by_id[JOB.id].occurrences[0].steps[0]
        return step.tasks[0].crashes

    # Guards against tasks that are given up for workers that have left as announced:
    # the entry of the next life was taken for that of the one that left.
    def test_life_that_was_leaving_has_not_crashed(self) -> None:
        self.assertEqual(self.lose_life(is_ready=False, entry_is_first=True), [])

    def test_life_that_was_leaving_has_not_crashed_if_it_is_polled_first(self) -> None:
        self.assertEqual(self.lose_life(is_ready=False, entry_is_first=False), [])

    def test_life_that_was_not_leaving_has_crashed(self) -> None:
        self.assertEqual(len(self.lose_life(is_ready=True, entry_is_first=True)), 1)

    def test_worker_whose_entry_has_no_start_time_is_used(self) -> None:
        entry = replace(ENTRY, labels=frozenset({"fast"}), incarnation=0)
        self.planner.handle(events.WorkerListed(0.2, entry))
        starts = self.apply(events.JobSubmitted(1.1, 1, LABELLED), 1.1)
        self.assertEqual([start.worker for start in starts], ["w1"])


if __name__ == "__main__":
    unittest.main()
