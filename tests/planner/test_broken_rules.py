"""Each broken copy of the planner is caught by a seed that the shipped one passes."""

from __future__ import annotations

import unittest

from testkit.planning.broken import BREAKERS, make_broken
from testkit.planning.judge import RuleBrokenError
from testkit.planning.world import Course, World

SEED_BY_RULE = {
    "starts_before_stored": 1,
    "ends_forgotten_early": 6,
    "done_not_recorded": 3,
    "spread_ignored": 2,
}
"""Seed that catches a rule; 0 for the others. tests/planner/test_courses.py plays the
shipped planner with all of them."""


class BrokenRulesTest(unittest.TestCase):
    def test_each_broken_rule_is_caught(self) -> None:
        for name in BREAKERS:
            with self.subTest(rule=name), self.assertRaises(RuleBrokenError):
                seed = SEED_BY_RULE.get(name, 0)
                World(Course(seed), make_broken(name)).run()


if __name__ == "__main__":
    unittest.main()
