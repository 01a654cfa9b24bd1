"""Detection of workers that are slow by their kind or for a limited time."""

from __future__ import annotations

import random
import unittest

from jacinthloom_core.planner.speed import (
    SLOW_THRESHOLD,
    SLOWNESS_EXPIRY_S,
    WorkerSpeeds,
)


def record_runs(
    slowness_by_worker: dict[str, float], runs: int, seed: int, spread: float
) -> WorkerSpeeds:
    """Return the speeds learnt from runs on workers of given slowness.

    :param spread: largest relative error of the estimates
    """
    source = random.Random(seed)
    worker_speeds = WorkerSpeeds()
    for _ in range(runs):
        worker = source.choice(sorted(slowness_by_worker))
        estimate_s = source.uniform(0.3, 1.6)
        error = source.uniform(1 - spread, 1 + spread)
        took_s = estimate_s * error * slowness_by_worker[worker]
        worker_speeds.record(worker, "checks", estimate_s, took_s, 0.0)
    return worker_speeds


class WorkerSpeedsTest(unittest.TestCase):
    def test_worker_six_times_as_slow_is_detected_in_a_few_runs(self) -> None:
        slowness_by_worker = {f"w{number}": 1.0 for number in range(8)} | {"slow": 6.0}
        for seed in range(20):
            worker_speeds = record_runs(slowness_by_worker, 90, seed, spread=0.2)
            self.assertGreaterEqual(
                worker_speeds.find_slowness("slow", 0.0), SLOW_THRESHOLD
            )
            for number in range(8):
                self.assertLess(
                    worker_speeds.find_slowness(f"w{number}", 0.0), SLOW_THRESHOLD
                )

    def test_worker_of_a_slower_kind_ranks_behind_the_others(self) -> None:
        slowness_by_worker = {"a": 1.0, "b": 1.0, "c": 1.3}
        detected = 0
        for seed in range(20):
            worker_speeds = record_runs(slowness_by_worker, 90, seed, spread=0.2)
            slowest = max(
                slowness_by_worker,
                key=lambda name: worker_speeds.find_slowness(name, 0.0),
            )
            detected += slowest == "c"
        self.assertGreaterEqual(detected, 18)

    def test_slowness_of_a_worker_expires(self) -> None:
        slowness_by_worker = {f"w{number}": 1.0 for number in range(8)} | {"slow": 6.0}
        worker_speeds = record_runs(slowness_by_worker, 90, 1, spread=0.2)
        self.assertGreaterEqual(
            worker_speeds.find_slowness("slow", SLOWNESS_EXPIRY_S - 0.1), SLOW_THRESHOLD
        )
        self.assertEqual(
            worker_speeds.find_slowness("slow", SLOWNESS_EXPIRY_S + 0.1), 1.0
        )

    def test_runs_without_a_positive_time_or_estimate_are_ignored(self) -> None:
        worker_speeds = WorkerSpeeds()
        worker_speeds.record("w", "q", 0.0, 5.0, 0.0)
        worker_speeds.record("w", "q", 1.0, -1.0, 0.0)
        self.assertEqual(worker_speeds.find_slowness("w", 0.0), 1.0)


if __name__ == "__main__":
    unittest.main()
