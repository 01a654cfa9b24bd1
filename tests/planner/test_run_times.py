"""Predicted run times where declared ones are wrong by up to ten times, or right."""

from __future__ import annotations

import math
import random
import unittest

import msgpack
from jacinthloom_core.planner.run_times import RunTimes


def record_runs(error: float, runs: int, seed: int) -> tuple[RunTimes, random.Random]:
    """Return run times learnt from runs of 5 s, declared with a relative error."""
    source = random.Random(seed)
    times = RunTimes()
    for _ in range(runs):
        took_s = source.lognormvariate(math.log(5.0), 0.4)
        declared_s = took_s * source.uniform(1 - error, 1 + error)
        times.record("rebuilds", declared_s, took_s)
    return times, source


class RunTimesTest(unittest.TestCase):
    def measure_errors(self, error: float, seed: int) -> tuple[float, float]:
        """Return the mean absolute log errors of predictions and declarations."""
        times, source = record_runs(error, 60, seed)
        predicted_error = declared_error = 0.0
        for _ in range(200):
            took_s = source.lognormvariate(math.log(5.0), 0.4)
            declared_s = took_s * source.uniform(1 - error, 1 + error)
            predicted_s = times.predict("rebuilds", declared_s)
            predicted_error += abs(math.log(predicted_s / took_s)) / 200
            declared_error += abs(math.log(declared_s / took_s)) / 200
        return predicted_error, declared_error

    def test_wrong_declarations_are_corrected(self) -> None:
        for seed in range(10):
            predicted_error, declared_error = self.measure_errors(0.9, seed)
            self.assertLess(predicted_error, 0.75 * declared_error)

    def test_accurate_declarations_are_not_made_worse(self) -> None:
        for seed in range(10):
            predicted_error, declared_error = self.measure_errors(0.1, seed)
            self.assertLess(predicted_error, 1.25 * declared_error)

    def test_one_outlier_changes_the_prediction_little(self) -> None:
        times, _ = record_runs(0.2, 60, 1)
        before = times.predict("rebuilds", 5.0)
        times.record("rebuilds", 0.001, 4000.0)
        self.assertLess(abs(math.log(times.predict("rebuilds", 5.0) / before)), 0.25)

    def test_declaration_of_an_unknown_queue_is_the_prediction(self) -> None:
        self.assertEqual(RunTimes().predict("new", 3.0), 3.0)

    # Guards against a planner that takes jobs with a short declared time for late after
    # each takeover, and drops them behind all others.
    def test_successor_predicts_as_the_planner_before(self) -> None:
        times, _ = record_runs(0.9, 30, 1)
        successor = RunTimes()
        successor.load(times.encode())
        predicted_s = times.predict("rebuilds", 0.5)
        self.assertEqual(successor.predict("rebuilds", 0.5), predicted_s)
        self.assertGreater(predicted_s, 1.0)

    def test_invalid_records_are_refused(self) -> None:
        for value in (b"", b"\xc1", b"\x01", b"\x92\x02\x80", b"\x92\x01\x81\xa1a\x90"):
            with self.subTest(value=value), self.assertRaises(ValueError):
                RunTimes().load(value)

    # Guards against a record that loads and then raises in every scheduling pass.
    def test_values_that_predictions_cannot_use_are_refused(self) -> None:
        nan, inf = float("nan"), float("inf")
        for position, values in enumerate(
            ((nan, inf, 1e9), (nan, 1e9), (nan, -1.0), (nan, inf), (-1, 0, inf))
        ):
            for value in values:
                row = [0.5, 0.1, 0.2, 0.3, 9]
                row[position] = value
                record = bytes(msgpack.packb([1, {"rebuilds": row}]))
                with self.subTest(row=row):
                    times = RunTimes()
                    with self.assertRaises(ValueError):
                        times.load(record)
                    self.assertEqual(times.predict("rebuilds", 3.0), 3.0)


if __name__ == "__main__":
    unittest.main()
