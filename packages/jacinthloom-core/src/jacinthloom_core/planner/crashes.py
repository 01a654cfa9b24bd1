"""Record of the workers that were lost while they ran a task."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .jobs import Crash, TaskState

if TYPE_CHECKING:
    from .fleet import Worker
    from .jobs import Task
    from .state import PlannerState

SETTLE_S = 0.3
"""Seconds for which a worker has to outlive the start of a task until another cause is
more likely if it crashes."""


def has_settled(task: Task, answered_at: float) -> bool:
    """Whether a worker outlived the start of a task.

    :param answered_at: time of the worker's last response to a poll
    """
    return bool(task.confirmed_at) and answered_at - task.confirmed_at >= SETTLE_S


class CrashRecorder:
    """Records which tasks ran on a worker when it was lost."""

    def __init__(self, state: PlannerState) -> None:
        self._state = state

    def record(self, worker: Worker, lost: list[Task], reason: str, now: float) -> None:
        """Record the loss of a worker with the tasks that it ran.

        A worker that was leaving has not crashed.
        """
        loss = worker.loss
        answered_at = loss.answered_at if loss else float("-inf")
        is_leaving = worker.entry is not None and not worker.entry.is_ready
        unsettled = 0
        for task in lost:
            if is_leaving or task.state is TaskState.DONE:
                continue
            is_fresh = not has_settled(task, answered_at)
            unsettled += is_fresh
            task.crashes.append(Crash(worker.id, task.incarnation, is_fresh))
        self._state.note(
            "worker_lost",
            worker=worker.id,
            life=lost[0].incarnation,
            reason=reason,
            runs=len(lost),
            unsettled_runs=unsettled,
            silent_s=round(now - loss.noticed_at, 2) if loss else None,
            leaving=is_leaving,
        )
