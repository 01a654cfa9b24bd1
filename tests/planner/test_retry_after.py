"""The advised retry delays let callers with few retries outlast an outage."""

from __future__ import annotations

import unittest

from jacinthloom_core.planner.retry_after import (
    MAX_RETRY_AFTER_S,
    compute_retry_after_s,
)

MAX_RETRIES = 4
"""Number of times that a caller retries."""


class RetryAfterTest(unittest.TestCase):
    def test_delay_is_at_least_one_second_and_at_most_the_maximum(self) -> None:
        self.assertEqual(compute_retry_after_s(0.0), 1)
        self.assertEqual(compute_retry_after_s(100.0), MAX_RETRY_AFTER_S)

    def test_caller_outlasts_an_outage_of_seven_seconds(self) -> None:
        for arrival_ms in range(0, 7_000, 100):
            now = arrival_ms / 1000
            retries = 0
            while now < 7.0:
                now += compute_retry_after_s(now)
                retries += 1
            self.assertLessEqual(
                retries, MAX_RETRIES, f"arrived {arrival_ms} ms into the outage"
            )


if __name__ == "__main__":
    unittest.main()
