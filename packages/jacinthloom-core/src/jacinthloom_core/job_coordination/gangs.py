"""Gang scheduling: all tasks of a job start together, or none does."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.messages import AttemptStopAsked, GangReleased, TasksGranted
from ..model.work import attempt_key
from ..worker_owners.grant_queue import NO_FREE_CAPACITY
from .retries import compute_backoff

if TYPE_CHECKING:
    from ..context import Context
    from ..members.message_router import MessageRouter
    from ..model.work import Grant
    from ..policy.pacer import Pacer
    from .grant_issuer import GrantIssuer
    from .job_execution import JobExecution

GANG_RESERVATION_TIMEOUT_S = 3.0
"""Seconds within which all tasks of a gang must get reserved capacity."""


class GangScheduler:
    """Reserves capacity for one gang at a time and starts it once all tasks have it."""

    def __init__(
        self,
        context: Context,
        router: MessageRouter,
        grant_issuer: GrantIssuer,
        pacer: Pacer,
    ) -> None:
        self._context = context
        self._router = router
        self._grant_issuer = grant_issuer
        self._pacer = pacer
        self._active_job = ""

    def on_tick(self) -> None:
        """Abort a gang whose reservations took too long, and begin with another."""
        self._check_timeout()
        self._begin_next_gang()

    def on_view(self) -> None:
        """Start over, because owners returned what they held under the last view."""
        self._active_job = ""
        for execution in self._grant_issuer.job_by_id.values():
            execution.gang_retry_at = 0.0

    def on_job_ended(self, job: str) -> None:
        """Discard a gang that has ended."""
        if self._active_job == job:
            self._active_job = ""

    def on_attempt_held(self, key: str) -> None:
        """Start a gang once capacity is reserved for all of its tasks."""
        ref = self._grant_issuer.find_attempt(key)
        if ref is None:
            return
        execution, attempt = ref.execution, ref.attempt
        if attempt.phase == "granted":
            self._grant_issuer.close_grant(execution, attempt)
            attempt.phase = "held"
        held = [
            item for item in execution.attempt_by_index.values() if item.phase == "held"
        ]
        done = len(held) + len(execution.ended | execution.job.ended)
        if self._active_job == execution.spec.job and done == execution.spec.tasks:
            self._release(execution)

    def abort(self, execution: JobExecution, reason: str) -> None:
        """Cancel the attempts of a gang and retry all of it after a backoff."""
        execution.last_failure = reason
        if self._active_job == execution.spec.job:
            self._active_job = ""
        elif execution.gang_retry_at > self._context.now:
            return
        delay = compute_backoff(execution.spec.job, execution.gang_rounds)
        execution.gang_retry_at = self._context.now + delay
        for index, attempt in list(execution.attempt_by_index.items()):
            key = attempt_key(execution.spec.job, index, attempt.number)
            self._router.send(attempt.owner, AttemptStopAsked(key))

    def reoffer_returned_task(
        self, execution: JobExecution, owner: str, reason: str
    ) -> None:
        """Offer a returned task of a gang to another owner, or abort the gang."""
        if self._active_job == execution.spec.job and reason == NO_FREE_CAPACITY:
            execution.gang_full_owners.add(owner)
            waiting = [
                p for p in execution.attempt_by_index.values() if p.owner == owner
            ]
            if not any(item.phase == "granted" for item in waiting):
                self._offer_tasks(execution)
        else:
            self.abort(execution, reason)
        self._grant_issuer.update_queue(execution)

    def _begin_next_gang(self) -> None:
        """Request reservations for all tasks of the most urgent gang."""
        if self._active_job or not self._grant_issuer.may_grant:
            return
        for execution in self._list_gangs():
            if (
                execution.gang_retry_at > self._context.now
                or not execution.has_pending_tasks
            ):
                continue
            if execution.attempt_by_index or not self._pacer.allows_gang_start(
                execution.spec
            ):
                continue
            self._begin_reserving(execution)
            return

    def _list_gangs(self) -> list[JobExecution]:
        gangs = [
            execution
            for execution in self._grant_issuer.job_by_id.values()
            if execution.spec.kind == "gang" and not execution.is_recovering
        ]
        gangs.sort(
            key=lambda execution: (not execution.spec.urgent, execution.spec.deadline)
        )
        return gangs

    def _begin_reserving(self, execution: JobExecution) -> None:
        self._active_job = execution.spec.job
        execution.gang_began_at = self._context.now
        execution.gang_rounds += 1
        execution.gang_full_owners.clear()
        self._offer_tasks(execution)

    def _offer_tasks(self, execution: JobExecution) -> None:
        """Offer the remaining tasks of a gang to owners with free capacity for it."""
        need = max(1, execution.spec.need.processors)
        capacities = sorted(
            self._grant_issuer.iterate_owner_capacities(),
            key=lambda capacity: (capacity.free, capacity.owner),
            reverse=True,
        )
        batches: dict[str, list[Grant]] = {}
        for capacity in capacities:
            if capacity.owner in execution.gang_full_owners:
                continue
            for _ in range(max(0, capacity.free // need)):
                index = execution.take_next_task()
                if index is None:
                    break
                grant = self._grant_issuer.create_grant(
                    execution, index, capacity.owner, held=True
                )
                batches.setdefault(capacity.owner, []).append(grant)
        if execution.has_pending_tasks:
            self.abort(execution, "its tasks do not all fit at once")
        for owner, grants in batches.items():
            self._router.send(owner, TasksGranted(tuple(grants)))

    def _release(self, execution: JobExecution) -> None:
        keys_by_owner: dict[str, list[str]] = {}
        for index, attempt in execution.attempt_by_index.items():
            key = attempt_key(execution.spec.job, index, attempt.number)
            keys_by_owner.setdefault(attempt.owner, []).append(key)
        for owner, keys in keys_by_owner.items():
            self._router.send(owner, GangReleased(tuple(keys)))
        self._active_job = ""
        self._context.note(
            "gang_released", execution.spec.job, team=execution.spec.team
        )

    def _check_timeout(self) -> None:
        execution = self._grant_issuer.job_by_id.get(self._active_job)
        if (
            execution
            and self._context.now > execution.gang_began_at + GANG_RESERVATION_TIMEOUT_S
        ):
            self.abort(
                execution, "capacity for all of its tasks was not reserved in time"
            )
