"""State of workers: room, incarnation, fence, lease and health."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model.resources import Resources

if TYPE_CHECKING:
    from .jobs import Task
    from .specs import TaskId

CLOCK_RATE_ERROR = 0.02
"""Largest error in the rate of a worker's clock, as a share; from the platform."""

LEASE_MARGIN_S = 0.1
"""Seconds added before a lease counts as lapsed: timers of workers fire late."""

MOST_TASKS = 1_000
"""Tasks without a size that a worker takes."""

CONTACT_TIMEOUT_S = 2.5
"""Seconds without an answer after which a worker gets no starts: two long waits."""


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker says of itself in the list of workers.

    :param incarnation: start of this incarnation, Unix milliseconds
    :param remaining_s: least time left of a draining worker, in seconds
    """

    id: str
    service: str
    address: str
    zone: str
    is_ready: bool
    capacity: Resources
    labels: frozenset[str]
    rack: str
    incarnation: int
    remaining_s: float | None = None


@dataclass(slots=True)
class Worker:
    """What the planner knows of a worker.

    :param token: fencing token for orders to it
    :param fenced_incarnation: incarnation that has confirmed the token
    :param lease_until: time at which everything ordered so far has lapsed for certain
    :param cursor: number of the last end that is stored
    :param seen_end: number of the last end that was reduced
    :param told_cursor: the cursor that it has confirmed
    :param sent_cursor: the cursor that the hold in flight carries; 0 for none
    :param poll_due: time at which the next hold may be sent
    :param clock_ms: the worker's clock, at the steady time ``clock_at``
    :param is_suspect: whether starts got no answer since it last listed its runs
    :param foreign: runs that it lists and that were not placed there
    """

    id: str
    token: int
    entry: WorkerEntry | None = None
    is_listed: bool = False
    clock_ms: int = 0
    clock_at: float = 0.0
    incarnation: int = 0
    fenced_incarnation: int = -1
    lease_until: float = 0.0
    cursor: int = 0
    seen_end: int = 0
    told_cursor: int = 0
    sent_cursor: int = 0
    is_polling: bool = False
    poll_due: float = 0.0
    answered_at: float = float("-inf")
    failed_polls: int = 0
    is_suspect: bool = False
    task_by_id: dict[TaskId, Task] = field(default_factory=dict)
    foreign: dict[tuple[TaskId, int], Resources] = field(default_factory=dict)
    free_processors: int = 0
    free_memory: int = 0
    free_accelerators: int = 0
    fail_streak: int = 0
    slowness: float = 1.0
    quarantined_until: float = 0.0

    def accept(self, entry: WorkerEntry) -> None:
        """Take a new entry over."""
        before = self.entry.capacity if self.entry else Resources()
        self.entry = entry
        self.free_processors += entry.capacity.processors - before.processors
        self.free_memory += entry.capacity.memory - before.memory
        self.free_accelerators += entry.capacity.accelerators - before.accelerators

    def reserve(self, size: Resources, fills: bool = False) -> None:
        """Count a task against the room; one that fills takes no processors."""
        if not fills:
            self.free_processors -= size.processors
        self.free_memory -= size.memory
        self.free_accelerators -= size.accelerators

    def release(self, size: Resources, fills: bool = False) -> None:
        """Return what :meth:`reserve` took."""
        if not fills:
            self.free_processors += size.processors
        self.free_memory += size.memory
        self.free_accelerators += size.accelerators

    def has_room(self, size: Resources, fills: bool = False) -> bool:
        """Whether a task fits now."""
        return (
            (fills or size.processors <= self.free_processors)
            and size.memory <= self.free_memory
            and size.accelerators <= self.free_accelerators
        )

    def count_room(self, size: Resources, fills: bool = False) -> int:
        """Return how many tasks of a size fit now."""
        room = MOST_TASKS
        if size.memory:
            room = min(room, self.free_memory // size.memory)
        if size.processors and not fills:
            room = min(room, self.free_processors // size.processors)
        if size.accelerators:
            room = min(room, self.free_accelerators // size.accelerators)
        return max(0, room)

    def count_room_when_empty(self, size: Resources, fills: bool = False) -> int:
        """Return how many tasks of a size would fit if nothing ran."""
        if self.entry is None:
            return 0
        empty = Worker(self.id, self.token)
        empty.accept(self.entry)
        return empty.count_room(size, fills)

    def is_usable(self, now: float) -> bool:
        """Whether it is confirmed, reachable, ready and not in quarantine."""
        return (
            self.entry is not None
            and self.is_listed
            and self.entry.is_ready
            and self.incarnation != 0
            and self.fenced_incarnation == self.incarnation
            and now - self.answered_at < CONTACT_TIMEOUT_S
            and now >= self.quarantined_until
            and not self.failed_polls
            and not self.is_suspect
        )

    def compute_deadline_ms(self, now: float, lease_s: float) -> int:
        """Return a time on the worker's clock, ``lease_s`` seconds from now."""
        return int(self.clock_ms + (now - self.clock_at + lease_s) * 1000)

    @property
    def is_out_of_contact(self) -> bool:
        """Whether its leases are not being renewed."""
        return self.entry is None or self.incarnation == 0 or self.failed_polls > 0

    def extend_lease(self, now: float, lease_s: float) -> None:
        """Note that an order with a lease leaves now."""
        longest = lease_s / (1 - CLOCK_RATE_ERROR) + LEASE_MARGIN_S
        self.lease_until = max(self.lease_until, now + longest)


def fits_when_empty(size: Resources, entry: WorkerEntry, fills: bool) -> bool:
    """Whether a task would fit on a worker that runs nothing else."""
    needed = Resources(0, size.memory, size.accelerators) if fills else size
    return needed.fits_in(entry.capacity)
