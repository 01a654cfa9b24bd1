"""Estimation of the speed of workers from the run times of their tasks.

Declared run times are off by up to a factor of ten. A run is therefore compared with
other runs of its queue, and a worker with the other workers. ``WorkerSpeeds`` finds
workers that are very slow for a while, within a few runs; ``SpeedGroups`` finds the
kinds of machines of a fleet, which differ by less, from many runs.
"""

from __future__ import annotations

import math
import statistics
from collections import Counter
from dataclasses import dataclass

QUEUE_WEIGHT = 0.05
"""Weight of a new run in the moving average of its queue, over about twenty runs."""

WORKER_WEIGHT = 0.25
"""Weight of a new run in the moving average of its worker, over about four runs."""

MAX_RATIO = 8.0
"""Bound on the relative run time of one run, to limit the effect of outliers: the
slowest workers take six times as long as a typical one."""

SLOW_THRESHOLD = 1.8
"""Slowness from which a worker is avoided; healthy workers differ by less."""

SLOWNESS_EXPIRY_S = 6.0
"""Seconds without a new measurement after which a slow worker is used again."""

FAST = -1
TYPICAL = 0
SLOW = 1
"""Speed groups of workers, in the order of their run times."""

MIN_DIFFERENCE = 0.10
"""Minimum difference of the logarithmic slowness of two groups: 10%. A machine that is
faster by less gains less than tight packing does."""

CONFIDENCE = 3.0
"""Number of standard errors beyond ``MIN_DIFFERENCE`` that a worker has to differ by to
enter a group, so that few of some hundred equal workers do by chance."""

MIN_SAMPLES = 6
"""Minimum number of samples before a worker is compared: the variance of a queue is
itself an estimate."""

MAX_SAMPLES = 128
"""Number of samples over which the slowness of a worker is averaged: enough for a
standard error below 0.06 with declared times that are off by 90%."""

MIN_SHARE = 0.10
"""Minimum share of the measured workers in a group: machines are bought in numbers, and
single deviating workers may be due to chance or to their tasks."""

KEEP_SHARE = 0.05
"""Share of the measured workers below which a group that is in use is given up."""

KEEP_REFERENCE_SHARE = 0.4
"""Share of the measured workers near the reference below which another one is chosen:
below one half, so that the groups of a fleet of two halves do not change places."""

MIN_GROUP_SIZE = 3
"""Minimum number of workers in a group."""

MIN_QUEUE_STEPS = 10
"""Number of steps of a queue before its runs measure workers."""

ERROR_WEIGHT = 0.02
"""Weight of a new step in the moving averages of its queue, over about fifty steps."""

INITIAL_VARIANCE = 0.25
"""Variance that the logarithmic errors of a queue are assumed to have at first."""

MIN_VARIANCE = 0.0025
"""Lower bound on variances: 5% of the run time, as ends are noticed with a delay."""

MAX_DEVIATION = 1.0
"""Bound on the logarithmic deviation of one run: 3 in 100 runs of some queues take
seven times as long as the others, on any worker."""


@dataclass(slots=True)
class _WorkerSpeed:
    slowness: float
    measured_at: float


class WorkerSpeeds:
    """Slowness of each worker: 1 for a typical one, 2 for one that is half as fast."""

    def __init__(self) -> None:
        self._ratio_by_queue: dict[str, float] = {}
        self._speed_by_worker: dict[str, _WorkerSpeed] = {}

    def record(
        self, worker: str, queue: str, estimate_s: float, took_s: float, now: float
    ) -> None:
        """Update the averages of a worker and a queue with one run.

        :param estimate_s: declared run time, in seconds
        :param took_s: measured or extrapolated run time, in seconds
        """
        if estimate_s <= 0 or took_s <= 0:
            return
        ratio = took_s / estimate_s
        average = self._ratio_by_queue.get(queue, ratio)
        relative = max(1 / MAX_RATIO, min(MAX_RATIO, ratio / average))
        weight = QUEUE_WEIGHT * (average / ratio if ratio > average else 1.0)
        self._ratio_by_queue[queue] = average + weight * (ratio - average)
        speed = self._speed_by_worker.get(worker)
        if speed is None:
            speed = self._speed_by_worker[worker] = _WorkerSpeed(1.0, now)
        speed.slowness += WORKER_WEIGHT * (relative - speed.slowness)
        speed.measured_at = now

    def find_slowness(self, worker: str, now: float) -> float:
        """Return the slowness of a worker: 1 if unknown, or if a high value expired."""
        speed = self._speed_by_worker.get(worker)
        if speed is None:
            return 1.0
        if (
            speed.slowness >= SLOW_THRESHOLD
            and now - speed.measured_at > SLOWNESS_EXPIRY_S
        ):
            return 1.0
        return speed.slowness


