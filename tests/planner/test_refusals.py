"""Loads of jobs that come while the store can't be written."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.planner import effects, events

from .test_takeover import JOB, RULES, Store, answer_hold, find_starts, make_planner

STEP_S = 0.05
"""Seconds between two ticks."""


class Outage(unittest.TestCase):
    """A planner whose store stops at 1 s, and a job each 0.1 s from then on."""

    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        answer_hold(self.planner, 0.1)
        self.now = 1.0
        self.jobs = 0
        self.replies: dict[int, tuple[float, effects.Reply]] = {}
        self.batches: list[effects.Store] = []
        self.starts: list[effects.Start] = []

    def take(self, found: list[effects.Effect]) -> None:
        for effect in found:
            if isinstance(effect, effects.Reply):
                self.replies[effect.call] = (self.now, effect)
            elif isinstance(effect, effects.Store):
                self.batches.append(effect)
        self.starts += find_starts(found)

    def submit(self) -> None:
        self.jobs += 1
        job = replace(JOB, id=f"{self.jobs:016x}")
        self.take(self.planner.handle(events.JobSubmitted(self.now, self.jobs, job)))

    def play(self, until: float, answers: bool) -> None:
        """Hand jobs in until a time; the store refuses, or stays silent."""
        steps = 0
        while self.now < until:
            if steps % 2 == 0:
                self.submit()
            steps += 1
            self.take(self.planner.handle(events.FlushDue(self.now)))
            if answers and self.batches:
                number = self.batches.pop().number
                refused = events.BatchRefused(self.now, number)
                self.take(self.planner.handle(refused))
            self.now += STEP_S
            self.take(self.planner.handle(events.Tick(self.now, 0)))

    def store_everything(self) -> None:
        while self.batches:
            batch = self.batches.pop()
            self.store.take([batch])
            stored = events.BatchStored(self.now, batch.number)
            self.take(self.planner.handle(stored))
            self.now += STEP_S
            self.take(self.planner.handle(events.FlushDue(self.now)))


class RefusingStoreTest(Outage):
    def test_every_waiting_call_is_refused_once_the_store_is_out_of_reach(self) -> None:
        self.play(until=4.0, answers=True)
        waited = [
            at - (1.0 + 0.1 * (call - 1)) for call, (at, _) in self.replies.items()
        ]
        self.assertGreaterEqual(len(self.replies), self.jobs - 1)
        self.assertLessEqual(max(waited), 1.3)  # the store counts as lost after 1 s
        for _, reply in self.replies.values():
            self.assertEqual(reply.status, 503)
            self.assertGreaterEqual(reply.retry_after_s, 1)

    def test_refused_jobs_are_neither_stored_nor_started(self) -> None:
        self.play(until=4.0, answers=True)
        refused = {f"{call:016x}" for call in self.replies}
        self.take(self.planner.handle(events.FlushDue(self.now + 0.2)))
        self.store_everything()
        self.assertEqual([s for s in self.starts if s.task.job in refused], [])
        self.assertEqual(refused & self.store.value_by_key.keys(), set())

    def test_nothing_of_a_refused_job_is_stored_by_a_later_batch(self) -> None:
        self.take(self.planner.handle(events.Tick(self.now - 0.01, 0)))  # a pass
        self.submit()
        (first,) = self.batches
        self.now += 0.1  # its task is placed while the batch is in flight
        self.take(self.planner.handle(events.FlushDue(self.now)))
        self.now += 2.0
        refused = events.BatchRefused(self.now, first.number)
        self.take(self.planner.handle(refused))
        self.assertEqual(self.replies[1][1].status, 503)
        self.batches.clear()
        for _ in range(4):
            self.now += 0.2
            self.take(self.planner.handle(events.FlushDue(self.now)))
            self.store_everything()
        keys = [key for key in self.store.value_by_key if not key.startswith("queue:")]
        self.assertEqual(keys, [])

    def test_job_that_was_refused_is_accepted_when_it_comes_again(self) -> None:
        self.play(until=2.5, answers=True)
        self.take(self.planner.handle(events.FlushDue(self.now + 0.2)))
        self.store_everything()
        self.take(answer_hold(self.planner, self.now))
        again = replace(JOB, id=f"{1:016x}")
        self.take(self.planner.handle(events.JobSubmitted(self.now, 900, again)))
        self.take(self.planner.handle(events.FlushDue(self.now + 0.1)))
        self.store_everything()
        self.assertEqual(self.replies[900][1].status, 200)
        self.assertEqual([s.task.job for s in self.starts], [again.id])


class UnknownQueueTest(Outage):
    def test_job_for_an_unknown_queue_is_refused_and_may_come_again(self) -> None:
        job = replace(JOB, queue="not configured here")
        self.take(self.planner.handle(events.JobSubmitted(self.now, 1, job)))
        reply = self.replies[1][1]
        self.assertEqual((reply.status, reply.retry_after_s), (503, 1))

    def test_removed_queue_still_takes_jobs_of_hosts_that_are_behind(self) -> None:
        without = replace(RULES, version=2, queue_by_name={})
        self.take(self.planner.handle(events.RulesChanged(self.now, without)))
        for now in (2.0, 4.0):
            self.take(self.planner.handle(events.Tick(now, 0)))
        self.now = 4.1
        self.submit()
        self.store_everything()
        self.assertEqual(self.replies[1][1].status, 200)
        self.take(answer_hold(self.planner, self.now))
        self.take(self.planner.handle(events.Tick(self.now + 0.1, 0)))
        self.store_everything()
        self.assertEqual(len(self.starts), 1)


class SilentStoreTest(Outage):
    def test_only_jobs_that_may_be_stored_wait_for_the_store(self) -> None:
        self.play(until=4.0, answers=False)
        (batch,) = self.batches
        sent = {record.key for record in batch.records}
        unanswered = set(range(1, self.jobs + 1)) - self.replies.keys()
        for call in unanswered:
            self.assertIn(f"{call:016x}", sent)
        self.store_everything()
        for call in unanswered:
            self.assertEqual(self.replies[call][1].status, 200)


if __name__ == "__main__":
    unittest.main()
