"""No start reaches a worker that drains, or whose zone is out of service."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.events import StartOutcome

from testkit.planning.world import Scenario, World

from .test_takeover import (
    ENTRY,
    JOB,
    Store,
    answer_poll,
    find_starts,
    make_planner,
    store_batches,
)

SEEDS = (7009, 7057, *range(7100, 7118))
"""Seeds of the simulated scenarios; a repeated start broke a rule on the first two."""


class RepeatedStartTest(unittest.TestCase):
    def setUp(self) -> None:
        store = Store()
        self.planner = make_planner(1, store, 0.0)
        answer_poll(self.planner, 0.1)
        emitted = self.planner.handle(events.JobSubmitted(0.2, 1, JOB))
        (start,) = find_starts(store_batches(self.planner, store, emitted, 0.3))
        self.planner.handle(
            events.StartAnswered(0.6, "w1", start.task, 1, StartOutcome.UNKNOWN)
        )

    def repeat(self) -> list[type[effects.Effect]]:
        """Return the kinds of orders that follow the unanswered start."""
        emitted = self.planner.handle(events.Tick(0.7, 700))
        orders = (effects.Start, effects.Stop)
        return [type(effect) for effect in emitted if isinstance(effect, orders)]

    def test_unanswered_start_is_repeated(self) -> None:
        self.assertEqual(self.repeat(), [effects.Start])

    # Guards against a start that takes effect long after its worker began to drain.
    def test_unanswered_start_on_a_draining_worker_is_barred(self) -> None:
        draining = replace(ENTRY, is_ready=False)
        self.planner.handle(events.WorkerListed(0.65, draining))
        self.assertEqual(self.repeat(), [effects.Stop])

    # Guards against the same in a zone that was taken out of service.
    def test_unanswered_start_in_an_evacuated_zone_is_barred(self) -> None:
        self.planner.handle(events.ZonesChanged(0.65, frozenset({ENTRY.zone})))
        self.assertEqual(self.repeat(), [effects.Stop])


class OutOfServiceTest(unittest.TestCase):
    # Guards against starts on workers out of service, whatever else fails meanwhile.
    def test_invariants_hold_with_evacuations_and_drains(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                World(Scenario(seed, evacuations=2, drains=6, timed=0.1)).run()


if __name__ == "__main__":
    unittest.main()
