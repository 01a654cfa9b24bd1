"""What a planner does with the records of the one before it."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.fleet import WorkerEntry
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.rules import ClientAccount, Queue, Rules
from jacinthloom_core.planner.specs import JobSpec, StepSpec, TaskId
from jacinthloom_core.planner.state import PlannerSettings

RULES = Rules(
    1,
    {"q": Queue("q", "h", "/q/", "service", 0, 2, 1.5, 0.25)},
    {"t": ClientAccount("t", 1, Resources())},
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


def make_planner(term: int, store: Store, now: float, rules: Rules = RULES) -> Planner:
    planner = Planner(PlannerSettings(term, 6.0, 120.0))
    planner.load(store.value_by_key, now, int(now * 1000))
    planner.handle(events.RulesChanged(now, rules))
    planner.handle(events.WorkerListed(now, ENTRY))
    return planner


def answer_hold(planner: Planner, now: float) -> list[effects.Effect]:
    worker = planner.state.worker_by_id["w1"]
    return planner.handle(
        events.WorkerPolled(now, "w1", now - 0.01, worker.token, 5, 100, (), ())
    )


def run_batches(
    planner: Planner, store: Store, found: list[effects.Effect], now: float
) -> list[effects.Effect]:
    """Store every batch that leaves, and return all effects."""
    everything = list(found)
    while numbers := store.take(found):
        found = []
        for number in numbers:
            found += planner.handle(events.BatchStored(now, number))
        found += planner.handle(events.FlushDue(now + 0.05))
        everything += found
    return everything


def find_starts(found: list[effects.Effect]) -> list[effects.Start]:
    return [effect for effect in found if isinstance(effect, effects.Start)]


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

    def test_jobs_of_a_queue_that_was_removed_go_on(self) -> None:
        store = Store()
        first = make_planner(1, store, 0.0)
        found = first.handle(events.JobSubmitted(0.2, 1, JOB))
        run_batches(first, store, found, 0.3)

        without = replace(RULES, version=2, queue_by_name={})
        second = make_planner(2, store, 1.0, without)
        found = answer_hold(second, 1.1) + second.handle(events.FlushDue(1.2))
        starts = find_starts(run_batches(second, store, found, 1.3))
        self.assertEqual([start.task.job for start in starts], [JOB.id])

    def test_queue_without_jobs_is_forgotten_once_it_is_removed(self) -> None:
        store = Store()
        first = make_planner(1, store, 0.0)
        run_batches(first, store, first.handle(events.JobSubmitted(0.2, 1, JOB)), 0.3)
        found = first.handle(events.CancelRequested(0.4, 2, JOB.id))
        found += first.handle(events.FlushDue(0.5))
        run_batches(first, store, found, 0.5)
        self.assertEqual(len([k for k in store.value_by_key if "queue" in k]), 1)
        without = replace(RULES, version=2, queue_by_name={})
        first.handle(events.RulesChanged(1.0, without))
        for now in (400.0, 402.0):
            found = first.handle(events.Tick(now, 0))
            found += first.handle(events.FlushDue(now + 0.1))
            run_batches(first, store, found, now)
        self.assertEqual(store.value_by_key, {})

    def test_run_of_a_cancelled_job_counts_until_it_is_stopped(self) -> None:
        limited = replace(
            RULES,
            client_account_by_name={"t": ClientAccount("t", 1, Resources(100, 0))},
        )
        store = Store()
        first = make_planner(1, store, 0.0, limited)
        answer_hold(first, 0.1)
        found = first.handle(events.JobSubmitted(0.2, 1, JOB))
        self.assertTrue(find_starts(run_batches(first, store, found, 0.3)))
        found = first.handle(events.CancelRequested(0.4, 2, JOB.id))
        found += first.handle(events.FlushDue(0.5))
        store.take(found)

        second = make_planner(2, store, 1.0, limited)
        other = replace(JOB, id="b" * 16)
        worker = second.state.worker_by_id["w1"]
        task = TaskId(JOB.id, 0, 0, 0)
        row = events.RunProgress(task, 1, "", 10)
        found = second.handle(events.JobSubmitted(1.1, 3, other))
        for now, running in ((1.2, (row,)), (1.3, (row,))):
            found += second.handle(
                events.WorkerPolled(
                    now, "w1", now - 0.01, worker.token, 5, 100, running, ()
                )
            )
            found += second.handle(events.FlushDue(now + 0.05))
            found = run_batches(second, store, found, now + 0.05)
            self.assertEqual(find_starts(found), [])
        self.assertTrue([e for e in found if isinstance(e, effects.Stop)])
        end = events.RunEnd(1, task, 1, events.EndKind.STOPPED, "")
        found = second.handle(
            events.WorkerPolled(2.0, "w1", 1.9, worker.token, 5, 100, (), (end,))
        )
        found += second.handle(events.FlushDue(2.1))
        starts = find_starts(run_batches(second, store, found, 2.1))
        self.assertEqual([start.task.job for start in starts], [other.id])
        self.assertNotIn(f"{JOB.id}.0", store.value_by_key)


if __name__ == "__main__":
    unittest.main()
