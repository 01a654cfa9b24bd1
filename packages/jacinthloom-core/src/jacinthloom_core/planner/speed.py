"""Estimation of the speed of workers from the run times of their tasks.

Declared run times are off by up to a factor of ten. A run is therefore compared with
other runs of its queue, and a worker with the other workers.
"""

from __future__ import annotations

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
