"""Findings on a configuration before it is published.

Syntax, names and targets are validated when the file is read. The checks here need the
whole configuration, and some of them the version in force or the workers of the fleet.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal

from ..model.configuration import ClassesAndTeams, Configuration, Team, apply_change
from ..model.resources import (
    MILLICORES_PER_PROCESSOR,
    NO_RESOURCES,
    UNLIMITED,
    Resources,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

Severity = Literal["error", "warning"]
"""An error is certain from the file alone; a warning can be intended."""


@dataclass(frozen=True, slots=True)
class Finding:
    """A result of a check.

    :param check: name of the check
    :param subject: entry that it is about, such as ``team planning``
    """

    severity: Severity
    check: str
    subject: str
    text: str


@dataclass(frozen=True, slots=True)
class FleetWorker:
    """What a check needs to know about a worker."""

    zone: str
    is_live: bool
    capacity: Resources


@dataclass(frozen=True, slots=True)
class CheckInput:
    """The data that checks decide on.

    :param proposed: configuration as it would be after publishing
    :param current: version in force; ``None`` if unknown
    :param workers: all workers of the fleet; empty if unknown
    :param default_need: resources of a request that declares none
    """

    proposed: Configuration
    current: Configuration | None
    workers: tuple[FleetWorker, ...]
    default_need: Resources

    @classmethod
    def from_change(
        cls,
        change: ClassesAndTeams,
        current: Configuration | None,
        workers: tuple[FleetWorker, ...],
        default_need: Resources,
    ) -> CheckInput:
        """Create an instance by applying a change to the version in force."""
        proposed = apply_change(current or Configuration(), change)
        return cls(proposed, current, workers, default_need)

    @property
    def fleet_capacity(self) -> Resources:
        """Capacity of all workers."""
        return sum((item.capacity for item in self.workers), NO_RESOURCES)

    @property
    def usable_capacity(self) -> Resources:
        """Capacity of the live workers in zones that are in service."""
        usable = (
            item.capacity
            for item in self.workers
            if item.is_live and item.zone not in self.proposed.zones_out
        )
        return sum(usable, NO_RESOURCES)

    def compute_promise(self, team: Team) -> Resources:
        """Return the part of the usable capacity that a team's share promises."""
        part = compute_share_parts(self.proposed.teams_by_name)[team.name]
        capacity = self.usable_capacity
        return Resources(
            int(capacity.processors * part),
            int(capacity.memory * part),
            int(capacity.accelerators * part),
        )


class ConfigurationCheck(ABC):
    """A check of a whole configuration."""

    name: str
    severity: Severity

    @abstractmethod
    def find(self, given: CheckInput) -> Iterator[Finding]:
        """Yield the findings, in the order of the file."""

    def make_finding(self, subject: str, text: str) -> Finding:
        """Return a finding of this check."""
        return Finding(self.severity, self.name, subject, text)


class ClassWithoutCallerCheck(ConfigurationCheck):
    """Finds classes that no caller can use, and a configuration without classes."""

    name = "class-without-caller"
    severity: Severity = "error"

    def find(self, given: CheckInput) -> Iterator[Finding]:
        """Yield a finding for each class that is not open if there is no team."""
        if not given.proposed.classes_by_name:
            yield self.make_finding("class", "no class, so no work can be submitted")
        if given.proposed.teams_by_name:
            return
        for item in given.proposed.classes_by_name.values():
            if not item.open:
                text = "not open, and no team can have a key to use it"
                yield self.make_finding(f"class {item.name}", text)


class EmptyLimitCheck(ConfigurationCheck):
    """Finds limits that admit no task, as every task needs processors."""

    name = "empty-limit"
    severity: Severity = "error"

    def find(self, given: CheckInput) -> Iterator[Finding]:
        """Yield a finding for each limit of less than one millicore."""
        for team in given.proposed.teams_by_name.values():
            if team.limit is not None and team.limit.processors <= 0:
                text = "a limit below 0.001 processors admits no task"
                yield self.make_finding(f"team {team.name}", text)


class DefaultNeedCheck(ConfigurationCheck):
    """Finds limits below the resources of a request that declares none."""

    name = "default-need"
    severity: Severity = "warning"

    def find(self, given: CheckInput) -> Iterator[Finding]:
        """Yield a finding for each such limit if there is a class for requests."""
        classes = given.proposed.classes_by_name.values()
        if not any(item.kind == "request" for item in classes):
            return
        need = given.default_need
        for team in given.proposed.teams_by_name.values():
            if team.limit is None or team.limit.processors <= 0:
                continue
            if not need.fits_in(team.limit):
                text = (
                    f"its limit refuses requests that declare no need: they count as "
                    f"{need.processors / MILLICORES_PER_PROCESSOR:g} processors"
                )
                yield self.make_finding(f"team {team.name}", text)


class EmptyMemoryLimitCheck(ConfigurationCheck):
    """Finds memory limits below 1 MiB."""

    name = "empty-memory-limit"
    severity: Severity = "warning"

    def find(self, given: CheckInput) -> Iterator[Finding]:
        """Yield a finding for each limit that refuses all work that needs memory."""
        for team in given.proposed.teams_by_name.values():
            if team.limit is not None and team.limit.memory <= 0:
                text = "a limit below 1 MiB refuses every task that declares memory"
                yield self.make_finding(f"team {team.name}", text)


