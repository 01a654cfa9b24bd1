"""Each mutant of the planner is detected by seeds that the planner itself passes."""

from __future__ import annotations

import unittest

from testkit.planning.mutations import MUTATION_BY_NAME, make_mutant
from testkit.planning.rule_checker import RuleViolationError
from testkit.planning.world import Scenario, World

from .test_scenarios import SEEDS


def find_detecting_seed(name: str) -> int | None:
    """Return the first seed whose scenario detects a mutant, or None."""
    for seed in SEEDS:
        try:
            World(Scenario(seed), make_mutant(name)).run()
        except RuleViolationError:
            return seed
        except AssertionError:
            continue  # an accepted job that does not end is no violation
    return None


class MutationsTest(unittest.TestCase):
    def test_each_mutation_is_detected(self) -> None:
        for name in MUTATION_BY_NAME:
            with self.subTest(mutation=name):
                self.assertIsNotNone(find_detecting_seed(name))


if __name__ == "__main__":
    unittest.main()
