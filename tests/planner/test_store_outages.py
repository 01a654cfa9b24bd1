"""An outage of the store for all ends no runs, however long leases are."""

from __future__ import annotations

import unittest

from testkit.planning.world import Scenario, World


class StoreOutagesTest(unittest.TestCase):
    # Guards against work that is lost though no other planner could have taken it over.
    def test_no_run_lapses_while_the_planner_keeps_its_members(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                scenario = Scenario(
                    seed,
                    lost=0.0,
                    late=0.0,
                    withheld=0.0,
                    faults=0,
                    long=0.5,
                    store_outages=1,
                    min_outage_s=20.0,
                    end_s=150.0,
                )
                world = World(scenario)
                world.run()
                self.assertEqual(world.checker.lapsed, set())


if __name__ == "__main__":
    unittest.main()
