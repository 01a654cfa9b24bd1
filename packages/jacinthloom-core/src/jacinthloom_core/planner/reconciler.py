"""Reconciliation of the planner's state with the runs that workers report.

A worker lists its running and ended runs in response to each poll.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .batches import StoredEnd
from .crashes import LEASE_EXPIRED, REPLACED, RESTARTED, CrashHandler, discount_start
from .effects import PollWorker, StepDown, Stop
from .events import WorkerPolled
from .jobs import TaskState
from .run_end_handler import RunEndHandler

if TYPE_CHECKING:
    from collections.abc import Set

    from .events import (
        RunProgress,
        WorkerListed,
        WorkerPollFailed,
    )
    from .fleet import Worker
    from .intake import Intake
    from .jobs import Task
    from .specs import TaskId
    from .state import PlannerState

POLL_WAIT_S = 1.0
"""Seconds for which a worker waits for a run to end before it answers a poll: a third
of the shortest lease in use."""

ISOLATED_POLL_WAIT_S = 0.2
"""Like ``POLL_WAIT_S``, while other tasks wait to learn if a suspect has settled."""

UNSTORED_POLL_S = 0.1
"""Seconds until the next poll while ends are waiting to be stored: the worker lists
them again at once, so it can't wait for the next end. Doubles with each such poll."""

MAX_UNSTORED_POLL_S = 0.8
"""Maximum seconds until the next poll while the store is unreachable."""

POLL_RETRY_S = 0.3
"""Seconds until a failed poll is repeated."""


