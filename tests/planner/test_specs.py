"""Jobs that can't be read as a plan."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner.specs import (
    MAX_PAYLOAD_BYTES,
    MAX_TASKS,
    JobSpec,
    JobSpecError,
    StepSpec,
    check_job,
)

STEP = StepSpec(2, Resources(100, 100), 1.0)
JOB = JobSpec("d" * 16, "q", "t", "text", (STEP, replace(STEP, after=(0,))), 0)


class SpecsTest(unittest.TestCase):
    def test_sound_job_is_accepted(self) -> None:
        check_job(JOB)

    def test_each_fault_is_named(self) -> None:
        for job, reason in (
            (replace(JOB, steps=()), "at least one step"),
            (replace(JOB, payload="x" * (MAX_PAYLOAD_BYTES + 1)), "payload"),
            (replace(JOB, steps=(replace(STEP, count=MAX_TASKS + 1),)), "at most"),
            (replace(JOB, steps=(replace(STEP, count=0),)), "no tasks"),
            (replace(JOB, steps=(replace(STEP, after=(0,)),)), "isn't earlier"),
            (replace(JOB, steps=(STEP, replace(STEP, after=(7,)))), "isn't earlier"),
            (replace(JOB, steps=(replace(STEP, size=Resources(-1)),)), "amount"),
            (replace(JOB, steps=(replace(STEP, size=Resources(1 << 60)),)), "amount"),
            (replace(JOB, occurrences=-1), "negative"),
            (replace(JOB, steps=(replace(STEP, estimate_s=-1.0),)), "negative"),
        ):
            with self.assertRaisesRegex(JobSpecError, reason):
                check_job(job)


if __name__ == "__main__":
    unittest.main()
