"""Policies for the usage cap, which delays deferrable work to keep the peak low.

The peak is the highest mean processor usage of the fleet in one minute of the month.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..shared_log.jobs import Job
    from .estimates import RunTimeEstimator

RATE_SAFETY_FACTOR = 1.25
"""Safety factor on the minimum rate, so that work does not pile up at its deadline."""

MIN_SLACK_RATIO = 0.1
"""Minimum slack, as a fraction of its run time, at which work still sets a rate.

Slack is the time left before its latest start.
"""


@dataclass(frozen=True, slots=True)
class Progress:
    """The running tasks of a job.

    :param running: number of running tasks
    :param spent: total seconds that these tasks have run so far
    """

    running: int
    spent: float

    def __add__(self, other: Progress) -> Progress:
        return Progress(self.running + other.running, self.spent + other.spent)


NO_PROGRESS = Progress(0, 0.0)
"""No task runs."""


@dataclass(frozen=True, slots=True)
class Backlog:
    """The remaining deferrable work of one job.

    :param deadline: wall-clock time
    :param millicore_seconds: remaining work, in millicores times seconds
    :param run_time_s: expected run time of one task
    :param has_pending: whether any of its tasks has not started
    :param parallel_millicores: millicores used if all of its tasks ran at once
    :param concurrent_millicores: millicores that must run at once: one task, or all of
        a gang
    """

    deadline: float
    millicore_seconds: float
    job: str
    work_class: str
    run_time_s: float
    has_pending: bool
    parallel_millicores: int = 0
    concurrent_millicores: int = 0


@dataclass(frozen=True, slots=True)
class UsageCap:
    """The cap on the processors in use across the fleet.

    :param processors: the cap in millicores
    :param late_class: a class whose target can't be met even at full usage; empty if
        there is none
    :param late_job: the job whose deadline can't be met
    """

    processors: float
    late_class: str = ""
    late_job: str = ""


class UsageCapPolicy(ABC):
    """Base class of policies that compute the usage cap."""

    @abstractmethod
    def compute(
        self,
        wall: float,
        backlog: list[Backlog],
        peak_so_far: int,
        non_deferrable: int,
        capacity: int,
    ) -> UsageCap:
        """Compute the usage cap.

        :param wall: wall-clock time
        :param backlog: deferrable work that has not ended
        :param peak_so_far: usage in the month's busiest minute so far, in millicores
        :param non_deferrable: millicores used by urgent and long-running work
        :param capacity: millicores of the fleet
        """


class MinimumRatePolicy(UsageCapPolicy):
    """Runs at the minimum rate that meets every deadline, or at the peak so far.

    Usage up to the month's peak so far adds no cost.
    """

    def compute(
        self,
        wall: float,
        backlog: list[Backlog],
        peak_so_far: int,
        non_deferrable: int,
        capacity: int,
    ) -> UsageCap:
        """Return the larger of the peak so far and what the deadlines require."""
        rate = float(max((item.concurrent_millicores for item in backlog), default=0))
        late: Backlog | None = None
        due_work = 0.0
        parallel = 0.0
        available = max(0, capacity - non_deferrable)
        for item in sorted(backlog, key=lambda item: item.deadline):
            due_work += item.millicore_seconds
            parallel += item.parallel_millicores
            time_left = item.deadline - wall
            if late is None and due_work > available * max(0.0, time_left):
                late = item
            slack = time_left - item.run_time_s
            if item.has_pending and slack > MIN_SLACK_RATIO * item.run_time_s:
                rate = max(
                    rate, min(RATE_SAFETY_FACTOR * due_work / time_left, parallel)
                )
        cap = min(float(capacity), max(float(peak_so_far), non_deferrable + rate))
        if late is None:
            return UsageCap(cap)
        return UsageCap(cap, late.work_class, late.job)


class UncappedPolicy(UsageCapPolicy):
    """Runs everything as soon as it fits; the baseline for comparisons."""

    def compute(
        self,
        wall: float,
        backlog: list[Backlog],
        peak_so_far: int,
        non_deferrable: int,
        capacity: int,
    ) -> UsageCap:
        """Return the whole capacity."""
        return UsageCap(float(capacity))


def list_backlog(
    jobs: Iterable[Job],
    estimates: RunTimeEstimator,
    progress_by_job: Mapping[str, Progress],
) -> list[Backlog]:
    """Return the remaining deferrable work of each job.

    :param progress_by_job: running tasks of each job, across the fleet
    """
    return [
        _make_backlog(job, estimates, progress_by_job.get(job.spec.job, NO_PROGRESS))
        for job in jobs
        if job.spec.is_deferrable
    ]


def _make_backlog(job: Job, estimates: RunTimeEstimator, progress: Progress) -> Backlog:
    spec = job.spec
    run_time = job.mean_run_s or estimates.estimate_run_time(spec)
    pending = max(0, job.tasks_left - progress.running)
    running_left = max(0.0, progress.running * run_time - progress.spent)
    concurrent_tasks = spec.tasks if spec.kind == "gang" else 1
    return Backlog(
        spec.deadline,
        (pending * run_time + running_left) * spec.need.processors,
        spec.job,
        spec.work_class,
        run_time,
        pending > 0,
        (pending + progress.running) * spec.need.processors,
        concurrent_tasks * spec.need.processors,
    )
