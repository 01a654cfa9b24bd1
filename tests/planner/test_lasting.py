"""Loads of services, whose tasks run until their job is cancelled."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import events
from jacinthloom_core.planner.specs import StepSpec, TaskId

from .test_takeover import (
    JOB,
    RULES,
    Store,
    answer_hold,
    find_starts,
    make_planner,
    run_batches,
)

SERVICE = replace(
    JOB, id="e" * 16, steps=(StepSpec(1, Resources(100, 100), lasting=True),)
)


class LastingTest(unittest.TestCase):
    def test_task_is_started_again_however_it_ends(self) -> None:
        for how in events.EndKind:
            with self.subTest(how=how):
                store = Store()
                planner = make_planner(1, store, 0.0)
                answer_hold(planner, 0.1)
                found = planner.handle(events.JobSubmitted(0.2, 1, SERVICE))
                run_batches(planner, store, found, 0.3)
                token = planner.state.worker_by_id["w1"].token
                end = events.RunEnd(1, TaskId(SERVICE.id, 0, 0, 0), 1, how, "")
                found = planner.handle(
                    events.WorkerPolled(0.5, "w1", 0.4, token, 5, 100, (), (end,))
                )
                found += planner.handle(events.FlushDue(0.6))
                starts = find_starts(run_batches(planner, store, found, 0.6))
                self.assertEqual([start.run for start in starts], [2])
                self.assertEqual(planner.find_job_state(SERVICE.id), "running")

    def test_service_comes_before_a_queue_that_fills_the_fleet(self) -> None:
        store = Store()
        urgent = replace(RULES.queue_by_name["q"], name="urgent", priority=0)
        rules = replace(RULES, queue_by_name={**RULES.queue_by_name, "urgent": urgent})
        planner = make_planner(1, store, 0.0, rules)
        found = planner.handle(events.JobSubmitted(0.1, 0, SERVICE))
        for number in range(30):
            job = replace(JOB, id=f"{number:016x}", queue="urgent", received_ms=60_000)
            found += planner.handle(events.JobSubmitted(0.1, number + 1, job))
        run_batches(planner, store, found, 0.2)
        # A minute later there is room for ten tasks, and the service is long overdue.
        found = planner.handle(events.Tick(60.0, 60_000))
        found += answer_hold(planner, 60.1)
        found += planner.handle(events.FlushDue(60.2))
        starts = find_starts(run_batches(planner, store, found, 60.2))
        self.assertEqual(len(starts), 10)
        self.assertIn(SERVICE.id, [start.task.job for start in starts])


if __name__ == "__main__":
    unittest.main()
