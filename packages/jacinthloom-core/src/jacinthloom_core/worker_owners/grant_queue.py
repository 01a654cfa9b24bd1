"""Grants that wait at an owner, by team."""

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
"""Reason for which a grant is given back when the views differ."""

NO_FREE_CAPACITY = "no room"
"""Reason for which a grant is given back when another owner may have room."""

HEADS_PER_TEAM = 4
"""Waiting grants of a team that are tried in one pass."""

Order = tuple[int, float, str]
"""Rank, deadline and name, by which grants wait."""


def compute_grant_order(spec: WorkSpec, index: int, name: str, wall: float) -> Order:
    """Return the place of a task: urgent first, then by deadline.

    A job's first task counts as due half-way, so that the run time of the others is
    known early.
    """
    rank = 0 if spec.urgent else 2 if spec.is_deferrable else 1
    deadline = spec.deadline
    if spec.is_deferrable and index == 0 and spec.tasks > 1:
        deadline = min(deadline, (wall + deadline) / 2)
    return (rank, deadline, name)


@dataclass(frozen=True, slots=True)
class Queued:
    """A grant that waits for room."""

    grant: Grant
    since: float
    order: Order


class GrantQueue:
    """Keep grants in order within each team, and teams in two orders."""

    def __init__(self, context: Context, fairness: FairShareTracker) -> None:
        self._context = context
        self._fairness = fairness
        self.queued_by_key: dict[str, Queued] = {}
        self._lane_by_team: dict[str, SortedList[Order]] = {}
        self._heads: SortedList[tuple[Order, str]] = SortedList()
        self._head_by_team: dict[str, Order] = {}

    def __contains__(self, key: object) -> bool:
        return key in self.queued_by_key

    def __len__(self) -> int:
        return len(self.queued_by_key)

    def add(self, grant: Grant) -> None:
        """Let a grant wait."""
        context = self._context
        order = compute_grant_order(grant.spec, grant.index, grant.key, context.wall)
        team = grant.spec.team
        self.queued_by_key[grant.key] = Queued(grant, context.now, order)
        lane = self._lane_by_team.setdefault(team, SortedList())
        lane.add(order)
        self._fairness.set_waiting(team, True)
        self._update_head(team)

    def remove(self, key: str) -> Queued:
        """Take a grant out."""
        queued = self.queued_by_key.pop(key)
        team = queued.grant.spec.team
        lane = self._lane_by_team[team]
        lane.remove(queued.order)
        if not lane:
            del self._lane_by_team[team]
            self._fairness.set_waiting(team, False)
        self._update_head(team)
        return queued

    def _update_head(self, team: str) -> None:
        """Keep a team at its place by its first grant."""
        lane = self._lane_by_team.get(team)
        head = lane[0] if lane else None
        known = self._head_by_team.get(team)
        if head == known:
            return
        if known is not None:
            self._heads.remove((known, team))
            del self._head_by_team[team]
        if head is not None:
            self._heads.add((head, team))
            self._head_by_team[team] = head

    def iterate_teams(self, by_deadline: bool) -> Iterator[str]:
        """Yield waiting teams, by their first deadlines or least served first."""
        if not by_deadline:
            yield from self._fairness.iterate_waiting()
            return
        for _, team in self._heads:
            yield team

    def list_heads(self, team: str) -> list[Grant]:
        """Return the first grants of a team."""
        lane = self._lane_by_team.get(team, ())
        return [self.queued_by_key[key].grant for _, _, key in lane[:HEADS_PER_TEAM]]
