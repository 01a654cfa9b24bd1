"""Requests of operators."""

from __future__ import annotations

from dataclasses import dataclass

from .configuration import Change


@dataclass(frozen=True, slots=True)
class PublishChange:
    """Change the configuration by compare-and-set on its version.

    :param change_id: id chosen by the operator, so that a repeated request finds the
        earlier change
    """

    change_id: str
    base_version: int
    change: Change
    author: str


@dataclass(frozen=True, slots=True)
class ShowStatus:
    """Show members, view, usage cap and counters."""


@dataclass(frozen=True, slots=True)
class ShowConfiguration:
    """Show the configuration and its history."""


@dataclass(frozen=True, slots=True)
class ShowTeams:
    """Show the share, limit and usage of each team."""


@dataclass(frozen=True, slots=True)
class ShowWorkers:
    """Show the workers that this member owns."""


@dataclass(frozen=True, slots=True)
class RestartFleet:
    """Create a new first view when too few members are left to vote."""

    author: str


OperatorRequest = (
    PublishChange
    | ShowStatus
    | ShowConfiguration
    | ShowTeams
    | ShowWorkers
    | RestartFleet
)
"""Any request of an operator."""
