"""Weighted max-min shares of the fleet, by dominant resource."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

from ..model.resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

SMALLEST_SHARE = 0.001
"""Share used for a team with none, such as callers of open classes."""


@dataclass(frozen=True, slots=True)
class Demand:
    """What a team uses and wants, as fractions of the fleet."""

    share: float
    wanted: float


def compute_entitlements(demand_by_team: Mapping[str, Demand]) -> dict[str, float]:
    """Return the weighted max-min fraction of the fleet for each team.

    Each team gets the lesser of what it wants and its part of what is left, so an
    unused share is lent in proportion to the shares.
    """
    entitled: dict[str, float] = {}
    left = 1.0
    weight = sum(item.share for item in demand_by_team.values())
    order = sorted(
        demand_by_team.items(), key=lambda item: (item[1].wanted / item[1].share, item)
    )
    for team, item in order:
        fair = left * item.share / weight if weight > 0 else 0.0
        entitled[team] = min(item.wanted, fair)
        left -= entitled[team]
        weight -= item.share
    return entitled


class FairShareTracker:
    """Order teams by use of the fleet over share."""

    def __init__(self) -> None:
        self.fleet = NO_RESOURCES
        self.share_by_team: dict[str, float] = {}
        self._used_by_team: dict[str, Resources] = {}
        self._peer_used: dict[str, dict[str, Resources]] = {}
        self._score_by_team: dict[str, float] = {}
        self._waiting: SortedList[tuple[float, str]] = SortedList()

    def set_fleet_capacity(self, total: Resources) -> None:
        """Set the capacity that uses are fractions of."""
        if total != self.fleet:
            self.fleet = total
            self._rescore()

    def set_shares(self, share_by_team: dict[str, float]) -> None:
        """Set the operators' shares."""
        self.share_by_team = share_by_team
        self._rescore()

    def find_used(self, team: str) -> Resources:
        """Return what a team uses in the fleet."""
        return self._used_by_team.get(team, NO_RESOURCES)

    def find_share(self, team: str) -> float:
        """Return a team's share."""
        return max(SMALLEST_SHARE, self.share_by_team.get(team, 0.0))

    def find_fraction(self, team: str) -> float:
        """Return the fraction of the fleet that a team uses."""
        return self.find_used(team).dominant_share(self.fleet)

    def find_score(self, team: str) -> float:
        """Return a team's use over its share; the least goes first."""
        return self.find_fraction(team) / self.find_share(team)

    def add_used(self, team: str, amount: Resources) -> None:
        """Add to a team's use, or take away where negative."""
        self._used_by_team[team] = self.find_used(team) + amount
        self._update_score(team)

    def set_peer_used(self, peer: str, team: str, amount: Resources) -> None:
        """Replace what a peer told of a team's use of its workers."""
        told = self._peer_used.setdefault(peer, {})
        change = amount - told.get(team, NO_RESOURCES)
        told[team] = amount
        self.add_used(team, change)

    def forget_peer(self, peer: str) -> None:
        """Drop what a departed peer told."""
        for team, amount in self._peer_used.pop(peer, {}).items():
            self.add_used(team, NO_RESOURCES - amount)

    def set_waiting(self, team: str, waiting: bool) -> None:
        """Put a team in the order, or take it out."""
        known = self._score_by_team.get(team)
        if waiting and known is None:
            score = self.find_score(team)
            self._score_by_team[team] = score
            self._waiting.add((score, team))
        elif not waiting and known is not None:
            del self._score_by_team[team]
            self._waiting.remove((known, team))

    def iterate_waiting(self) -> Iterator[str]:
        """Yield waiting teams, least served first; changes need a new call."""
        for _, team in self._waiting:
            yield team

    def _update_score(self, team: str) -> None:
        known = self._score_by_team.get(team)
        if known is None:
            return
        score = self.find_score(team)
        if score != known:
            self._waiting.remove((known, team))
            self._waiting.add((score, team))
            self._score_by_team[team] = score

    def _rescore(self) -> None:
        for team in list(self._score_by_team):
            self._update_score(team)
