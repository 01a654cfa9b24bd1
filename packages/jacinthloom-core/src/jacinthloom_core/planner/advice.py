"""Requests to the advice service, and the tickets that it grants."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .effects import RequestAdvice

if TYPE_CHECKING:
    from .fleet import Worker
    from .order import Rank
    from .rules import AdvicePolicy
    from .specs import StepId

MAX_CANDIDATES = 100
"""Maximum number of workers in one request, set by the platform."""

TICKET_MARGIN_S = 0.3
"""Seconds for which a ticket must remain valid to be used: the time to store the record
of a placement and to send the order."""

ANSWER_MARGIN_S = 1.5
"""Seconds added to the expected duration of a request to give its timeout."""

RETRY_S = 0.3
"""Seconds until a failed request is repeated."""

SLOW_REQUEST_S = 0.4
"""Expected duration from which a request counts as slow: requests for lookups take a
tenth of that or less."""

FAST_ONLY_SHARE = 3
"""One member in this many sends no slow requests, so that others need not wait for the
long answers."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run the tasks of a step on one incarnation of a worker.

    :param text: the ticket as the advice service issued it
    """

    incarnation: int
    text: str
    valid_until: float


@dataclass(slots=True)
class StepAdvice:
    """What the advice service has answered about one step.

    :param is_recommended_by_worker: whether the latest answer permitted the worker
    :param is_request_pending: whether a request is queued or in flight
    :param retry_at: time from which a failed request may be repeated
    """

    ticket_by_worker: dict[str, Ticket] = field(default_factory=dict)
    is_recommended_by_worker: dict[str, bool] = field(default_factory=dict)
    is_request_pending: bool = False
    retry_at: float = 0.0

    def find_ticket(self, worker: Worker, now: float) -> Ticket | None:
        """Return a ticket that is valid for a start at a given time, or None."""
        ticket = self.ticket_by_worker.get(worker.id)
        if ticket is None or ticket.incarnation != worker.incarnation:
            return None
        return ticket if ticket.valid_until - now > TICKET_MARGIN_S else None

    def may_be_recommended(self, worker: Worker) -> bool:
        """Whether the service has not refused a worker."""
        return self.is_recommended_by_worker.get(worker.id, True)


@dataclass(order=True, slots=True)
class _QueuedRequest:
    rank: Rank
    number: int
    step: StepId = field(compare=False)
    workers: tuple[str, ...] = field(compare=False)
    policy: AdvicePolicy = field(compare=False)

    @property
    def duration_s(self) -> float:
        """Seconds that the service is expected to take."""
        return self.policy.base_s + self.policy.per_worker_s * len(self.workers)

    @property
    def is_slow(self) -> bool:
        return self.duration_s >= SLOW_REQUEST_S


@dataclass(frozen=True, slots=True)
class _InFlight:
    """A request that was sent through a member."""

    step: StepId
    deadline: float
    is_slow: bool


class AdviceRequests:
    """Queue of requests for advice, with at most one in flight through each member.

    The service handles one request at a time for each calling host.
    """

    def __init__(self) -> None:
        self.advice_by_step: dict[StepId, StepAdvice] = {}
        self._in_flight_by_member: dict[str, _InFlight | None] = {}
        self._waiting_fast: list[_QueuedRequest] = []
        self._waiting_slow: list[_QueuedRequest] = []
        self._last_number = 0

    def find(self, step: StepId) -> StepAdvice:
        """Return what is known about a step, adding an empty entry if it is new."""
        return self.advice_by_step.setdefault(step, StepAdvice())

    def remove_step(self, step: StepId) -> None:
        """Drop what is known about a step."""
        self.advice_by_step.pop(step, None)

    def enqueue(
        self,
        step: StepId,
        workers: tuple[str, ...],
        policy: AdvicePolicy,
        rank: Rank,
    ) -> None:
        """Queue a request; requests of lower rank are sent first."""
        self.find(step).is_request_pending = True
        self._last_number += 1
        candidates = workers[:MAX_CANDIDATES]
        request = _QueuedRequest(rank, self._last_number, step, candidates, policy)
        waiting = self._waiting_slow if request.is_slow else self._waiting_fast
        heapq.heappush(waiting, request)

    def dispatch(self, now: float) -> list[RequestAdvice]:
        """Return the requests to send now, one for each idle member.

        Slow requests are passed over while they occupy their share of the members.
        """
        in_flight = self._in_flight_by_member
        idle = [name for name, request in in_flight.items() if not request]
        slow = sum(1 for request in in_flight.values() if request and request.is_slow)
        max_slow = len(in_flight) - len(in_flight) // FAST_ONLY_SHARE
        effects = []
        while idle and (request := self._pop_next(slow < max_slow)):
            if request.step in self.advice_by_step:
                slow += request.is_slow
                effects.append(self._send(request, idle.pop(), now))
        return effects

    def _pop_next(self, allows_slow: bool) -> _QueuedRequest | None:
        queues = (self._waiting_fast, self._waiting_slow if allows_slow else [])
        waiting = [queue for queue in queues if queue]
        if not waiting:
            return None
        return heapq.heappop(min(waiting, key=lambda queue: queue[0]))

    def _send(self, request: _QueuedRequest, member: str, now: float) -> RequestAdvice:
        timeout_s = request.duration_s + ANSWER_MARGIN_S
        self._in_flight_by_member[member] = _InFlight(
            request.step, now + 2 * timeout_s, request.is_slow
        )
        return RequestAdvice(member, request.step, request.workers, timeout_s)

    def expire(self, now: float) -> list[str]:
        """Abandon requests that were not answered in time.

        :returns: the members through which they were sent
        """
        overdue = [
            member
            for member, in_flight in self._in_flight_by_member.items()
            if in_flight is not None and now > in_flight.deadline
        ]
        for member in overdue:
            self.add_member(member, now)
        return overdue

    def add_member(self, member: str, now: float) -> None:
        """Start using a member; a request in flight through it has failed."""
        self.remove_member(member, now)
        self._in_flight_by_member[member] = None

    def remove_member(self, member: str, now: float) -> None:
        """Stop using a member; a request in flight through it has failed."""
        in_flight = self._in_flight_by_member.pop(member, None)
        if in_flight is not None:
            self._mark_failed(in_flight.step, now)

    def on_answered(
        self,
        member: str,
        step: StepId,
        workers: tuple[str, ...],
        ticket_by_worker: dict[str, Ticket],
    ) -> None:
        """Store the tickets and refusals of an answer."""
        self._mark_idle(member, step)
        advice = self.advice_by_step.get(step)
        if advice is None:
            return
        advice.is_request_pending = False
        advice.ticket_by_worker.update(ticket_by_worker)
        for worker in workers:
            advice.is_recommended_by_worker[worker] = worker in ticket_by_worker

    def on_failed(self, member: str, step: StepId, now: float) -> None:
        """Record that a request failed, to be repeated later."""
        self._mark_idle(member, step)
        self._mark_failed(step, now)

    def _mark_idle(self, member: str, step: StepId) -> None:
        in_flight = self._in_flight_by_member.get(member)
        if in_flight is not None and in_flight.step == step:
            self._in_flight_by_member[member] = None

    def _mark_failed(self, step: StepId, now: float) -> None:
        advice = self.advice_by_step.get(step)
        if advice is not None:
            advice.is_request_pending = False
            advice.retry_at = now + RETRY_S
