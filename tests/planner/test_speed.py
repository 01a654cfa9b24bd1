"""Loads with workers that are slow, by kind or for a while."""

from __future__ import annotations

import random
import unittest

from jacinthloom_core.planner.speed import (
    SLOW_THRESHOLD,
    SLOWNESS_EXPIRY_S,
    WorkerSpeeds,
)


def play(
    slowness_by_worker: dict[str, float], runs: int, seed: int, spread: float
) -> WorkerSpeeds:
    """Return what is learnt from runs on workers of given slowness."""
    source = random.Random(seed)
    book = WorkerSpeeds()
    for _ in range(runs):
        worker = source.choice(sorted(slowness_by_worker))
        estimate_s = source.uniform(0.3, 1.6)
        error = source.uniform(1 - spread, 1 + spread)
        took_s = estimate_s * error * slowness_by_worker[worker]
        book.record(worker, "checks", estimate_s, took_s, 0.0)
    return book


class SpeedTest(unittest.TestCase):
    def test_worker_six_times_as_slow_is_found_in_a_few_runs(self) -> None:
        speeds = {f"w{number}": 1.0 for number in range(8)} | {"slow": 6.0}
        for seed in range(20):
            book = play(speeds, 90, seed, spread=0.2)
            self.assertGreaterEqual(book.find_slowness("slow", 0.0), SLOW_THRESHOLD)
            for number in range(8):
                self.assertLess(book.find_slowness(f"w{number}", 0.0), SLOW_THRESHOLD)

    def test_workers_of_a_slower_kind_rank_behind_the_others(self) -> None:
        speeds = {"a": 1.0, "b": 1.0, "c": 1.3}
        behind = 0
        for seed in range(20):
            book = play(speeds, 90, seed, spread=0.2)
            slowest = max(speeds, key=lambda name: book.find_slowness(name, 0.0))
            behind += slowest == "c"
        self.assertGreaterEqual(behind, 18)

    def test_slow_worker_gets_another_try_after_a_while(self) -> None:
        speeds = {f"w{number}": 1.0 for number in range(8)} | {"slow": 6.0}
        book = play(speeds, 90, 1, spread=0.2)
        self.assertGreaterEqual(
            book.find_slowness("slow", SLOWNESS_EXPIRY_S - 0.1), SLOW_THRESHOLD
        )
        self.assertEqual(book.find_slowness("slow", SLOWNESS_EXPIRY_S + 0.1), 1.0)

    def test_nothing_is_learnt_from_absurd_times(self) -> None:
        book = WorkerSpeeds()
        book.record("w", "q", 0.0, 5.0, 0.0)
        book.record("w", "q", 1.0, -1.0, 0.0)
        self.assertEqual(book.find_slowness("w", 0.0), 1.0)


if __name__ == "__main__":
    unittest.main()
