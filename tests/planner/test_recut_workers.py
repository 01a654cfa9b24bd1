"""Workers restart under their ids and are cut off soon after; no run starts twice."""

from __future__ import annotations

import unittest

from testkit.planning.world import Scenario, World

RECUTS = 3
"""Number of times that the workers of a zone restart and are cut off."""

END_S = 175.0
"""Virtual time by which every accepted job must have ended: before the final states of
the first ones are dropped."""


def make_scenario(seed: int) -> Scenario:
    """Return a scenario with long runs and other faults beside the restarts."""
    return Scenario(seed, jobs=20, faults=2, long=0.6, recuts=RECUTS, end_s=END_S)


def make_one_planner_scenario(seed: int) -> Scenario:
    """Return a scenario in which the planner is kept, and no order is late."""
    return Scenario(
        seed,
        jobs=20,
        faults=0,
        late=0.0,
        long=0.6,
        recuts=RECUTS,
        recut_kill_share=0.0,
        end_s=END_S,
    )


class RecutWorkersTest(unittest.TestCase):
    # Guards against a lease that outlasts what the next planner counts: an order for
    # the former life of a worker set it by the clock of that life.
    def test_run_under_a_lease_by_a_former_clock_is_not_started_again(self) -> None:
        for seed in (78, 103, 127, 132, 176, 178):
            with self.subTest(seed=seed):
                World(make_scenario(seed)).run()

    # Guards against an end that is acknowledged unseen, by a cursor that was meant for
    # the former life of a worker.
    def test_cursor_for_a_former_life_acknowledges_no_end(self) -> None:
        for seed in (195, 240, 283, 303):
            with self.subTest(seed=seed):
                World(make_scenario(seed)).run()

    # Guards against a run that outlasts the lease that the planner which ordered it has
    # counted, as the order was for the former life of the worker.
    def test_one_planner_starts_no_task_that_still_runs(self) -> None:
        self.run_with_one_planner((5, 17, 20, 42, 60, 66))

    # Guards against an end as done that is noted within a lease which the planner takes
    # as lapsed, so that the task starts again.
    def test_one_planner_starts_no_task_after_its_end_is_noted(self) -> None:
        self.run_with_one_planner((85, 103, 110))

    def run_with_one_planner(self, seeds: tuple[int, ...]) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                world = World(make_one_planner_scenario(seed))
                world.run()
                assert world.current_process is not None
                self.assertEqual(world.current_process.term, 1)

    def test_invariants_hold_and_every_job_ends(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                World(make_scenario(seed)).run()


if __name__ == "__main__":
    unittest.main()
