"""Two planners that are alive at once, each with its workers, start no run twice."""

from __future__ import annotations

import unittest

from testkit.planning.world import Scenario, World

CUTS = 3
"""Number of times that a zone is cut off in each scenario."""

END_S = 150.0
"""Virtual time by which every accepted job must have ended."""


def make_scenario(seed: int) -> Scenario:
    """Return a scenario with long runs and other faults beside the cuts."""
    return Scenario(seed, jobs=40, faults=4, long=0.3, zone_cuts=CUTS, end_s=END_S)


class TwoPlannersTest(unittest.TestCase):
    # Guards against a start while a planner that is cut off keeps an earlier run alive.
    def test_long_run_has_ended_before_another_starts(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                World(make_scenario(seed)).run()

    # Guards against a start after an end as done, which is acknowledged later.
    def test_task_that_was_done_in_a_zone_cut_off_does_not_start_again(self) -> None:
        for seed in range(100, 110):
            with self.subTest(seed=seed):
                scenario = Scenario(
                    seed,
                    lost=0.0,
                    late=0.0,
                    withheld=0.0,
                    faults=0,
                    zone_cuts=CUTS,
                    end_s=END_S,
                )
                World(scenario).run()

    # Guards against a start after the last failed attempt, which is acknowledged later.
    def test_failure_in_a_zone_cut_off_counts_as_an_attempt(self) -> None:
        for seed in (46, 60, 127, 130, 168, 179):
            with self.subTest(seed=seed):
                World(make_scenario(seed)).run()


if __name__ == "__main__":
    unittest.main()
