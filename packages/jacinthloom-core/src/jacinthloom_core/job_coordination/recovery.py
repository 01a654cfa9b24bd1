"""Recovery of the running attempts of a coordinator's jobs after a view change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.messages import HoldingsAsked, HoldingsTold
from ..model.work import ATTEMPTS_PER_VIEW, attempt_key, parse_attempt_key
from .job_execution import UNKNOWN_OWNER, AttemptRef, PlacedAttempt

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..members.message_router import MessageRouter
    from ..model.records import WorkerReconciled
    from ..worker_owners.grant_dispatcher import GrantDispatcher
    from .grant_issuer import GrantIssuer
    from .job_execution import JobExecution

COMPLETION_GRACE_S = 3.0
"""Seconds for a completion to arrive after a worker was taken over."""


class Recovery:
    """Collects held attempts from every member and from the records of takeovers.

    Until every member has responded and every worker is reconciled, an unknown attempt
    may still be reported. Until then a job that is new to this coordinator waits. After
    that, an attempt that no member holds counts as lost after a grace period.
    """

    def __init__(
        self,
        context: Context,
        membership: Membership,
        router: MessageRouter,
        dispatcher: GrantDispatcher,
        grant_issuer: GrantIssuer,
    ) -> None:
        self._context = context
        self._membership = membership
        self._router = router
        self._dispatcher = dispatcher
        self._grant_issuer = grant_issuer
        self._awaited: set[str] = set()
        self._early_request_by_coordinator: dict[str, HoldingsAsked] = {}

    def begin_view(self) -> None:
        """Query all members under the current view, and answer early queries."""
        self._request_holdings()
        early_requests = self._early_request_by_coordinator
        self._early_request_by_coordinator = {}
        for requester, message in early_requests.items():
            self.on_holdings_asked(requester, message)
        self._settle()

    def list_lost_attempts(self) -> list[AttemptRef]:
        """Return the attempts that now count as lost."""
        now = self._context.now
        return [
            AttemptRef(execution, index, attempt)
            for execution in self._grant_issuer.job_by_id.values()
            for index, attempt in execution.attempt_by_index.items()
            if attempt.presumed_lost_at <= now
        ]

    def _request_holdings(self) -> None:
        view = self._membership.view
        self._awaited = set()
        if self._membership.is_member:
            self._awaited = set(view.members_by_id)
            for member in view.members_by_id:
                self._router.send(member, HoldingsAsked(view.number))

    def on_holdings_asked(self, requester: str, message: HoldingsAsked) -> None:
        """Send a coordinator its attempts held here, once both have the same view."""
        if message.view > self._membership.view.number:
            self._early_request_by_coordinator[requester] = message
            return
        if message.view != self._membership.view.number:
            return
        held = self._dispatcher.list_attempts_of_coordinator(requester)
        keys = tuple(attempt.key for attempt in held)
        workers = tuple(attempt.worker for attempt in held)
        self._router.send(requester, HoldingsTold(message.view, keys, workers))

    def on_holdings_told(self, owner: str, message: HoldingsTold) -> None:
        """Record the attempts that an owner holds."""
        if message.view != self._membership.view.number:
            return
        self._awaited.discard(owner)
        for key, worker in zip(message.keys, message.workers, strict=True):
            self._record_held(owner, key, worker)
        self._record_not_held(owner, set(message.keys))
        self._settle()

    def _record_not_held(self, owner: str, held: set[str]) -> None:
        """Record which attempts granted under earlier views an owner no longer holds.

        Attempts that the log reported under this view are skipped, because the owner
        may have responded before it took over their worker.
        """
        number = self._membership.view.number
        for execution in self._grant_issuer.job_by_id.values():
            for index, attempt in execution.attempt_by_index.items():
                granted_view = attempt.number // ATTEMPTS_PER_VIEW
                is_confirmed = max(attempt.confirmed_view, granted_view) >= number
                if attempt.owner != owner or is_confirmed:
                    continue
                if attempt_key(execution.spec.job, index, attempt.number) not in held:
                    if attempt.phase == "granted":
                        self._grant_issuer.close_grant(execution, attempt)
                        attempt.phase = "running"
                    attempt.owner = UNKNOWN_OWNER

    def _record_held(self, owner: str, key: str, worker: str) -> None:
        job, index, number = parse_attempt_key(key)
        execution = self._grant_issuer.job_by_id.get(job)
        if execution is None:
            return
        attempt = execution.attempt_by_index.get(index)
        if attempt is not None and attempt.number >= number:
            if attempt.number == number and worker:
                self._update_attempt(execution, attempt, owner, worker)
            return
        if index in execution.job.ended or not execution.is_recovering:
            return
        attempt = PlacedAttempt(owner, number, "running", worker)
        attempt.confirmed_view = self._membership.view.number
        execution.attempt_by_index[index] = attempt

    def _update_attempt(
        self, execution: JobExecution, attempt: PlacedAttempt, owner: str, worker: str
    ) -> None:
        if attempt.phase == "granted":
            self._grant_issuer.close_grant(execution, attempt)
        attempt.owner = owner
        attempt.phase = "running"
        attempt.worker = worker
        attempt.presumed_lost_at = float("inf")
        attempt.confirmed_view = self._membership.view.number

    def on_worker_reconciled(self, record: WorkerReconciled) -> None:
        """Record which attempts a taken-over worker still runs.

        Attempts granted under the record's own view are skipped: if this member reads
        the log late, they may have started after the record was written.
        """
        for key in record.held:
            self._record_held(record.owner, key, record.worker)
        held = set(record.held)
        for execution in self._grant_issuer.job_by_id.values():
            for index, attempt in execution.attempt_by_index.items():
                if attempt.worker != record.worker:
                    continue
                if attempt.number // ATTEMPTS_PER_VIEW >= record.view:
                    continue
                key = attempt_key(execution.spec.job, index, attempt.number)
                if key not in held:
                    attempt.presumed_lost_at = self._context.now + COMPLETION_GRACE_S
        self._settle()

    def _settle(self) -> None:
        """Resume jobs once no unknown attempt of them can be reported any more."""
        if self._context.state.unreconciled_workers or self._awaited:
            return
        members = self._membership.view.members_by_id
        for execution in list(self._grant_issuer.job_by_id.values()):
            for attempt in execution.attempt_by_index.values():
                if attempt.owner not in members:
                    attempt.presumed_lost_at = min(
                        attempt.presumed_lost_at, self._context.now + COMPLETION_GRACE_S
                    )
            if execution.is_recovering:
                execution.is_recovering = False
                self._grant_issuer.update_queue(execution)
                self._context.note(
                    "job_recovered", execution.spec.job, team=execution.spec.team
                )
                self._grant_issuer.issue_grants(execution.spec.team)
