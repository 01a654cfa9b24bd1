"""Prediction of run times by queue, because declared run times may be far off."""

from __future__ import annotations

import math
from dataclasses import astuple, dataclass

import msgpack

MIN_WEIGHT = 0.05
"""Weight of a new run in the moving averages of its queue, over about twenty runs."""

MAX_LOG_ERROR = math.log(10.0)
"""Bound on the logarithmic error of one run, to limit the effect of outliers: declared
run times are off by up to a factor of ten."""

MIN_RUNS = 5
"""Minimum number of runs of a queue before predictions differ from declared times."""


RECORD_KEY = "learned.run_times"
"""Key of the stored averages."""

MAX_STORED_LOG = 50.0
"""Bound on stored logarithms and squared errors: one odd value would otherwise raise in
every prediction, and so stop every planner that loads it."""

RECORD_FORMAT = 1
"""Version of the encoding of the stored averages."""


@dataclass(slots=True)
class _QueueTimes:
    """Moving averages of the logarithm of run times in seconds.

    :param mean_log_s: mean of the logarithm of the run time
    :param mean_log_ratio: mean of the logarithm of the ratio of run time to declared
        time
    :param mean_square_error: mean squared error of ``mean_log_s``
    :param declared_square_error: mean squared error of declared times, corrected by
        ``mean_log_ratio``
    :param runs: number of runs
    """

    mean_log_s: float
    mean_log_ratio: float = 0.0
    mean_square_error: float = 1.0
    declared_square_error: float = 0.04
    runs: int = 0

    def check(self) -> None:
        """Check values that were stored.

        :raises ValueError: if predictions from them could fail
        """
        logs = (self.mean_log_s, self.mean_log_ratio)
        errors = (self.mean_square_error, self.declared_square_error)
        if not all(abs(value) <= MAX_STORED_LOG for value in logs):
            raise ValueError("a mean is out of range")
        if not all(0 <= value <= MAX_STORED_LOG for value in errors) or self.runs < 1:
            raise ValueError("an error or a number of runs is out of range")


class RunTimes:
    """Predicts run times from declared ones and from earlier runs of the queue.

    Each of the two is weighted by its inverse mean squared error.
    """

    def __init__(self) -> None:
        self._times_by_queue: dict[str, _QueueTimes] = {}
        self.is_changed = False
        """Whether a run was recorded since the averages were last encoded."""

    def encode(self) -> bytes:
        """Return the averages, which a successor takes over with :meth:`load`."""
        self.is_changed = False
        rows = {name: astuple(times) for name, times in self._times_by_queue.items()}
        return bytes(msgpack.packb([RECORD_FORMAT, rows]))

    def load(self, value: bytes) -> None:
        """Take over the averages of an earlier planner.

        :raises ValueError: if the record can't be decoded
        """
        try:
            version, rows = msgpack.unpackb(value)
            if version != RECORD_FORMAT:
                raise ValueError(f"run times of format {version} are not supported")
            times_by_queue = {
                str(name): _QueueTimes(
                    float(log_s), float(ratio), float(error), float(declared), int(runs)
                )
                for name, (log_s, ratio, error, declared, runs) in rows.items()
            }
            for times in times_by_queue.values():
                times.check()
        except (TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"invalid run times: {error}") from error
        self._times_by_queue = times_by_queue

    def record(self, queue: str, declared_s: float, took_s: float) -> None:
        """Update the averages of a queue with a run that is done."""
        if declared_s <= 0 or took_s <= 0:
            return
        self.is_changed = True
        log_s = math.log(took_s)
        times = self._times_by_queue.get(queue)
        if times is None:
            times = self._times_by_queue[queue] = _QueueTimes(log_s)
        times.runs += 1
        weight = max(MIN_WEIGHT, 1 / times.runs)
        error = _clamp(log_s - times.mean_log_s)
        times.mean_log_s += weight * error
        times.mean_square_error += weight * (error**2 - times.mean_square_error)
        error = _clamp(log_s - math.log(declared_s) - times.mean_log_ratio)
        times.mean_log_ratio += weight * error
        times.declared_square_error += weight * (error**2 - times.declared_square_error)

    def predict(self, queue: str, declared_s: float) -> float:
        """Return the expected run time of a task, in seconds."""
        times = self._times_by_queue.get(queue)
        if times is None or times.runs < MIN_RUNS:
            return declared_s
        mean_s = math.exp(times.mean_log_s)
        if declared_s <= 0:
            return mean_s
        total = times.mean_square_error + times.declared_square_error
        share = times.mean_square_error / total if total else 0.5
        corrected_log_s = math.log(declared_s) + times.mean_log_ratio
        return math.exp(share * corrected_log_s + (1 - share) * times.mean_log_s)


def _clamp(error: float) -> float:
    return max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, error))
