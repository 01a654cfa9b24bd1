"""How fast workers are, learnt from the runs that end on them.

Declared run times are wrong by up to ten times, so a run is compared with the runs of
its own queue, and a worker with the other workers.
"""

from __future__ import annotations

from dataclasses import dataclass

QUEUE_WEIGHT = 0.05
"""Weight of a new run in the mean of its queue: about the last twenty runs."""

WORKER_WEIGHT = 0.25
"""Weight of a new run in the mean of its worker: about the last four runs."""

LARGEST_RATIO = 8.0
"""Bound on one run, so that one liar does not decide: the slowest workers take six
times as long."""

SLOW_THRESHOLD = 1.8
"""Slowness from which a worker is avoided: beyond what sound ones differ by."""

SLOWNESS_EXPIRY_S = 6.0
"""Seconds after which a worker that got no work counts as sound again."""


@dataclass(slots=True)
class _WorkerSpeed:
    slowness: float
    seen_at: float


class WorkerSpeeds:
    """Slowness of each worker: 1 for a typical one, 2 for one half as fast."""

    def __init__(self) -> None:
        self._ratio_by_queue: dict[str, float] = {}
        self._speed_by_worker: dict[str, _WorkerSpeed] = {}

    def record(
        self, worker: str, queue: str, estimate_s: float, took_s: float, now: float
    ) -> None:
        """Learn from a run that ended as done."""
        if estimate_s <= 0 or took_s <= 0:
            return
        ratio = took_s / estimate_s
        usual = self._ratio_by_queue.get(queue, ratio)
        relative = max(1 / LARGEST_RATIO, min(LARGEST_RATIO, ratio / usual))
        weight = QUEUE_WEIGHT * (usual / ratio if ratio > usual else 1.0)
        self._ratio_by_queue[queue] = usual + weight * (ratio - usual)
        speed = self._speed_by_worker.get(worker)
        if speed is None:
            speed = self._speed_by_worker[worker] = _WorkerSpeed(1.0, now)
        speed.slowness += WORKER_WEIGHT * (relative - speed.slowness)
        speed.seen_at = now

    def find_slowness(self, worker: str, now: float) -> float:
        """Return the slowness of a worker; that of a slow one is forgotten in time."""
        speed = self._speed_by_worker.get(worker)
        if speed is None:
            return 1.0
        if speed.slowness >= SLOW_THRESHOLD and now - speed.seen_at > SLOWNESS_EXPIRY_S:
            return 1.0
        return speed.slowness
