"""How much deferrable work may run, to keep the busiest minute low."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..shared_log.jobs import Job
    from .estimates import RunTimeEstimator

RATE_SAFETY_FACTOR = 1.25
"""Factor on the least rate, so that work does not pile up before its deadline."""

SOONEST_START = 0.1
"""Part of its run time before its latest start at which work no longer sets a rate."""


@dataclass(frozen=True, slots=True)
class Progress:
    """What runs of a job.

    :param running: number of its tasks that run
    :param spent: seconds that these tasks have run so far, added up
    """

    running: int
    spent: float

    def __add__(self, other: Progress) -> Progress:
        return Progress(self.running + other.running, self.spent + other.spent)


NO_PROGRESS = Progress(0, 0.0)
"""Nothing runs."""


@dataclass(frozen=True, slots=True)
class Backlog:
    """Deferrable work due by a deadline.

    :param deadline: wall-clock time
    :param processor_seconds: millicores times seconds
    :param run_time_s: expected run time of one task
    :param has_pending: whether any of its tasks has not started
    :param parallel: millicores that all of its tasks would take at once
    :param lump: millicores that must run at once: one task, or all of a gang
    """

    deadline: float
    processor_seconds: float
    job: str
    work_class: str
    run_time_s: float
    has_pending: bool
    parallel: int = 0
    lump: int = 0


@dataclass(frozen=True, slots=True)
class UsageCap:
    """The most millicores that the fleet should run.

    :param late_class: a class whose target can't be met even at full use
    :param late_job: the job that shows it
    """

    processors: float
    late_class: str = ""
    late_job: str = ""


class UsageCapPolicy(ABC):
    """Decide how much of the fleet may be in use."""

    @abstractmethod
    def compute(
        self,
        wall: float,
        backlog: list[Backlog],
        paid: int,
        pressing: int,
        capacity: int,
    ) -> UsageCap:
        """Return the level.

        :param backlog: deferrable work that has not ended
        :param paid: the month's busiest minute so far, in millicores
        :param pressing: millicores that urgent and long-running work takes
        :param capacity: millicores of the fleet
        """


class MinimumRatePolicy(UsageCapPolicy):
    """Run at the least rate that meets every deadline, or at what is paid for."""

    def compute(
        self,
        wall: float,
        backlog: list[Backlog],
        paid: int,
        pressing: int,
        capacity: int,
    ) -> UsageCap:
        """Return the larger of what is paid for and what deadlines need."""
        least = float(max((item.lump for item in backlog), default=0))
        late: Backlog | None = None
        due = 0.0
        at_once = 0.0
        room = max(0, capacity - pressing)
        for item in sorted(backlog, key=lambda item: item.deadline):
            due += item.processor_seconds
            at_once += item.parallel
            left = item.deadline - wall
            if late is None and due > room * max(0.0, left):
                late = item
            starts_left = left - item.run_time_s
            if item.has_pending and starts_left > SOONEST_START * item.run_time_s:
                least = max(least, min(RATE_SAFETY_FACTOR * due / left, at_once))
        level = min(float(capacity), max(float(paid), pressing + least))
        if late is None:
            return UsageCap(level)
        return UsageCap(level, late.work_class, late.job)


class UncappedPolicy(UsageCapPolicy):
    """Run everything as soon as there is room: the baseline to compare with."""

    def compute(
        self,
        wall: float,
        backlog: list[Backlog],
        paid: int,
        pressing: int,
        capacity: int,
    ) -> UsageCap:
        """Return the whole capacity."""
        return UsageCap(float(capacity))


def list_backlog(
    jobs: Iterable[Job],
    estimates: RunTimeEstimator,
    progress_by_job: Mapping[str, Progress],
) -> list[Backlog]:
    """Return the deferrable work left in each job.

    :param progress_by_job: what runs of each job in the fleet
    """
    return [
        _describe(job, estimates, progress_by_job.get(job.spec.job, NO_PROGRESS))
        for job in jobs
        if job.spec.is_deferrable
    ]


def _describe(job: Job, estimates: RunTimeEstimator, progress: Progress) -> Backlog:
    spec = job.spec
    run_time = job.mean_run_s or estimates.estimate_run_time(spec)
    pending = max(0, job.tasks_left - progress.running)
    running_left = max(0.0, progress.running * run_time - progress.spent)
    at_once = spec.tasks if spec.kind == "gang" else 1
    return Backlog(
        spec.deadline,
        (pending * run_time + running_left) * spec.need.processors,
        spec.job,
        spec.work_class,
        run_time,
        pending > 0,
        (pending + progress.running) * spec.need.processors,
        at_once * spec.need.processors,
    )
