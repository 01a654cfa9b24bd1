"""Allotments: the parts of each team's limit that single members may use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import NO_RESOURCES, UNLIMITED, Resources

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..model.configuration import Team

POOL = ""
"""Holder of the parts that are not assigned to any member."""

MIN_EVEN_SPLIT_MILLICORES = 16_000
"""Minimum millicores per member for which a pool is split evenly among members."""


class Allotments:
    """Splits each team's limit into parts whose sum never exceeds it."""

    def __init__(self) -> None:
        self.allotments_by_team: dict[str, dict[str, Resources]] = {}
        self.limit_by_team: dict[str, Resources] = {}

    def find_allotment(self, team: str, holder: str) -> Resources | None:
        """Return the part of a holder, or ``None`` for a team without a limit.

        A resource that the limit does not restrict is unlimited for every holder.
        """
        parts = self.allotments_by_team.get(team)
        if parts is None:
            return None
        limited = self.find_limited_resources(team)
        free = Resources(1, 1, 1, 1) - limited
        return parts.get(holder, NO_RESOURCES) + free.scaled(UNLIMITED, 1)

    def find_limited_resources(self, team: str) -> Resources:
        """Return 1 for each resource that a team's limit restricts, 0 for others."""
        limit = self.limit_by_team[team]
        return Resources(
            int(limit.processors < UNLIMITED),
            int(limit.memory < UNLIMITED),
            int(limit.accelerators < UNLIMITED),
            int(limit.slots < UNLIMITED),
        )

    def set_limits(self, teams_by_name: Mapping[str, Team]) -> None:
        """Adopt the configured limits.

        A lowered limit scales every part down; what a raised one adds goes to the pool.
        """
        for name in [
            name for name in self.allotments_by_team if name not in teams_by_name
        ]:
            del self.allotments_by_team[name]
            del self.limit_by_team[name]
        for team in teams_by_name.values():
            if team.limit is None:
                self.allotments_by_team.pop(team.name, None)
                self.limit_by_team.pop(team.name, None)
            else:
                self._set_limit(team.name, team.limit)

    def _set_limit(self, name: str, limit: Resources) -> None:
        self.limit_by_team[name] = limit
        limit = _zero_unlimited(limit)
        parts = self.allotments_by_team.setdefault(name, {})
        total = sum(parts.values(), NO_RESOURCES)
        if total == limit:
            return
        for holder, part in parts.items():
            parts[holder] = _rescale(part, total, limit)
        remainder = limit - sum(parts.values(), NO_RESOURCES)
        parts[POOL] = parts.get(POOL, NO_RESOURCES) + remainder

    def move(self, team: str, donor: str, recipient: str, amount: Resources) -> None:
        """Move an amount, but at most the donor's part, from one holder to another."""
        parts = self.allotments_by_team.get(team)
        if parts is None or donor == recipient:
            return
        held = parts.get(donor, NO_RESOURCES)
        moved = amount.component_min(held).component_max(NO_RESOURCES)
        parts[donor] = held - moved
        parts[recipient] = parts.get(recipient, NO_RESOURCES) + moved
        if parts[donor] == NO_RESOURCES:
            del parts[donor]

    def return_to_pool(self, holder: str) -> None:
        """Return all parts of a departed member to the pool."""
        for team, parts in self.allotments_by_team.items():
            if holder in parts:
                self.move(team, holder, POOL, parts[holder])

    def distribute_pool(
        self, members: list[str], choose_member: Callable[[str], str]
    ) -> None:
        """Distribute the pool among the members.

        :param choose_member: returns, for a team, the member that gets all of a pool
            too small to be split, and otherwise the remainder of the split
        """
        for team, parts in self.allotments_by_team.items():
            pool = parts.get(POOL, NO_RESOURCES)
            if pool == NO_RESOURCES:
                continue
            default_member = choose_member(team)
            if pool.processors >= MIN_EVEN_SPLIT_MILLICORES * len(members):
                each = pool.scaled(1, len(members))
                for member in members:
                    self.move(team, POOL, member, each)
            self.move(team, POOL, default_member, parts.get(POOL, NO_RESOURCES))


def _zero_unlimited(limit: Resources) -> Resources:
    """Return a limit with 0 for the resources that it does not restrict."""
    return Resources(
        limit.processors if limit.processors < UNLIMITED else 0,
        limit.memory if limit.memory < UNLIMITED else 0,
        limit.accelerators if limit.accelerators < UNLIMITED else 0,
        limit.slots if limit.slots < UNLIMITED else 0,
    )


def _rescale(part: Resources, total: Resources, limit: Resources) -> Resources:
    return Resources(
        _rescale_component(part.processors, total.processors, limit.processors),
        _rescale_component(part.memory, total.memory, limit.memory),
        _rescale_component(part.accelerators, total.accelerators, limit.accelerators),
        _rescale_component(part.slots, total.slots, limit.slots),
    )


def _rescale_component(part: int, total: int, limit: int) -> int:
    if limit >= total or total == 0:
        return part
    return part * limit // total
