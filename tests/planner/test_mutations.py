"""Each broken copy of the planner is caught by seeds that the shipped one passes."""

from __future__ import annotations

import unittest

from testkit.planning.mutations import MUTATION_BY_NAME, make_mutant
from testkit.planning.rule_checker import RuleViolationError
from testkit.planning.world import Scenario, World

from .test_scenarios import SEEDS


def find_seed(name: str) -> int | None:
    """Return the first seed of the courses that catches a broken copy, or None."""
    for seed in SEEDS:
        try:
            World(Scenario(seed), make_mutant(name)).run()
        except RuleViolationError:
            return seed
        except AssertionError:
            continue  # a job that does not end is no broken rule
    return None


class MutationsTest(unittest.TestCase):
    def test_each_broken_rule_is_caught(self) -> None:
        for name in MUTATION_BY_NAME:
            with self.subTest(rule=name):
                self.assertIsNotNone(find_seed(name))


if __name__ == "__main__":
    unittest.main()
