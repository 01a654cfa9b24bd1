"""Owned workers, the attempts on them, and an index by free capacity."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Literal

from sortedcontainers import SortedList

from ..model.resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..model.reports import HostInfo
    from ..model.work import Grant

WorkerPhase = Literal["waiting", "reconciling", "open", "unreachable"]
"""Phase of a worker at its owner.

``waiting``: an earlier owner may still act on it; ``reconciling``: the record of what
it runs is being appended to the log; ``open``: it may be used; ``unreachable``: it
doesn't answer.
"""

AttemptPhase = Literal["held", "starting", "running", "stopping"]
"""Phase of an attempt on its worker; ``held`` only reserves resources."""


@dataclass(slots=True)
class Attempt:
    """An attempt that may hold a lease on a worker.

    :param coordinator: member that coordinates it
    :param lease_until: monotonic time by which its lease has certainly expired
    :param act_before: wall-clock time after which its start can't take effect
    :param grant: its grant; ``None`` if it was found running
    :param stopped: kind of stop that it was sent; empty if none
    :param missing_since: monotonic time at which its worker first did not know it; 0
        if the worker knows it
    """

    key: str
    team: str
    work_class: str
    kind: str
    coordinator: str
    need: Resources
    worker: str
    phase: AttemptPhase
    lease_until: float
    started: float
    act_before: float = 0.0
    deferrable: bool = False
    grant: Grant | None = None
    used: Resources = NO_RESOURCES
    throttled: bool = False
    missing_since: float = 0.0
    stopped: Literal["", "stop", "checkpoint"] = ""


@dataclass(slots=True)
class Worker:
    """A worker that this member owns.

    :param ready_at: monotonic time from which no earlier owner can have authority
    :param exchange: number of the exchange in flight; 0 if there is none
    :param cursor: number of the latest completion that was read
    :param incarnation: incarnation that it last reported; empty if it reports none
    :param fences: whether it refuses callers of earlier views
    """

    info: HostInfo
    phase: WorkerPhase = "waiting"
    ready_at: float = 0.0
    capacity: Resources = NO_RESOURCES
    committed: Resources = NO_RESOURCES
    attempt_by_key: dict[str, Attempt] = field(default_factory=dict)
    exchange: int = 0
    cursor: int = 0
    incarnation: str = ""
    next_report: float = 0.0
    next_renewal: float = 0.0
    stops: set[str] = field(default_factory=set)
    checkpoints: set[str] = field(default_factory=set)
    throttles: set[str] = field(default_factory=set)
    starts: list[Grant] = field(default_factory=list)
    unreachable_since: float = 0.0
    fences: bool = False

    @property
    def name(self) -> str:
        """Name of the worker, as ``rack/name``."""
        return self.info.name

    @property
    def free(self) -> Resources:
        """Resources that no lease takes; negative where measured use exceeds them."""
        return self.capacity - self.committed


NO_FREE_SLOT = -1
"""Index key of a worker without a free slot."""


class WorkerIndex:
    """Index of open workers by free processors, with logarithmic lookups."""

    def __init__(self) -> None:
        self._by_free: SortedList[tuple[int, str]] = SortedList()
        self._key_by_name: dict[str, tuple[int, str]] = {}

    def __len__(self) -> int:
        return len(self._key_by_name)

    def __contains__(self, name: object) -> bool:
        return name in self._key_by_name

    def update(self, worker: Worker) -> None:
        """Insert a worker, or reposition it after its free processors changed."""
        free = worker.free
        key = (free.processors if free.slots > 0 else NO_FREE_SLOT, worker.name)
        known = self._key_by_name.get(worker.name)
        if known == key:
            return
        if known is not None:
            self._by_free.remove(known)
        self._by_free.add(key)
        self._key_by_name[worker.name] = key

    def remove(self, name: str) -> None:
        """Remove a worker if it is indexed."""
        known = self._key_by_name.pop(name, None)
        if known is not None:
            self._by_free.remove(known)

    def iterate_tightest(self, processors: int) -> Iterator[str]:
        """Yield workers with at least this many free millicores, fullest first."""
        for _, name in self._by_free.irange(minimum=(processors, "")):
            yield name

    def iterate_emptiest(self, processors: int) -> Iterator[str]:
        """Yield workers with at least this many free millicores, emptiest first."""
        for _, name in self._by_free.irange(minimum=(processors, ""), reverse=True):
            yield name
