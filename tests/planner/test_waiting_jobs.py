"""The count of waiting jobs, and the state of jobs none of whose tasks has started."""

from __future__ import annotations

import unittest

from jacinthloom_core.planner import events
from jacinthloom_core.planner.events import StartOutcome

from .test_takeover import (
    JOB,
    Store,
    answer_poll,
    find_starts,
    make_planner,
    store_batches,
)


class WaitingJobsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        answer_poll(self.planner, 0.1)
        emitted = self.planner.handle(events.JobSubmitted(0.2, 1, JOB))
        (self.start,) = find_starts(
            store_batches(self.planner, self.store, emitted, 0.3)
        )

    def answer(self, outcome: StartOutcome) -> None:
        start = self.start
        self.planner.handle(
            events.StartAnswered(0.6, "w1", start.task, start.run, outcome)
        )

    # Guards against jobs that count as begun though the order to start them was lost.
    def test_job_waits_until_a_start_is_confirmed(self) -> None:
        self.answer(StartOutcome.UNKNOWN)
        self.assertEqual(self.planner.count_waiting("q"), 1)
        self.assertEqual(self.planner.find_job_state(JOB.id), "queued")
        self.answer(StartOutcome.STARTED)
        self.assertEqual(self.planner.count_waiting("q"), 0)
        self.assertEqual(self.planner.find_job_state(JOB.id), "running")

    def test_listed_run_and_listed_end_show_that_a_job_has_begun(self) -> None:
        done = events.EndKind.DONE
        end = events.RunEnd(1, self.start.task, 1, done, "")
        running = events.RunProgress(self.start.task, 1, "", 10)
        for lists in (((running,), ()), ((), (end,))):
            self.setUp()
            worker = self.planner.state.worker_by_id["w1"]
            self.planner.handle(
                events.WorkerPolled(0.5, "w1", 0.4, worker.token, 5, 100, *lists)
            )
            self.assertEqual(self.planner.count_waiting("q"), 0)

    # Guards against the same for a new planner, which knows only the placement.
    def test_placed_job_waits_until_the_new_planner_sees_its_run(self) -> None:
        second = make_planner(2, self.store, 1.0)
        self.assertEqual(second.count_waiting("q"), 1)
        worker = second.state.worker_by_id["w1"]
        running = events.RunProgress(self.start.task, 1, "", 10)
        second.handle(
            events.WorkerPolled(1.2, "w1", 1.1, worker.token, 5, 100, (running,), ())
        )
        self.assertEqual(second.count_waiting("q"), 0)


if __name__ == "__main__":
    unittest.main()
