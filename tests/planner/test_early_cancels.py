"""Jobs that are cancelled before their submission is answered stay cancelled."""

from __future__ import annotations

import unittest

from testkit.planning.world import Scenario, World

from .test_mutations import find_detecting_seed

SEEDS = range(300, 330)


def make_scenario(seed: int) -> Scenario:
    return Scenario(seed, faults=4, timed=0.2, early_cancels=0.5)


class EarlyCancelsTest(unittest.TestCase):
    # Guards against an acknowledged cancel that is lost with the planner: its batch was
    # encoded before the cancel, which came while the store was slow (review/13).
    def test_acknowledged_cancel_outlives_the_planner(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                World(make_scenario(seed)).run()

    # Guards against scenarios that cancel only what was acknowledged: they pass a
    # planner that takes the state in memory for the stored one.
    def test_scenarios_detect_final_states_that_are_not_stored(self) -> None:
        scenarios = map(make_scenario, SEEDS)
        name = "final_states_taken_as_stored"
        self.assertIsNotNone(find_detecting_seed(name, scenarios))


if __name__ == "__main__":
    unittest.main()
