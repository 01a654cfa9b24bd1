"""No record outgrows what the store takes, whatever callers and workers send."""

from __future__ import annotations

import unittest
from dataclasses import replace

import msgpack
from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.jobs import Crash, Job, TaskState
from jacinthloom_core.planner.records import (
    MAX_VALUE_BYTES,
    encode_job,
    encode_occurrence,
    load_jobs,
)
from jacinthloom_core.planner.specs import MAX_TASKS, JobSpecError, StepSpec, check_job

from .test_takeover import JOB, Store, make_planner

RECORD_BYTES = 262_144
"""Limit of the store."""

WIDE = replace(JOB, steps=(StepSpec(MAX_TASKS, Resources(100, 100), 5.0),))


class RecordSizesTest(unittest.TestCase):
    def make_job(self, checkpoint: str, crashes: int) -> Job:
        """Return a job of the largest width, all of whose tasks are placed."""
        job = Job(WIDE)
        for task in job.add_occurrence(0).steps[0].tasks:
            task.state = TaskState.RUNNING
            task.run = 70_000
            task.worker = f"i-{task.id.position:030}"
            task.incarnation = 1_700_000_000_000
            task.checkpoint = checkpoint
            crash = Crash(task.worker, task.incarnation, task.run, True, True)
            task.crashes = [crash] * crashes
        return job

    # Guards against a record that the store refuses: the batch is appended again for
    # good, and nothing else is stored any more.
    def test_record_of_the_widest_job_fits_into_the_store(self) -> None:
        for checkpoint, crashes in (("", 0), ("c" * 16, 1), ("c" * 500, 4)):
            job = self.make_job(checkpoint, crashes)
            record = encode_occurrence(job.occurrences[0])
            self.assertLess(len(record.key) + 1 + len(record.value), RECORD_BYTES)
            records = {record.key: record.value, WIDE.id: encode_job(job).value}
            jobs, unreadable = load_jobs(records, 0.0)
            self.assertEqual(unreadable, 0)
            tasks = list(jobs[WIDE.id].tasks())
            self.assertEqual({task.run for task in tasks}, {70_000})

    def test_checkpoints_and_crashes_are_kept_where_they_fit(self) -> None:
        job = self.make_job("", 0)
        first = next(job.tasks())
        first.checkpoint = "c" * 16
        first.crashes = [Crash("w", 1, 1, True, True)]
        record = encode_occurrence(job.occurrences[0])
        records = {record.key: record.value, WIDE.id: encode_job(job).value}
        loaded = next(load_jobs(records, 0.0)[0][WIDE.id].tasks())
        self.assertEqual(loaded.checkpoint, first.checkpoint)
        self.assertEqual(loaded.crashes, first.crashes)

    # Guards against a record that a planner of an earlier build can't read: it decodes
    # five fields of a crash, and would drop the tasks of the job.
    def test_causes_of_crashes_are_stored_beside_what_earlier_builds_read(self) -> None:
        job = self.make_job("", 0)
        first = next(job.tasks())
        first.crashes = [Crash("w", 1, 1, True, True, True, 1.5)]
        first.outlived_s = 9.0
        record = encode_occurrence(job.occurrences[0])
        records = {record.key: record.value, WIDE.id: encode_job(job).value}
        loaded = next(load_jobs(records, 0.0)[0][WIDE.id].tasks())
        self.assertEqual(loaded.crashes, first.crashes)
        self.assertEqual(loaded.outlived_s, 9.0)
        fields = msgpack.unpackb(record.value)
        self.assertEqual(fields[3], [[0, 0, [["w", 1, 1, True, True]]]])
        records[record.key] = msgpack.packb(fields[:4])
        loaded = next(load_jobs(records, 0.0)[0][WIDE.id].tasks())
        self.assertEqual(loaded.crashes, [Crash("w", 1, 1, True, True)])

    def test_wider_job_is_refused(self) -> None:
        step = replace(WIDE.steps[0], count=MAX_TASKS + 1)
        with self.assertRaises(JobSpecError):
            check_job(replace(WIDE, steps=(step,)))

    def test_job_whose_own_record_is_too_large_is_refused(self) -> None:
        planner = make_planner(1, Store(), 0.0)
        step = replace(JOB.steps[0], label="l" * MAX_VALUE_BYTES)
        job = replace(JOB, steps=(step,))
        emitted = planner.handle(events.JobSubmitted(0.2, 7, job))
        replies = [e for e in emitted if isinstance(e, effects.Reply)]
        self.assertEqual([(r.call, r.status) for r in replies], [(7, 400)])
        self.assertIsNone(planner.find_job_state(job.id))


if __name__ == "__main__":
    unittest.main()
