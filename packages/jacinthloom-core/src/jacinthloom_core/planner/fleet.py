"""State of workers: capacity, incarnation, fencing, lease and health."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model.resources import Resources

if TYPE_CHECKING:
    from .isolation import Isolation
    from .jobs import Task
    from .specs import TaskId

CLOCK_RATE_ERROR = 0.02
"""Maximum relative error in the rate of a worker's clock, set by the platform."""

LEASE_MARGIN_S = 0.1
"""Seconds added before a lease counts as expired, because workers' timers fire late."""

MAX_UNSIZED_TASKS = 1_000
"""Maximum number of tasks on a worker if they need no resources."""

CONTACT_TIMEOUT_S = 2.5
"""Seconds without a response after which a worker gets no starts: two long polls."""


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Entry that a worker writes for itself in the list of workers.

    :param service: name of the pool that the worker belongs to
    :param zone: availability zone
    :param incarnation: start of this incarnation, Unix time in milliseconds
    :param remaining_s: minimum time that a draining worker goes on, in seconds
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


@dataclass(frozen=True, slots=True)
class WorkerLoss:
    """Loss of contact with one incarnation of a worker.

    :param answered_at: time of its last response to a poll; minus infinity if there was
        none
    :param noticed_at: time at which a poll failed, or a later incarnation answered
    """

    worker: str
    incarnation: int
    rack: str
    zone: str
    answered_at: float
    noticed_at: float

    def overlaps(self, other: WorkerLoss) -> bool:
        """Whether both workers may have been lost at the same moment."""
        return (
            self.answered_at <= other.noticed_at
            and other.answered_at <= self.noticed_at
        )


