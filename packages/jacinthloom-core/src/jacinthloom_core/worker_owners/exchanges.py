"""Commands to workers: one exchange at a time per worker, sent under authority."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.effects import Exchange
from ..model.settings import (
    BATCH_LEASE_S,
    MAX_CLOCK_RATE_RATIO,
    MAX_WALL_CLOCK_SKEW_S,
    START_VALIDITY_S,
    lease_duration_s,
)

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..model.events import ExchangeAnswered, ExchangeFailed
    from ..model.work import Grant
    from .workers import Attempt, Worker

RENEWAL_INTERVAL_S = BATCH_LEASE_S / 3
"""Seconds between lease renewals on a worker."""

REQUEST_RENEWAL_S = 3.0
"""Seconds between lease renewals while a request runs on a worker."""

EXCHANGE_TIMEOUT_S = 3.0
"""Seconds after which an unanswered exchange has failed."""


class Exchanges:
    """Batch the commands for each worker into one message."""

    def __init__(self, context: Context, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._last_exchange = 0
        self._starts_by_exchange: dict[int, tuple[Grant, ...]] = {}

    def is_due(self, worker: Worker) -> bool:
        """Return whether a worker has pending commands or renewals to send."""
        if worker.phase != "open" or worker.exchange:
            return False
        if worker.starts or worker.stops or worker.checkpoints or worker.throttles:
            return True
        return bool(worker.attempt_by_key) and self._context.now >= worker.next_renewal

    def flush(self, worker: Worker) -> None:
        """Send pending commands to a worker, if this member has authority."""
        context = self._context
        until = self._membership.compute_authority_until()
        if not self.is_due(worker) or context.now >= until:
            return
        self._last_exchange += 1
        worker.exchange = self._last_exchange
        valid_until = min(until, context.now + START_VALIDITY_S)
        act_before = context.wall + (valid_until - context.now)
        renewals = self._take_renewals(worker)
        starts = tuple(worker.starts)
        for key in (*renewals, *(grant.key for grant in starts)):
            self._extend_lease(worker.attempt_by_key[key], valid_until, act_before)
        self._starts_by_exchange[self._last_exchange] = starts
        context.counters["exchange"] += 1
        context.emit(
            Exchange(
                worker.name,
                worker.info.address,
                self._last_exchange,
                self._membership.view.number,
                valid_until,
                act_before,
                starts,
                renewals,
                tuple(sorted(worker.stops)),
                tuple(sorted(worker.checkpoints)),
                tuple(sorted(worker.throttles)),
                worker.incarnation,
            )
        )
        worker.starts = []
        worker.stops = set()
        worker.checkpoints = set()
        worker.throttles = set()

    def _take_renewals(self, worker: Worker) -> tuple[str, ...]:
        now = self._context.now
        if now < worker.next_renewal:
            return ()
        running = [a for a in worker.attempt_by_key.values() if a.phase == "running"]
        has_request = any(attempt.kind == "request" for attempt in running)
        interval = REQUEST_RENEWAL_S if has_request else RENEWAL_INTERVAL_S
        worker.next_renewal = now + interval
        return tuple(attempt.key for attempt in running)

    def _extend_lease(
        self, attempt: Attempt, valid_until: float, act_before: float
    ) -> None:
        lease = (
            lease_duration_s(attempt.kind) * MAX_CLOCK_RATE_RATIO
            + MAX_WALL_CLOCK_SKEW_S
        )
        attempt.lease_until = max(attempt.lease_until, valid_until + lease)
        if attempt.phase == "starting":
            attempt.act_before = act_before

    def on_answered(self, worker: Worker, event: ExchangeAnswered) -> bool:
        """Close an exchange; return whether it was the one in flight."""
        self._starts_by_exchange.pop(event.exchange, None)
        if worker.exchange != event.exchange:
            return False
        worker.exchange = 0
        return True

    def on_failed(self, worker: Worker, event: ExchangeFailed) -> tuple[Grant, ...]:
        """Close a failed exchange and return its starts."""
        starts = self._starts_by_exchange.pop(event.exchange, ())
        if worker.exchange == event.exchange:
            worker.exchange = 0
        return starts
