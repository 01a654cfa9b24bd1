"""Loads on a fleet of which many workers die at the same moment."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.events import StartOutcome

from .test_takeover import ENTRY, JOB, Store, find_starts, make_planner, run_batches

WORKERS = 6
DEAD = ("w1", "w2", "w3")


class DeadWorkersTest(unittest.TestCase):
    """Half of the workers refuse connections; the planner has not been told."""

    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        self.now = 0.1
        for number in range(1, WORKERS + 1):
            entry = replace(ENTRY, id=f"w{number}", address=f"{number}:1")
            self.planner.handle(events.WorkerListed(0.05, entry))
        for number in range(1, WORKERS + 1):
            self.list_nothing(f"w{number}")

    def list_nothing(self, worker: str) -> list[effects.Effect]:
        token = self.planner.state.worker_by_id[worker].token
        sent_at = self.now - 0.01
        return self.planner.handle(
            events.WorkerPolled(self.now, worker, sent_at, token, 5, 100, (), ())
        )

    def play(self, outcome: StartOutcome) -> list[effects.Start]:
        """Hand ten jobs in, and answer every start at once."""
        starts: list[effects.Start] = []
        for number in range(10):
            job = replace(JOB, id=f"{number:016x}")
            found = self.planner.handle(events.JobSubmitted(self.now, number, job))
            for _ in range(5):
                self.now += 0.03
                found += self.planner.handle(events.FlushDue(self.now))
                found = run_batches(self.planner, self.store, found, self.now)
                new = find_starts(found)
                starts += new
                found = []
                for start in new:
                    answer = outcome if start.worker in DEAD else StartOutcome.STARTED
                    event = events.StartAnswered(
                        self.now, start.worker, start.task, start.run, answer
                    )
                    found += self.planner.handle(event)
        return starts

    def test_each_dead_worker_costs_one_start(self) -> None:
        starts = self.play(StartOutcome.NOT_SENT)
        lost = [start.worker for start in starts if start.worker in DEAD]
        self.assertEqual(sorted(lost), sorted(set(lost)))
        self.assertEqual(len(starts) - len(lost), 10)

    def test_worker_that_lists_its_runs_gets_work_again(self) -> None:
        self.play(StartOutcome.NOT_SENT)
        for name in DEAD:
            self.list_nothing(name)
        workers = self.planner.state.worker_by_id
        self.assertTrue(all(workers[name].is_usable(self.now) for name in DEAD))


if __name__ == "__main__":
    unittest.main()
