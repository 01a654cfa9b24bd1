"""What operators ask for."""

from __future__ import annotations

from dataclasses import dataclass

from .configuration import Change


@dataclass(frozen=True, slots=True)
class PublishChange:
    """Change the configuration if its version is still the one seen.

    :param change_id: the operator's own id, to find the change again
    """

    change_id: str
    base_version: int
    change: Change
    author: str


@dataclass(frozen=True, slots=True)
class ShowStatus:
    """Show members, view, level and counters."""


@dataclass(frozen=True, slots=True)
class ShowConfiguration:
    """Show the configuration and its history."""


@dataclass(frozen=True, slots=True)
class ShowTeams:
    """Show share, limit and use of each team."""


@dataclass(frozen=True, slots=True)
class ShowWorkers:
    """Show the workers that this member owns."""


@dataclass(frozen=True, slots=True)
class RestartFleet:
    """Author a first view when too few members are left to vote."""

    author: str


OperatorRequest = (
    PublishChange
    | ShowStatus
    | ShowConfiguration
    | ShowTeams
    | ShowWorkers
    | RestartFleet
)
"""Anything that an operator asks for."""
