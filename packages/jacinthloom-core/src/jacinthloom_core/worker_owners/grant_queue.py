"""Queue of grants at the owner of the workers, by team."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..context import Context
    from ..model.work import Grant, WorkSpec
    from ..policy.fairness import FairShareTracker

OTHER_VIEW = "granted under another view"
"""Reason for returning a grant that was made under another view."""

NO_FREE_CAPACITY = "no room"
"""Reason for returning a grant that another owner may have capacity for."""

HEADS_PER_TEAM = 4
"""Maximum number of queued grants of a team that are tried at a time."""

Order = tuple[int, float, str]
"""Sort key of a grant: rank, deadline and key."""


def compute_grant_order(spec: WorkSpec, index: int, name: str, wall: float) -> Order:
    """Return the sort key of a task: urgent work first, then by deadline.

    The first task of a deferrable job counts as due half-way to the deadline, so that
    the run time of the others is known early.
    """
    rank = 0 if spec.urgent else 2 if spec.is_deferrable else 1
    deadline = spec.deadline
    if spec.is_deferrable and index == 0 and spec.tasks > 1:
        deadline = min(deadline, (wall + deadline) / 2)
    return (rank, deadline, name)


@dataclass(frozen=True, slots=True)
class QueuedGrant:
    """A grant that waits for free capacity.

    :param since: monotonic time at which it was queued
    """

    grant: Grant
    since: float
    order: Order


class GrantQueue:
    """Queue of grants ordered within each team, and of teams in two orders."""

    def __init__(self, context: Context, fairness: FairShareTracker) -> None:
        self._context = context
        self._fairness = fairness
        self.queued_by_key: dict[str, QueuedGrant] = {}
        self._orders_by_team: dict[str, SortedList[Order]] = {}
        self._teams_by_head: SortedList[tuple[Order, str]] = SortedList()
        self._head_by_team: dict[str, Order] = {}

    def __contains__(self, key: object) -> bool:
        return key in self.queued_by_key

    def __len__(self) -> int:
        return len(self.queued_by_key)

    def add(self, grant: Grant) -> None:
        """Queue a grant."""
        context = self._context
        order = compute_grant_order(grant.spec, grant.index, grant.key, context.wall)
        team = grant.spec.team
        self.queued_by_key[grant.key] = QueuedGrant(grant, context.now, order)
        orders = self._orders_by_team.setdefault(team, SortedList())
        orders.add(order)
        self._fairness.set_waiting(team, True)
        self._update_head(team)

    def remove(self, key: str) -> QueuedGrant:
        """Remove a grant from the queue."""
        queued = self.queued_by_key.pop(key)
        team = queued.grant.spec.team
        orders = self._orders_by_team[team]
        orders.remove(queued.order)
        if not orders:
            del self._orders_by_team[team]
            self._fairness.set_waiting(team, False)
        self._update_head(team)
        return queued

    def _update_head(self, team: str) -> None:
        """Reposition a team by its first grant."""
        orders = self._orders_by_team.get(team)
        head = orders[0] if orders else None
        known = self._head_by_team.get(team)
        if head == known:
            return
        if known is not None:
            self._teams_by_head.remove((known, team))
            del self._head_by_team[team]
        if head is not None:
            self._teams_by_head.add((head, team))
            self._head_by_team[team] = head

    def iterate_teams(self, by_deadline: bool) -> Iterator[str]:
        """Yield teams with queued grants, by first deadline or least served first."""
        if not by_deadline:
            yield from self._fairness.iterate_waiting()
            return
        for _, team in self._teams_by_head:
            yield team

    def list_heads(self, team: str) -> list[Grant]:
        """Return the first grants of a team."""
        orders = self._orders_by_team.get(team, ())
        return [self.queued_by_key[key].grant for _, _, key in orders[:HEADS_PER_TEAM]]
