"""Runs on workers: starts, lists of what runs, ends, and leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .batches import StoredEnd
from .effects import PollWorker, StepDown, Stop
from .events import StartOutcome, WorkerPolled
from .jobs import TaskState
from .run_end_handler import QUARANTINE_S, RunEndHandler

if TYPE_CHECKING:
    from .events import (
        RunProgress,
        StartAnswered,
        StopAnswered,
        WorkerListed,
        WorkerPollFailed,
    )
    from .fleet import Worker
    from .intake import Intake
    from .jobs import Task
    from .specs import TaskId
    from .state import PlannerState

POLL_WAIT_S = 1.0
"""Seconds that a worker waits for an end: a third of the shortest lease in use."""

UNSTORED_POLL_S = 0.8
"""Seconds until the next hold while ends wait for the store."""

POLL_RETRY_S = 0.3
"""Seconds until a hold that failed is repeated."""

START_RETRY_S = 0.05
"""Seconds until a start without an answer is repeated: it is idempotent."""


class RunReconciler:
    """Settles what runs where, from the workers' own lists."""

    def __init__(self, books: PlannerState, intake: Intake) -> None:
        self._books = books
        self._run_end_handler = RunEndHandler(books, intake)

    # Holds

    def send_polls(self, now: float, looks_at_all: bool) -> None:
        """Send the holds that are due.

        :param looks_at_all: whether to look at every worker, or only at those that an
            event has touched
        """
        books = self._books
        touched = books.changed_workers
        books.changed_workers = {}
        for worker in (books.worker_by_id if looks_at_all else touched).values():
            if worker.is_polling or now < worker.poll_due or worker.entry is None:
                continue
            if not worker.is_listed and not worker.task_by_id and worker.failed_polls:
                continue
            self._send_hold(worker, now)

    def _send_hold(self, worker: Worker, now: float) -> None:
        assert worker.entry is not None
        is_fenced = (
            worker.fenced_incarnation == worker.incarnation and worker.incarnation != 0
        )
        renews = is_fenced and not worker.failed_polls
        deadline_ms = 0
        if renews:
            lease_s = self._books.settings.lease_s
            deadline_ms = worker.compute_deadline_ms(now, lease_s)
            worker.extend_lease(now, lease_s)
        waits = renews and worker.seen_end == worker.cursor
        worker.is_polling = True
        # A cursor is sent until it is confirmed, and not after a failure: a new
        # incarnation would take it for one of its own, and forget its ends.
        is_news = worker.cursor > worker.told_cursor and not worker.failed_polls
        worker.sent_cursor = worker.cursor if is_news else 0
        self._books.effects.append(
            PollWorker(
                worker.id,
                worker.entry.address,
                worker.token,
                worker.sent_cursor,
                POLL_WAIT_S if waits else 0.0,
                deadline_ms,
            )
        )

    def on_worker_poll_failed(self, event: WorkerPollFailed) -> None:
        """Try again; without an answer the leases run out."""
        worker = self._books.mark_changed(event.worker)
        worker.is_polling = False
        worker.failed_polls += 1
        worker.poll_due = event.now + POLL_RETRY_S
        if event.fenced:
            self._books.effects.append(StepDown(f"fenced by {event.worker}"))
        if worker.failed_polls == 1:
            self._books.note("worker_silent", worker=worker.id, life=worker.incarnation)

    def on_worker_polled(self, event: WorkerPolled) -> None:
        """Settle every run placed on the worker by what it lists."""
        worker = self._books.mark_changed(event.worker)
        worker.is_polling = False
        worker.poll_due = event.now
        worker.clock_ms = event.clock_ms
        worker.clock_at = event.now
        if worker.failed_polls:
            self._books.note("worker_answers", worker=worker.id, life=event.incarnation)
        worker.failed_polls = 0
        worker.is_suspect = False
        if not self._check_incarnation(worker, event):
            return
        worker.answered_at = event.now
        worker.told_cursor = max(worker.told_cursor, worker.sent_cursor)
        if worker.fenced_incarnation != event.incarnation:
            worker.fenced_incarnation = event.incarnation
            self._books.needs_pass = True
        self._reduce_ends(worker, event)
        self._reduce_lists(worker, event)

    def _check_incarnation(self, worker: Worker, event: WorkerPolled) -> bool:
        """Return whether the lists may be used: the token is known to them."""
        if event.incarnation != worker.incarnation:
            is_first = worker.incarnation == 0
            worker.incarnation = event.incarnation
            worker.cursor = 0
            worker.told_cursor = 0
            worker.seen_end = 0
            self._books.note("worker_life", worker=worker.id, life=event.incarnation)
            if not is_first:
                # An order for the one before may have set a lease by its clock.
                longest_s = self._books.settings.longest_lease_s
                worker.extend_lease(event.now, longest_s)
                worker.token += 1
                return False
        return event.token == worker.token

    def _reduce_ends(self, worker: Worker, event: WorkerPolled) -> None:
        news = [row for row in event.ends if row.number > worker.seen_end]
        for row in news:
            self._run_end_handler.reduce(worker, row, event.now)
            worker.seen_end = row.number
        if news:
            end = StoredEnd(worker.id, worker.incarnation, worker.seen_end)
            self._books.batches.pending.ends.append(end)
        if worker.seen_end != worker.cursor:
            worker.poll_due = event.now + UNSTORED_POLL_S

    def _reduce_lists(self, worker: Worker, event: WorkerPolled) -> None:
        row_by_run = {(row.task, row.run): row for row in event.running}
        for task in list(worker.task_by_id.values()):
            row = row_by_run.pop((task.id, task.run), None)
            if row is not None:
                self._confirm(task, worker, row, event.now)
            else:
                self._settle_absent(task, worker, event)
        for task_id, run in list(worker.foreign):
            if (task_id, run) not in row_by_run:
                worker.release(worker.foreign.pop((task_id, run)))
        for row in row_by_run.values():
            self._stop_foreign(worker, row)

    def _confirm(
        self, task: Task, worker: Worker, row: RunProgress, now: float
    ) -> None:
        if task.state is TaskState.STARTING:
            task.state = TaskState.RUNNING
            task.confirmed_at = now
            task.is_unsure = False
            self._books.unsure.pop(task.id, None)
        task.incarnation = worker.incarnation
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        if row.percent != task.percent or not task.progress_at:
            task.percent = row.percent
            task.progress_at = now
        self._run_end_handler.gauge(task, worker, now)
        self._run_end_handler.check_progress(task, worker, now)
        is_unwanted = task.step.occurrence.job.is_over or task.is_stopping
        if is_unwanted and task.state is not TaskState.DONE:
            self._books.stop(task)

    def _settle_absent(self, task: Task, worker: Worker, event: WorkerPolled) -> None:
        if task.state is TaskState.PLACED:
            return
        if task.incarnation != event.incarnation:
            self._lose(task, "worker restarted")
        elif task.state is TaskState.STARTING:
            if event.sent_at > task.barred_at:
                self._lose(task, "start barred")
        elif event.sent_at > task.confirmed_at:
            self._lose(task, "no longer listed")

    def _lose(self, task: Task, reason: str) -> None:
        self._books.note(
            "run_lost", task=list(task.id), run=task.run, on=task.worker, reason=reason
        )
        self._books.requeue(task)
        self._books.abort_gang(task)

    def _stop_foreign(self, worker: Worker, row: RunProgress) -> None:
        key = (row.task, row.run)
        if key not in worker.foreign:
            task = self._find_task(row.task)
            assert worker.entry is not None
            size = task.step.spec.size if task else worker.entry.capacity
            worker.foreign[key] = size
            worker.reserve(size)
            self._books.note(
                "foreign_run", task=list(row.task), run=row.run, on=worker.id
            )
        assert worker.entry is not None
        self._books.effects.append(
            Stop(worker.id, worker.entry.address, worker.token, row.task, row.run)
        )

    def _find_task(self, task_id: TaskId) -> Task | None:
        job = self._books.job_by_id.get(task_id.job)
        occurrence = job.occurrences.get(task_id.occurrence) if job else None
        if occurrence is None or task_id.step >= len(occurrence.steps):
            return None
        tasks = occurrence.steps[task_id.step].tasks
        return tasks[task_id.position] if task_id.position < len(tasks) else None

    # Orders

    def on_start_answered(self, event: StartAnswered) -> None:
        """Confirm a start, repeat it, or place the task anew."""
        worker = self._books.mark_changed(event.worker)
        task = worker.task_by_id.get(event.task)
        if task is None or task.run != event.run:
            return
        if task.state is not TaskState.STARTING:
            return
        outcome = event.outcome
        if outcome is StartOutcome.STARTED:
            task.state = TaskState.RUNNING
            task.confirmed_at = event.now
            task.progress_at = event.now
            task.is_unsure = False
            self._books.unsure.pop(task.id, None)
            if task.step.occurrence.job.is_over:
                self._books.stop(task)
            return
        self._books.note(
            "start_failed",
            task=list(task.id),
            run=task.run,
            on=worker.id,
            outcome=outcome.value,
        )
        is_silent = outcome is StartOutcome.UNKNOWN and task.is_unsure
        if is_silent or outcome is StartOutcome.NOT_SENT:
            worker.is_suspect = True
        if outcome is StartOutcome.STALE_RUN:
            task.barred_at = event.now
            worker.poll_due = min(worker.poll_due, event.now)
        elif outcome is StartOutcome.UNKNOWN or task.is_unsure:
            self._repeat_or_bar(task, worker, event)
        else:
            self._refused(task, worker, event)

    def _repeat_or_bar(self, task: Task, worker: Worker, event: StartAnswered) -> None:
        task.is_unsure = True
        self._books.unsure[task.id] = task
        task.retry_at = event.now + START_RETRY_S
        if event.outcome is not StartOutcome.UNKNOWN or task.is_stopping:
            self._books.stop(task)

    def _refused(self, task: Task, worker: Worker, event: StartAnswered) -> None:
        if event.outcome is StartOutcome.UNHEALTHY:
            worker.quarantined_until = event.now + QUARANTINE_S / 4
        if event.outcome is StartOutcome.BAD_TICKET:
            advice = self._books.advice_requests.find(task.step.id)
            advice.ticket_by_worker.pop(worker.id, None)
        self._books.requeue(task)
        self._books.abort_gang(task)

    def on_stop_answered(self, event: StopAnswered) -> None:
        """Note that a run can't begin any more; the next list settles it."""
        worker = self._books.mark_changed(event.worker)
        task = worker.task_by_id.get(event.task)
        if task is None or task.run != event.run or not event.is_confirmed:
            return
        if task.state is TaskState.STARTING:
            task.barred_at = min(task.barred_at, event.now)
            self._books.unsure.pop(task.id, None)
        worker.poll_due = min(worker.poll_due, event.now)

    # Workers

    def on_listed(self, event: WorkerListed) -> None:
        """Take an entry over; a new incarnation is held at once."""
        worker = self._books.get_or_add_worker(event.entry.id)
        self._books.mark_changed(worker.id)
        if worker.entry is None or worker.entry.is_ready != event.entry.is_ready:
            self._books.note(
                "worker_listed", worker=worker.id, ready=event.entry.is_ready
            )
        worker.accept(event.entry)
        if event.entry.incarnation != worker.incarnation:
            worker.poll_due = event.now
        if not worker.is_listed:
            worker.is_listed = True
            worker.poll_due = min(worker.poll_due, event.now)
        self._books.needs_pass = True

    def on_unlisted(self, worker_id: str) -> None:
        """Give a worker nothing more; what runs there is settled by its leases."""
        worker = self._books.worker_by_id.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            self._books.note("worker_unlisted", worker=worker_id)

    def expire_leases(self, now: float) -> None:
        """Take back the tasks of workers whose leases have lapsed for certain."""
        for worker in self._books.worker_by_id.values():
            if not worker.task_by_id or now < worker.lease_until:
                continue
            if not worker.is_out_of_contact:
                continue
            for task in list(worker.task_by_id.values()):
                if task.state is not TaskState.PLACED:
                    self._lose(task, "lease lapsed")
