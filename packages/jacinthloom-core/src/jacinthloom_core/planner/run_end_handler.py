"""Ends of runs: done, failed or given up, and what each says of its worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .events import EndKind
from .jobs import JobState, TaskState

if TYPE_CHECKING:
    from .events import RunEnd
    from .fleet import Worker
    from .intake import Intake
    from .jobs import Task
    from .state import PlannerState

STREAK_LIMIT = 2
"""Failed runs in a row, of different jobs, after which a worker is in quarantine."""

STILL_S = 2.0
"""Seconds without progress after which a run stands still: twice the longest time
between two lists."""

STILL_SHARE = 0.5
"""The same as a share of the estimate, for long tasks that show progress in steps."""

GAUGED_PERCENT = 20
"""Progress from which a run tells how fast its worker is: less is rounded too much."""

QUARANTINE_S = 4.0
"""Seconds until a worker in quarantine gets work again."""


class RunEndHandler:
    """Counts what has ended, and opens the steps that follow."""

    def __init__(self, books: PlannerState, intake: Intake) -> None:
        self._books = books
        self._intake = intake

    def reduce(self, worker: Worker, row: RunEnd, now: float) -> None:
        """Take over one end that a worker lists."""
        task = worker.task_by_id.get(row.task)
        if task is None or task.run != row.run:
            return
        job = task.step.occurrence.job
        self._books.note(
            "run_ended",
            task=list(row.task),
            run=row.run,
            on=worker.id,
            how=row.kind.value,
        )
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        if row.kind is EndKind.DONE and not task.step.spec.lasting:
            worker.fail_streak = 0
            self._learn_times(task, worker, now)
            self._books.release(task)
            self._complete(task, now)
        elif row.kind is EndKind.FAILED:
            self._count_failure(task, worker, now)
            self._books.requeue(task)
        elif row.kind is EndKind.DONE:
            self._books.requeue(task)  # one that lasts runs until its job is cancelled
        else:
            self._books.requeue(task)
            if row.kind is not EndKind.GANG_BROKEN:
                self._books.abort_gang(task)
        if job.is_over:
            self._books.close_step(task.step)

    def _learn_times(self, task: Task, worker: Worker, now: float) -> None:
        """Learn from a run that worked from its beginning to its end."""
        spec = task.step.spec
        if spec.lasting or not _is_whole(task):
            return
        if spec.gang and task.step.is_done:
            return  # another member has told already
        queue = task.step.occurrence.job.spec.queue
        took_s = now - task.confirmed_at
        self._books.run_times.record(queue, spec.estimate_s, took_s)
        if not spec.gang:
            speeds = self._books.worker_speeds
            speeds.record(worker.id, queue, spec.estimate_s, took_s, now)

    def gauge(self, task: Task, worker: Worker, now: float) -> None:
        """Learn once from the progress of a run how fast its worker is.

        A slow worker's runs end late, and others would be placed there meanwhile.
        """
        spec = task.step.spec
        if task.is_gauged or spec.lasting or spec.gang or not _is_whole(task):
            return
        if task.state is not TaskState.RUNNING or task.percent < GAUGED_PERCENT:
            return
        task.is_gauged = True
        took_s = (now - task.confirmed_at) * 100 / task.percent
        queue = task.step.occurrence.job.spec.queue
        self._books.worker_speeds.record(worker.id, queue, spec.estimate_s, took_s, now)

    def check_progress(self, task: Task, worker: Worker, now: float) -> None:
        """Stop a run that stands still, and leave its worker alone for a while."""
        spec = task.step.spec
        if spec.lasting or task.is_stopping or task.state is not TaskState.RUNNING:
            return
        if spec.gang and any(not t.confirmed_at for t in task.step.tasks if t.worker):
            return
        since = max(task.progress_at, task.confirmed_at)
        # A task that stood still before may just not report its progress.
        patience_s = max(STILL_S, STILL_SHARE * spec.estimate_s) * 2**task.stills
        if now - since < patience_s or task.percent >= 100:
            return
        self._books.note(
            "run_still",
            task=list(task.id),
            run=task.run,
            on=worker.id,
            percent=task.percent,
            still_s=round(now - since, 2),
        )
        if not task.stills:
            worker.quarantined_until = now + QUARANTINE_S
        task.stills += 1
        self._books.stop(task)

    def _complete(self, task: Task, now: float) -> None:
        step = task.step
        members = step.tasks if step.spec.gang else [task]
        for member in members:
            if member.state is not TaskState.DONE:
                member.state = TaskState.DONE
                step.done += 1
        self._books.change(step.occurrence)
        if not step.is_done or step.occurrence.job.is_over:
            return
        self._books.close_step(step)
        if step.occurrence.is_done:
            self._intake.check_finished(step.occurrence.job, now)
        else:
            self._books.open_steps(step.occurrence)

    def _count_failure(self, task: Task, worker: Worker, now: float) -> None:
        if not task.failed_on:
            worker.fail_streak += 1
        task.failed_on.add(worker.id)
        if worker.fail_streak >= STREAK_LIMIT:
            worker.quarantined_until = now + QUARANTINE_S
            self._books.note("worker_quarantined", worker=worker.id)
        step = task.step
        job = step.occurrence.job
        if step.spec.gang:
            if task.run > step.failed_run:
                step.failed_run = task.run
                step.failures += 1
            failures = step.failures
        else:
            task.failures += 1
            failures = task.failures
        queue = self._books.queue_by_name.get(job.spec.queue)
        if step.spec.lasting or queue is None or failures < queue.max_attempts:
            return
        self._books.finish(job, JobState.FAILED, now)
        self._intake.stop_tasks(job)


def _is_whole(task: Task) -> bool:
    """Whether this planner saw the run begin, and it began without saved progress."""
    return bool(task.placed_at and task.confirmed_at and not task.is_resumed)
