"""Expected lengths of the paths through the steps of a job."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .jobs import Job

ESTIMATE_INTERVAL_MS = 1000
"""Milliseconds for which estimates are kept: predicted run times change as runs of the
queue end."""


@dataclass(frozen=True, slots=True)
class JobPaths:
    """Expected lengths of paths, in seconds.

    :param remaining_s: for each step, length of the longest path that starts with it
    :param critical_s: length of the longest of all paths
    :param estimated_ms: Unix time of the estimate, in milliseconds
    """

    remaining_s: tuple[float, ...]
    critical_s: float
    estimated_ms: int


def find_paths(
    job: Job, predict: Callable[[str, float], float], now_ms: int
) -> JobPaths:
    """Return the paths of a job, estimated within ``ESTIMATE_INTERVAL_MS``.

    All steps of a job share one estimate, so that its cost is linear in their number.

    :param predict: returns the expected run time of a task, in seconds, from its queue
        and its declared run time
    :param now_ms: Unix time in milliseconds
    """
    paths = job.paths
    if paths is None or not 0 <= now_ms - paths.estimated_ms < ESTIMATE_INTERVAL_MS:
        remaining_s = estimate_remaining_paths_s(job, predict)
        critical_s = max(remaining_s, default=0.0)
        paths = job.paths = JobPaths(remaining_s, critical_s, now_ms)
    return paths


def estimate_remaining_paths_s(
    job: Job, predict: Callable[[str, float], float]
) -> tuple[float, ...]:
    """Return for each step the expected length of the longest path from it on.

    :param predict: as for :func:`find_paths`
    :returns: lengths in seconds
    """
    steps = job.spec.steps
    run_s_by_estimate = {
        estimate_s: predict(job.spec.queue, estimate_s)
        for estimate_s in {step.estimate_s for step in steps}
    }
    later_s = [0.0] * len(steps)
    """Length of the longest path that follows each step."""
    remaining_s = [0.0] * len(steps)
    for number in range(len(steps) - 1, -1, -1):
        step = steps[number]
        length_s = later_s[number] + run_s_by_estimate[step.estimate_s]
        remaining_s[number] = length_s
        for earlier in step.after:
            if later_s[earlier] < length_s:
                later_s[earlier] = length_s
    return tuple(remaining_s)


def estimate_critical_path_s(job: Job, predict: Callable[[str, float], float]) -> float:
    """Return the expected length of the critical path of a job's steps, in seconds.

    :param predict: as for :func:`find_paths`
    """
    return max(estimate_remaining_paths_s(job, predict), default=0.0)
