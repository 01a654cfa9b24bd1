"""Another life of a worker than the intended one answers a start.

Paths that keep a connection and join the next process make that possible.
"""

from __future__ import annotations

import unittest

from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.events import StartOutcome
from jacinthloom_core.planner.fleet import CONTACT_TIMEOUT_S, Worker

from .test_takeover import (
    JOB,
    Store,
    answer_poll,
    find_starts,
    make_planner,
    store_batches,
)

LONGEST_LEASE_S = 10.0
NOW = 0.6
NEXT_LIFE = 9


class JoinedPathsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        emitted = answer_poll(self.planner, 0.1)
        emitted += self.planner.handle(events.JobSubmitted(0.2, 1, JOB))
        emitted += self.planner.handle(events.FlushDue(0.3))
        emitted = store_batches(self.planner, self.store, emitted, 0.3)
        self.start = find_starts(emitted)[0]
        self.worker = self.planner.state.worker_by_id["w1"]

    def answer(self, outcome: StartOutcome, now: float = NOW) -> list[effects.Effect]:
        task, run = self.start.task, self.start.run
        return self.planner.handle(events.StartAnswered(now, "w1", task, run, outcome))

    def poll(self, now: float, incarnation: int, running: bool) -> list[effects.Effect]:
        row = events.RunProgress(self.start.task, self.start.run, "", 5)
        rows = (row,) if running else ()
        token = self.worker.token
        return self.planner.handle(
            events.WorkerPolled(now, "w1", now - 0.01, token, incarnation, 9, rows, ())
        )

    # Guards against a run under the longest lease of the next life which the planner
    # takes as lapsed after the lease that it has granted itself.
    def test_longest_lease_is_assumed(self) -> None:
        expected = Worker("w1", 1)
        expected.extend_lease(NOW, LONGEST_LEASE_S)
        self.answer(StartOutcome.ANSWERED_BY_OTHER)
        self.assertEqual(self.worker.lease_until, expected.lease_until)

    # Guards against further orders, cursors and deadlines on the joined connections.
    def test_contact_with_the_former_life_is_lost(self) -> None:
        self.poll(0.5, 5, False)
        self.assertTrue(self.worker.is_usable(NOW))
        self.worker.is_polling = False
        self.worker.poll_due = NOW + 9.0
        emitted = self.answer(StartOutcome.ANSWERED_BY_OTHER)
        self.assertFalse(self.worker.is_usable(NOW))
        self.assertIsNotNone(self.worker.loss)
        polls = [e for e in emitted if isinstance(e, effects.PollWorker)]
        sent = [(p.incarnation, p.cursor, p.wait_s, p.deadline_ms) for p in polls]
        self.assertEqual(sent, [(0, 0, 0.0, 0)])
        later = self.planner.handle(events.Tick(NOW + 1.5, 0))
        self.assertEqual(find_starts(later), [])

    # Guards against a run of the next life that is stopped or started again, though it
    # is the one that was ordered.
    def test_run_is_adopted_once_the_next_life_lists_it(self) -> None:
        emitted = self.answer(StartOutcome.ANSWERED_BY_OTHER)
        emitted += self.poll(NOW + 0.1, NEXT_LIFE, True)
        emitted += self.poll(NOW + 0.2, NEXT_LIFE, True)
        self.assertEqual(self.worker.fenced_incarnation, NEXT_LIFE)
        emitted += self.planner.handle(events.FlushDue(NOW + 0.3))
        self.assertEqual(find_starts(emitted), [])
        self.assertFalse([e for e in emitted if isinstance(e, effects.Stop)])
        task = self.worker.task_by_id[self.start.task]
        self.assertEqual((task.run, task.incarnation), (self.start.run, NEXT_LIFE))

    # Guards against a life whose own answers are taken for those of another one: its
    # clock may be 2% slow.
    def test_clock_of_the_intended_life_is_not_below_the_least(self) -> None:
        worker = Worker("w1", 1, clock_ms=100, clock_at=1.0)
        for passed_s in (0.0, 0.4, CONTACT_TIMEOUT_S):
            least_ms = worker.compute_least_clock_ms(1.0 + passed_s)
            self.assertLessEqual(least_ms, int(100 + passed_s * 980))
            self.assertGreaterEqual(least_ms, int(99 + passed_s * 980))


if __name__ == "__main__":
    unittest.main()
