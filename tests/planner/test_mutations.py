"""Each mutant of the planner is detected by seeds that the planner itself passes."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from testkit.planning.mutations import (
    AUTHORITY_MUTATION_BY_NAME,
    MUTATION_BY_NAME,
    RECIPIENT_MUTATION_BY_NAME,
    make_mutant,
)
from testkit.planning.rule_checker import RuleViolationError
from testkit.planning.world import Scenario, World

from .test_recut_workers import make_one_planner_scenario
from .test_recut_workers import make_scenario as make_recut_scenario
from .test_scenarios import SEEDS
from .test_two_planners import make_scenario

if TYPE_CHECKING:
    from collections.abc import Iterable

CUT_SEEDS = range(100, 130)
"""Seeds of the simulated scenarios in which zones are cut off."""

RECUT_SEEDS = range(70, 80)
"""Seeds of the simulated scenarios in which workers restart and are cut off."""

ONE_PLANNER_SEEDS = (5, 17, 42, 60, 66, 85, 91, 105, 110)
"""Like ``RECUT_SEEDS``, where the planner is kept; each of them detects the faults."""


def find_detecting_seed(name: str, scenarios: Iterable[Scenario]) -> int | None:
    """Return the first seed whose scenario detects a mutant, or None."""
    for scenario in scenarios:
        try:
            World(scenario, make_mutant(name)).run()
        except RuleViolationError:
            return scenario.seed
        except AssertionError:
            continue  # an accepted job that does not end is no violation
    return None


class MutationsTest(unittest.TestCase):
    def test_each_mutation_is_detected(self) -> None:
        for name in MUTATION_BY_NAME:
            with self.subTest(mutation=name):
                scenarios = map(Scenario, SEEDS)
                self.assertIsNotNone(find_detecting_seed(name, scenarios))

    # Guards against scenarios that draw no two planners at once, and so pass planners
    # that renew leases after they were replaced.
    def test_each_mutation_of_lease_authority_is_detected(self) -> None:
        for name in AUTHORITY_MUTATION_BY_NAME:
            with self.subTest(mutation=name):
                scenarios = map(make_scenario, CUT_SEEDS)
                self.assertIsNotNone(find_detecting_seed(name, scenarios))

    # Guards against scenarios in which no order reaches another life of a worker than
    # the one that it is meant for.
    def test_each_mutation_of_recipients_is_detected(self) -> None:
        for name in RECIPIENT_MUTATION_BY_NAME:
            with self.subTest(mutation=name):
                scenarios = map(make_recut_scenario, RECUT_SEEDS)
                self.assertIsNotNone(find_detecting_seed(name, scenarios))

    # Guards against scenarios with one planner in which no order reaches another life
    # of a worker: the seeds of test_recut_workers would pass with the fault, too.
    def test_each_mutation_of_recipients_is_detected_with_one_planner(self) -> None:
        for name in RECIPIENT_MUTATION_BY_NAME:
            for seed in ONE_PLANNER_SEEDS:
                with self.subTest(mutation=name, seed=seed):
                    scenario = make_one_planner_scenario(seed)
                    self.assertIsNotNone(find_detecting_seed(name, [scenario]))


if __name__ == "__main__":
    unittest.main()
