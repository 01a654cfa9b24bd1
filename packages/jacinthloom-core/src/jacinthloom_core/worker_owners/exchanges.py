"""Commands to workers: one exchange at a time each, under authority."""

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
"""Seconds between two renewals of the leases on a worker."""

REQUEST_RENEWAL_S = 3.0
"""Seconds between two renewals while a request runs on a worker."""

EXCHANGE_TIMEOUT_S = 3.0
"""Seconds after which an exchange without an answer is given up."""


class Exchanges:
    """Gather commands by worker and send them in one message."""

    def __init__(self, context: Context, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._last = 0
        self._sent_by_exchange: dict[int, tuple[Grant, ...]] = {}

    def is_due(self, worker: Worker) -> bool:
        """Return whether anything is to be sent to a worker now."""
        if worker.phase != "open" or worker.exchange:
            return False
        if worker.starts or worker.stops or worker.checkpoints or worker.throttles:
            return True
        return bool(worker.attempt_by_key) and self._context.now >= worker.next_renewal

    def flush(self, worker: Worker) -> None:
        """Send what is due, if this member has authority."""
        context = self._context
        until = self._membership.compute_authority_until()
        if not self.is_due(worker) or context.now >= until:
            return
        self._last += 1
        worker.exchange = self._last
        valid_until = min(until, context.now + START_VALIDITY_S)
        act_before = context.wall + (valid_until - context.now)
        renewals = self._take_renewals(worker)
        starts = tuple(worker.starts)
        for key in (*renewals, *(grant.key for grant in starts)):
            self._extend(worker.attempt_by_key[key], valid_until, act_before)
        self._sent_by_exchange[self._last] = starts
        context.counters["exchange"] += 1
        context.emit(
            Exchange(
                worker.name,
                worker.info.address,
                self._last,
                self._membership.view.number,
                valid_until,
                act_before,
                starts,
                renewals,
                tuple(sorted(worker.stops)),
                tuple(sorted(worker.checkpoints)),
                tuple(sorted(worker.throttles)),
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

    def _extend(self, attempt: Attempt, valid_until: float, act_before: float) -> None:
        lease = (
            lease_duration_s(attempt.kind) * MAX_CLOCK_RATE_RATIO
            + MAX_WALL_CLOCK_SKEW_S
        )
        attempt.lease_until = max(attempt.lease_until, valid_until + lease)
        if attempt.phase == "starting":
            attempt.act_before = act_before

    def on_answered(self, worker: Worker, event: ExchangeAnswered) -> bool:
        """Return whether this answers the exchange that is open."""
        self._sent_by_exchange.pop(event.exchange, None)
        if worker.exchange != event.exchange:
            return False
        worker.exchange = 0
        return True

    def on_failed(self, worker: Worker, event: ExchangeFailed) -> tuple[Grant, ...]:
        """Return the starts of a failed exchange."""
        starts = self._sent_by_exchange.pop(event.exchange, ())
        if worker.exchange == event.exchange:
            worker.exchange = 0
        return starts
