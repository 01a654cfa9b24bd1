"""Planners in virtual time, in courses of faults drawn from seeds."""

from __future__ import annotations

import unittest

from testkit.planning.world import Scenario, World

SEEDS = range(50)
"""Seeds played by each run."""


class ScenariosTest(unittest.TestCase):
    def test_rules_hold_and_everything_ends(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                World(Scenario(seed)).run()

    def test_without_faults_in_orders(self) -> None:
        for seed in range(1000, 1010):
            with self.subTest(seed=seed):
                World(Scenario(seed, lost=0.0, late=0.0)).run()


if __name__ == "__main__":
    unittest.main()
