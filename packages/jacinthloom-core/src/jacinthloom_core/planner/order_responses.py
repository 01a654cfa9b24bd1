"""Responses of workers to the orders to start and to stop runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .crashes import discount_start
from .events import StartOutcome
from .jobs import TaskState
from .run_end_handler import QUARANTINE_S

if TYPE_CHECKING:
    from .events import StartAnswered, StopAnswered
    from .fleet import Worker
    from .jobs import Task
    from .state import PlannerState

START_RETRY_S = 0.05
"""Seconds until an unanswered start is repeated, which is safe as it is idempotent."""

UNRECEIVED_OUTCOMES = frozenset({StartOutcome.NOT_SENT, StartOutcome.OTHER_INCARNATION})
"""Outcomes of starts that the intended incarnation of a worker did not receive."""

UNSETTLED_OUTCOMES = frozenset({StartOutcome.UNKNOWN, StartOutcome.ANSWERED_BY_OTHER})
"""Outcomes after which a run may be there; the next list shows it."""


class OrderResponseHandler:
    """Confirms, repeats or places again what was ordered."""

    def __init__(self, state: PlannerState) -> None:
        self._state = state

    def on_start_answered(self, event: StartAnswered) -> None:
        """Confirm a start, repeat it, or place the task again."""
        worker = self._state.mark_changed(event.worker)
        if event.outcome is StartOutcome.ANSWERED_BY_OTHER:
            self._on_answered_by_other(worker, event.now)
        task = worker.task_by_id.get(event.task)
        if task is None or task.run != event.run:
            return
        if task.state is not TaskState.STARTING:
            return
        outcome = event.outcome
        if outcome is StartOutcome.WITHHELD:
            self._on_withheld(task, event.now)
            return
        if outcome is StartOutcome.STARTED:
            task.state = TaskState.RUNNING
            task.step.occurrence.job.has_started = True
            task.confirmed_at = event.now
            task.progress_at = event.now
            task.has_unknown_outcome = False
            self._state.unknown_start_by_id.pop(task.id, None)
            if task.step.occurrence.job.is_over:
                self._state.stop(task)
            return
        self._state.note(
            "start_failed",
            task=list(task.id),
            run=task.run,
            on=worker.id,
            outcome=outcome.value,
        )
        is_silent = outcome is StartOutcome.UNKNOWN and task.has_unknown_outcome
        if is_silent or outcome in UNRECEIVED_OUTCOMES:
            if not worker.is_suspect:
                self._state.worker_health.record_unstarted(worker.id, event.now)
            worker.is_suspect = True
        if outcome is StartOutcome.STALE_RUN:
            task.barred_at = event.now
            worker.poll_due = min(worker.poll_due, event.now)
        elif outcome in UNSETTLED_OUTCOMES or task.has_unknown_outcome:
            self._retry_or_stop(task, worker, event)
        else:
            self._requeue_refused(task, worker, event)

    def _on_answered_by_other(self, worker: Worker, now: float) -> None:
        """Take the contact as lost, and assume the longest lease.

        The path to the worker has joined a connection to its next incarnation, which
        may have cut a deadline by the clock of the former one to its longest lease.
        """
        worker.extend_lease(now, self._state.settings.longest_lease_s)
        self._state.lose_contact(worker, now)
        if not worker.failed_polls:
            self._state.note("worker_silent", worker=worker.id, life=worker.incarnation)
        worker.failed_polls += 1
        worker.poll_due = min(worker.poll_due, now)

    def _on_withheld(self, task: Task, now: float) -> None:
        """Send the start again soon: the planner's renewal may just be slow."""
        self._state.counters["start_withheld"] += 1
        if task.has_unknown_outcome:
            task.retry_at = now + START_RETRY_S
        else:
            self._state.withheld_start_by_id[task.id] = task

    def _retry_or_stop(self, task: Task, worker: Worker, event: StartAnswered) -> None:
        task.has_unknown_outcome = True
        self._state.unknown_start_by_id[task.id] = task
        task.retry_at = event.now + START_RETRY_S
        if event.outcome not in UNSETTLED_OUTCOMES or task.is_stopping:
            self._state.stop(task)

    def _requeue_refused(
        self, task: Task, worker: Worker, event: StartAnswered
    ) -> None:
        if event.outcome is StartOutcome.UNHEALTHY:
            if event.now >= worker.quarantined_until:
                self._state.worker_health.record_unstarted(worker.id, event.now)
            worker.quarantined_until = event.now + QUARANTINE_S / 4
        if event.outcome is StartOutcome.BAD_TICKET:
            advice = self._state.advice_requests.find(task.step.id)
            advice.ticket_by_worker.pop(worker.id, None)
        discount_start(task)
        self._state.requeue(task)
        self._state.abort_gang(task)

    def on_stop_answered(self, event: StopAnswered) -> None:
        """Record that a run can't start any more; the next list shows if it had."""
        worker = self._state.mark_changed(event.worker)
        task = worker.task_by_id.get(event.task)
        if task is None or task.run != event.run or not event.is_confirmed:
            return
        if task.state is TaskState.STARTING:
            task.barred_at = min(task.barred_at, event.now)
            self._state.unknown_start_by_id.pop(task.id, None)
        worker.poll_due = min(worker.poll_due, event.now)
