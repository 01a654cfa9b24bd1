"""What the planner tells callers and workers is stored, in every order of events."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner.specs import JobSpec, StepSpec

from testkit.planning.event_orders import search
from testkit.planning.mutations import (
    ACKNOWLEDGEMENT_MUTATION_BY_NAME,
    make_mutant,
)

STEP = StepSpec(1, Resources(100, 100), 1.0)
JOB = JobSpec("a" * 16, "q", "t", "text", (STEP,), 0)
JOB_BY_SHAPE = {
    "task": JOB,
    "gang": replace(JOB, steps=(replace(STEP, count=2, gang=True),)),
    "chain": replace(JOB, steps=(STEP, replace(STEP, after=(0,)))),
    "timed": replace(JOB, first_due_ms=1, period_ms=100, occurrences=2),
}
DEPTH = 5


class EventOrdersTest(unittest.TestCase):
    # Guards against a cancel that is acknowledged, or shown, before it is stored: the
    # batch that was acknowledged had been encoded before the cancel (review/13).
    def test_what_is_told_is_stored_in_every_order_of_events(self) -> None:
        for shape, spec in JOB_BY_SHAPE.items():
            with self.subTest(shape=shape):
                self.assertEqual(list(search(spec, DEPTH))[:3], [])

    # Guards against a search whose orders no longer bring the faults about.
    def test_each_mutation_of_acknowledgements_is_detected(self) -> None:
        for name in ACKNOWLEDGEMENT_MUTATION_BY_NAME:
            with self.subTest(mutation=name):
                found = search(JOB, DEPTH, make_mutant(name))
                self.assertIsNotNone(next(found, None))


if __name__ == "__main__":
    unittest.main()
