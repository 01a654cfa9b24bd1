"""What clients, the operator and the injector of faults have seen."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from ..hosted.deployment import KEY, PREFIX
from ..hosted.stalls import StallMonitor

CONTACT_S = 3.0
"""Seconds without a disturbance after which a process and the store count as calm."""

CALL_TIMEOUT_S = 4.0
"""Seconds after which a client gives a call up."""

STORE = "store"
"""Scope of the disturbances of the store itself."""


@dataclass(slots=True)
class Job:
    """A job that a client has submitted.

    Times are monotonic seconds; 0 if it has not come to that.

    :param body: the body as it was submitted
    :param unknown_attempts: submissions that were not answered
    :param states: time and state of each answer to a question for its state
    :param prefix: path prefix of its queue
    :param key: key of its client account
    """

    id: str
    body: dict[str, Any]
    submitted_at: float
    accepted_at: float = 0.0
    refused_attempts: int = 0
    unknown_attempts: int = 0
    cancel_sent_at: float = 0.0
    cancelled_at: float = 0.0
    states: list[tuple[float, str, str]] = field(default_factory=list)
    prefix: str = PREFIX
    key: str = KEY

    @property
    def is_refused(self) -> bool:
        """Whether every submission was certainly refused."""
        return not self.accepted_at and not self.unknown_attempts

    def list_tasks(self) -> list[str]:
        """Return the names of all its tasks."""
        return [
            f"{self.id}.{occurrence}.{number}.{position}"
            for occurrence in range(max(1, self.body.get("repeatCount", 0)))
            for number, step in enumerate(self.body["steps"])
            for position in range(step["count"])
        ]


@dataclass(frozen=True, slots=True)
class Version:
    """A configuration that the operator has written.

    :param routes: numbers of the optional routes that it has
    :param keys: numbers of the optional keys that it has
    """

    number: int
    routes: frozenset[int]
    keys: frozenset[int]
    sent_at: float
    acknowledged_at: float


@dataclass(frozen=True, slots=True)
class Probe:
    """A call for the count of an optional route, with an optional key.

    :param incarnation: number of the process at this address
    """

    ip: str
    incarnation: int
    route: int
    key: int
    sent_at: float
    answered_at: float
    status: int


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A zone that was out of service."""

    zone: str
    acknowledged_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Outage:
    """A time in which no process reached the store."""

    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A process that was stopped with SIGTERM, until it had exited."""

    ip: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class UnansweredCall:
    """A call whose connection ended without a complete response."""

    ip: str
    method: str
    path: str
    sent_at: float
    ended_at: float


@dataclass(slots=True)
class Observations:
    """Everything that the checks need, in monotonic seconds."""

    began_at: float = field(default_factory=time.monotonic)
    job_by_id: dict[str, Job] = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    disturbances: list[tuple[str, float, float]] = field(default_factory=list)
    """Scope, begin and end of each disturbance."""

    planned_work: set[tuple[str, float, float]] = field(default_factory=set)
    """Those of the disturbances that are planned stops, or starts after no fault."""

    stops: list[PlannedStop] = field(default_factory=list)
    unanswered_calls: list[UnansweredCall] = field(default_factory=list)
    stalls: StallMonitor = field(default_factory=StallMonitor)
    outages: list[Outage] = field(default_factory=list)
    cancel_acknowledged: asyncio.Event = field(default_factory=asyncio.Event)
    """Set with each acknowledged cancel; who waits for the next one clears it."""

    preempted: list[str] = field(default_factory=list)
    """Tasks of which a run was stopped to make room for a gang."""

    harms: list[tuple[str, float, float]] = field(default_factory=list)
    """Worker, begin and end of each disturbance of a worker or of links to it."""

    def harm(self, worker: str, duration_s: float) -> None:
        """Record a disturbance of a worker that begins now."""
        now = time.monotonic()
        self.harms.append((worker, now, now + duration_s))

    def disturb(self, scope: str, duration_s: float, is_planned: bool = False) -> None:
        """Record a disturbance that begins now."""
        now = time.monotonic()
        self.add_disturbance(scope, now, now + duration_s, is_planned)

    def add_disturbance(
        self, scope: str, began_at: float, ended_at: float, is_planned: bool
    ) -> None:
        """Record a disturbance."""
        disturbance = (scope, began_at, ended_at)
        self.disturbances.append(disturbance)
        if is_planned:
            self.planned_work.add(disturbance)

    def is_calm_but_for_planned_work(self, ip: str, since: float, until: float) -> bool:
        """Whether nothing but planned stops has disturbed a process."""
        return not any(
            scope == ip
            and began_at <= until
            and ended_at >= since - CONTACT_S
            and (scope, began_at, ended_at) not in self.planned_work
            for scope, began_at, ended_at in self.disturbances
        )

    def is_calm_beside(self, outage: Outage, worker: str, until: float) -> bool:
        """Whether an outage is all that has disturbed processes or a worker."""
        since = outage.began_at - CONTACT_S
        of_outage = (STORE, outage.began_at, outage.ended_at)
        disturbances = [d for d in self.disturbances if d != of_outage]
        harms = [harm for harm in self.harms if harm[0] == worker]
        return not any(
            began_at <= until and ended_at >= since
            for _, began_at, ended_at in disturbances + harms
        )

    def is_calm(self, scopes: set[str] | None, since: float, until: float) -> bool:
        """Whether nothing has disturbed any of some scopes, or None for all of them."""
        return not any(
            (scopes is None or scope in scopes)
            and began_at <= until
            and ended_at >= since - CONTACT_S
            for scope, began_at, ended_at in self.disturbances
        )
