"""Each occurrence of a scheduled job runs once, whichever planner opens it."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.intake import MAX_OPEN_OCCURRENCES
from jacinthloom_core.planner.jobs import TaskState
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.specs import StepSpec, TaskId
from jacinthloom_core.planner.state import PlannerSettings

from testkit.planning.world import Scenario, World

from .test_takeover import (
    JOB,
    Store,
    answer_poll,
    find_starts,
    make_planner,
    store_batches,
)

SEEDS = range(5000, 5025)
"""Seeds of the simulated scenarios."""

TIMED = replace(
    JOB,
    steps=(StepSpec(1, Resources(600, 100), 1.0),),
    first_due_ms=0,
    period_ms=1_000,
    occurrences=3,
)


class OccurrencesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()

    def apply(
        self, planner: Planner, event: events.Event, now: float
    ) -> list[effects.Start]:
        """Handle an event, run the pass that it requests, and store the batches."""
        emitted = planner.handle(event) + planner.handle(events.FlushDue(now + 0.05))
        return find_starts(store_batches(planner, self.store, emitted, now + 0.05))

    def store_without_first_record(self) -> None:
        """Store a job whose occurrence 1 has a record, while occurrence 0 waits."""
        planner = make_planner(1, self.store, 0.0)
        answer_poll(planner, 0.1)
        self.apply(planner, events.JobSubmitted(0.2, 1, TIMED), 0.2)
        self.assertIn(f"{TIMED.id}.0", self.store.value_by_key)
        first = self.store.value_by_key.pop(f"{TIMED.id}.0")
        self.store.value_by_key[f"{TIMED.id}.1"] = first

    def end_runs(self, planner: Planner, now: float) -> list[effects.Start]:
        """Let the worker list the end of everything that is placed on it."""
        worker = planner.state.worker_by_id["w1"]
        ends = tuple(
            events.RunEnd(
                worker.seen_end + n, task.id, task.run, events.EndKind.DONE, ""
            )
            for n, task in enumerate(worker.task_by_id.values(), 1)
            if task.state in (TaskState.STARTING, TaskState.RUNNING)
        )
        polled = events.WorkerPolled(
            now, "w1", now - 0.01, worker.token, 5, 100, (), ends
        )
        return self.apply(planner, polled, now)

    # Guards against an occurrence without a record that is lost when another planner
    # takes over, and its job being shown as completed.
    def test_earlier_occurrence_without_a_record_runs_after_a_takeover(self) -> None:
        self.store_without_first_record()
        second = make_planner(2, self.store, 5.0)
        started = {start.task for start in self.end_runs(second, 5.2)}
        for step in range(3):
            now = 5.5 + step / 2
            started |= {
                s.task
                for s in self.apply(second, events.Tick(now, int(now * 1000)), now)
            }
            started |= {start.task for start in self.end_runs(second, now + 0.2)}
        self.assertEqual(second.find_job_state(TIMED.id), "completed")
        self.assertEqual(
            started, {TaskId(TIMED.id, 0, 0, 0), TaskId(TIMED.id, 2, 0, 0)}
        )

    # Guards against a job that stays running when its loaded occurrences are done
    # before they are due by the clock of the planner's host.
    def test_job_ends_on_a_host_whose_clock_is_behind(self) -> None:
        done = make_planner(1, self.store, 0.0)
        answer_poll(done, 0.1)
        self.apply(done, events.JobSubmitted(0.2, 1, TIMED), 0.2)
        first = self.store.value_by_key[f"{TIMED.id}.0"]
        for index in (1, 2):
            self.store.value_by_key[f"{TIMED.id}.{index}"] = first
        second = Planner(PlannerSettings(2, 6.0, 120.0))
        second.load(self.store.value_by_key, 1.0, 1_000)
        job = second.state.job_by_id[TIMED.id]
        for task in list(job.tasks()):
            second.state.release(task)
            task.state = TaskState.DONE
            task.step.done = 1
        second.handle(events.Tick(1.1, 1_100))
        self.assertIsNone(job.outcome)
        second.handle(events.Tick(2.0, 2_000))
        self.assertIsNotNone(job.outcome)

    # Guards against a job with more due occurrences than a planner can hold: it would
    # stop every planner that loads it.
    def test_due_occurrences_are_opened_a_limited_number_at_a_time(self) -> None:
        planner = make_planner(1, self.store, 0.0)
        answer_poll(planner, 0.1)
        endless = replace(TIMED, period_ms=0, occurrences=1 << 40)
        self.apply(planner, events.JobSubmitted(0.2, 1, endless), 0.2)
        job = planner.state.job_by_id[endless.id]
        self.assertEqual(len(job.occurrences), MAX_OPEN_OCCURRENCES)
        self.end_runs(planner, 0.5)
        self.apply(planner, events.Tick(0.6, 600), 0.6)
        self.assertEqual(len(job.occurrences), MAX_OPEN_OCCURRENCES + 1)

    # Guards against occurrences that are lost, repeated or started early in any order
    # of takeovers, appends and ends that the simulation draws.
    def test_invariants_hold_for_scheduled_jobs(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                World(Scenario(seed, timed=0.3)).run()


if __name__ == "__main__":
    unittest.main()
