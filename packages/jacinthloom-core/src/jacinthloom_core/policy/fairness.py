"""Weighted max-min fair shares of the fleet, by dominant resource."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

from ..model.resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

MIN_SHARE = 0.001
"""Share of a team that has none, such as that of callers of open classes."""


@dataclass(frozen=True, slots=True)
class Demand:
    """The demand of a team.

    :param share: weight of the team
    :param wanted: wanted fraction of the fleet
    """

    share: float
    wanted: float


def compute_entitlements(demand_by_team: Mapping[str, Demand]) -> dict[str, float]:
    """Return the weighted max-min fair fraction of the fleet for each team.

    Each team gets the smaller of its demand and its weighted part of the rest, so the
    unused part of a share is lent to the other teams in proportion to their shares.
    """
    entitled: dict[str, float] = {}
    remaining = 1.0
    weight = sum(item.share for item in demand_by_team.values())
    order = sorted(
        demand_by_team.items(), key=lambda item: (item[1].wanted / item[1].share, item)
    )
    for team, item in order:
        fair_part = remaining * item.share / weight if weight > 0 else 0.0
        entitled[team] = min(item.wanted, fair_part)
        remaining -= entitled[team]
        weight -= item.share
    return entitled


class FairShareTracker:
    """Tracks the usage of each team and orders waiting teams by usage over share."""

    def __init__(self) -> None:
        self.fleet_capacity = NO_RESOURCES
        self.share_by_team: dict[str, float] = {}
        self._used_by_team: dict[str, Resources] = {}
        self._usage_by_peer: dict[str, dict[str, Resources]] = {}
        self._score_by_team: dict[str, float] = {}
        self._waiting: SortedList[tuple[float, str]] = SortedList()

    def set_fleet_capacity(self, total: Resources) -> None:
        """Set the fleet's total capacity, of which usage is a fraction."""
        if total != self.fleet_capacity:
            self.fleet_capacity = total
            self._update_scores()

    def set_shares(self, share_by_team: dict[str, float]) -> None:
        """Set the configured share of each team."""
        self.share_by_team = share_by_team
        self._update_scores()

    def find_used(self, team: str) -> Resources:
        """Return the resource usage of a team in the fleet."""
        return self._used_by_team.get(team, NO_RESOURCES)

    def find_share(self, team: str) -> float:
        """Return the share of a team, at least the minimum."""
        return max(MIN_SHARE, self.share_by_team.get(team, 0.0))

    def find_fraction(self, team: str) -> float:
        """Return the fraction of the fleet that a team uses."""
        return self.find_used(team).dominant_share(self.fleet_capacity)

    def find_score(self, team: str) -> float:
        """Return the usage of a team over its share; the lowest score goes first."""
        return self.find_fraction(team) / self.find_share(team)

    def add_used(self, team: str, amount: Resources) -> None:
        """Add an amount, which may be negative, to the usage of a team."""
        self._used_by_team[team] = self.find_used(team) + amount
        self._update_score(team)

    def set_peer_used(self, peer: str, team: str, amount: Resources) -> None:
        """Replace the usage of a team on the workers of a peer."""
        usage_by_team = self._usage_by_peer.setdefault(peer, {})
        change = amount - usage_by_team.get(team, NO_RESOURCES)
        usage_by_team[team] = amount
        self.add_used(team, change)

    def remove_peer(self, peer: str) -> None:
        """Subtract the usage reported by a departed peer."""
        for team, amount in self._usage_by_peer.pop(peer, {}).items():
            self.add_used(team, NO_RESOURCES - amount)

    def set_waiting(self, team: str, waiting: bool) -> None:
        """Add a team to the waiting teams, or remove it."""
        old_score = self._score_by_team.get(team)
        if waiting and old_score is None:
            score = self.find_score(team)
            self._score_by_team[team] = score
            self._waiting.add((score, team))
        elif not waiting and old_score is not None:
            del self._score_by_team[team]
            self._waiting.remove((old_score, team))

    def iterate_waiting(self) -> Iterator[str]:
        """Yield waiting teams, lowest score first.

        The iterator is invalid once a score or the set of waiting teams changes.
        """
        for _, team in self._waiting:
            yield team

    def _update_score(self, team: str) -> None:
        old_score = self._score_by_team.get(team)
        if old_score is None:
            return
        score = self.find_score(team)
        if score != old_score:
            self._waiting.remove((old_score, team))
            self._waiting.add((score, team))
            self._score_by_team[team] = score

    def _update_scores(self) -> None:
        for team in list(self._score_by_team):
            self._update_score(team)