@dataclass(slots=True)
class Worker:
    """State of a worker as the planner knows it.

    :param token: fencing token for orders to the worker
    :param is_listed: whether the worker is in the list of workers
    :param left_incarnation: latest incarnation that was leaving when the entry of
        another one took the place of its own
    :param clock_ms: the worker's clock at the monotonic time ``clock_at``
    :param incarnation: latest known incarnation; 0 if none is known
    :param fenced_incarnation: incarnation that has confirmed the token
    :param lease_until: time at which all leases granted so far have certainly expired
    :param cursor: number of the last end that is stored
    :param seen_end: number of the last end that was processed
    :param confirmed_cursor: cursor that the worker has confirmed
    :param sent_cursor: cursor that the poll in flight carries; 0 for none
    :param has_unlisted_ends: whether its latest lists were cut off
    :param unstored_polls: polls since the last one that listed no unstored ends
    :param poll_due: time at which the next poll may be sent
    :param answered_at: time of the last response to a poll
    :param failed_polls: polls that failed since the last response
    :param loss: loss of contact that is not over, or whose runs are not yet requeued
    :param isolation: reservation for tasks that may have crashed their worker
    :param is_suspect: whether starts went unanswered since the last list of runs
    :param foreign_runs: listed runs that were not placed on the worker, with the size
        of each and whether it uses only idle processor time
    :param largest_capacity: largest capacity that its entries have shown
    :param consecutive_failures: failed runs of different tasks since the last success
    :param slowness: run time relative to a typical worker
    :param speed_group: how the worker's speed compares with the others of the fleet
    :param doubt: level of the evidence that the worker fails or is lost; 0 for none
    """

    id: str
    token: int
    entry: WorkerEntry | None = None
    is_listed: bool = False
    left_incarnation: int = 0
    clock_ms: int = 0
    clock_at: float = 0.0
    incarnation: int = 0
    fenced_incarnation: int = -1
    lease_until: float = 0.0
    cursor: int = 0
    seen_end: int = 0
    confirmed_cursor: int = 0
    sent_cursor: int = 0
    has_unlisted_ends: bool = False
    unstored_polls: int = 0
    is_polling: bool = False
    poll_due: float = 0.0
    answered_at: float = float("-inf")
    failed_polls: int = 0
    loss: WorkerLoss | None = None
    isolation: Isolation | None = None
    is_suspect: bool = False
    task_by_id: dict[TaskId, Task] = field(default_factory=dict)
    foreign_runs: dict[tuple[TaskId, int], tuple[Resources, bool]] = field(
        default_factory=dict
    )
    free_processors: int = 0
    free_memory: int = 0
    free_accelerators: int = 0
    largest_capacity: Resources = field(default_factory=Resources)
    consecutive_failures: int = 0
    slowness: float = 1.0
    speed_group: int = 0
    doubt: int = 0
    quarantined_until: float = 0.0

    def accept(self, entry: WorkerEntry) -> None:
        """Replace the entry, and adjust the free capacity to it."""
        before = self.entry.capacity if self.entry else Resources()
        if self.entry is not None and self.entry.incarnation != entry.incarnation:
            is_leaving = not self.entry.is_ready
            self.left_incarnation = self.entry.incarnation if is_leaving else 0
        self.entry = entry
        self.largest_capacity = self.largest_capacity.component_max(entry.capacity)
        self.free_processors += entry.capacity.processors - before.processors
        self.free_memory += entry.capacity.memory - before.memory
        self.free_accelerators += entry.capacity.accelerators - before.accelerators

    def reserve(self, size: Resources, fills: bool = False) -> None:
        """Subtract a task from the free capacity.

        :param fills: whether the task uses only idle processor time, and so reserves no
            processors
        """
        if not fills:
            self.free_processors -= size.processors
        self.free_memory -= size.memory
        self.free_accelerators -= size.accelerators

    def release(self, size: Resources, fills: bool = False) -> None:
        """Return the resources that :meth:`reserve` subtracted."""
        if not fills:
            self.free_processors += size.processors
        self.free_memory += size.memory
        self.free_accelerators += size.accelerators

    @property
    def is_overcommitted(self) -> bool:
        """Whether more is placed on the worker than its capacity, which has shrunk."""
        return (
            self.free_processors < 0
            or self.free_memory < 0
            or self.free_accelerators < 0
        )

    def has_capacity_for(self, size: Resources, fills: bool = False) -> bool:
        """Whether a task fits into the free capacity."""
        return (
            (fills or size.processors <= self.free_processors)
            and size.memory <= self.free_memory
            and size.accelerators <= self.free_accelerators
        )

    def count_fitting(self, size: Resources, fills: bool = False) -> int:
        """Return how many tasks of a size fit into the free capacity."""
        count = MAX_UNSIZED_TASKS
        if size.memory:
            count = min(count, self.free_memory // size.memory)
        if size.processors and not fills:
            count = min(count, self.free_processors // size.processors)
        if size.accelerators:
            count = min(count, self.free_accelerators // size.accelerators)
        return max(0, count)

    def count_fitting_when_drained(self, size: Resources, fills: bool = False) -> int:
        """Return how many tasks of a size would fit once all others have ended.

        Tasks that last keep their resources.
        """
        if self.entry is None:
            return 0
        drained = Worker(self.id, self.token)
        drained.accept(self.entry)
        for task in self.task_by_id.values():
            spec = task.step.spec
            if spec.lasting and not task.is_stopping:
                drained.reserve(spec.size, spec.fills)
        return drained.count_fitting(size, fills)

    def is_usable(self, now: float) -> bool:
        """Whether the worker is fenced, in contact, ready and not in quarantine."""
        return (
            self.entry is not None
            and self.is_listed
            and self.entry.is_ready
            and self.incarnation != 0
            and self.fenced_incarnation == self.incarnation
            and self.describes_incarnation
            and now - self.answered_at < CONTACT_TIMEOUT_S
            and now >= self.quarantined_until
            and not self.failed_polls
            and not self.is_suspect
        )

    @property
    def describes_incarnation(self) -> bool:
        """Whether the entry is that of the incarnation that answers.

        A worker may return under its id with other labels or another capacity, before
        its entry is renewed. Entries without a start time are taken as they are.
        """
        return self.entry is not None and self.entry.incarnation in (
            0,
            self.incarnation,
        )

    def is_leaving(self, incarnation: int) -> bool:
        """Whether an incarnation drains, or did when it was last listed."""
        entry = self.entry
        if entry is not None and entry.incarnation in (0, incarnation):
            return not entry.is_ready
        return incarnation == self.left_incarnation

    def compute_deadline_ms(self, now: float, lease_s: float) -> int:
        """Return the time ``lease_s`` seconds from now on the worker's clock."""
        return int(self.clock_ms + (now - self.clock_at + lease_s) * 1000)

    def compute_least_clock_ms(self, now: float) -> int:
        """Return the least that the worker's clock can show from now on."""
        passed_ms = (now - self.clock_at) * (1 - CLOCK_RATE_ERROR) * 1000
        return int(self.clock_ms + max(0.0, passed_ms))

    @property
    def is_out_of_contact(self) -> bool:
        """Whether the worker's leases are not being renewed."""
        return self.entry is None or self.incarnation == 0 or self.failed_polls > 0

    def extend_lease(self, now: float, lease_s: float) -> None:
        """Record that an order which grants a lease is sent now."""
        longest_s = lease_s / (1 - CLOCK_RATE_ERROR) + LEASE_MARGIN_S
        self.lease_until = max(self.lease_until, now + longest_s)


def fits_when_empty(size: Resources, capacity: Resources, fills: bool) -> bool:
    """Whether a task would fit on an idle worker."""
    needed = Resources(0, size.memory, size.accelerators) if fills else size
    return needed.fits_in(capacity)
