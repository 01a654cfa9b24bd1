"""Tickets from the advice service, and whom to ask through when."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .effects import AskAdvice

if TYPE_CHECKING:
    from .fleet import Worker
    from .order import Rank
    from .rules import AdvicePolicy
    from .specs import StepId

MAX_CANDIDATES = 100
"""Most workers in one request; from the platform."""

TICKET_MARGIN_S = 0.3
"""Seconds of validity with which a ticket still serves: a write and an order."""

ANSWER_MARGIN_S = 1.5
"""Seconds beyond the service's own time after which an answer is given up."""

RETRY_S = 0.3
"""Seconds before a request that failed is repeated."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """Leave to run the tasks of a step on one incarnation of a worker."""

    incarnation: int
    text: str
    valid_until: float


@dataclass(slots=True)
class StepAdvice:
    """What is known about the workers that may run one step."""

    ticket_by_worker: dict[str, Ticket] = field(default_factory=dict)
    is_good_by_worker: dict[str, bool] = field(default_factory=dict)
    is_asking: bool = False
    retry_at: float = 0.0

    def find_ticket(self, worker: Worker, now: float) -> Ticket | None:
        """Return a ticket that serves for a start now, or None."""
        ticket = self.ticket_by_worker.get(worker.id)
        if ticket is None or ticket.incarnation != worker.incarnation:
            return None
        return ticket if ticket.valid_until - now > TICKET_MARGIN_S else None

    def may_be_good(self, worker: Worker) -> bool:
        """Whether a worker is not known to be refused."""
        return self.is_good_by_worker.get(worker.id, True)


@dataclass(order=True, slots=True)
class _Request:
    rank: Rank
    number: int
    step: StepId = field(compare=False)
    workers: tuple[str, ...] = field(compare=False)
    policy: AdvicePolicy = field(compare=False)


@dataclass(frozen=True, slots=True)
class _Asked:
    """A request that has left through a member."""

    step: StepId
    give_up_at: float


class AdviceRequests:
    """Requests for advice, one at a time through each member.

    The service serves one request at a time for each calling host, in turn.
    """

    def __init__(self) -> None:
        self.advice_by_step: dict[StepId, StepAdvice] = {}
        self._asked_by_member: dict[str, _Asked | None] = {}
        self._waiting: list[_Request] = []
        self._count = 0

    def find(self, step: StepId) -> StepAdvice:
        """Return what is known for a step."""
        return self.advice_by_step.setdefault(step, StepAdvice())

    def forget(self, step: StepId) -> None:
        """Drop what is known for a step."""
        self.advice_by_step.pop(step, None)

    def ask(
        self,
        step: StepId,
        workers: tuple[str, ...],
        policy: AdvicePolicy,
        rank: Rank,
    ) -> None:
        """Queue a request; lower ranks go first."""
        self.find(step).is_asking = True
        self._count += 1
        asked = workers[:MAX_CANDIDATES]
        request = _Request(rank, self._count, step, asked, policy)
        heapq.heappush(self._waiting, request)

    def dispatch(self, now: float) -> list[AskAdvice]:
        """Return the requests that may leave now."""
        free = [name for name, asked in self._asked_by_member.items() if not asked]
        effects = []
        while free and self._waiting:
            request = heapq.heappop(self._waiting)
            if request.step not in self.advice_by_step:
                continue
            member = free.pop()
            policy = request.policy
            duration = policy.base_s + policy.per_worker_s * len(request.workers)
            timeout = duration + ANSWER_MARGIN_S
            asked = _Asked(request.step, now + 2 * timeout)
            self._asked_by_member[member] = asked
            effects.append(AskAdvice(member, request.step, request.workers, timeout))
        return effects

    def expire(self, now: float) -> list[str]:
        """Give up requests that no member has answered; return the members."""
        late = [
            member
            for member, asked in self._asked_by_member.items()
            if asked is not None and now > asked.give_up_at
        ]
        for member in late:
            self.add_member(member, now)
        return late

    def add_member(self, member: str, now: float) -> None:
        """Count on a member that can ask; what it was asked before is given up."""
        self.remove_member(member, now)
        self._asked_by_member[member] = None

    def remove_member(self, member: str, now: float) -> None:
        """Give up what a member was asked."""
        asked = self._asked_by_member.pop(member, None)
        if asked is not None:
            self._mark_failed(asked.step, now)

    def on_given(
        self,
        member: str,
        step: StepId,
        asked: tuple[str, ...],
        ticket_by_worker: dict[str, Ticket],
    ) -> None:
        """Take an answer over."""
        self._free(member, step)
        advice = self.advice_by_step.get(step)
        if advice is None:
            return
        advice.is_asking = False
        advice.ticket_by_worker.update(ticket_by_worker)
        for worker in asked:
            advice.is_good_by_worker[worker] = worker in ticket_by_worker

    def on_failed(self, member: str, step: StepId, now: float) -> None:
        """Repeat a request later."""
        self._free(member, step)
        self._mark_failed(step, now)

    def _free(self, member: str, step: StepId) -> None:
        asked = self._asked_by_member.get(member)
        if asked is not None and asked.step == step:
            self._asked_by_member[member] = None

    def _mark_failed(self, step: StepId, now: float) -> None:
        advice = self.advice_by_step.get(step)
        if advice is not None:
            advice.is_asking = False
            advice.retry_at = now + RETRY_S