@dataclass(slots=True)
class _QueueError:
    """Moving averages of the logarithmic error of the declared run times of a queue.

    :param mean: mean error on a typical worker
    :param step_variance: variance of the error that the tasks of a step share
    :param task_variance: variance of the error of a task within its step
    :param steps: number of steps
    :param shared_steps: number of steps that ran on several workers
    """

    mean: float
    step_variance: float = INITIAL_VARIANCE
    task_variance: float = INITIAL_VARIANCE
    steps: int = 0
    shared_steps: int = 0

    def estimate_step(self, total: float, count: int) -> tuple[float, float]:
        """Return the expected error of a step, and its variance.

        :param total: sum of the errors of some of its tasks
        :param count: number of these tasks
        """
        step_weight = 1 / max(MIN_VARIANCE, self.step_variance)
        task_weight = 1 / max(MIN_VARIANCE, self.task_variance)
        weight = step_weight + count * task_weight
        return (self.mean * step_weight + total * task_weight) / weight, 1 / weight


@dataclass(slots=True)
class _WorkerEstimate:
    """Weighted mean of the logarithmic slowness of a worker.

    :param total: sum of the weighted samples
    :param weight: sum of the weights, each the inverse variance of its sample
    :param samples: number of samples, which is the number of steps
    :param group: speed group of the worker, before the check of the groups' sizes
    """

    total: float = 0.0
    weight: float = 0.0
    samples: int = 0
    group: int = TYPICAL

    @property
    def mean(self) -> float:
        return self.total / self.weight if self.weight else 0.0

    @property
    def known_mean(self) -> float:
        return self.mean if self.samples >= MIN_SAMPLES else 0.0

    @property
    def standard_error(self) -> float:
        return 1 / math.sqrt(self.weight) if self.weight else math.inf

    def add(self, deviation: float, variance: float) -> None:
        keep = 1 - 1 / MAX_SAMPLES
        weight = 1 / max(MIN_VARIANCE, variance)
        self.total = keep * self.total + weight * deviation
        self.weight = keep * self.weight + weight
        self.samples += 1


@dataclass(frozen=True, slots=True)
class SpeedGroupChange:
    """A worker that has moved to another speed group, with the inputs of the decision.

    :param slowness: run time relative to the workers of the typical group
    :param error: standard error of the logarithm of the slowness
    :param samples: number of samples of the worker
    :param group_share: share of the measured workers that are in the new group
    """

    worker: str
    group: int
    before: int
    slowness: float
    error: float
    samples: int
    group_share: float


