"""A job as its home sees it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Literal

if TYPE_CHECKING:
    from ..model.work import WorkSpec
    from ..shared_log.jobs import Job
    from ..worker_owners.grant_queue import Order

NOWHERE = ""
"""Owner of an attempt whose worker may be changing hands."""

PlacedPhase = Literal["granted", "held", "running"]
"""How far a granted attempt has got."""


@dataclass(slots=True)
class Placed:
    """An attempt that exists.

    :param worker: worker that it was started on; empty while unknown
    :param seen_view: view under which an owner last said that it holds it
    :param doubt_at: when it counts as lost, if nothing is heard of it
    """

    owner: str
    attempt: int
    phase: PlacedPhase = "granted"
    worker: str = ""
    doubt_at: float = float("inf")
    seen_view: int = 0


@dataclass(slots=True)
class HomeJob:
    """A job as its home sees it.

    :param next_index: tasks from here on were never granted
    :param ready: tasks to be granted again
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
        """What the submitter asked for."""
        return self.job.spec

    @property
    def has_pending(self) -> bool:
        """Whether a task could be granted now."""
        return bool(self.ready) or self.next_index < self.spec.tasks

    def take_pending(self) -> int | None:
        """Return the next task to grant."""
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
    """An attempt in the books of its home."""

    home: HomeJob
    index: int
    placed: Placed
