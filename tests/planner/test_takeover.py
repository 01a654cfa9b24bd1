"""What a planner does with the records of the one before it."""

from __future__ import annotations

import unittest

from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.books import PlannerSettings
from jacinthloom_core.planner.fleet import WorkerEntry
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.rules import Queue, Rules, Tenant
from jacinthloom_core.planner.specs import JobSpec, StepSpec
from jacinthloom_core.resources import Resources

RULES = Rules(
    1,
    {"q": Queue("q", "h", "/q/", "service", 0, 2, 1.5, 0.25)},
    {"t": Tenant("t", 1, Resources())},
    {"key": "t"},
)
ENTRY = WorkerEntry(
    "w1", "service", "1:1", "z", True, Resources(1000, 1000), frozenset(), "", 5
)
JOB = JobSpec("a" * 16, "q", "t", "text", (StepSpec(1, Resources(100, 100), 1.0),), 0)


class Store:
    """Records by key, as the store keeps them."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}

    def take(self, found: list[effects.Effect]) -> list[int]:
        """Keep the records of batches and return their numbers."""
        stores = [effect for effect in found if isinstance(effect, effects.Store)]
        for store in stores:
            for record in store.records:
                if record.value:
                    self.value_by_key[record.key] = record.value
                else:
                    self.value_by_key.pop(record.key, None)
        return [store.number for store in stores]


def make_planner(term: int, store: Store, now: float) -> Planner:
    planner = Planner(PlannerSettings(term, 6.0, 120.0))
    planner.load(store.value_by_key, now, int(now * 1000))
    planner.handle(events.RulesChanged(now, RULES))
    planner.handle(events.WorkerListed(now, ENTRY))
    return planner


def answer_hold(planner: Planner, now: float) -> list[effects.Effect]:
    worker = planner.books.worker_by_id["w1"]
    return planner.handle(
        events.HoldAnswered(now, "w1", now - 0.01, worker.token, 5, 100, (), ())
    )


class TakeoverTest(unittest.TestCase):
    def test_start_that_was_stored_and_never_sent_is_placed_again(self) -> None:
        store = Store()
        first = make_planner(1, store, 0.0)
        answer_hold(first, 0.1)
        store.take(first.handle(events.JobSubmitted(0.2, 1, JOB)))
        # The batch with the placement is stored; its planner stops before it orders.
        self.assertIn(f"{JOB.id}.0", store.value_by_key)

        second = make_planner(2, store, 1.0)
        found = answer_hold(second, 1.1)
        found += second.handle(events.FlushDue(1.2))
        for number in store.take(found):
            found += second.handle(events.BatchStored(1.3, number))
        starts = [effect for effect in found if isinstance(effect, effects.Start)]
        self.assertEqual([(start.worker, start.run) for start in starts], [("w1", 2)])


if __name__ == "__main__":
    unittest.main()