class SpeedGroups:
    """Groups of workers of clearly different speed: fast, typical and slow ones.

    A run deviates from its declared time by an error that the tasks of its step share,
    by one of its own, and by the speed of its worker. The worker is compared with the
    other workers of the step, and with the queue as far as its errors are small. Both
    are estimated together, as the runs of a queue may be on workers of one group only.
    """

    def __init__(self) -> None:
        self._error_by_queue: dict[str, _QueueError] = {}
        self._estimate_by_worker: dict[str, _WorkerEstimate] = {}
        self._reference: float | None = None
        self.group_by_worker: dict[str, int] = {}
        """Workers that are not typical."""

    def record_step(self, queue: str, ratio_by_run: list[tuple[str, float]]) -> None:
        """Update the estimates with the runs of one step.

        :param ratio_by_run: the worker of each run, with the ratio of its run time to
            the declared one
        """
        rows = [(worker, math.log(r)) for worker, r in ratio_by_run if r > 0]
        if not rows:
            return
        center = statistics.median(value for _, value in rows)
        sums: dict[str, list[float]] = {}
        for worker, value in rows:
            row = sums.setdefault(worker, [0.0, 0])
            row[0] += center + _clamp(value - center)
            row[1] += 1
        estimates = {worker: self._get_estimate(worker) for worker in sums}
        slowness = {worker: e.known_mean for worker, e in estimates.items()}
        count = len(rows)
        total = sum(row[0] - row[1] * slowness[worker] for worker, row in sums.items())
        error = self._error_by_queue.get(queue)
        if error is None:
            error = self._error_by_queue[queue] = _QueueError(total / count)
        if error.steps >= MIN_QUEUE_STEPS:
            for worker, (value, runs) in sums.items():
                others = total - (value - runs * slowness[worker])
                expected, variance = error.estimate_step(others, int(count - runs))
                deviation = _clamp(value / runs - expected)
                estimates[worker].add(deviation, variance + error.task_variance / runs)
        self._update_error(error, rows, slowness, total / count)

    def _update_error(
        self,
        error: _QueueError,
        rows: list[tuple[str, float]],
        slowness: dict[str, float],
        step_error: float,
    ) -> None:
        error.steps += 1
        weight = max(ERROR_WEIGHT, 1 / (error.steps + 1))
        difference = _clamp(step_error - error.mean)
        error.mean += weight * difference
        error.step_variance += weight * (difference**2 - error.step_variance)
        if len(slowness) > 1:
            error.shared_steps += 1
            weight = max(ERROR_WEIGHT, 1 / (error.shared_steps + 1))
            squares = sum(
                _clamp(value - slowness[worker] - step_error) ** 2
                for worker, value in rows
            )
            variance = squares / (len(rows) - 1)
            error.task_variance += weight * (variance - error.task_variance)

    def _get_estimate(self, worker: str) -> _WorkerEstimate:
        estimate = self._estimate_by_worker.get(worker)
        if estimate is None:
            estimate = self._estimate_by_worker[worker] = _WorkerEstimate()
        return estimate

    def regroup(self) -> list[SpeedGroupChange]:
        """Assign the measured workers to groups, and return those that have moved."""
        measured = {
            worker: estimate
            for worker, estimate in self._estimate_by_worker.items()
            if estimate.samples >= MIN_SAMPLES
        }
        if not measured:
            return []
        reference = self._choose_reference([e.mean for e in measured.values()])
        count_by_group: Counter[int] = Counter()
        for estimate in measured.values():
            estimate.group = _choose_group(estimate, reference)
            count_by_group[estimate.group] += 1
        in_use = set(self.group_by_worker.values())
        accepted = {
            group
            for group in (FAST, SLOW)
            if count_by_group[group]
            >= len(measured) * (KEEP_SHARE if group in in_use else MIN_SHARE)
            and count_by_group[group] >= MIN_GROUP_SIZE
        }
        changes = []
        for worker, estimate in measured.items():
            group = estimate.group if estimate.group in accepted else TYPICAL
            before = self.group_by_worker.get(worker, TYPICAL)
            if group == before:
                continue
            if group == TYPICAL:
                del self.group_by_worker[worker]
            else:
                self.group_by_worker[worker] = group
            changes.append(
                SpeedGroupChange(
                    worker,
                    group,
                    before,
                    math.exp(estimate.mean - reference),
                    estimate.standard_error,
                    estimate.samples,
                    count_by_group[group] / len(measured),
                )
            )
        return changes

    def _choose_reference(self, means: list[float]) -> float:
        """Return the mean slowness of the workers that count as typical.

        Follows the group that was typical before as long as it is large.
        """
        if self._reference is not None:
            near = [m for m in means if abs(m - self._reference) < MIN_DIFFERENCE]
            if len(near) >= KEEP_REFERENCE_SHARE * len(means):
                self._reference = statistics.fmean(near)
                return self._reference
        self._reference = statistics.median(means)
        return self._reference


def _choose_group(estimate: _WorkerEstimate, reference: float) -> int:
    difference = estimate.mean - reference
    group = SLOW if difference > 0 else FAST
    required = MIN_DIFFERENCE
    if estimate.group != group:
        required += CONFIDENCE * estimate.standard_error
    return group if abs(difference) >= required else TYPICAL


def _clamp(deviation: float) -> float:
    return max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation))
