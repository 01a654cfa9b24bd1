"""Loads of tasks that fill beside tasks that serve users."""

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
SERVING = StepSpec(1, SIZE, lasting=True, target_s=0.05)
FILLING = StepSpec(1, SIZE, lasting=True, fills=True)
BATCH = StepSpec(1, SIZE, 2.0)


def make_worker(spec: StepSpec) -> Worker:
    """Return a worker with one task of a step on it."""
    job = Job(JobSpec("b" * 16, "q", "t", "", (spec,), 0))
    task = job.add_occurrence(0).steps[0].tasks[0]
    worker = Worker("w", 1)
    worker.task_by_id[task.id] = task
    return worker


class SharingTest(unittest.TestCase):
    def test_fillers_and_servers_are_kept_apart(self) -> None:
        for present, wanted, allowed in (
            (SERVING, FILLING, False),
            (FILLING, SERVING, False),
            (FILLING, FILLING, True),
            (SERVING, SERVING, True),
            (SERVING, BATCH, True),
            (BATCH, FILLING, True),
        ):
            step = Job(JobSpec("c" * 16, "q", "t", "", (wanted,), 0))
            run = step.add_occurrence(0).steps[0]
            self.assertEqual(may_share(run, make_worker(present)), allowed)

    def test_services_spread_over_all_leave_workers_to_fillers(self) -> None:
        workers = []
        for number in range(24):
            worker = Worker(f"w{number}", 1)
            worker.accept(replace(ENTRY, id=worker.id, capacity=Resources(1000, 1000)))
            workers.append(worker)
        serving = replace(SERVING, count=48)
        job = Job(JobSpec("d" * 16, "q", "t", "", (serving,), 0))
        step = job.add_occurrence(0).steps[0]
        placed = place_tasks(step, step.tasks, workers)
        self.assertEqual(len(placed), 48)
        used = {worker.id for _, worker in placed}
        self.assertGreaterEqual(24 - len(used), 24 // 4)


if __name__ == "__main__":
    unittest.main()
