"""Scheduling order of the steps that are ready."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from .paths import find_paths

if TYPE_CHECKING:
    from .jobs import Job, StepRun
    from .past_use import PastUse
    from .paths import JobPaths
    from .rules import Queue
    from .run_times import RunTimes

LATE_FACTOR = 3.0
"""Multiple of the objective after which a job earns nothing, as its users define it."""

LASTING_PRIORITY = -1
"""Priority of tasks that run until their job is cancelled: ahead of every queue."""

WITHIN_SHARE_LEVELS = (0, 1, 4)
BEYOND_SHARE_LEVELS = (2, 3, 5)
"""Rank of jobs that are on time, late, and so late that they earn nothing. Jobs beyond
the share of their client account follow those that are worth something to the others.
"""

HOPELESS_LEVELS = frozenset({WITHIN_SHARE_LEVELS[2], BEYOND_SHARE_LEVELS[2]})
"""Levels of jobs that earn nothing any more."""

Rank = tuple[int, int, float]


class OrderPolicy(ABC):
    """Ranks steps that are ready; steps of lower rank are scheduled first."""

    @abstractmethod
    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return the rank of a step.

        :param now_ms: Unix time in milliseconds
        """


class LatestStartOrder(OrderPolicy):
    """Orders by share and lateness, then priority, then the latest start in time.

    Past usage shifts the latest start, so it orders only steps of one level and
    priority.

    :param run_times: predicts how long tasks take
    :param past_use: compares the usage of the client accounts over hours
    """

    def __init__(self, run_times: RunTimes, past_use: PastUse) -> None:
        self._run_times = run_times
        self._past_use = past_use

    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return the level, the priority, and the shifted latest start in Unix seconds.

        The level depends on the share of the client account, and on whether the step
        is within its objective, beyond it, or beyond ``LATE_FACTOR`` times it.
        """
        paths = find_paths(step.occurrence.job, self._run_times.predict, now_ms)
        if not step.objective_s or step.estimated_ms != paths.estimated_ms:
            self._set_objective(step, queue, paths)
        if step.spec.lasting:
            return (0, LASTING_PRIORITY, step.due_s)
        age_s = now_ms / 1000 - step.due_s
        lateness = 0
        if age_s > step.objective_s:
            lateness = 1
        if age_s > LATE_FACTOR * step.objective_s:
            lateness = 2
        job = step.occurrence.job
        is_beyond = job.is_beyond_share
        levels = BEYOND_SHARE_LEVELS if is_beyond else WITHIN_SHARE_LEVELS
        shift_s = self._past_use.find_shift_s(job.spec.tenant, step.objective_s)
        step.past_use_shift_s = shift_s
        return (levels[lateness], queue.priority, step.latest_start_s + shift_s)

    def _set_objective(self, step: StepRun, queue: Queue, paths: JobPaths) -> None:
        """Set the objective of a step by the current estimates of run times."""
        step.estimated_ms = paths.estimated_ms
        job = step.occurrence.job
        predict = self._run_times.predict
        step.objective_s = queue.stretch * paths.critical_s + queue.target_s
        step.due_s = compute_due_ms(job, step.occurrence.index) / 1000
        run_s = predict(job.spec.queue, step.spec.estimate_s)
        step.latest_start_s = step.due_s + step.objective_s - run_s


def compute_due_ms(job: Job, occurrence: int) -> int:
    """Return the start of an occurrence's objective, as Unix time in milliseconds."""
    spec = job.spec
    if spec.is_timed:
        return spec.first_due_ms + occurrence * spec.period_ms
    return spec.received_ms
