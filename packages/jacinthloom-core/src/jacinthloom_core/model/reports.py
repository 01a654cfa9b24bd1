"""Data reported by workers and by the platform's host list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from .resources import Resources
from .work import Outcome

HostState = Literal["live", "leaving"]
"""State of a host in the platform's host list."""


@dataclass(frozen=True, slots=True)
class HostInfo:
    """A worker in the platform's host list.

    :param name: rack and name, as ``rack/name``
    """

    name: str
    address: str
    zone: str
    state: HostState

    @property
    def rack(self) -> str:
        """Rack of the worker."""
        return rack_of(self.name)


def rack_of(worker: str) -> str:
    """Return the rack part of a worker's name."""
    return worker.rpartition("/")[0]


@dataclass(frozen=True, slots=True)
class RunningTask:
    """An attempt that holds a task lease on a worker.

    :param key: name of the attempt
    :param team: team that its usage counts against
    :param home: coordinator of its job or request
    :param need: resources that its lease reserves
    :param used: resource usage last observed
    """

    key: str
    team: str
    work_class: str
    kind: str
    home: str
    need: Resources
    used: Resources


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's report of its state.

    :param fence: fencing token: the highest view number that the worker enforces on
        callers; -1 if it does not fence
    :param cursor: number of its latest completion
    :param incarnation: identity that it chose at its start; empty if it has none
    """

    capacity: Resources
    running: tuple[RunningTask, ...]
    fence: int
    cursor: int
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class StartResult:
    """A worker's response to the start of an attempt.

    :param reason: reason of a rejection; empty if accepted
    """

    key: str
    accepted: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Completion:
    """The end of an attempt on a worker.

    :param result: opaque text
    :param ran_s: seconds that it ran
    :param used: peak resource usage observed
    """

    key: str
    home: str
    outcome: Outcome
    result: str
    ran_s: float
    used: Resources


@dataclass(frozen=True, slots=True)
class TaskUse:
    """The resource usage of an attempt, as last observed."""

    key: str
    used: Resources
