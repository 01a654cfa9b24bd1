"""Operators' configuration: classes, targets, shares, limits, keys and zones."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, field
from typing import Literal

from .resources import Resources

WorkKind = Literal["request", "batch", "service", "gang"]
"""Execution mode of the work of a class."""

URGENT_TARGET_S = 10.0
"""Largest target, in seconds, of an urgent class."""

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work and its latency or completion target.

    :param name: unique name
    :param kind: execution mode of its work
    :param within_s: target in seconds from submission to completion (to the start,
        for services)
    :param by_s: target as seconds after midnight UTC; used when ``within_s`` is
        ``None``
    :param open: whether callers without a key may submit to the class
    """

    name: str
    kind: WorkKind
    within_s: float | None = None
    by_s: int | None = None
    open: bool = False

    @property
    def is_urgent(self) -> bool:
        """Whether the target is short enough that a caller waits for the work."""
        return self.within_s is not None and self.within_s <= URGENT_TARGET_S

    def compute_deadline(self, wall: float) -> float:
        """Return the wall-clock deadline of work submitted at ``wall``.

        Without a target the deadline is one day after submission.

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
    """The stored form of an API key: its public id and a salted hash of its secret."""

    key_id: str
    salt: str
    digest: str

    @classmethod
    def from_secret(cls, key_id: str, salt: str, secret: str) -> KeyHash:
        """Create an instance by hashing a secret with a salt."""
        return cls(key_id, salt, _digest(salt, secret))

    def matches(self, secret: str) -> bool:
        """Return whether a secret has this hash, comparing in constant time."""
        return hmac.compare_digest(self.digest, _digest(self.salt, secret))


def _digest(salt: str, secret: str) -> str:
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its fair-share weight and its upper limit.

    :param share: weight of the team when the fleet is full, relative to other teams
    :param limit: maximum resources that it may use across the fleet; ``None`` for no
        limit
    """

    name: str
    share: float = 1.0
    limit: Resources | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    :param keys_by_id: team and hash of each valid key
    :param zones_out: availability zones taken out of service
    """

    version: int = 0
    classes_by_name: dict[str, WorkClass] = field(default_factory=dict)
    teams_by_name: dict[str, Team] = field(default_factory=dict)
    keys_by_id: dict[str, TeamKey] = field(default_factory=dict)
    zones_out: tuple[str, ...] = ()

    def find_team_by_key(self, presented: str) -> Team | None:
        """Return the team that a key authenticates, or ``None``.

        :param presented: ``KEYID.SECRET`` as sent by the caller
        """
        key_id, _, secret = presented.partition(".")
        key = self.keys_by_id.get(key_id)
        if key is None or not key.hash.matches(secret):
            return None
        return self.teams_by_name.get(key.team)


@dataclass(frozen=True, slots=True)
class TeamKey:
    """The hash of a key and the team that it authenticates."""

    team: str
    hash: KeyHash


@dataclass(frozen=True, slots=True)
class ClassesAndTeams:
    """Replace all classes and teams.

    Zones stay, and so do the keys of teams that still exist.
    """

    classes: tuple[WorkClass, ...]
    teams: tuple[Team, ...]


@dataclass(frozen=True, slots=True)
class KeyGrant:
    """Authorize a key for a team."""

    team: str
    hash: KeyHash


@dataclass(frozen=True, slots=True)
class KeyWithdrawal:
    """Revoke a key."""

    key_id: str


@dataclass(frozen=True, slots=True)
class ZoneOut:
    """Take an availability zone out of service."""

    zone: str


@dataclass(frozen=True, slots=True)
class ZoneIn:
    """Return an availability zone to service."""

    zone: str


Change = ClassesAndTeams | KeyGrant | KeyWithdrawal | ZoneOut | ZoneIn
"""Any configuration change by an operator."""


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """Return the next version of a configuration, with a change applied."""
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
    """Return a one-line description of a change, without secrets."""
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
