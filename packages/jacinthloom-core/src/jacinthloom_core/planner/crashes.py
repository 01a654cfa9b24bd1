"""Tasks under which workers are lost, and which of them are given up for it.

A task may crash every worker that starts it. A crashed worker lists no ends, so the
failed runs of such a task are known only by the workers that were lost under it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .jobs import Crash, JobState, TaskState

if TYPE_CHECKING:
    from .fleet import Worker, WorkerLoss
    from .jobs import Task
    from .state import PlannerState

LEASE_EXPIRED = "lease expired"
RESTARTED = "worker restarted"
REPLACED = "another worker has its address"

SETTLE_S = 0.3
"""Seconds for which a worker has to outlive the start of a task until another cause is
more likely if it crashes."""

FORGET_CRASHES_S = 10.0
"""Seconds of a run after which the earlier crashes of its task are forgotten: a task
that crashes its workers would have crashed this one."""

SLOW_SUSPECT_CRASHES = 3
"""Crashes after which a task is suspected even if it had settled each time: it may
crash its workers only after a while."""

MAX_CRASHES = 4
"""Certain crashes after which a task is given up, although they have other likely
causes."""

MAX_OPEN_LOSS_S = 20.0
"""Seconds until a worker that was lost and does not answer is taken for crashed, if
its task has no other starts left."""

MIN_AGE_RATIO = 2.0
"""Ratio of the ages of two runs from which the loss of a worker under the shorter one
can't have the cause that the longer one has survived."""

MAX_MORE_STARTS = 2
"""Starts that a task is allowed after ``SLOW_SUSPECT_CRASHES`` crashes."""

MIN_BLAMED_CRASHES = 2
"""Certain crashes, and crashes right after its start, for which an isolated task is
given up."""

SIMULTANEOUS_S = 0.1
"""Maximum seconds between losses of workers that count as simultaneous."""

NOTICE_S = 1.6
"""Seconds within which contact is lost with all workers that crash at the same time:
until a long poll times out."""

MIN_SIMULTANEOUS_LOSSES = 4
"""Simultaneous losses of workers from which a common cause is assumed."""


def list_unexplained(task: Task) -> list[Crash]:
    """Return the crashes that a task may have caused.

    It did not if other workers were lost at the same time, and a run of the task has
    survived the age at which it would have crashed this worker.
    """
    outlived_s = task.outlived_s
    return [
        crash
        for crash in task.crashes
        if not crash.is_common
        or outlived_s < min(FORGET_CRASHES_S, MIN_AGE_RATIO * crash.max_age_s)
    ]


def is_suspect(task: Task) -> bool:
    """Whether a task may have crashed a worker."""
    crashes = list_unexplained(task)
    return len(crashes) >= SLOW_SUSPECT_CRASHES or any(c.is_fresh for c in crashes)


def compute_settle_s(task: Task) -> float:
    """Return for how many seconds a worker has to outlive the start of a task."""
    is_slow_suspect = len(list_unexplained(task)) >= MIN_BLAMED_CRASHES
    return FORGET_CRASHES_S if is_slow_suspect else SETTLE_S


def has_settled(task: Task, answered_at: float, settle_s: float | None = None) -> bool:
    """Whether a worker outlived the start of a task.

    :param answered_at: time of the worker's last response to a poll
    :param settle_s: seconds that it has to outlive it, if not those of the task itself
    """
    if not task.confirmed_at:
        return False
    if settle_s is None:
        settle_s = compute_settle_s(task)
    return answered_at - task.confirmed_at >= settle_s


def has_used_up_starts(task: Task) -> bool:
    """Whether a task may not start again after the workers that were lost under it.

    Starts count that ended otherwise, as in a gang with another suspect, but for those
    that did not take effect, or whose worker ran on.
    """
    crashes = list_unexplained(task)
    if len(crashes) < SLOW_SUSPECT_CRASHES:
        return False
    return task.run - crashes[SLOW_SUSPECT_CRASHES - 1].run >= MAX_MORE_STARTS


def discount_start(task: Task) -> None:
    """Do not count the latest start of a task: it crashed no worker."""
    task.crashes = [replace(crash, run=crash.run + 1) for crash in task.crashes]


def has_open_loss(task: Task, now: float) -> bool:
    """Whether a worker that was lost under a task may still turn out to run on."""
    is_recent = now - task.lost_at < MAX_OPEN_LOSS_S
    return is_recent and not all(crash.is_certain for crash in list_unexplained(task))


def give_up(state: PlannerState, task: Task, now: float) -> None:
    """Fail the job of a task that crashes the workers that start it."""
    job = task.step.occurrence.job
    if job.is_over:
        return
    state.note(
        "task_given_up",
        task=list(task.id),
        crashed=[crash.worker for crash in task.crashes],
    )
    state.finish(job, JobState.FAILED, now)


