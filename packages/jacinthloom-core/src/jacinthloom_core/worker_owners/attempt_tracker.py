"""Tracking of attempts by the answers, completions and reports of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.messages import AttemptOver, AttemptStarted
from .owned_workers import LOST_WORKER_S

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..members.message_router import MessageRouter
    from ..model.events import (
        CompletionsRead,
        ExchangeAnswered,
        ExchangeFailed,
        ReportFailed,
        WorkerReported,
    )
    from ..model.reports import Completion, WorkerReport
    from .exchanges import Exchanges
    from .grant_dispatcher import GrantDispatcher
    from .health import Health
    from .owned_workers import OwnedWorkers
    from .workers import Attempt, Worker

COMPLETION_WAIT_S = 2.0
"""Seconds to wait for the completion of an attempt that its worker no longer runs."""

LATE_START_S = 1.0
"""Seconds past ``act_before`` of a start after which its worker is queried."""


class AttemptTracker:
    """Track attempts from their start to their end, or until their leases expire."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        router: MessageRouter,
        health: Health,
        owned_workers: OwnedWorkers,
        exchanges: Exchanges,
        dispatcher: GrantDispatcher,
    ) -> None:
        self._context = context
        self._membership = membership
        self._router = router
        self._health = health
        self._owned_workers = owned_workers
        self._exchanges = exchanges
        self._dispatcher = dispatcher

    def on_tick(self) -> None:
        """Expire leases, check attempts in an unknown state, and renew leases."""
        for worker in list(self._owned_workers.worker_by_name.values()):
            if worker.phase == "unreachable":
                self._expire_leases(worker)
            elif worker.phase == "open":
                self._check_attempts(worker)
            self._dispatcher.flush_worker(worker)

    def on_answered(self, event: ExchangeAnswered) -> None:
        """Handle the answer to an exchange: starts, use and missing attempts."""
        worker = self._owned_workers.worker_by_name.get(event.worker)
        if worker is None or not self._exchanges.on_answered(worker, event):
            return
        for result in event.results:
            attempt = worker.attempt_by_key.get(result.key)
            if attempt is None:
                continue
            if result.accepted:
                self._note_running(worker, attempt)
            else:
                self._context.counters["start_refused"] += 1
                self._dispatcher.abandon(worker, attempt, result.reason)
        for use in event.uses:
            attempt = worker.attempt_by_key.get(use.key)
            if attempt is not None:
                attempt.used = use.used
                self._raise_reservation_to_usage(worker, attempt)
        for key in event.missing:
            missing = worker.attempt_by_key.get(key)
            if missing is not None and not missing.missing_since:
                missing.missing_since = self._context.now
        self._dispatcher.mark_dirty(worker)
        self._dispatcher.schedule()

    def _note_running(self, worker: Worker, attempt: Attempt) -> None:
        if attempt.phase == "starting":
            attempt.phase = "running"
        attempt.started = self._context.now
        self._router.send(
            attempt.coordinator, AttemptStarted(attempt.key, worker.name, True)
        )

    def _raise_reservation_to_usage(self, worker: Worker, attempt: Attempt) -> None:
        """Count an attempt at its measured use if it exceeds what was declared."""
        need = attempt.need.component_max(attempt.used)
        if need == attempt.need:
            return
        self._context.counters["declared_too_small"] += 1
        self._owned_workers.resize_attempt(worker, attempt, need)

    def on_exchange_failed(self, event: ExchangeFailed) -> None:
        """Return starts that were not sent; the outcome of all others is unknown."""
        worker = self._owned_workers.worker_by_name.get(event.worker)
        if worker is None:
            return
        starts = self._exchanges.on_failed(worker, event)
        if event.sent:
            self._owned_workers.mark_unreachable(worker)
            return
        for grant in starts:
            attempt = worker.attempt_by_key.get(grant.key)
            if attempt is not None and attempt.phase == "starting":
                self._dispatcher.abandon(
                    worker, attempt, "its start was not sent in time"
                )
        self._owned_workers.mark_unreachable(worker)

    def on_completions(self, event: CompletionsRead) -> None:
        """Report completions to coordinators, and schedule on the freed capacity."""
        worker = self._owned_workers.worker_by_name.get(event.worker)
        if worker is None or worker.phase == "waiting":
            return
        for completion in event.completions:
            self._handle_completion(worker, completion)
        if event.incarnation == worker.incarnation:
            worker.cursor = max(worker.cursor, event.cursor)
        self._dispatcher.schedule()

    def _handle_completion(self, worker: Worker, completion: Completion) -> None:
        attempt = worker.attempt_by_key.get(completion.key)
        if attempt is not None:
            self._dispatcher.remove_from_accounting(worker, attempt)
        blame = False
        if attempt is None:
            self._context.counters["completion_repeated"] += 1
        elif completion.outcome == "answered":
            self._health.note_success(worker.name)
        elif completion.outcome == "failed":
            job = completion.key.partition("/")[0]
            blame = self._health.note_failure(worker.name, job)
        self._router.send(
            self._membership.coordinator_of(completion.key, completion.home),
            AttemptOver(
                completion.key,
                completion.outcome,
                completion.result,
                completion.ran_s,
                worker.name,
                blame,
            ),
        )

    def on_reported(self, event: WorkerReported) -> None:
        """Compare a worker's report with the attempts counted on it."""
        worker = self._owned_workers.worker_by_name.get(event.worker)
        if worker is None or not self._membership.is_member:
            return
        if worker.phase == "waiting":
            self._owned_workers.on_waiting_reported(worker, event)
            self._dispatcher.index_found_attempts(worker)
        elif worker.phase == "unreachable" and event.asked > worker.unreachable_since:
            self._apply_report(worker, event)

    def _apply_report(self, worker: Worker, event: WorkerReported) -> None:
        report = event.report
        has_restarted = self._owned_workers.adopt_incarnation(
            worker, report.incarnation
        )
        if has_restarted:
            self._context.note("worker_restarted", worker.name)
        worker.capacity = report.capacity
        running = {task.key for task in report.running}
        self._stop_unknown(worker, running)
        for attempt in list(worker.attempt_by_key.values()):
            attempt.missing_since = 0.0
            if attempt.phase == "held":
                continue
            if has_restarted and attempt.key not in running:
                self._resolve_at_restart(worker, attempt)
            else:
                self._resolve_attempt(worker, attempt, report, event.asked)
        self._owned_workers.reopen(worker)
        self._dispatcher.mark_dirty(worker)

    def _stop_unknown(self, worker: Worker, running: set[str]) -> None:
        for key in sorted(running - worker.attempt_by_key.keys()):
            self._context.counters["unknown_task_stopped"] += 1
            worker.stops.add(key)

    def _resolve_attempt(
        self,
        worker: Worker,
        attempt: Attempt,
        report: WorkerReport,
        requested_at: float,
    ) -> None:
        """Resolve the outcome of an attempt after contact was lost."""
        if any(task.key == attempt.key for task in report.running):
            if attempt.phase == "starting" and self._was_sent(worker, attempt):
                self._note_running(worker, attempt)
            elif attempt.phase == "stopping":
                self._dispatcher.queue_stop(worker, attempt)
            return
        if report.cursor > worker.cursor:
            return
        if attempt.phase == "starting":
            if not self._was_sent(worker, attempt):
                return
            requested_at_wall = self._context.wall - (self._context.now - requested_at)
            if requested_at_wall >= attempt.act_before:
                self._dispatcher.abandon(
                    worker, attempt, "its start was lost on the way"
                )
            return
        self._report_lost(worker, attempt, "its worker no longer runs it")

    def _resolve_at_restart(self, worker: Worker, attempt: Attempt) -> None:
        """Give up an attempt that the former incarnation of a worker may have run."""
        if self._was_sent(worker, attempt):
            self._report_lost(worker, attempt, "its worker has restarted")

    def _was_sent(self, worker: Worker, attempt: Attempt) -> bool:
        return all(grant.key != attempt.key for grant in worker.starts)

    def _report_lost(self, worker: Worker, attempt: Attempt, reason: str) -> None:
        self._dispatcher.remove_from_accounting(worker, attempt)
        self._context.note("attempt_lost", attempt.key, reason, attempt.team)
        self._router.send(
            attempt.coordinator,
            AttemptOver(attempt.key, "unknown", reason, 0.0, worker.name, True),
        )

    def on_report_failed(self, event: ReportFailed) -> None:
        """Keep waiting for a worker, or retire it."""
        worker = self._owned_workers.worker_by_name.get(event.worker)
        if worker is not None:
            self._owned_workers.on_report_failed(worker, event)

    def _expire_leases(self, worker: Worker) -> None:
        for attempt in list(worker.attempt_by_key.values()):
            if attempt.phase == "held" or self._dispatcher.withdraw_start(
                worker, attempt.key
            ):
                self._dispatcher.abandon(worker, attempt, "its worker does not answer")
            elif self._context.now > attempt.lease_until:
                self._report_lost(worker, attempt, "its worker does not answer")
        if self._context.now > worker.unreachable_since + LOST_WORKER_S:
            self._owned_workers.retire(worker)

    def _check_attempts(self, worker: Worker) -> None:
        """Request a report if a start has no result or an attempt is missing.

        A missing attempt has usually just ended, and its completion is in transit.
        """
        if worker.exchange or worker.starts:
            return
        for attempt in worker.attempt_by_key.values():
            late = self._context.wall > attempt.act_before + LATE_START_S
            unknown = attempt.phase == "starting" and late
            if attempt.missing_since:
                missing_for = self._context.now - attempt.missing_since
                unknown = unknown or missing_for > COMPLETION_WAIT_S
            if unknown:
                self._owned_workers.mark_unreachable(worker)
                return
