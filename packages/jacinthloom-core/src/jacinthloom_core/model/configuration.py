"""What operators state: classes, targets, shares, limits, keys and zones."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, field
from typing import Literal

from .resources import Resources

WorkKind = Literal["request", "batch", "service", "gang"]
"""How the work of a class runs."""

URGENT_TARGET_S = 10.0
"""A class whose target is at most this many seconds is urgent."""

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work and its target.

    :param name: unique name
    :param kind: how its work runs
    :param within_s: target in seconds from submission to the end of the work (to
        its start, for services)
    :param by_s: target as seconds after midnight UTC; used when ``within_s`` is
        ``None``
    :param open: whether callers without a key may use the class
    """

    name: str
    kind: WorkKind
    within_s: float | None = None
    by_s: int | None = None
    open: bool = False

    @property
    def is_urgent(self) -> bool:
        """Whether a caller waits for this work."""
        return self.within_s is not None and self.within_s <= URGENT_TARGET_S

    def compute_deadline(self, wall: float) -> float:
        """Return the wall-clock deadline of work submitted at ``wall``.

        :param wall: seconds since the epoch
        :returns: seconds since the epoch
        """
        if self.within_s is not None:
            return wall + self.within_s
        if self.by_s is None:
            return wall + SECONDS_PER_DAY
        midnight = wall - wall % SECONDS_PER_DAY
        today = midnight + self.by_s
        return today if today > wall else today + SECONDS_PER_DAY


@dataclass(frozen=True, slots=True)
class KeyHash:
    """A key as it is kept: its public id and a salted hash of its secret."""

    key_id: str
    salt: str
    digest: str

    @classmethod
    def from_secret(cls, key_id: str, salt: str, secret: str) -> KeyHash:
        """Hash a secret with a salt."""
        return cls(key_id, salt, _digest(salt, secret))

    def matches(self, secret: str) -> bool:
        """Compare a secret with the hash in constant time."""
        return hmac.compare_digest(self.digest, _digest(self.salt, secret))


def _digest(salt: str, secret: str) -> str:
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its share of a full cell and its upper limit.

    :param share: part of the cell promised when it is full, against other shares
    :param limit: the most it may run across the fleet; ``None`` for no limit
    """

    name: str
    share: float = 1.0
    limit: Resources | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of everything that operators state.

    :param keys_by_id: team and hash of each key that works
    """

    version: int = 0
    classes_by_name: dict[str, WorkClass] = field(default_factory=dict)
    teams_by_name: dict[str, Team] = field(default_factory=dict)
    keys_by_id: dict[str, TeamKey] = field(default_factory=dict)
    zones_out: tuple[str, ...] = ()

    def find_team_by_key(self, presented: str) -> Team | None:
        """Return the team whose key this is, or ``None``.

        :param presented: ``KEYID.SECRET`` as a caller sends it
        """
        key_id, _, secret = presented.partition(".")
        key = self.keys_by_id.get(key_id)
        if key is None or not key.hash.matches(secret):
            return None
        return self.teams_by_name.get(key.team)


@dataclass(frozen=True, slots=True)
class TeamKey:
    """A key hash and the team that it belongs to."""

    team: str
    hash: KeyHash


@dataclass(frozen=True, slots=True)
class ClassesAndTeams:
    """Replace all classes and teams; keys and zones stay."""

    classes: tuple[WorkClass, ...]
    teams: tuple[Team, ...]


@dataclass(frozen=True, slots=True)
class KeyGrant:
    """Let a key work for a team."""

    team: str
    hash: KeyHash


@dataclass(frozen=True, slots=True)
class KeyWithdrawal:
    """Stop a key from working."""

    key_id: str


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """Take an availability zone out."""

    zone: str


@dataclass(frozen=True, slots=True)
class ZoneIn:
    """Bring an availability zone back."""

    zone: str


Change = ClassesAndTeams | KeyGrant | KeyWithdrawal | ZoneOut | ZoneIn
"""One change by an operator."""


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """Return the next version of a configuration."""
    classes = configuration.classes_by_name
    teams = configuration.teams_by_name
    keys = configuration.keys_by_id
    zones = configuration.zones_out
    match change:
        case ClassesAndTeams():
            classes = {item.name: item for item in change.classes}
            teams = {item.name: item for item in change.teams}
            keys = {name: key for name, key in keys.items() if key.team in teams}
        case KeyGrant():
            keys = keys | {change.hash.key_id: TeamKey(change.team, change.hash)}
        case KeyWithdrawal():
            keys = {name: key for name, key in keys.items() if name != change.key_id}
        case ZoneOut():
            zones = tuple(sorted({*zones, change.zone}))
        case ZoneIn():
            zones = tuple(zone for zone in zones if zone != change.zone)
    return Configuration(configuration.version + 1, classes, teams, keys, zones)


def describe_change(change: Change) -> str:
    """Return one line about a change, with no secret in it."""
    match change:
        case ClassesAndTeams():
            return f"{len(change.classes)} classes and {len(change.teams)} teams"
        case KeyGrant():
            return f"key {change.hash.key_id} granted to {change.team}"
        case KeyWithdrawal():
            return f"key {change.key_id} withdrawn"
        case ZoneOut():
            return f"zone {change.zone} taken out"
        case ZoneIn():
            return f"zone {change.zone} brought back"
