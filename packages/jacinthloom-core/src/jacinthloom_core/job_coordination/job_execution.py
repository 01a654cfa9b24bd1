"""The coordinator's state of a job and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Literal

if TYPE_CHECKING:
    from ..model.work import WorkSpec
    from ..shared_log.jobs import Job
    from ..worker_owners.grant_queue import Order

UNKNOWN_OWNER = ""
"""Owner of an attempt whose worker may be changing owners."""

AttemptPhase = Literal["granted", "held", "running"]
"""State of a granted attempt."""


@dataclass(slots=True)
class PlacedAttempt:
    """An attempt that exists.

    :param owner: member that it was granted to
    :param number: attempt number
    :param worker: worker that it was started on; empty while unknown
    :param confirmed_view: view under which an owner last reported that it holds it
    :param presumed_lost_at: monotonic time from which it counts as lost, unless an
        owner reports it before
    """

    owner: str
    number: int
    phase: AttemptPhase = "granted"
    worker: str = ""
    presumed_lost_at: float = float("inf")
    confirmed_view: int = 0


@dataclass(slots=True)
class JobExecution:
    """The coordinator's state of a job.

    :param next_index: index of the first task that was never granted
    :param retry_indexes: indexes of tasks to be granted again
    :param ended: tasks that ended, also before the record is read back
    :param failed_workers_by_index: workers on which each task failed
    :param is_recovering: whether running attempts may still be unknown here, so that
        no task may be granted
    :param gang_began_at: monotonic time at which reserving capacity for the gang began
    :param gang_full_owners: owners without enough free capacity for the gang
    :param last_failure: why a task last failed or was not started
    """

    job: Job
    attempt_by_index: dict[int, PlacedAttempt] = field(default_factory=dict)
    next_index: int = 0
    retry_indexes: list[int] = field(default_factory=list)
    ended: set[int] = field(default_factory=set)
    failed_workers_by_index: dict[int, set[str]] = field(default_factory=dict)
    checkpoint_by_index: dict[int, str] = field(default_factory=dict)
    is_recovering: bool = False
    queue_order: Order | None = None
    gang_began_at: float = 0.0
    gang_retry_at: float = 0.0
    gang_rounds: int = 0
    gang_full_owners: set[str] = field(default_factory=set)
    last_failure: str = ""

    @property
    def spec(self) -> WorkSpec:
        """The work as submitted."""
        return self.job.spec

    @property
    def has_pending_tasks(self) -> bool:
        """Whether any task is left to grant."""
        return bool(self.retry_indexes) or self.next_index < self.spec.tasks

    def take_next_task(self) -> int | None:
        """Remove and return the index of the next task to grant, or ``None``."""
        while self.retry_indexes:
            index = self.retry_indexes.pop()
            if not self._is_done(index):
                return index
        while self.next_index < self.spec.tasks:
            index = self.next_index
            self.next_index += 1
            if not self._is_done(index):
                return index
        return None

    def _is_done(self, index: int) -> bool:
        known = index in self.ended or index in self.attempt_by_index
        return known or index in self.job.ended


@dataclass(frozen=True, slots=True)
class AttemptRef:
    """A placed attempt with its job and task index."""

    execution: JobExecution
    index: int
    attempt: PlacedAttempt
