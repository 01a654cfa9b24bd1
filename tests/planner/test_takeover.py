"""A planner takes over jobs, runs and queues from the records of the one before it."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.fleet import Worker, WorkerEntry
from jacinthloom_core.planner.lease_authority import KNOWN_PREDECESSOR_S
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.rules import ClientAccount, Queue, Rules
from jacinthloom_core.planner.run_times import RECORD_KEY
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
    """Records by key, as the platform's store holds them."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}

    def append_batches(self, emitted: list[effects.Effect]) -> list[int]:
        """Store the records of emitted batches and return the batches' numbers."""
        batches = [effect for effect in emitted if isinstance(effect, effects.Store)]
        for batch in batches:
            for record in batch.records:
                if record.value:
                    self.value_by_key[record.key] = record.value
                else:
                    self.value_by_key.pop(record.key, None)
        return [batch.number for batch in batches]


def make_planner(term: int, store: Store, now: float, rules: Rules = RULES) -> Planner:
    planner = Planner(PlannerSettings(term, 6.0, 120.0))
    planner.load(store.value_by_key, now, int(now * 1000))
    planner.handle(events.RulesChanged(now, rules))
    planner.handle(events.WorkerListed(now, ENTRY))
    return planner


def answer_poll(planner: Planner, now: float) -> list[effects.Effect]:
    worker = planner.state.worker_by_id["w1"]
    return planner.handle(
        events.WorkerPolled(now, "w1", now - 0.01, worker.token, 5, 100, (), ())
    )


def store_batches(
    planner: Planner, store: Store, emitted: list[effects.Effect], now: float
) -> list[effects.Effect]:
    """Store every batch that the planner emits, and return all effects."""
    all_effects = list(emitted)
    while numbers := store.append_batches(emitted):
        emitted = []
        for number in numbers:
            emitted += planner.handle(events.BatchStored(now, number))
        emitted += planner.handle(events.FlushDue(now + 0.05))
        all_effects += emitted
    return all_effects


def find_starts(emitted: list[effects.Effect]) -> list[effects.Start]:
    return [effect for effect in emitted if isinstance(effect, effects.Start)]


