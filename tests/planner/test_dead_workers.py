"""Half of the workers of a fleet die at the same time."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.events import StartOutcome

from .test_takeover import ENTRY, JOB, Store, find_starts, make_planner, store_batches

WORKERS = 6
DEAD_WORKERS = ("w1", "w2", "w3")


class DeadWorkersTest(unittest.TestCase):
    """Half of the workers refuse connections, and are still listed to the planner."""

    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        self.now = 0.1
        for number in range(1, WORKERS + 1):
            entry = replace(ENTRY, id=f"w{number}", address=f"{number}:1")
            self.planner.handle(events.WorkerListed(0.05, entry))
        for number in range(1, WORKERS + 1):
            self.answer_poll(f"w{number}")

    def answer_poll(self, worker: str) -> list[effects.Effect]:
        token = self.planner.state.worker_by_id[worker].token
        sent_at = self.now - 0.01
        return self.planner.handle(
            events.WorkerPolled(self.now, worker, sent_at, token, 5, 100, (), ())
        )

    def submit_jobs(self, outcome: StartOutcome) -> list[effects.Start]:
        """Submit ten jobs, and answer every start at once.

        :param outcome: answer to starts on dead workers
        """
        starts: list[effects.Start] = []
        for number in range(10):
            job = replace(JOB, id=f"{number:016x}")
            emitted = self.planner.handle(events.JobSubmitted(self.now, number, job))
            for _ in range(5):
                self.now += 0.03
                emitted += self.planner.handle(events.FlushDue(self.now))
                emitted = store_batches(self.planner, self.store, emitted, self.now)
                new_starts = find_starts(emitted)
                starts += new_starts
                emitted = []
                for start in new_starts:
                    start_outcome = (
                        outcome
                        if start.worker in DEAD_WORKERS
                        else StartOutcome.STARTED
                    )
                    event = events.StartAnswered(
                        self.now, start.worker, start.task, start.run, start_outcome
                    )
                    emitted += self.planner.handle(event)
        return starts

    def test_each_dead_worker_gets_at_most_one_start(self) -> None:
        starts = self.submit_jobs(StartOutcome.NOT_SENT)
        lost_on = [start.worker for start in starts if start.worker in DEAD_WORKERS]
        self.assertEqual(sorted(lost_on), sorted(set(lost_on)))
        self.assertEqual(len(starts) - len(lost_on), 10)

    def test_worker_is_usable_again_once_it_answers_a_poll(self) -> None:
        self.submit_jobs(StartOutcome.NOT_SENT)
        for name in DEAD_WORKERS:
            self.answer_poll(name)
        workers = self.planner.state.worker_by_id
        self.assertTrue(all(workers[name].is_usable(self.now) for name in DEAD_WORKERS))


if __name__ == "__main__":
    unittest.main()