def _has_common_cause(state: PlannerState, loss: WorkerLoss) -> bool:
    """Whether other workers, or most of the rack or zone, were lost at the time."""
    losses = state.recent_losses
    simultaneous = [
        other
        for other in losses
        if abs(other.noticed_at - loss.noticed_at) <= SIMULTANEOUS_S
    ]
    if len(simultaneous) >= MIN_SIMULTANEOUS_LOSSES:
        return True
    overlapping = [other for other in losses if other.overlaps(loss)]
    entries = [
        worker.entry
        for worker in state.worker_by_id.values()
        if worker.entry and (worker.is_listed or worker.loss is not None)
    ]
    lost_in_rack = sum(other.rack == loss.rack for other in overlapping)
    in_rack = sum(entry.rack == loss.rack for entry in entries)
    if loss.rack and lost_in_rack > 1 and 2 * lost_in_rack >= in_rack:
        return True
    lost_in_zone = sum(other.zone == loss.zone for other in overlapping)
    in_zone = sum(entry.zone == loss.zone for entry in entries)
    return lost_in_zone >= MIN_SIMULTANEOUS_LOSSES and 2 * lost_in_zone >= in_zone


def is_blamed(state: PlannerState, task: Task, now: float) -> bool | None:
    """Whether a task is given up for the latest crash under it.

    :returns: None while it is not known if other workers were lost at the same time
    """
    if not task.is_blamed or not task.crashes:
        return False
    if task.loss is not None and now - task.loss.noticed_at < NOTICE_S:
        return None
    if task.loss is not None and _has_common_cause(state, task.loss):
        task.crashes[-1] = replace(task.crashes[-1], is_common=True)
    task.is_blamed = not task.crashes[-1].is_common
    return task.is_blamed


class CrashHandler:
    """Gives up tasks that crash the workers that start them."""

    def __init__(self, state: PlannerState) -> None:
        self._state = state

    def on_worker_lost(
        self, worker: Worker, lost: list[Task], reason: str, now: float
    ) -> None:
        """Record the loss of a worker, and give up the tasks that caused it.

        :param lost: tasks that it ran, which the caller requeues
        :param reason: ``LEASE_EXPIRED``, ``RESTARTED`` or ``REPLACED``
        """
        loss = worker.loss
        is_common = loss is not None and _has_common_cause(self._state, loss)
        is_leaving = worker.entry is not None and not worker.entry.is_ready
        affected = []
        if not is_leaving:
            affected = [task for task in lost if task.state is not TaskState.DONE]
        for task in affected:
            _record_crash(task, worker, reason != LEASE_EXPIRED, is_common)
            task.lost_at = now
            task.loss = loss
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
            common=is_common,
        )
        for task in affected:
            task.is_blamed = _is_to_blame(task, affected)
            if is_blamed(self._state, task, now):
                give_up(self._state, task, now)

    def forget_losses(self, worker: Worker) -> None:
        """Forget the losses of a worker in the life in which it answers.

        It did not crash. An earlier planner may have recorded them.
        """
        returned = (worker.id, worker.incarnation)
        self._state.recent_losses = [
            loss
            for loss in self._state.recent_losses
            if (loss.worker, loss.incarnation) != returned
        ]
        crashed = self._state.crashed_task_by_id
        for task in list(crashed.values()):
            crashes = [
                crash
                for crash in task.crashes
                if (crash.worker, crash.incarnation) != returned
            ]
            if len(crashes) == len(task.crashes):
                continue
            task.crashes = crashes
            task.loss = None
            task.is_blamed = False
            discount_start(task)
            self._state.store_occurrence(task.step.occurrence)
            if not task.crashes:
                del crashed[task.id]
        self._state.needs_pass = True


def _is_to_blame(task: Task, affected: list[Task]) -> bool:
    """Whether a task is given up for the latest crash under it.

    :param affected: all tasks that were lost with the worker
    """
    latest = task.crashes[-1]
    if not latest.is_certain:
        return False
    certain = [crash for crash in list_unexplained(task) if crash.is_certain]
    if len(certain) >= MAX_CRASHES:
        return True
    if latest.is_common or not latest.is_fresh or not task.is_isolated:
        return False
    fresh = sum(crash.is_fresh for crash in certain)
    return fresh >= MIN_BLAMED_CRASHES and all(
        len(other.crashes) < len(task.crashes)
        for other in affected
        if other.id.job != task.id.job
    )


def _record_crash(
    task: Task, worker: Worker, is_certain: bool, is_common: bool
) -> None:
    loss = worker.loss
    answered_at = loss.answered_at if loss else float("-inf")
    has_run = bool(task.confirmed_at)  # an unanswered start may not have taken effect
    if has_run:
        task.outlived_s = max(task.outlived_s, answered_at - task.confirmed_at)
        if answered_at - task.confirmed_at >= FORGET_CRASHES_S:
            task.crashes = []
    is_fresh = not has_settled(task, answered_at)
    max_age_s = float("inf")
    if loss is not None and task.placed_at:
        max_age_s = loss.noticed_at - task.placed_at
    crash = Crash(
        worker.id,
        task.incarnation,
        task.run,
        is_fresh,
        is_certain and has_run,
        is_common,
        max_age_s,
    )
    task.crashes.append(crash)
