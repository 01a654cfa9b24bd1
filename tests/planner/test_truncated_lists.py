"""Lists of ended runs that are cut off say nothing about the runs that they lack."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.reconciler import POLL_WAIT_S
from jacinthloom_core.planner.specs import StepSpec, TaskId

from testkit.planning.world import Scenario, World

from .test_takeover import JOB, Store, answer_poll, make_planner, store_batches

SEEDS = range(6000, 6020)
"""Seeds of the simulated scenarios."""

WIDE = replace(JOB, steps=(StepSpec(3, Resources(100, 100), 1.0),))


class TruncatedListsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        answer_poll(self.planner, 0.1)
        emitted = self.planner.handle(events.JobSubmitted(0.2, 1, WIDE))
        store_batches(self.planner, self.store, emitted, 0.3)
        self.worker = self.planner.state.worker_by_id["w1"]
        self.tasks = [TaskId(WIDE.id, 0, 0, number) for number in range(3)]
        self.assertEqual(set(self.worker.task_by_id), set(self.tasks))
        running = tuple(events.RunProgress(task, 1, "", 50) for task in self.tasks)
        self.poll(0.4, running=running)

    def poll(
        self,
        now: float,
        running: tuple[events.RunProgress, ...] = (),
        ends: tuple[events.RunEnd, ...] = (),
        is_complete: bool = True,
        incarnation: int = 5,
    ) -> list[effects.Effect]:
        return self.planner.handle(
            events.WorkerPolled(
                now,
                "w1",
                now - 0.01,
                self.worker.token,
                incarnation,
                int(now * 1000),
                running,
                ends,
                is_complete,
            )
        )

    def end(self, position: int) -> events.RunEnd:
        done = events.EndKind.DONE
        return events.RunEnd(position + 1, self.tasks[position], 1, done, "")

    # Guards against runs that are repeated because their ends wait behind those that
    # a worker has room to list.
    def test_run_behind_a_truncated_list_is_kept(self) -> None:
        self.poll(1.0, ends=(self.end(0),), is_complete=False)
        self.assertEqual(set(self.worker.task_by_id), set(self.tasks[1:]))
        self.poll(1.1, ends=(self.end(0), self.end(1), self.end(2)))
        self.assertEqual(self.planner.find_job_state(WIDE.id), "running")
        self.assertEqual(self.worker.task_by_id, {})
        self.assertEqual(self.planner.state.counters["run_lost"], 0)

    # Guards against a worker that counts as restarted with runs lost, though its new
    # incarnation has run and ended them behind a list that is cut off.
    def test_restarted_worker_is_judged_by_complete_lists_only(self) -> None:
        self.poll(1.0, incarnation=6)
        self.poll(1.1, is_complete=False, incarnation=6)
        self.assertEqual(self.planner.state.counters["run_lost"], 0)
        self.poll(1.2, incarnation=6)
        self.assertEqual(self.planner.state.counters["run_lost"], 3)

    def find_polls(self, emitted: list[effects.Effect]) -> list[tuple[int, float]]:
        """Return cursor and wait of each poll."""
        polls = [e for e in emitted if isinstance(e, effects.PollWorker)]
        return [(poll.cursor, poll.wait_s) for poll in polls]

    # Guards against a backlog that is worked off at one long poll for each list.
    def test_worker_with_unlisted_ends_is_polled_without_waiting(self) -> None:
        emitted = self.poll(1.0, ends=(self.end(0),), is_complete=False)
        emitted += self.planner.handle(events.FlushDue(1.05))
        emitted = store_batches(self.planner, self.store, emitted, 1.06)
        self.assertEqual(self.find_polls(emitted), [(1, 0.0)])
        emitted = self.poll(1.1, ends=(self.end(1), self.end(2)))
        emitted += self.planner.handle(events.FlushDue(1.15))
        emitted = store_batches(self.planner, self.store, emitted, 1.16)
        self.assertEqual(self.find_polls(emitted), [(3, POLL_WAIT_S)])

    # Guards against polls without a pause of a worker whose list can't be read whole.
    def test_worker_with_unreadable_rows_is_polled_at_intervals(self) -> None:
        emitted = self.poll(1.0, is_complete=False)
        emitted += self.planner.handle(events.Tick(1.1, 1_100))
        self.assertEqual(self.find_polls(emitted), [])
        emitted = self.planner.handle(events.Tick(1.4, 1_400))
        self.assertEqual(self.find_polls(emitted), [(0, 0.0)])

    # Guards against any order of outages, takeovers and long backlogs of ends in which
    # a task is repeated.
    def test_invariants_hold_with_short_lists(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                limit = 1 + seed % 3
                World(Scenario(seed, ends_per_list=limit, timed=0.1)).run()


if __name__ == "__main__":
    unittest.main()
