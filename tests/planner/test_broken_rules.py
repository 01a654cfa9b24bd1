"""Each broken copy of the planner is caught by seeds that the shipped one passes."""

from __future__ import annotations

import unittest

from testkit.planning.broken import BREAKERS, make_broken
from testkit.planning.judge import RuleBrokenError
from testkit.planning.world import Course, World

from .test_courses import SEEDS


def find_seed(name: str) -> int | None:
    """Return the first seed of the courses that catches a broken copy, or None."""
    for seed in SEEDS:
        try:
            World(Course(seed), make_broken(name)).run()
        except RuleBrokenError:
            return seed
        except AssertionError:
            continue  # a job that does not end is no broken rule
    return None


class BrokenRulesTest(unittest.TestCase):
    def test_each_broken_rule_is_caught(self) -> None:
        for name in BREAKERS:
            with self.subTest(rule=name):
                self.assertIsNotNone(find_seed(name))


if __name__ == "__main__":
    unittest.main()
