"""The order in which steps get room."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .jobs import Job, StepRun
    from .rules import Queue
    from .run_times import RunTimes

LATE_FACTOR = 3.0
"""Multiple of the objective after which a job earns nothing; from the users."""

LASTING_PRIORITY = -1
"""Rank of tasks that serve users until their job is cancelled: before every queue."""

Rank = tuple[int, int, float]


class OrderPolicy(ABC):
    """Ranks steps that are ready; lower ranks go first."""

    @abstractmethod
    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return the rank of a step."""


class LatestStartOrder(OrderPolicy):
    """Rank by what can still be on time, priority, and the latest start for it.

    :param run_times: predicts how long tasks take
    """

    def __init__(self, run_times: RunTimes) -> None:
        self._run_times = run_times

    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return lateness, priority and latest start in Unix seconds."""
        if not step.objective_s:
            self._set_objective(step, queue)
        if step.spec.lasting:
            return (0, LASTING_PRIORITY, step.due_s)
        age_s = now_ms / 1000 - step.due_s
        lateness = 0
        if age_s > step.objective_s:
            lateness = 1
        if age_s > LATE_FACTOR * step.objective_s:
            lateness = 2
        return (lateness, queue.priority, step.latest_start_s)

    def _set_objective(self, step: StepRun, queue: Queue) -> None:
        """Compute once what the rank follows from: estimates drift slowly."""
        job = step.occurrence.job
        predict = self._run_times.predict
        chain_s = estimate_critical_path_s(job, predict)
        step.objective_s = queue.stretch * chain_s + queue.target_s
        step.due_s = compute_due_ms(job, step.occurrence.index) / 1000
        run_s = predict(job.spec.queue, step.spec.estimate_s)
        step.latest_start_s = step.due_s + step.objective_s - run_s


def compute_due_ms(job: Job, occurrence: int) -> int:
    """Return the Unix time from which an occurrence counts, in milliseconds."""
    spec = job.spec
    if spec.is_timed:
        return spec.first_due_ms + occurrence * spec.period_ms
    return spec.received_ms


def estimate_critical_path_s(job: Job, predict: Callable[[str, float], float]) -> float:
    """Return the likely length of the longest chain of steps, in seconds.

    :param predict: run time of a task of a queue, from the declared one
    """
    length_by_step: list[float] = []
    for step in job.spec.steps:
        before = max((length_by_step[number] for number in step.after), default=0.0)
        length_by_step.append(before + predict(job.spec.queue, step.estimate_s))
    return max(length_by_step, default=0.0)
