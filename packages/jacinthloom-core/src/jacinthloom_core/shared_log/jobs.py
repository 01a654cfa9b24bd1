"""Jobs, keyed requests and the usage peak, as reduced from the log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model.work import WorkSpec

if TYPE_CHECKING:
    from ..model.records import TaskEnded

RESULTS_KEPT = 64
"""Maximum number of task results kept for a job."""

RESULT_LENGTH_KEPT = 256
"""Maximum number of characters kept of a task result."""


@dataclass(slots=True)
class Job:
    """An accepted job that has not ended.

    :param accepted: wall-clock time of its acceptance
    :param ended: indexes of the tasks with a final outcome
    :param ran_s: total run time of the successful tasks, in seconds
    """

    spec: WorkSpec
    accepted: float
    ended: set[int] = field(default_factory=set)
    failed: int = 0
    ran_s: float = 0.0
    result_by_index: dict[int, str] = field(default_factory=dict)

    @property
    def tasks_left(self) -> int:
        """Number of tasks without a final outcome."""
        return self.spec.tasks - len(self.ended)

    @property
    def mean_run_s(self) -> float:
        """Mean run time of the successful tasks in seconds; 0 if there are none."""
        ended_well = len(self.ended) - self.failed
        return self.ran_s / ended_well if ended_well else 0.0

    def end_task(self, record: TaskEnded) -> bool:
        """Record the end of a task; return whether it changed the job."""
        if record.index in self.ended or not 0 <= record.index < self.spec.tasks:
            return False
        self.ended.add(record.index)
        if record.outcome != "answered":
            self.failed += 1
        self.ran_s += record.ran_s if record.outcome == "answered" else 0.0
        if record.result and len(self.result_by_index) < RESULTS_KEPT:
            self.result_by_index[record.index] = record.result[:RESULT_LENGTH_KEPT]
        return True


@dataclass(frozen=True, slots=True)
class JobSummary:
    """A job that has ended.

    :param state: ``finished``, ``failed``, ``cancelled`` or ``refused``
    """

    job: str
    team: str
    state: str
    tasks: int
    ended: int
    failed: int
    results: tuple[str, ...]
    reason: str
    met_deadline: bool


@dataclass(slots=True)
class KeyedRequest:
    """A non-idempotent request under its caller's key.

    :param request: id of the only request that may run under the key
    :param begun: wall-clock time of its start
    """

    request: str
    begun: float
    outcome: str = ""
    answer: str = ""


@dataclass(slots=True)
class MonthlyPeak:
    """The busiest minute of the month.

    :param month: year and month, as ``2026-12``
    :param processors: mean processors in that minute, in millicores
    :param used_by_minute: millicores of each member, by recent minute
    """

    month: str = ""
    processors: int = 0
    used_by_minute: dict[int, dict[str, int]] = field(default_factory=dict)
