"""How long tasks take, learnt by queue: declared times may be far off."""

from __future__ import annotations

import math
from dataclasses import dataclass

WEIGHT = 0.05
"""Weight of a new run: about the last twenty runs of a queue count."""

LARGEST_ERROR = math.log(10.0)
"""Bound on the error of one run, as a logarithm, so that one liar does not decide: the
users' declared times are off by up to ten times."""

MIN_RUNS = 5
"""Runs of a queue from which on what was learnt counts."""


@dataclass(slots=True)
class _QueueTimes:
    """Means and squared errors of the logarithm of run times, in seconds.

    :param usual: mean of the run times
    :param bias: mean of run times against declared ones
    """

    usual: float
    bias: float = 0.0
    usual_error: float = 1.0
    declared_error: float = 0.04
    runs: int = 0


class RunTimes:
    """Predicts run times from declared ones and from earlier runs of the queue.

    Both are weighted by how far off they have been (inverse squared error).
    """

    def __init__(self) -> None:
        self._times_by_queue: dict[str, _QueueTimes] = {}

    def record(self, queue: str, declared_s: float, took_s: float) -> None:
        """Learn from a run that ended as done."""
        if declared_s <= 0 or took_s <= 0:
            return
        took = math.log(took_s)
        times = self._times_by_queue.get(queue)
        if times is None:
            times = self._times_by_queue[queue] = _QueueTimes(took)
        times.runs += 1
        weight = max(WEIGHT, 1 / times.runs)
        error = _bound(took - times.usual)
        times.usual += weight * error
        times.usual_error += weight * (error**2 - times.usual_error)
        error = _bound(took - math.log(declared_s) - times.bias)
        times.bias += weight * error
        times.declared_error += weight * (error**2 - times.declared_error)

    def predict(self, queue: str, declared_s: float) -> float:
        """Return how long a task likely takes, in seconds."""
        times = self._times_by_queue.get(queue)
        if times is None or times.runs < MIN_RUNS:
            return declared_s
        usual = math.exp(times.usual)
        if declared_s <= 0:
            return usual
        total = times.usual_error + times.declared_error
        share = times.usual_error / total if total else 0.5
        declared = math.log(declared_s) + times.bias
        return math.exp(share * declared + (1 - share) * times.usual)


def _bound(error: float) -> float:
    return max(-LARGEST_ERROR, min(LARGEST_ERROR, error))
