"""The owner's books: workers and the attempts that hold leases on them."""

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
"""How far this member has got with a worker.

``waiting``: an earlier owner may still act; ``reconciling``: what runs there is
being told to the log; ``open``: it may be used; ``unreachable``: it doesn't answer.
"""

AttemptPhase = Literal["held", "starting", "running", "stopping"]
"""How far an attempt has got on its worker; ``held`` only takes room."""


@dataclass(slots=True)
class Attempt:
    """An attempt that may hold a lease on a worker.

    :param lease_until: monotonic time by which its lease has lapsed for certain
    :param act_before: wall-clock time after which its start can't take effect
    :param grant: its grant; ``None`` if it was found running
    :param stopped: how it was told to stop
    :param missing_since: when its worker first did not know it; 0 if it does
    """

    key: str
    team: str
    work_class: str
    kind: str
    home: str
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
    """A worker that this member owns."""

    info: HostInfo
    phase: WorkerPhase = "waiting"
    ready_at: float = 0.0
    capacity: Resources = NO_RESOURCES
    committed: Resources = NO_RESOURCES
    attempt_by_key: dict[str, Attempt] = field(default_factory=dict)
    exchange: int = 0
    cursor: int = 0
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
        """Rack and name of the worker."""
        return self.info.name

    @property
    def free(self) -> Resources:
        """Resources that no lease takes; negative where use proved higher."""
        return self.capacity - self.committed


NO_ROOM = -1
"""Index key of a worker without a free slot."""


class WorkerIndex:
    """Find open workers by free processors in logarithmic time."""

    def __init__(self) -> None:
        self._by_free: SortedList[tuple[int, str]] = SortedList()
        self._key_by_name: dict[str, tuple[int, str]] = {}

    def __len__(self) -> int:
        return len(self._key_by_name)

    def __contains__(self, name: object) -> bool:
        return name in self._key_by_name

    def update(self, worker: Worker) -> None:
        """Put a worker at its place by its free processors."""
        free = worker.free
        key = (free.processors if free.slots > 0 else NO_ROOM, worker.name)
        known = self._key_by_name.get(worker.name)
        if known == key:
            return
        if known is not None:
            self._by_free.remove(known)
        self._by_free.add(key)
        self._key_by_name[worker.name] = key

    def remove(self, name: str) -> None:
        """Take a worker out, if it is in."""
        known = self._key_by_name.pop(name, None)
        if known is not None:
            self._by_free.remove(known)

    def iterate_tightest(self, processors: int) -> Iterator[str]:
        """Yield workers with at least this many millicores, fullest first."""
        for _, name in self._by_free.irange(minimum=(processors, "")):
            yield name

    def iterate_emptiest(self, processors: int) -> Iterator[str]:
        """Yield workers with at least this many millicores, emptiest first."""
        for _, name in self._by_free.irange(minimum=(processors, ""), reverse=True):
            yield name
