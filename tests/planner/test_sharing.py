"""Filler tasks and tasks that serve users don't share workers."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner.fleet import Worker
from jacinthloom_core.planner.jobs import Job
from jacinthloom_core.planner.placement import place_tasks
from jacinthloom_core.planner.sharing import may_share
from jacinthloom_core.planner.specs import JobSpec, StepSpec

from .test_takeover import ENTRY

SIZE = Resources(100, 100)
INTERACTIVE = StepSpec(1, SIZE, lasting=True, target_s=0.05)
FILLER = StepSpec(1, SIZE, lasting=True, fills=True)
BATCH = StepSpec(1, SIZE, 2.0)


def make_worker(spec: StepSpec) -> Worker:
    """Return a worker that runs one task of a step."""
    job = Job(JobSpec("b" * 16, "q", "t", "", (spec,), 0))
    task = job.add_occurrence(0).steps[0].tasks[0]
    worker = Worker("w", 1)
    worker.task_by_id[task.id] = task
    return worker


class SharingTest(unittest.TestCase):
    def test_fillers_and_interactive_services_do_not_share_a_worker(self) -> None:
        for present, wanted, allowed in (
            (INTERACTIVE, FILLER, False),
            (FILLER, INTERACTIVE, False),
            (FILLER, FILLER, True),
            (INTERACTIVE, INTERACTIVE, True),
            (INTERACTIVE, BATCH, True),
            (BATCH, FILLER, True),
        ):
            job = Job(JobSpec("c" * 16, "q", "t", "", (wanted,), 0))
            step = job.add_occurrence(0).steps[0]
            self.assertEqual(may_share(step, make_worker(present)), allowed)

    def test_spread_of_services_leaves_workers_to_fillers(self) -> None:
        workers = []
        for number in range(24):
            worker = Worker(f"w{number}", 1)
            worker.accept(replace(ENTRY, id=worker.id, capacity=Resources(1000, 1000)))
            workers.append(worker)
        interactive = replace(INTERACTIVE, count=48)
        job = Job(JobSpec("d" * 16, "q", "t", "", (interactive,), 0))
        step = job.add_occurrence(0).steps[0]
        placed = place_tasks(step, step.tasks, workers)
        self.assertEqual(len(placed), 48)
        used = {worker.id for _, worker in placed}
        self.assertGreaterEqual(24 - len(used), 24 // 4)


if __name__ == "__main__":
    unittest.main()
