"""Handling of the ends of runs, and of what runs reveal about their workers."""

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

QUARANTINE_AFTER_FAILURES = 2
"""Consecutive failed runs of different tasks after which a worker is quarantined."""

STALL_TIMEOUT_S = 2.0
"""Seconds without progress after which a run counts as stalled: twice the longest time
between two lists from a worker."""

STALL_TIMEOUT_SHARE = 0.5
"""The stall timeout as a share of the declared run time, for long tasks whose progress
rises in steps."""

MIN_SPEED_PERCENT = 20
"""Minimum progress of a run, in percent, from which it measures the speed of its
worker; smaller values are rounded too much."""

QUARANTINE_S = 4.0
"""Seconds for which a worker stays in quarantine."""


class RunEndHandler:
    """Updates tasks, steps and jobs when runs end, and the health of workers."""

    def __init__(self, state: PlannerState, intake: Intake) -> None:
        self._state = state
        self._intake = intake

    def handle(self, worker: Worker, run_end: RunEnd, now: float) -> None:
        """Process the end of a run that a worker lists."""
        task = worker.task_by_id.get(run_end.task)
        counts = task is not None and task.run == run_end.run
        self._state.note(
            "run_ended" if counts else "end_unused",
            task=list(run_end.task),
            run=run_end.run,
            on=worker.id,
            life=worker.incarnation,
            how=run_end.kind.value,
        )
        if task is None or not counts:
            return
        job = task.step.occurrence.job
        job.has_started = True
        if run_end.checkpoint:
            task.checkpoint = run_end.checkpoint
        if run_end.kind is EndKind.DONE and not task.step.spec.lasting:
            worker.consecutive_failures = 0
            self._state.worker_health.record_done(worker.id, task.confirmed_at, now)
            self._record_run_time(task, worker, now)
            self._state.release(task)
            self._complete(task, now)
        elif run_end.kind is EndKind.FAILED:
            self._count_failure(task, worker, now)
            self._state.requeue(task)
        elif run_end.kind is EndKind.DONE:
            self._state.requeue(task)  # a lasting task runs until its job is cancelled
        else:
            self._state.requeue(task)
            if run_end.kind is not EndKind.GANG_BROKEN:
                self._state.abort_gang(task)
        if job.is_over:
            self._state.close_step(task.step)

    def _record_run_time(self, task: Task, worker: Worker, now: float) -> None:
        """Record the run time of a run that was observed from start to end."""
        spec = task.step.spec
        if spec.lasting or not _is_fully_observed(task):
            return
        if spec.gang and task.step.is_done:
            return  # the run time was recorded for another member of the gang
        queue = task.step.occurrence.job.spec.queue
        took_s = now - task.confirmed_at
        self._state.run_times.record(queue, spec.estimate_s, took_s)
        if not spec.gang:
            if spec.estimate_s > 0:
                ratio = took_s / spec.estimate_s
                task.step.ratio_by_run.append((worker.id, ratio))
            speeds = self._state.worker_speeds
            speeds.record(worker.id, queue, spec.estimate_s, took_s, now)

    def record_speed(self, task: Task, worker: Worker, now: float) -> None:
        """Measure the speed of a worker once by the progress of a run.

        Runs on a slow worker end late, and more tasks would be placed there meanwhile.
        """
        spec = task.step.spec
        if (
            task.is_speed_recorded
            or spec.lasting
            or spec.gang
            or not _is_fully_observed(task)
        ):
            return
        if task.state is not TaskState.RUNNING or task.percent < MIN_SPEED_PERCENT:
            return
        task.is_speed_recorded = True
        took_s = (now - task.confirmed_at) * 100 / task.percent
        queue = task.step.occurrence.job.spec.queue
        self._state.worker_speeds.record(worker.id, queue, spec.estimate_s, took_s, now)

    def check_progress(self, task: Task, worker: Worker, now: float) -> None:
        """Stop a stalled run, and quarantine its worker on the task's first stall."""
        spec = task.step.spec
        if spec.lasting or task.is_stopping or task.state is not TaskState.RUNNING:
            return
        if spec.gang and any(not t.confirmed_at for t in task.step.tasks if t.worker):
            return
        since = max(task.progress_at, task.confirmed_at)
        # The timeout doubles with each stall: the task may just not report progress.
        timeout_s = (
            max(STALL_TIMEOUT_S, STALL_TIMEOUT_SHARE * spec.estimate_s)
            * 2**task.stall_count
        )
        if now - since < timeout_s or task.percent >= 100:
            return
        self._state.note(
            "run_still",
            task=list(task.id),
            run=task.run,
            on=worker.id,
            percent=task.percent,
            still_s=round(now - since, 2),
        )
        if not task.stall_count:
            worker.quarantined_until = now + QUARANTINE_S
        task.stall_count += 1
        self._state.stop(task)

    def _complete(self, task: Task, now: float) -> None:
        step = task.step
        members = step.tasks if step.spec.gang else [task]
        for member in members:
            if member.state is not TaskState.DONE:
                member.state = TaskState.DONE
                step.done += 1
        self._state.store_occurrence(step.occurrence)
        if step.is_done:
            self._state.worker_health.record_step(step)
        if not step.is_done or step.occurrence.job.is_over:
            return
        self._state.close_step(step)
        if step.occurrence.is_done:
            self._intake.check_finished(step.occurrence.job, now)
        else:
            self._state.open_followers(step)

    def _count_failure(self, task: Task, worker: Worker, now: float) -> None:
        if not task.failed_on:
            worker.consecutive_failures += 1
            self._state.worker_health.record_failed(worker.id, now)
        task.failed_on.add(worker.id)
        if worker.consecutive_failures >= QUARANTINE_AFTER_FAILURES:
            worker.quarantined_until = now + QUARANTINE_S
            self._state.note("worker_quarantined", worker=worker.id)
        step = task.step
        if not step.spec.gang:
            task.failures += 1
        elif task.run > step.failed_run:
            step.failed_run = task.run
            step.failures += 1
        if self._state.has_used_up_attempts(task):
            job = step.occurrence.job
            self._state.finish(job, JobState.FAILED, now)
            self._intake.stop_tasks(job)


def _is_fully_observed(task: Task) -> bool:
    """Whether this planner started the run, and not from a checkpoint."""
    return bool(task.placed_at and task.confirmed_at and not task.is_resumed)
