"""Callers with few tries outlast the outages that they meet."""

from __future__ import annotations

import unittest

from jacinthloom_core.planner.retry_after import (
    MAX_RETRY_AFTER_S,
    compute_retry_after_s,
)

TRIES = 4
"""Times that a caller comes back."""


class RetryAfterTest(unittest.TestCase):
    def test_never_now_and_never_beyond_the_longest(self) -> None:
        self.assertEqual(compute_retry_after_s(0.0), 1)
        self.assertEqual(compute_retry_after_s(100.0), MAX_RETRY_AFTER_S)

    def test_caller_outlasts_an_outage_of_seven_seconds(self) -> None:
        for arrival_ms in range(0, 7_000, 100):
            now = arrival_ms / 1000
            tries = 0
            while now < 7.0:
                now += compute_retry_after_s(now)
                tries += 1
            self.assertLessEqual(tries, TRIES, f"arrived {arrival_ms} ms after")


if __name__ == "__main__":
    unittest.main()
