"""Tasks under which workers are lost, and which of them are given up for it.

A task may crash every worker that starts it. A crashed worker lists no ends, so the
failed runs of such a task are known only by the workers that were lost under it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .jobs import Crash, JobState, TaskState

if TYPE_CHECKING:
    from .fleet import Worker
    from .intake import Intake
    from .jobs import Task
    from .state import PlannerState

SETTLE_S = 0.3
"""Seconds for which a worker has to outlive the start of a task until another cause is
more likely if it crashes."""

FORGET_CRASHES_S = 10.0
"""Seconds of a run after which the earlier crashes of its task are forgotten: a task
that crashes its workers would have crashed this one."""

MAX_CRASHES = 4
"""Crashes after which a task is given up, whatever else may explain them."""


def has_settled(task: Task, answered_at: float) -> bool:
    """Whether a worker outlived the start of a task.

    :param answered_at: time of the worker's last response to a poll
    """
    return bool(task.confirmed_at) and answered_at - task.confirmed_at >= SETTLE_S


class CrashHandler:
    """Gives up tasks that crash the workers that start them."""

    def __init__(self, state: PlannerState, intake: Intake) -> None:
        self._state = state
        self._intake = intake

    def on_worker_lost(
        self, worker: Worker, lost: list[Task], reason: str, now: float
    ) -> None:
        """Record the loss of a worker, and give up the tasks that caused it.

        :param lost: tasks that it ran, which the caller requeues
        """
        loss = worker.loss
        answered_at = loss.answered_at if loss else float("-inf")
        is_leaving = worker.entry is not None and not worker.entry.is_ready
        affected = []
        if not is_leaving:
            affected = [task for task in lost if task.state is not TaskState.DONE]
        for task in affected:
            _record_crash(task, worker, answered_at)
            self._state.crashed_task_by_id[task.id] = task
        self._state.note(
            "worker_lost",
            worker=worker.id,
            life=lost[0].incarnation,
            reason=reason,
            runs=len(lost),
            unsettled_runs=sum(task.crashes[-1].is_fresh for task in affected),
            silent_s=round(now - loss.noticed_at, 2) if loss else None,
            leaving=is_leaving,
        )
        for task in affected:
            if len(task.crashes) >= MAX_CRASHES:
                self._give_up(task, now)

    def _give_up(self, task: Task, now: float) -> None:
        job = task.step.occurrence.job
        if job.is_over:
            return
        self._state.note(
            "task_given_up",
            task=list(task.id),
            crashed=[crash.worker for crash in task.crashes],
        )
        self._state.finish(job, JobState.FAILED, now)
        self._intake.stop_tasks(job)

    def on_worker_returned(self, worker: Worker) -> None:
        """Forget the loss of a worker that answers again: it did not crash."""
        returned = (worker.id, worker.incarnation)
        crashed = self._state.crashed_task_by_id
        for task in list(crashed.values()):
            task.crashes = [
                crash
                for crash in task.crashes
                if (crash.worker, crash.incarnation) != returned
            ]
            if not task.crashes:
                del crashed[task.id]


def _record_crash(task: Task, worker: Worker, answered_at: float) -> None:
    if task.confirmed_at and answered_at - task.confirmed_at >= FORGET_CRASHES_S:
        task.crashes = []
    is_fresh = not has_settled(task, answered_at)
    task.crashes.append(Crash(worker.id, task.incarnation, is_fresh))