class TeamWithoutKeyCheck(ConfigurationCheck):
    """Finds teams in force that have no key.

    A new team can get a key only after it is published, so it is no finding.
    """

    name = "team-without-key"
    severity: Severity = "warning"

    def find(self, given: CheckInput) -> Iterator[Finding]:
        """Yield a finding for each team in force without a key."""
        if given.current is None:
            return
        teams_with_key = {key.team for key in given.proposed.keys_by_id.values()}
        for name in given.proposed.teams_by_name:
            if name in given.current.teams_by_name and name not in teams_with_key:
                text = "no key, so nobody can submit work for it"
                yield self.make_finding(f"team {name}", text)


class ZoneCheck(ConfigurationCheck):
    """Finds zones out of service that no worker is in, and a fleet all out."""

    name = "zone"
    severity: Severity = "warning"

    def find(self, given: CheckInput) -> Iterator[Finding]:
        """Yield findings on the zones that are out of service."""
        zones = {item.zone for item in given.workers}
        if not zones:
            return
        for zone in given.proposed.zones_out:
            if zone not in zones:
                text = "out of service, but no worker is in it"
                yield self.make_finding(f"zone {zone}", text)
        if zones <= set(given.proposed.zones_out):
            text = "all zones with workers are out of service, so nothing can start"
            yield self.make_finding("zone", text)


class IneffectiveLimitCheck(ConfigurationCheck):
    """Finds limits that the whole fleet can't exceed."""

    name = "ineffective-limit"
    severity: Severity = "warning"

    def find(self, given: CheckInput) -> Iterator[Finding]:
        """Yield a finding for each limited resource; a limit of 0 always counts."""
        if not given.workers:
            return
        fleet = list_amounts(given.fleet_capacity)
        for team in given.proposed.teams_by_name.values():
            for key, amount in list_amounts(team.limit).items():
                if fleet[key].amount <= amount.amount and 0 < amount.amount < UNLIMITED:
                    text = (
                        f"its limit of {amount} has no effect: the whole fleet has "
                        f"{fleet[key]}"
                    )
                    yield self.make_finding(f"team {team.name}", text)


class LimitBelowShareCheck(ConfigurationCheck):
    """Finds limits below the part of the fleet that the team's share promises."""

    name = "limit-below-share"
    severity: Severity = "warning"

    def find(self, given: CheckInput) -> Iterator[Finding]:
        """Yield a finding for each limited resource.

        A limit of 0 accelerators excludes a team from them on purpose, and limits of 0
        of other resources are findings of other checks.
        """
        for team in given.proposed.teams_by_name.values():
            promised = list_amounts(given.compute_promise(team))
            for key, amount in list_amounts(team.limit).items():
                if 0 < amount.amount < promised[key].amount:
                    text = (
                        f"its limit of {amount} is below its share of the fleet, "
                        f"{promised[key]}"
                    )
                    yield self.make_finding(f"team {team.name}", text)


class TinyShareCheck(ConfigurationCheck):
    """Finds shares that promise less than the smallest task needs."""

    name = "tiny-share"
    severity: Severity = "warning"

    def find(self, given: CheckInput) -> Iterator[Finding]:
        """Yield a finding for each share of less than one millicore of the fleet."""
        if not given.usable_capacity.processors:
            return
        for team in given.proposed.teams_by_name.values():
            if given.compute_promise(team).processors < 1:
                text = "its share promises less than 0.001 processors of the fleet"
                yield self.make_finding(f"team {team.name}", text)


CHECK_BY_NAME: dict[str, ConfigurationCheck] = {
    check.name: check
    for check in (
        ClassWithoutCallerCheck(),
        EmptyLimitCheck(),
        DefaultNeedCheck(),
        EmptyMemoryLimitCheck(),
        TeamWithoutKeyCheck(),
        ZoneCheck(),
        IneffectiveLimitCheck(),
        LimitBelowShareCheck(),
        TinyShareCheck(),
    )
}
"""All checks, in the order in which they run."""


def find_findings(given: CheckInput) -> tuple[Finding, ...]:
    """Return the findings of all checks, errors first."""
    findings = [item for check in CHECK_BY_NAME.values() for item in check.find(given)]
    return tuple(sorted(findings, key=lambda item: item.severity != "error"))


def compute_share_parts(teams_by_name: dict[str, Team]) -> dict[str, float]:
    """Return the fraction of a full fleet that each team is entitled to.

    Shares are weights, so they need not sum to any given number.
    """
    total = sum(item.share for item in teams_by_name.values())
    return {
        name: item.share / total if total > 0 else 0.0
        for name, item in teams_by_name.items()
    }


@dataclass(frozen=True, slots=True)
class Amount:
    """An amount of one resource, formatted in the unit of the configuration file."""

    amount: int
    unit: str

    def __str__(self) -> str:
        if self.amount >= UNLIMITED:
            return "none"
        if self.unit == "processors":
            return f"{self.amount / MILLICORES_PER_PROCESSOR:g} processors"
        return f"{self.amount} {self.unit}"


def list_amounts(resources: Resources | None) -> dict[str, Amount]:
    """Return the amount of each resource by its key in a limit of the file."""
    if resources is None:
        resources = Resources(UNLIMITED, UNLIMITED, UNLIMITED, UNLIMITED)
    return {
        "processors": Amount(resources.processors, "processors"),
        "memory_gib": Amount(resources.memory, "MiB"),
        "accelerators": Amount(resources.accelerators, "accelerators"),
    }
