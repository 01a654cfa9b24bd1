"""Differences of a configuration from the version in force, by their effect."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .configuration_check import compute_share_parts, list_amounts

if TYPE_CHECKING:
    from ..model.configuration import Configuration, Team, WorkClass


class Effect(Enum):
    """Effect of a difference, in the order in which it matters to operators.

    The first ones end or stop work that is running or waiting.
    """

    KEY_WITHDRAWN = "key withdrawn, its jobs are refused"
    CLASS_REMOVED = "class removed, its jobs are refused"
    TEAM_REMOVED = "team removed"
    LIMIT_LOWERED = "limit lowered, work above it is checkpointed"
    CLASS_CLOSED = "callers without a key are refused"
    KIND_CHANGED = "kind changed, for new work"
    TARGET_CHANGED = "target changed, for new work"
    SHARE_LOWERED = "smaller part of the fleet"
    SHARE_RESCALED = "same part of the fleet"
    SHARE_RAISED = "larger part of the fleet"
    LIMIT_RAISED = "limit raised"
    CLASS_OPENED = "callers without a key are accepted"
    CLASS_ADDED = "class added"
    TEAM_ADDED = "team added, grant it a key"


RANK_BY_EFFECT = {effect: rank for rank, effect in enumerate(Effect)}


@dataclass(frozen=True, slots=True)
class Difference:
    """A field that publishing would change.

    :param subject: entry that changes, such as ``team planning``
    :param field: key in the configuration file; empty for a whole entry
    :param old: value in force; empty if there is none
    :param new: value after publishing; empty if there is none
    """

    effect: Effect
    subject: str
    field: str = ""
    old: str = ""
    new: str = ""

    def __str__(self) -> str:
        values = f" {self.field}: {self.old} -> {self.new}" if self.field else ""
        return f"{self.subject}{values} ({self.effect.value})"


def find_differences(
    current: Configuration, proposed: Configuration
) -> tuple[Difference, ...]:
    """Return what publishing would change, the most disruptive effects first."""
    differences = [
        Difference(Effect.KEY_WITHDRAWN, f"key {key_id} of team {key.team}")
        for key_id, key in current.keys_by_id.items()
        if key_id not in proposed.keys_by_id
    ]
    differences += _compare_classes(current.classes_by_name, proposed.classes_by_name)
    differences += _compare_teams(current.teams_by_name, proposed.teams_by_name)
    return tuple(
        sorted(
            differences,
            key=lambda item: (RANK_BY_EFFECT[item.effect], item.subject, item.field),
        )
    )


def _compare_classes(
    current: dict[str, WorkClass], proposed: dict[str, WorkClass]
) -> list[Difference]:
    differences = [
        Difference(Effect.CLASS_REMOVED, f"class {name}")
        for name in current.keys() - proposed.keys()
    ]
    for name, new in proposed.items():
        subject = f"class {name}"
        old = current.get(name)
        if old is None:
            differences.append(Difference(Effect.CLASS_ADDED, subject))
            continue
        if old.kind != new.kind:
            differences.append(
                Difference(Effect.KIND_CHANGED, subject, "kind", old.kind, new.kind)
            )
        if (old.within_s, old.by_s) != (new.within_s, new.by_s):
            values = _format_target(old), _format_target(new)
            differences.append(
                Difference(Effect.TARGET_CHANGED, subject, "target", *values)
            )
        if old.open != new.open:
            effect = Effect.CLASS_OPENED if new.open else Effect.CLASS_CLOSED
            values = str(old.open).lower(), str(new.open).lower()
            differences.append(Difference(effect, subject, "open", *values))
    return differences


def _compare_teams(
    current: dict[str, Team], proposed: dict[str, Team]
) -> list[Difference]:
    differences = [
        Difference(Effect.TEAM_REMOVED, f"team {name}")
        for name in current.keys() - proposed.keys()
    ]
    old_parts = compute_share_parts(current)
    new_parts = compute_share_parts(proposed)
    for name, new in proposed.items():
        old = current.get(name)
        if old is None:
            differences.append(Difference(Effect.TEAM_ADDED, f"team {name}"))
            continue
        differences += _compare_limits(old, new)
        effect = _compare_parts(old_parts[name], new_parts[name])
        if old.share != new.share or effect is not Effect.SHARE_RESCALED:
            values = (
                f"{old.share:g} ({old_parts[name]:.1%} of the fleet)",
                f"{new.share:g} ({new_parts[name]:.1%} of the fleet)",
            )
            differences.append(Difference(effect, f"team {name}", "share", *values))
    return differences


def _compare_parts(old: float, new: float) -> Effect:
    if math.isclose(old, new):
        return Effect.SHARE_RESCALED
    return Effect.SHARE_LOWERED if new < old else Effect.SHARE_RAISED


def _compare_limits(old: Team, new: Team) -> list[Difference]:
    differences = []
    new_amounts = list_amounts(new.limit)
    for key, was in list_amounts(old.limit).items():
        becomes = new_amounts[key]
        if was != becomes:
            lowered = becomes.amount < was.amount
            effect = Effect.LIMIT_LOWERED if lowered else Effect.LIMIT_RAISED
            field = f"limit.{key}"
            differences.append(
                Difference(effect, f"team {new.name}", field, str(was), str(becomes))
            )
    return differences


def _format_target(item: WorkClass) -> str:
    if item.within_s is not None:
        return f"within {item.within_s:g} s"
    if item.by_s is not None:
        return f"by {item.by_s // 3600:02}:{item.by_s % 3600 // 60:02} UTC"
    return "none"