class RunReconciler:
    """Determines what runs where from the lists of the workers."""

    def __init__(self, state: PlannerState, intake: Intake) -> None:
        self._state = state
        self._run_end_handler = RunEndHandler(state, intake)
        self._crash_handler = CrashHandler(state)

    def send_polls(self, now: float, checks_all: bool) -> None:
        """Send the polls that are due.

        :param checks_all: whether to check every worker, or only those that the current
            event concerns
        """
        state = self._state
        changed = state.changed_workers
        state.changed_workers = {}
        for worker in (state.worker_by_id if checks_all else changed).values():
            if worker.is_polling or now < worker.poll_due or worker.entry is None:
                continue
            if not worker.is_listed and not worker.task_by_id and worker.failed_polls:
                continue
            if worker.entry.service not in state.services and not worker.task_by_id:
                continue
            self._send_poll(worker, now)

    def _send_poll(self, worker: Worker, now: float) -> None:
        assert worker.entry is not None
        is_fenced = (
            worker.fenced_incarnation == worker.incarnation and worker.incarnation != 0
        )
        is_in_contact = is_fenced and not worker.failed_polls
        renews = is_in_contact and now < self._state.lease_authority_until
        deadline_ms = 0
        if renews:
            lease_s = self._state.settings.lease_s
            deadline_ms = worker.compute_deadline_ms(now, lease_s)
            worker.extend_lease(now, lease_s)
        waits = (
            is_in_contact
            and worker.seen_end == worker.cursor
            and not worker.has_unlisted_ends
        )
        worker.is_polling = True
        is_new = worker.cursor > worker.confirmed_cursor and not worker.failed_polls
        worker.sent_cursor = worker.cursor if is_new else 0
        self._state.effects.append(
            PollWorker(
                worker.id,
                worker.entry.address,
                worker.token,
                worker.incarnation if is_in_contact else 0,
                worker.sent_cursor,
                _choose_wait_s(worker) if waits else 0.0,
                deadline_ms,
            )
        )

    def on_worker_poll_failed(self, event: WorkerPollFailed) -> None:
        """Schedule another poll; if all of them fail, the leases expire."""
        worker = self._state.mark_changed(event.worker)
        worker.is_polling = False
        worker.failed_polls += 1
        self._state.lose_contact(worker, event.now)
        worker.poll_due = event.now + POLL_RETRY_S
        if event.fenced:
            self._state.effects.append(StepDown(f"fenced by {event.worker}"))
        if worker.failed_polls == 1:
            self._state.note("worker_silent", worker=worker.id, life=worker.incarnation)

    def on_worker_polled(self, event: WorkerPolled) -> None:
        """Reconcile the runs placed on the worker with those that it lists."""
        worker = self._state.mark_changed(event.worker)
        worker.is_polling = False
        worker.poll_due = event.now
        worker.clock_ms = event.clock_ms
        worker.clock_at = event.now
        if worker.failed_polls:
            self._state.note("worker_answers", worker=worker.id, life=event.incarnation)
        worker.failed_polls = 0
        worker.is_suspect = False
        if not self._check_incarnation(worker, event):
            return
        worker.answered_at = event.now
        worker.confirmed_cursor = max(worker.confirmed_cursor, worker.sent_cursor)
        if worker.fenced_incarnation != event.incarnation:
            worker.fenced_incarnation = event.incarnation
            self._state.needs_pass = True
        worker.has_unlisted_ends = not event.is_complete
        self._reduce_ends(worker, event)
        self._reconcile_runs(worker, event)

    def _check_incarnation(self, worker: Worker, event: WorkerPolled) -> bool:
        """Return whether the worker's lists reflect the current token.

        A new incarnation is given a new token, which the next poll carries.
        """
        if event.incarnation == worker.incarnation:
            self._on_same_incarnation(worker)
        else:
            is_first = worker.incarnation == 0
            if is_first:
                self._requeue_from_predecessors(worker, event)
            else:
                self._state.lose_contact(worker, event.now)
                self._state.worker_health.record_restart(worker, event.now)
            worker.incarnation = event.incarnation
            self._crash_handler.forget_losses(worker)
            worker.cursor = 0
            worker.confirmed_cursor = 0
            worker.seen_end = 0
            self._state.note("worker_life", worker=worker.id, life=event.incarnation)
            if not is_first:
                # A planner of an earlier build may have sent it an order for the
                # previous one, with a deadline on that one's clock: assume the longest
                # lease.
                longest_s = self._state.settings.longest_lease_s
                worker.extend_lease(event.now, longest_s)
                worker.token += 1
                return False
        return event.token == worker.token

    def _requeue_from_predecessors(self, worker: Worker, event: WorkerPolled) -> None:
        """Requeue the tasks of silent workers whose address another one answers at.

        Two processes can't have the same address, so their leases need not expire.
        """
        assert worker.entry is not None
        address = worker.entry.address
        for other in self._state.worker_by_id.values():
            if other is worker or not other.task_by_id or other.entry is None:
                continue
            is_older = other.entry.incarnation < event.incarnation
            if other.entry.address == address and is_older and other.loss is not None:
                tasks = list(other.task_by_id.values())
                self._requeue_lost_with_worker(other, tasks, REPLACED, event.now)

    def _on_same_incarnation(self, worker: Worker) -> None:
        if worker.loss is not None and worker.loss.incarnation == worker.incarnation:
            self._crash_handler.forget_losses(worker)
            worker.loss = None

    def _reduce_ends(self, worker: Worker, event: WorkerPolled) -> None:
        new_ends = [
            run_end for run_end in event.ends if run_end.number > worker.seen_end
        ]
        for run_end in new_ends:
            self._run_end_handler.handle(worker, run_end, event.now)
            worker.seen_end = run_end.number
        if new_ends:
            end = StoredEnd(worker.id, worker.incarnation, worker.seen_end)
            self._state.batches.pending.ends.append(end)
        if worker.seen_end == worker.cursor:
            worker.unstored_polls = 0
            if worker.has_unlisted_ends and worker.confirmed_cursor == worker.cursor:
                # No new ends follow the acknowledged ones: a row can't be read.
                worker.poll_due = event.now + POLL_RETRY_S
            return
        delay_s = UNSTORED_POLL_S * 2**worker.unstored_polls
        worker.poll_due = event.now + min(MAX_UNSTORED_POLL_S, delay_s)
        worker.unstored_polls += delay_s < MAX_UNSTORED_POLL_S

    def _reconcile_runs(self, worker: Worker, event: WorkerPolled) -> None:
        progress_by_run = {
            (progress.task, progress.run): progress for progress in event.running
        }
        if event.is_complete:
            self._requeue_unlisted(worker, progress_by_run.keys(), event)
        for task in list(worker.task_by_id.values()):
            progress = progress_by_run.pop((task.id, task.run), None)
            if progress is not None:
                self._confirm(task, worker, progress, event.now)
        for progress in progress_by_run.values():
            self._stop_foreign(worker, progress)

    def _requeue_unlisted(
        self, worker: Worker, listed: Set[tuple[TaskId, int]], event: WorkerPolled
    ) -> None:
        """Give up the runs that are missing from complete lists of a worker."""
        unlisted = [
            task
            for task in worker.task_by_id.values()
            if (task.id, task.run) not in listed
        ]
        self._requeue_lost_with_worker(
            worker,
            [task for task in unlisted if task.incarnation != event.incarnation],
            RESTARTED,
            event.now,
        )
        worker.loss = None
        for task in unlisted:
            if task.worker == worker.id:
                self._reconcile_unlisted(task, event)
        for task_id, run in list(worker.foreign_runs):
            if (task_id, run) not in listed:
                worker.release(*worker.foreign_runs.pop((task_id, run)))

    def _confirm(
        self, task: Task, worker: Worker, progress: RunProgress, now: float
    ) -> None:
        if task.state is TaskState.STARTING:
            task.state = TaskState.RUNNING
            task.confirmed_at = now
            task.has_unknown_outcome = False
            self._state.unknown_start_by_id.pop(task.id, None)
        task.step.occurrence.job.has_started = True
        task.incarnation = worker.incarnation
        if progress.checkpoint:
            task.checkpoint = progress.checkpoint
        if progress.percent != task.percent or not task.progress_at:
            task.percent = progress.percent
            task.progress_at = now
        self._run_end_handler.record_speed(task, worker, now)
        self._run_end_handler.check_progress(task, worker, now)
        is_unwanted = task.step.occurrence.job.is_over or task.is_stopping
        if is_unwanted and task.state is not TaskState.DONE:
            self._state.stop(task)

    def _reconcile_unlisted(self, task: Task, event: WorkerPolled) -> None:
        if task.state is TaskState.PLACED:
            return
        if task.state is TaskState.STARTING:
            if event.sent_at > task.barred_at:
                discount_start(task)
                self._requeue_lost(task, "start did not take effect")
        elif event.sent_at > task.confirmed_at:
            self._requeue_lost(task, "no longer listed")

    def _requeue_lost_with_worker(
        self, worker: Worker, tasks: list[Task], reason: str, now: float
    ) -> None:
        """Requeue the tasks that an incarnation of a worker ran when it was lost."""
        lost = [task for task in tasks if task.state is not TaskState.PLACED]
        if not lost:
            return
        self._crash_handler.on_worker_lost(worker, lost, reason, now)
        for task in lost:
            self._requeue_lost(task, reason)

    def _requeue_lost(self, task: Task, reason: str) -> None:
        self._state.note(
            "run_lost",
            task=list(task.id),
            run=task.run,
            on=task.worker,
            life=task.incarnation,
            reason=reason,
            losses=len(task.crashes),
        )
        self._state.requeue(task)
        self._state.abort_gang(task)

    def _stop_foreign(self, worker: Worker, progress: RunProgress) -> None:
        key = (progress.task, progress.run)
        if key not in worker.foreign_runs:
            task = self._find_task(progress.task)
            assert worker.entry is not None
            size = task.step.spec.size if task else worker.entry.capacity
            fills = task is not None and task.step.spec.fills
            worker.foreign_runs[key] = (size, fills)
            worker.reserve(size, fills)
            self._state.note(
                "foreign_run",
                task=list(progress.task),
                run=progress.run,
                on=worker.id,
                life=worker.incarnation,
            )
        assert worker.entry is not None
        self._state.effects.append(
            Stop(
                worker.id,
                worker.entry.address,
                worker.token,
                progress.task,
                progress.run,
            )
        )

    def _find_task(self, task_id: TaskId) -> Task | None:
        job = self._state.job_by_id.get(task_id.job)
        occurrence = job.occurrences.get(task_id.occurrence) if job else None
        if occurrence is None or task_id.step >= len(occurrence.steps):
            return None
        tasks = occurrence.steps[task_id.step].tasks
        return tasks[task_id.position] if task_id.position < len(tasks) else None

    def on_listed(self, event: WorkerListed) -> None:
        """Update a worker's entry; a new incarnation is polled immediately."""
        worker = self._state.get_or_add_worker(event.entry.id)
        self._state.mark_changed(worker.id)
        if worker.entry is None or worker.entry.is_ready != event.entry.is_ready:
            self._state.note(
                "worker_listed", worker=worker.id, ready=event.entry.is_ready
            )
        worker.accept(event.entry)
        if event.entry.incarnation != worker.incarnation:
            worker.poll_due = event.now
        if not worker.is_listed:
            worker.is_listed = True
            worker.poll_due = min(worker.poll_due, event.now)
        self._state.needs_pass = True

    def on_unlisted(self, worker_id: str) -> None:
        """Stop placing tasks on a worker; its leases limit the runs that it has."""
        worker = self._state.worker_by_id.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            self._state.note("worker_unlisted", worker=worker_id)

    def expire_leases(self, now: float) -> None:
        """Requeue the tasks of workers whose leases have certainly expired."""
        for worker in self._state.worker_by_id.values():
            if not worker.task_by_id or now < worker.lease_until:
                continue
            if not worker.is_out_of_contact:
                continue
            tasks = list(worker.task_by_id.values())
            self._requeue_lost_with_worker(worker, tasks, LEASE_EXPIRED, now)


def _choose_wait_s(worker: Worker) -> float:
    return ISOLATED_POLL_WAIT_S if worker.isolation else POLL_WAIT_S
