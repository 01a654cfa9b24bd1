"""Tasks that crash the workers that start them are given up, and only these."""

from __future__ import annotations

import unittest

from testkit.planning.world import Scenario, World

SEEDS = range(2000, 2030)
"""Seeds of the simulated scenarios."""

MAX_LOST_WORKERS = 3
"""Workers that one task may crash where nothing else fails."""


class DeadlyTasksTest(unittest.TestCase):
    # Guards against a task that crashes one worker after the other without limit.
    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(Scenario(seed, lost=0.0, late=0.0, faults=0, deadly=0.15))
                world.run()
                crashes = world.checker.crashes_by_task.values()
                self.assertLessEqual(max(crashes, default=0), MAX_LOST_WORKERS)

    # Guards against a count of crashes that a new planner, a store that is away or
    # another fault resets.
    def test_task_that_crashes_its_workers_is_given_up_beside_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                World(Scenario(seed, deadly=0.15)).run()

    # Guards against a task that crashes its workers only after it has run for a while.
    def test_task_that_crashes_its_workers_late_is_given_up(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                World(Scenario(seed, faults=0, deadly=0.1, deadly_delay_s=1.2)).run()


if __name__ == "__main__":
    unittest.main()
