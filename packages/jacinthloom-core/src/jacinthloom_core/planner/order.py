"""The order in which steps get room."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .jobs import Job, StepRun
    from .rules import Queue

LATE_FACTOR = 3.0
"""Multiple of the objective after which a job earns nothing; from the users."""

Rank = tuple[int, int, float]


class OrderPolicy(ABC):
    """Ranks steps that are ready; lower ranks go first."""

    @abstractmethod
    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return the rank of a step."""


class LatestStartOrder(OrderPolicy):
    """Rank by what can still be on time, priority, and the latest start for it."""

    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return lateness, priority and latest start in Unix seconds."""
        job = step.occurrence.job
        chain_s = estimate_chain_s(job)
        objective_s = queue.stretch * chain_s + queue.target_s
        due_s = compute_due_ms(job, step.occurrence.index) / 1000
        latest_s = due_s + objective_s - step.spec.estimate_s
        age_s = now_ms / 1000 - due_s
        lateness = 0
        if age_s > objective_s:
            lateness = 1
        if age_s > LATE_FACTOR * objective_s:
            lateness = 2
        return (lateness, queue.priority, latest_s)


def compute_due_ms(job: Job, occurrence: int) -> int:
    """Return the Unix time from which an occurrence counts, in milliseconds."""
    spec = job.spec
    if spec.is_timed:
        return spec.first_due_ms + occurrence * spec.period_ms
    return spec.received_ms


def estimate_chain_s(job: Job) -> float:
    """Return the declared length of the longest chain of steps, in seconds."""
    length_by_step: list[float] = []
    for step in job.spec.steps:
        before = max((length_by_step[number] for number in step.after), default=0.0)
        length_by_step.append(before + step.estimate_s)
    return max(length_by_step, default=0.0)
