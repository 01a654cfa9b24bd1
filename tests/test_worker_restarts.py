"""Workers that end, and whose successors answer at the same address and name."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from jacinthloom_core.model.answers import RequestAnswer

from testkit.virtual import Faults
from testkit.virtual.schedule import LOOKUP, REBUILD, Schedule

if TYPE_CHECKING:
    from jacinthloom_core.model.work import Grant

    from testkit.virtual.platform import VirtualWorker

STEPS_PER_SCHEDULE = 40

SEVERE_REGRESSION_SEEDS = (8022, 8062)
"""Seeds that found a fault, before orders named the incarnation they are meant for."""


class WorkerRestartsTest(unittest.TestCase):
    """One request or job at a time, on workers that restart."""

    def setUp(self) -> None:
        self.world = Schedule(1, 4).world
        self.entry = self.world.alive[0]

    def ask_once(self, name: str, run_time_s: float = 0.05) -> None:
        spec = self.world.make_spec(
            name,
            LOOKUP,
            processors=200,
            run_time_s=run_time_s,
            idempotent=False,
            idempotency_key=name,
        )
        self.world.ask(self.entry, spec)

    def find_outcome(self, name: str) -> str:
        answer = self.world.answer_by_request.get(name)
        return answer.outcome if isinstance(answer, RequestAnswer) else repr(answer)

    # Guards against completions of a new incarnation that count as read, because the
    # cursor of the former one covers their numbers.
    def test_requests_are_answered_after_their_worker_has_restarted(self) -> None:
        for number in range(40):
            self.ask_once(f"r-before-{number}")
            self.world.run(0.5)
        restarted = list(self.world.worker_by_name.values())
        self.assertTrue(any(worker.completions for worker in restarted))
        for worker in restarted:
            worker.restart()
        self.world.run(3.0)
        names = [f"r-after-{number}" for number in range(10)]
        for name in names:
            self.ask_once(name)
            self.world.run(0.5)
        self.world.run(30.0)
        outcomes = {name: self.find_outcome(name) for name in names}
        self.assertEqual(outcomes, dict.fromkeys(names, "answered"))

    def restart_after_start(self, name: str) -> None:
        """Restart the worker that starts a request or job, before it responds."""
        original = self.world.invariants.on_start
        restarted: list[VirtualWorker] = []

        def on_start(worker: VirtualWorker, grant: Grant) -> None:
            original(worker, grant)
            if grant.spec.job == name and not restarted:
                restarted.append(worker)
                self.world.at(0.0001, worker.restart)

        self.world.invariants.on_start = on_start  # type: ignore[method-assign]

    # Guards against a request that runs twice: its start reached the former
    # incarnation, and the next one's report was taken as proof that it had not.
    def test_start_that_a_former_incarnation_took_does_not_run_again(self) -> None:
        self.restart_after_start("r-once")
        self.ask_once("r-once", run_time_s=5.0)
        self.world.run(30.0)
        self.assertEqual(self.find_outcome("r-once"), "unknown")

    # Guards against tasks that are taken as running on a worker that has restarted.
    def test_job_is_done_though_all_workers_restart(self) -> None:
        spec = self.world.make_spec("j-1", REBUILD, tasks=8, run_time_s=6.0)
        self.world.ask(self.entry, spec)
        self.world.run(3.0)
        workers = self.world.worker_by_name.values()
        self.assertTrue(any(worker.task_by_key for worker in workers))
        for worker in workers:
            worker.restart()
        reference = self.world.invariants.truth
        is_done = self.world.run_until(lambda: "j-1" not in reference.job_by_id, 30.0)
        self.assertTrue(is_done)

    # Guards against an order that is carried out by an incarnation it wasn't meant for.
    def test_start_for_a_former_incarnation_is_refused_and_placed_again(self) -> None:
        started: list[str] = []
        for worker in self.world.worker_by_name.values():
            worker.restart()
        original = self.world.invariants.on_start

        def on_start(worker: VirtualWorker, grant: Grant) -> None:
            original(worker, grant)
            started.append(worker.incarnation)

        self.world.invariants.on_start = on_start  # type: ignore[method-assign]
        members = [process.member for process in self.world.alive]
        known = {
            worker.incarnation
            for member in members
            for worker in member.owned_workers.worker_by_name.values()
        }
        self.assertEqual(known, {"life-1"})
        self.ask_once("r-1")
        self.world.run(0.1)
        self.assertEqual(started, [])
        self.world.run(5.0)
        self.assertEqual(self.find_outcome("r-1"), "answered")
        self.assertEqual(started, ["life-2"])

    # Guards against workers that tell no incarnation and are no longer used.
    def test_workers_without_incarnation_are_used(self) -> None:
        for worker in self.world.worker_by_name.values():
            worker.identifies = False
        self.world.run(3.0)
        for number in range(5):
            self.ask_once(f"r-{number}")
            self.world.run(1.0)
            self.assertEqual(self.find_outcome(f"r-{number}"), "answered")
        for worker in self.world.worker_by_name.values():
            worker.restart()
        self.world.run(5.0)
        incarnations = {
            worker.incarnation
            for process in self.world.alive
            for worker in process.member.owned_workers.worker_by_name.values()
        }
        self.assertEqual(incarnations, {""})
        schedule = Schedule(6100, 4)
        for worker in schedule.world.worker_by_name.values():
            worker.identifies = False
        schedule.run(STEPS_PER_SCHEDULE)

    # Guards against lost, stuck or repeated work in any order of restarts and faults.
    def test_random_schedules(self) -> None:
        for seed in range(6000, 6020):
            with self.subTest(seed=seed):
                Schedule(seed, 4).run(STEPS_PER_SCHEDULE, restarts=True)

    # Guards against the same faults where messages are also lost, late or repeated.
    def test_severe_random_schedules(self) -> None:
        for seed in (*SEVERE_REGRESSION_SEEDS, *range(7000, 7020)):
            with self.subTest(seed=seed):
                faults = Faults.make_severe()
                Schedule(seed, 4, faults).run(STEPS_PER_SCHEDULE, restarts=True)
