"""The home's state of a job and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Literal

if TYPE_CHECKING:
    from ..ledger.jobs import Job
    from ..vocabulary.work import WorkSpec
    from ..worker_owners.grant_queue import Order

NOWHERE = ""
"""Owner of an attempt whose worker may be changing owners."""

PlacedPhase = Literal["granted", "held", "running"]
"""State of a granted attempt."""


@dataclass(slots=True)
class Placed:
    """An attempt that exists.

    :param owner: member that it was granted to
    :param attempt: attempt number
    :param worker: worker that it was started on; empty while unknown
    :param seen_view: view under which an owner last reported that it holds it
    :param doubt_at: monotonic time from which it counts as lost, unless an owner
        reports it before
    """

    owner: str
    attempt: int
    phase: PlacedPhase = "granted"
    worker: str = ""
    doubt_at: float = float("inf")
    seen_view: int = 0


@dataclass(slots=True)
class HomeJob:
    """The home's state of a job.

    :param next_index: index of the first task that was never granted
    :param ready: indexes of tasks to be granted again
    :param ended: tasks that ended, also before the record is read back
    :param failed_on: workers on which each task failed
    :param recovering: whether running attempts may still be unknown to this home, so
        that no task may be granted
    :param gang_since: monotonic time at which reserving capacity for the gang began
    :param gang_full: owners without enough free capacity for the gang
    :param reason: why a task last failed or was not started
    """

    job: Job
    placed_by_index: dict[int, Placed] = field(default_factory=dict)
    next_index: int = 0
    ready: list[int] = field(default_factory=list)
    ended: set[int] = field(default_factory=set)
    failed_on: dict[int, set[str]] = field(default_factory=dict)
    checkpoint_by_index: dict[int, str] = field(default_factory=dict)
    recovering: bool = False
    order: Order | None = None
    gang_since: float = 0.0
    gang_retry_at: float = 0.0
    gang_tries: int = 0
    gang_full: set[str] = field(default_factory=set)
    reason: str = ""

    @property
    def spec(self) -> WorkSpec:
        """The work as submitted."""
        return self.job.spec

    @property
    def has_pending(self) -> bool:
        """Whether any task is left to grant."""
        return bool(self.ready) or self.next_index < self.spec.tasks

    def take_pending(self) -> int | None:
        """Remove and return the index of the next task to grant, or ``None``."""
        while self.ready:
            index = self.ready.pop()
            if not self._is_done(index):
                return index
        while self.next_index < self.spec.tasks:
            index = self.next_index
            self.next_index += 1
            if not self._is_done(index):
                return index
        return None

    def _is_done(self, index: int) -> bool:
        known = index in self.ended or index in self.placed_by_index
        return known or index in self.job.ended


@dataclass(frozen=True, slots=True)
class Found:
    """A placed attempt with its job and task index."""

    home: HomeJob
    index: int
    placed: Placed