class TakeoverTest(unittest.TestCase):
    def test_start_that_was_stored_and_never_sent_is_placed_again(self) -> None:
        store = Store()
        first = make_planner(1, store, 0.0)
        answer_poll(first, 0.1)
        store.append_batches(first.handle(events.JobSubmitted(0.2, 1, JOB)))
        # The batch with the placement is stored; its planner stops before the start.
        self.assertIn(f"{JOB.id}.0", store.value_by_key)

        second = make_planner(2, store, 1.0)
        emitted = answer_poll(second, 1.1)
        emitted += second.handle(events.FlushDue(1.2))
        for number in store.append_batches(emitted):
            emitted += second.handle(events.BatchStored(1.3, number))
        starts = [effect for effect in emitted if isinstance(effect, effects.Start)]
        self.assertEqual([(start.worker, start.run) for start in starts], [("w1", 2)])

    # Guards against a start while an earlier run still ends: the timers of workers fire
    # late, for the leases of an earlier planner too.
    def test_leases_of_the_planner_before_count_with_the_same_margin(self) -> None:
        store = Store()
        first = make_planner(1, store, 0.0)
        answer_poll(first, 0.1)
        store.append_batches(first.handle(events.JobSubmitted(0.2, 1, JOB)))
        second = make_planner(2, store, 1.0)
        worker = Worker("w1", 1)
        worker.extend_lease(1.0 + KNOWN_PREDECESSOR_S, 6.0)
        loaded = second.state.worker_by_id["w1"]
        self.assertAlmostEqual(loaded.lease_until, worker.lease_until)

    def test_successor_takes_over_learned_run_times(self) -> None:
        store = Store()
        first = make_planner(1, store, 0.0)
        for _ in range(10):
            first.state.run_times.record("q", 0.1, 5.0)
        first.handle(events.Tick(0.1, 100))
        self.assertNotIn(RECORD_KEY, store.value_by_key)  # no batch of its own
        emitted = first.handle(events.JobSubmitted(0.2, 1, JOB))
        store_batches(first, store, emitted, 0.2)
        second = make_planner(2, store, 1.0)
        predicted_s = second.state.run_times.predict("q", 0.1)
        self.assertEqual(predicted_s, first.state.run_times.predict("q", 0.1))

    def test_unreadable_run_times_are_ignored(self) -> None:
        store = Store()
        store.value_by_key[RECORD_KEY] = b"\xc1"
        planner = make_planner(1, store, 0.0)
        self.assertEqual(planner.state.counters["run_times_ignored"], 1)

    def test_jobs_of_a_removed_queue_still_start(self) -> None:
        store = Store()
        first = make_planner(1, store, 0.0)
        emitted = first.handle(events.JobSubmitted(0.2, 1, JOB))
        store_batches(first, store, emitted, 0.3)

        rules_without_queue = replace(RULES, version=2, queue_by_name={})
        second = make_planner(2, store, 1.0, rules_without_queue)
        emitted = answer_poll(second, 1.1) + second.handle(events.FlushDue(1.2))
        starts = find_starts(store_batches(second, store, emitted, 1.3))
        self.assertEqual([start.task.job for start in starts], [JOB.id])

    def test_record_of_a_removed_queue_without_jobs_is_deleted(self) -> None:
        store = Store()
        first = make_planner(1, store, 0.0)
        store_batches(first, store, first.handle(events.JobSubmitted(0.2, 1, JOB)), 0.3)
        emitted = first.handle(events.CancelRequested(0.4, 2, JOB.id))
        emitted += first.handle(events.FlushDue(0.5))
        store_batches(first, store, emitted, 0.5)
        self.assertEqual(len([k for k in store.value_by_key if "queue" in k]), 1)
        rules_without_queue = replace(RULES, version=2, queue_by_name={})
        first.handle(events.RulesChanged(1.0, rules_without_queue))
        for now in (400.0, 402.0):
            emitted = first.handle(events.Tick(now, 0))
            emitted += first.handle(events.FlushDue(now + 0.1))
            store_batches(first, store, emitted, now)
        self.assertEqual(store.value_by_key, {})

    def test_run_of_a_cancelled_job_counts_toward_the_limit_until_it_stops(
        self,
    ) -> None:
        rules_with_limit = replace(
            RULES,
            client_account_by_name={"t": ClientAccount("t", 1, Resources(100, 0))},
        )
        store = Store()
        first = make_planner(1, store, 0.0, rules_with_limit)
        answer_poll(first, 0.1)
        emitted = first.handle(events.JobSubmitted(0.2, 1, JOB))
        self.assertTrue(find_starts(store_batches(first, store, emitted, 0.3)))
        emitted = first.handle(events.CancelRequested(0.4, 2, JOB.id))
        emitted += first.handle(events.FlushDue(0.5))
        store.append_batches(emitted)

        second = make_planner(2, store, 1.0, rules_with_limit)
        other = replace(JOB, id="b" * 16)
        worker = second.state.worker_by_id["w1"]
        task = TaskId(JOB.id, 0, 0, 0)
        progress = events.RunProgress(task, 1, "", 10)
        emitted = second.handle(events.JobSubmitted(1.1, 3, other))
        for now, running in ((1.2, (progress,)), (1.3, (progress,))):
            emitted += second.handle(
                events.WorkerPolled(
                    now, "w1", now - 0.01, worker.token, 5, 100, running, ()
                )
            )
            emitted += second.handle(events.FlushDue(now + 0.05))
            emitted = store_batches(second, store, emitted, now + 0.05)
            self.assertEqual(find_starts(emitted), [])
        self.assertTrue([e for e in emitted if isinstance(e, effects.Stop)])
        end = events.RunEnd(1, task, 1, events.EndKind.STOPPED, "")
        emitted = second.handle(
            events.WorkerPolled(2.0, "w1", 1.9, worker.token, 5, 100, (), (end,))
        )
        emitted += second.handle(events.FlushDue(2.1))
        starts = find_starts(store_batches(second, store, emitted, 2.1))
        self.assertEqual([start.task.job for start in starts], [other.id])
        self.assertNotIn(f"{JOB.id}.0", store.value_by_key)


if __name__ == "__main__":
    unittest.main()
