"""Simulated planners keep the invariants under faults drawn from seeds."""

from __future__ import annotations

import unittest

from testkit.planning.world import Scenario, World

SEEDS = range(50)
"""Seeds of the simulated scenarios."""


class ScenariosTest(unittest.TestCase):
    def test_invariants_hold_and_every_job_ends(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                World(Scenario(seed)).run()

    def test_invariants_hold_without_lost_or_late_commands(self) -> None:
        for seed in range(1000, 1010):
            with self.subTest(seed=seed):
                World(Scenario(seed, lost=0.0, late=0.0)).run()

    # Guards against a lease that outlasts what a successor counts: an order to the life
    # before is carried out late, on a worker that has just restarted under its id.
    def test_late_order_on_a_restarted_worker_outlasts_no_wait(self) -> None:
        World(Scenario(2092)).run()

    # Guards against a start after the last failed attempt: its count was stored before
    # the end of its job, and the planner was replaced between the two.
    def test_attempts_that_were_stored_before_the_end_of_a_job_count(self) -> None:
        World(Scenario(4001, late=0.0, shrinks=10)).run()


if __name__ == "__main__":
    unittest.main()
