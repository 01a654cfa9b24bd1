"""Submissions during an outage of the store are refused or stored, never lost."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.planner import effects, events

from .test_takeover import JOB, RULES, Store, answer_poll, find_starts, make_planner

TICK_INTERVAL_S = 0.05
"""Seconds between two ticks."""


class StoreOutageTestCase(unittest.TestCase):
    """A planner whose store is down from 1 s on, with a submission every 0.1 s."""

    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        answer_poll(self.planner, 0.1)
        self.now = 1.0
        self.job_count = 0
        self.reply_by_call: dict[int, tuple[float, effects.Reply]] = {}
        self.batches: list[effects.Store] = []
        self.starts: list[effects.Start] = []

    def apply_effects(self, emitted: list[effects.Effect]) -> None:
        for effect in emitted:
            if isinstance(effect, effects.Reply):
                self.reply_by_call[effect.call] = (self.now, effect)
            elif isinstance(effect, effects.Store):
                self.batches.append(effect)
        self.starts += find_starts(emitted)

    def submit(self) -> None:
        self.job_count += 1
        job = replace(JOB, id=f"{self.job_count:016x}")
        self.apply_effects(
            self.planner.handle(events.JobSubmitted(self.now, self.job_count, job))
        )

    def submit_jobs_until(self, until: float, is_refusing: bool) -> None:
        """Submit jobs until a time while the store refuses batches or stays silent."""
        steps = 0
        while self.now < until:
            if steps % 2 == 0:
                self.submit()
            steps += 1
            self.apply_effects(self.planner.handle(events.FlushDue(self.now)))
            if is_refusing and self.batches:
                number = self.batches.pop().number
                refused = events.BatchRefused(self.now, number)
                self.apply_effects(self.planner.handle(refused))
            self.now += TICK_INTERVAL_S
            self.apply_effects(self.planner.handle(events.Tick(self.now, 0)))

    def store_batches(self) -> None:
        while self.batches:
            batch = self.batches.pop()
            self.store.append_batches([batch])
            stored = events.BatchStored(self.now, batch.number)
            self.apply_effects(self.planner.handle(stored))
            self.now += TICK_INTERVAL_S
            self.apply_effects(self.planner.handle(events.FlushDue(self.now)))


class RefusingStoreTest(StoreOutageTestCase):
    def test_every_waiting_call_is_refused_once_the_store_is_unreachable(self) -> None:
        self.submit_jobs_until(until=4.0, is_refusing=True)
        waits_s = [
            at - (1.0 + 0.1 * (call - 1))
            for call, (at, _) in self.reply_by_call.items()
        ]
        self.assertGreaterEqual(len(self.reply_by_call), self.job_count - 1)
        self.assertLessEqual(max(waits_s), 1.3)  # the store counts as lost after 1 s
        for _, reply in self.reply_by_call.values():
            self.assertEqual(reply.status, 503)
            self.assertGreaterEqual(reply.retry_after_s, 1)

    def test_refused_jobs_are_neither_stored_nor_started(self) -> None:
        self.submit_jobs_until(until=4.0, is_refusing=True)
        refused = {f"{call:016x}" for call in self.reply_by_call}
        self.apply_effects(self.planner.handle(events.FlushDue(self.now + 0.2)))
        self.store_batches()
        self.assertEqual([s for s in self.starts if s.task.job in refused], [])
        self.assertEqual(refused & self.store.value_by_key.keys(), set())

    def test_later_batch_stores_no_record_of_a_refused_job(self) -> None:
        # The tick runs a scheduling pass.
        self.apply_effects(self.planner.handle(events.Tick(self.now - 0.01, 0)))
        self.submit()
        (first,) = self.batches
        self.now += 0.1  # its task is placed while the batch is in flight
        self.apply_effects(self.planner.handle(events.FlushDue(self.now)))
        self.now += 2.0
        refused = events.BatchRefused(self.now, first.number)
        self.apply_effects(self.planner.handle(refused))
        self.assertEqual(self.reply_by_call[1][1].status, 503)
        self.batches.clear()
        for _ in range(4):
            self.now += 0.2
            self.apply_effects(self.planner.handle(events.FlushDue(self.now)))
            self.store_batches()
        keys = [key for key in self.store.value_by_key if not key.startswith("queue:")]
        self.assertEqual(keys, [])

    def test_refused_job_is_accepted_when_it_is_submitted_again(self) -> None:
        self.submit_jobs_until(until=2.5, is_refusing=True)
        self.apply_effects(self.planner.handle(events.FlushDue(self.now + 0.2)))
        self.store_batches()
        self.apply_effects(answer_poll(self.planner, self.now))
        resubmitted = replace(JOB, id=f"{1:016x}")
        self.apply_effects(
            self.planner.handle(events.JobSubmitted(self.now, 900, resubmitted))
        )
        self.apply_effects(self.planner.handle(events.FlushDue(self.now + 0.1)))
        self.store_batches()
        self.assertEqual(self.reply_by_call[900][1].status, 200)
        self.assertEqual([s.task.job for s in self.starts], [resubmitted.id])


class UnknownQueueTest(StoreOutageTestCase):
    def test_job_for_an_unknown_queue_is_refused_with_a_retry_delay(self) -> None:
        job = replace(JOB, queue="not configured here")
        self.apply_effects(self.planner.handle(events.JobSubmitted(self.now, 1, job)))
        reply = self.reply_by_call[1][1]
        self.assertEqual((reply.status, reply.retry_after_s), (503, 1))

    def test_removed_queue_accepts_jobs_of_hosts_with_an_older_configuration(
        self,
    ) -> None:
        rules_without_queue = replace(RULES, version=2, queue_by_name={})
        self.apply_effects(
            self.planner.handle(events.RulesChanged(self.now, rules_without_queue))
        )
        for now in (2.0, 4.0):
            self.apply_effects(self.planner.handle(events.Tick(now, 0)))
        self.now = 4.1
        self.submit()
        self.store_batches()
        self.assertEqual(self.reply_by_call[1][1].status, 200)
        self.apply_effects(answer_poll(self.planner, self.now))
        self.apply_effects(self.planner.handle(events.Tick(self.now + 0.1, 0)))
        self.store_batches()
        self.assertEqual(len(self.starts), 1)


class SilentStoreTest(StoreOutageTestCase):
    def test_only_jobs_in_the_batch_in_flight_wait_for_a_silent_store(self) -> None:
        self.submit_jobs_until(until=4.0, is_refusing=False)
        (batch,) = self.batches
        sent_keys = {record.key for record in batch.records}
        unanswered = set(range(1, self.job_count + 1)) - self.reply_by_call.keys()
        for call in unanswered:
            self.assertIn(f"{call:016x}", sent_keys)
        self.store_batches()
        for call in unanswered:
            self.assertEqual(self.reply_by_call[call][1].status, 200)


if __name__ == "__main__":
    unittest.main()
