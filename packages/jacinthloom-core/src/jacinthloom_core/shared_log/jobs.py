"""Jobs as the log tells of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model.work import WorkSpec

if TYPE_CHECKING:
    from ..model.records import TaskEnded

RESULTS_KEPT = 64
"""Task results kept for a job."""

RESULT_LENGTH_KEPT = 256
"""Characters kept of a task result."""


@dataclass(slots=True)
class Job:
    """An accepted job that has not ended.

    :param accepted: wall-clock time of its acceptance
    :param ended: indexes of the tasks that ended for good
    :param ran_s: seconds that the tasks ran which ended well
    """

    spec: WorkSpec
    accepted: float
    ended: set[int] = field(default_factory=set)
    failed: int = 0
    ran_s: float = 0.0
    result_by_index: dict[int, str] = field(default_factory=dict)

    @property
    def tasks_left(self) -> int:
        """Number of tasks that have not ended."""
        return self.spec.tasks - len(self.ended)

    @property
    def mean_run_s(self) -> float:
        """Mean seconds of the tasks that ended well; 0 if there is none."""
        ended_well = len(self.ended) - self.failed
        return self.ran_s / ended_well if ended_well else 0.0

    def end_task(self, record: TaskEnded) -> bool:
        """Note the end of a task; return whether it is news."""
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

    :param request: id of the one request that may run
    """

    request: str
    begun: float
    outcome: str = ""
    answer: str = ""


@dataclass(slots=True)
class MonthlyPeak:
    """The busiest minute of the month.

    :param month: year and month, as ``2026-12``
    :param processors: its mean processors, in millicores
    :param used_by_minute: millicores of each member in recent minutes
    """

    month: str = ""
    processors: int = 0
    used_by_minute: dict[int, dict[str, int]] = field(default_factory=dict)
