"""A run that was not placed on a worker counts for what it really reserves there."""

from __future__ import annotations

import unittest

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.specs import JobSpec, StepSpec, TaskId

from .test_takeover import Store, answer_poll, make_planner


class ForeignRunTest(unittest.TestCase):
    def poll_foreign_run(self, fills: bool) -> int:
        """Return the free processors while a worker lists a run placed elsewhere."""
        planner = make_planner(1, Store(), 0.0)
        answer_poll(planner, 0.1)
        worker = planner.state.worker_by_id["w1"]
        step = StepSpec(1, Resources(400, 10), 5.0, after=(0,), fills=fills)
        first = StepSpec(1, Resources(2, 2), 5.0)
        job = JobSpec("b" * 16, "q", "t", "text", (first, step), 0)
        planner.handle(events.JobSubmitted(0.2, 1, job))
        free = worker.free_processors
        run = events.RunProgress(TaskId(job.id, 0, 1, 0), 7, "", 10)
        planner.handle(
            events.WorkerPolled(0.3, "w1", 0.29, worker.token, 5, 300, (run,), ())
        )
        reserved = free - worker.free_processors
        planner.handle(
            events.WorkerPolled(0.4, "w1", 0.39, worker.token, 5, 400, (), ())
        )
        self.assertEqual(worker.free_processors, free)
        return reserved

    def test_run_that_fills_reserves_no_processors(self) -> None:
        self.assertEqual(self.poll_foreign_run(fills=True), 0)

    def test_other_run_reserves_its_processors(self) -> None:
        self.assertEqual(self.poll_foreign_run(fills=False), 400)

    # Guards against logs that can't tell which life of a worker had carried out a run.
    def test_runs_and_ends_are_logged_with_the_life_that_lists_them(self) -> None:
        planner = make_planner(1, Store(), 0.0)
        answer_poll(planner, 0.1)
        token = planner.state.worker_by_id["w1"].token
        running = events.RunProgress(TaskId("b" * 16, 0, 0, 0), 7, "", 10)
        ended = events.RunEnd(1, TaskId("b" * 16, 0, 0, 1), 3, events.EndKind.DONE, "")
        emitted = planner.handle(
            events.WorkerPolled(0.3, "w1", 0.29, token, 5, 300, (running,), (ended,))
        )
        notes = [effect for effect in emitted if isinstance(effect, effects.Note)]
        lives = {note.kind: note.fields.get("life") for note in notes}
        self.assertEqual(lives, {"end_unused": 5, "foreign_run": 5})
