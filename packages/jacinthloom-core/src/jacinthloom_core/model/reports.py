"""What workers and the host list tell."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from .resources import Resources
from .work import Outcome

HostState = Literal["live", "leaving"]
"""State of a host in the platform's list."""


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
        """Rack that the worker stands in."""
        return rack_of(self.name)


def rack_of(worker: str) -> str:
    """Return the rack in a worker's name."""
    return worker.rpartition("/")[0]


@dataclass(frozen=True, slots=True)
class RunningTask:
    """An attempt that holds a task lease on a worker.

    :param team: team that it counts against
    :param need: resources that its lease takes
    :param used: resources that it was last seen to use
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
    """What a worker says of itself.

    :param fence: highest view number that it holds callers to; -1 if it does not
        fence
    :param cursor: number of its latest completion
    """

    capacity: Resources
    running: tuple[RunningTask, ...]
    fence: int
    cursor: int


@dataclass(frozen=True, slots=True)
class StartResult:
    """Whether a worker accepted a start.

    :param reason: why not; empty if accepted
    """

    key: str
    accepted: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Completion:
    """An attempt ended on a worker.

    :param result: opaque text
    :param ran_s: seconds that it ran
    :param used: most resources that it was seen to use
    """

    key: str
    home: str
    outcome: Outcome
    result: str
    ran_s: float
    used: Resources


@dataclass(frozen=True, slots=True)
class TaskUse:
    """What an attempt was last seen to use."""

    key: str
    used: Resources
