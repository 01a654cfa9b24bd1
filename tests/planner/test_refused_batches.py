"""A batch that the store refused is encoded again with what has changed meanwhile."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.jobs import JobState
from jacinthloom_core.planner.specs import StepSpec, TaskId

from .test_takeover import (
    JOB,
    Store,
    answer_poll,
    find_starts,
    make_planner,
    store_batches,
)

PAIR = replace(JOB, steps=(StepSpec(2, Resources(100, 100), 1.0),))


class RefusedBatchesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        answer_poll(self.planner, 0.1)
        emitted = self.planner.handle(events.JobSubmitted(0.2, 1, PAIR))
        store_batches(self.planner, self.store, emitted, 0.3)
        self.worker = self.planner.state.worker_by_id["w1"]

    def poll(self, now: float, *ends: events.RunEnd) -> list[effects.Effect]:
        tasks = set(self.worker.task_by_id) - {end.task for end in ends}
        running = tuple(events.RunProgress(task, 1, "", 50) for task in tasks)
        token = self.worker.token
        return self.planner.handle(
            events.WorkerPolled(now, "w1", now - 0.01, token, 5, 100, running, ends)
        )

    def refuse_batch_with_end(self, end: events.RunEnd) -> None:
        """Leave a batch with the end of one run to be appended again."""
        emitted = self.poll(1.0, end) + self.planner.handle(events.FlushDue(1.1))
        batches = [effect for effect in emitted if isinstance(effect, effects.Store)]
        self.planner.handle(events.BatchRefused(1.2, batches[-1].number))

    def end(self, position: int) -> events.RunEnd:
        task = TaskId(PAIR.id, 0, 0, position)
        return events.RunEnd(position + 1, task, 1, events.EndKind.DONE, "")

    def append_again_and_load(self) -> list[bool]:
        """Store the refused batch alone; return which tasks a new planner knows."""
        emitted = self.planner.handle(events.Tick(1.4, 1_400))
        self.assertTrue(self.store.append_batches(emitted))
        successor = make_planner(2, self.store, 2.0)
        job = successor.state.job_by_id[PAIR.id]
        return [task.run > 0 or task.step.is_done for task in job.tasks()]

    # Guards against a record that is dropped with a batch before the next one stores
    # that its job is over: a planner elected between the two would repeat the job.
    def test_record_is_kept_until_the_end_of_its_job_is_stored(self) -> None:
        self.refuse_batch_with_end(self.end(0))
        self.poll(1.28, self.end(0), self.end(1))
        self.assertEqual(self.append_again_and_load(), [True, True])

    # Guards against the same with a job that is cancelled.
    def test_record_is_kept_until_the_cancellation_is_stored(self) -> None:
        self.refuse_batch_with_end(self.end(0))
        self.planner.handle(events.CancelRequested(1.25, 2, PAIR.id))
        self.poll(1.28, self.end(0), replace(self.end(1), kind=events.EndKind.STOPPED))
        self.assertEqual(self.append_again_and_load(), [True, True])

    # Guards against another start after the last failed attempt: its count was stored
    # with a batch that had been refused, and the end of its job was not.
    def test_job_that_failed_before_a_takeover_is_not_continued(self) -> None:
        emitted = self.poll(0.5, replace(self.end(0), kind=events.EndKind.FAILED))
        emitted += self.planner.handle(events.FlushDue(0.6))
        store_batches(self.planner, self.store, emitted, 0.7)
        first = TaskId(PAIR.id, 0, 0, 0)
        self.assertEqual(self.worker.task_by_id[first].run, 2)
        self.refuse_batch_with_end(replace(self.end(1), kind=events.EndKind.FAILED))
        self.poll(1.25, events.RunEnd(3, first, 2, events.EndKind.FAILED, ""))
        self.assertTrue(
            self.store.append_batches(self.planner.handle(events.Tick(1.4, 1_400)))
        )
        successor = make_planner(2, self.store, 2.0)
        emitted = answer_poll(successor, 2.1)
        emitted += successor.handle(events.FlushDue(2.2))
        emitted = store_batches(successor, self.store, emitted, 2.3)
        self.assertFalse(find_starts(emitted))
        outcome = successor.state.job_by_id[PAIR.id].outcome
        self.assertIs(outcome, JobState.FAILED)


if __name__ == "__main__":
    unittest.main()
