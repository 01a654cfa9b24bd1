"""Loads whose declared run times are off by up to ten times, or nearly true."""

from __future__ import annotations

import math
import random
import unittest

from jacinthloom_core.planner.run_times import RunTimes


def play(error: float, runs: int, seed: int) -> tuple[RunTimes, random.Random]:
    """Return what is learnt from runs of 5 s, declared with a relative error."""
    source = random.Random(seed)
    times = RunTimes()
    for _ in range(runs):
        took_s = source.lognormvariate(math.log(5.0), 0.4)
        declared_s = took_s * source.uniform(1 - error, 1 + error)
        times.record("rebuilds", declared_s, took_s)
    return times, source


class RunTimesTest(unittest.TestCase):
    def measure(self, error: float, seed: int) -> tuple[float, float]:
        """Return mean errors of prediction and declaration, as logarithms."""
        times, source = play(error, 60, seed)
        predicted = declared = 0.0
        for _ in range(200):
            took_s = source.lognormvariate(math.log(5.0), 0.4)
            declared_s = took_s * source.uniform(1 - error, 1 + error)
            guess_s = times.predict("rebuilds", declared_s)
            predicted += abs(math.log(guess_s / took_s)) / 200
            declared += abs(math.log(declared_s / took_s)) / 200
        return predicted, declared

    def test_wild_declarations_are_corrected(self) -> None:
        for seed in range(10):
            predicted, declared = self.measure(0.9, seed)
            self.assertLess(predicted, 0.75 * declared)

    def test_good_declarations_are_kept(self) -> None:
        for seed in range(10):
            predicted, declared = self.measure(0.1, seed)
            self.assertLess(predicted, 1.25 * declared)

    def test_one_absurd_run_moves_little(self) -> None:
        times, _ = play(0.2, 60, 1)
        before = times.predict("rebuilds", 5.0)
        times.record("rebuilds", 0.001, 4000.0)
        self.assertLess(abs(math.log(times.predict("rebuilds", 5.0) / before)), 0.25)

    def test_unknown_queue_is_believed(self) -> None:
        self.assertEqual(RunTimes().predict("new", 3.0), 3.0)


if __name__ == "__main__":
    unittest.main()
