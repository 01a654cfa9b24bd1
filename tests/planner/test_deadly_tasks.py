"""Tasks that crash the workers that start them are given up, and only these."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.crashes import FORGET_CRASHES_S, MAX_OPEN_LOSS_S
from jacinthloom_core.planner.events import RunProgress, StartOutcome
from jacinthloom_core.planner.specs import StepSpec

from testkit.planning.world import Scenario, World

from .test_takeover import ENTRY, JOB, Store, find_starts, make_planner, store_batches

SEEDS = range(2000, 2030)
"""Seeds of the simulated scenarios."""

MAX_LOST_WORKERS = 3
"""Workers that one task may crash where nothing else fails."""


class DeadlyTasksTest(unittest.TestCase):
    # Guards against a task that crashes one worker after the other without limit.
    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = World(Scenario(seed, lost=0.0, late=0.0, faults=0, deadly=0.15))
                world.run()
                crashes = world.checker.crashes_by_task.values()
                self.assertLessEqual(max(crashes, default=0), MAX_LOST_WORKERS)

    # Guards against a count of crashes that a new planner, a store that is away or
    # another fault resets.
    def test_task_that_crashes_its_workers_is_given_up_beside_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                World(Scenario(seed, deadly=0.15)).run()

    # Guards against a task that crashes its workers only after it has run for a while.
    def test_task_that_crashes_its_workers_late_is_given_up(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                World(Scenario(seed, faults=0, deadly=0.1, deadly_delay_s=1.2)).run()


class CrashedWorkersTest(unittest.TestCase):
    """Two racks of four workers, each of which may crash and return as another."""

    def setUp(self) -> None:
        self.now = 0.1
        self.store = Store()
        self.incarnation_by_worker: dict[str, int] = {}
        self.run_by_worker: dict[str, list[effects.Start]] = {}
        self.refused_starts = 0
        self.elect_planner(1)
        for number in range(8):
            self.list_worker(f"w{number}")

    def elect_planner(self, term: int, *silent: str) -> None:
        self.planner = make_planner(term, self.store, self.now)
        self.planner.handle(events.WorkerUnlisted(self.now, "w1"))
        for worker in self.incarnation_by_worker:
            self.list_worker(worker, worker in silent)

    def list_worker(self, worker: str, is_silent: bool = False) -> None:
        incarnation = self.incarnation_by_worker.setdefault(worker, 5)
        entry = replace(
            ENTRY,
            id=worker,
            address=f"{worker}:1",
            rack=f"r{int(worker[1:]) // 4}",
            incarnation=incarnation,
        )
        self.apply(self.planner.handle(events.WorkerListed(self.now, entry)))
        if is_silent:
            self.planner.handle(events.WorkerPollFailed(self.now, worker))
        else:
            self.poll(worker)

    def poll(self, worker: str) -> None:
        """Answer polls of a worker until it has seen the newest token."""
        for _ in range(2):
            running = tuple(
                RunProgress(start.task, start.run, "", 50)
                for start in self.run_by_worker.get(worker, [])
            )
            polled = events.WorkerPolled(
                self.now,
                worker,
                self.now - 0.01,
                self.planner.state.worker_by_id[worker].token,
                self.incarnation_by_worker[worker],
                100,
                running,
                (),
            )
            self.apply(self.planner.handle(polled))

    def apply(self, emitted: list[effects.Effect]) -> None:
        for start in find_starts(
            store_batches(self.planner, self.store, emitted, self.now)
        ):
            outcome = StartOutcome.STARTED
            if self.refused_starts:
                self.refused_starts -= 1
                outcome = StartOutcome.NO_CAPACITY
            else:
                self.run_by_worker.setdefault(start.worker, []).append(start)
            answer = events.StartAnswered(
                self.now, start.worker, start.task, start.run, outcome
            )
            self.apply(self.planner.handle(answer))

    def crash(self, *workers: str) -> None:
        """Let workers crash now and return 3 s later, after which all are polled."""
        for worker in workers:
            self.run_by_worker.pop(worker, None)
            self.apply(self.planner.handle(events.WorkerPollFailed(self.now, worker)))
        self.wait(3.0, *workers)
        for worker in workers:
            self.incarnation_by_worker[worker] += 1
            self.list_worker(worker)
        self.wait(0.1)

    def restart(self, worker: str, *silent: str) -> None:
        """Restart a worker within 0.3 s, while others may be silent."""
        for name in silent:
            self.run_by_worker.pop(name, None)
        self.planner.handle(events.WorkerPollFailed(self.now, worker))
        self.wait(0.3, *silent)
        self.incarnation_by_worker[worker] += 1
        self.list_worker(worker)

    def cut_off(self, worker: str) -> None:
        """Cut a worker off until its leases have expired, also the longest ones."""
        self.planner.handle(events.WorkerPollFailed(self.now, worker))
        self.wait(11.0, worker)
        self.run_by_worker.pop(worker, None)

    def wait(self, seconds: float, *silent: str) -> None:
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            wall_ms = int(self.now * 1000)
            self.apply(self.planner.handle(events.Tick(self.now, wall_ms)))
            self.apply(self.planner.handle(events.FlushDue(self.now)))
            for worker in self.incarnation_by_worker:
                if worker not in silent:
                    self.poll(worker)

    def submit(self, count: int = 1, **kind: bool) -> str:
        step = StepSpec(count, Resources(100, 100), 30.0, **kind)
        job = replace(JOB, steps=(step,))
        self.apply(self.planner.handle(events.JobSubmitted(self.now, 1, job)))
        self.wait(0.1)
        return job.id

    def find_workers(self) -> list[str]:
        """Return the workers that run a task."""
        return [worker for worker, starts in self.run_by_worker.items() if starts]

    # Guards against kinds of work whose crashes are not counted.
    def test_task_of_any_kind_is_given_up_after_two_crashes(self) -> None:
        for kind in ({}, {"lasting": True}, {"fills": True}, {"gang": True}):
            with self.subTest(kind=kind):
                self.setUp()
                job = self.submit(**kind)
                self.crash(*self.find_workers())
                self.assertEqual(self.planner.find_job_state(job), "running")
                self.crash(*self.find_workers())
                self.assertEqual(self.planner.find_job_state(job), "failed")

    # Guards against a task that is given up for the loss of the racks it was in.
    def test_task_that_was_lost_with_two_racks_is_not_given_up(self) -> None:
        job = self.submit()
        for _ in range(2):
            (worker,) = self.find_workers()
            first = int(worker[1:]) // 4 * 4
            self.crash(*(f"w{number}" for number in range(first, first + 4)))
        self.assertEqual(self.planner.find_job_state(job), "running")

    # Guards against a count that a new planner does not know.
    def test_crash_is_known_to_the_next_planner(self) -> None:
        job = self.submit()
        self.crash(*self.find_workers())
        self.wait(FORGET_CRASHES_S / 20)
        self.elect_planner(2)
        self.wait(0.1)
        (task,) = self.planner.state.job_by_id[job].tasks()
        self.assertEqual([crash.is_certain for crash in task.crashes], [True])

    # Guards against tasks that are blamed for workers that were only out of reach.
    def test_worker_that_answers_again_has_not_crashed(self) -> None:
        job = self.submit()
        (worker,) = self.find_workers()
        self.planner.handle(events.WorkerPollFailed(self.now, worker))
        self.wait(7.0, worker)
        (task,) = self.planner.state.job_by_id[job].tasks()
        self.assertEqual(len(task.crashes), 1)
        self.run_by_worker.pop(worker)
        self.poll(worker)
        self.assertEqual(task.crashes, [])

    # Guards against a successor that takes a worker for crashed which answers it in the
    # life in which its predecessor knew it.
    def test_worker_that_answers_the_next_planner_has_not_crashed(self) -> None:
        job = self.submit()
        (worker,) = self.find_workers()
        self.elect_planner(2, worker)
        self.wait(9.0, worker)
        (task,) = self.planner.state.job_by_id[job].tasks()
        self.assertEqual([crash.worker for crash in task.crashes], [worker])
        self.run_by_worker.pop(worker)
        self.poll(worker)
        self.assertEqual(task.crashes, [])

    # Guards against a job that is given up for a worker that was only cut off: the loss
    # of contact with it came after the crashes of others.
    def test_fourth_loss_is_no_crash_while_its_worker_may_run_on(self) -> None:
        job = self.submit()
        for _ in range(3):
            self.wait(1.0)
            self.crash(*self.find_workers())
        for _ in range(3):
            (worker,) = self.find_workers()
            self.cut_off(worker)
            self.assertEqual(self.planner.find_job_state(job), "running")
            self.poll(worker)
            self.wait(0.5)
        self.assertEqual(self.planner.find_job_state(job), "running")
        self.assertEqual(len(self.find_workers()), 1)

    # Guards against a loss of contact that is blamed on an isolated task after crashes
    # with another cause.
    def test_isolated_task_is_not_blamed_for_a_loss_of_contact(self) -> None:
        job = self.submit()
        self.crash(*self.find_workers())
        (worker,) = self.find_workers()
        first = int(worker[1:]) // 4 * 4
        self.crash(*(f"w{number}" for number in range(first, first + 4)))
        (worker,) = self.find_workers()
        self.cut_off(worker)
        self.assertEqual(self.planner.find_job_state(job), "running")

    # Guards against an isolated task that is blamed for the restart of a rack, whose
    # other workers are noticed later.
    def test_restart_that_other_workers_turn_out_to_share_is_not_blamed(self) -> None:
        job = self.submit()
        self.crash(*self.find_workers())
        (worker,) = self.find_workers()
        first = int(worker[1:]) // 4 * 4
        rack = [f"w{number}" for number in range(first, first + 4)]
        self.restart(worker, *rack)
        self.assertEqual(self.find_workers(), [])
        for other in rack:
            if other != worker:
                self.planner.handle(events.WorkerPollFailed(self.now, other))
        self.wait(2.0, *(other for other in rack if other != worker))
        self.assertEqual(self.planner.find_job_state(job), "running")
        self.assertEqual(len(self.find_workers()), 1)

    # Guards against a task that is never blamed if the workers return at once.
    def test_task_whose_workers_return_at_once_is_given_up(self) -> None:
        job = self.submit()
        for _ in range(2):
            (worker,) = self.find_workers()
            self.restart(worker, worker)
            self.wait(0.1)
        self.assertEqual(self.planner.find_job_state(job), "running")
        self.wait(2.0)
        self.assertEqual(self.find_workers(), [])
        self.assertEqual(self.planner.find_job_state(job), "failed")

    # Guards against a task that starts without limit on workers that stay silent.
    def test_task_is_given_up_if_the_lost_workers_stay_silent(self) -> None:
        job = self.submit()
        lost = []
        for _ in range(5):
            (worker,) = self.find_workers()
            lost.append(worker)
            self.planner.handle(events.WorkerPollFailed(self.now, worker))
            self.wait(7.0, *lost)
            self.run_by_worker.pop(worker)
            self.assertEqual(self.planner.find_job_state(job), "running")
        self.assertEqual(self.find_workers(), [])
        self.wait(MAX_OPEN_LOSS_S, *lost)
        self.assertEqual(self.planner.find_job_state(job), "failed")

    # Guards against a job that is given up for outages of a rack that its long run met.
    def test_losses_of_racks_under_a_long_run_do_not_add_up(self) -> None:
        job = self.submit()
        for seconds in (9.0, 2.0, 2.0, 2.0, 2.0, 2.0):
            self.wait(seconds)
            (worker,) = self.find_workers()
            first = int(worker[1:]) // 4 * 4
            self.crash(*(f"w{number}" for number in range(first, first + 4)))
            self.assertEqual(self.planner.find_job_state(job), "running")

    # Guards against orders that no worker received and that use up the starts left.
    def test_start_that_was_not_received_does_not_count(self) -> None:
        job = self.submit()
        for _ in range(3):
            self.wait(1.0)
            self.crash(*self.find_workers())
        self.refused_starts = 2
        (worker,) = self.find_workers()
        self.cut_off(worker)
        self.poll(worker)
        self.wait(0.5)
        self.assertEqual(self.refused_starts, 0)
        self.assertEqual(self.planner.find_job_state(job), "running")
        self.assertEqual(len(self.find_workers()), 1)

    # Guards against tasks that start beside a suspect and are blamed with it.
    def test_nothing_else_starts_beside_a_suspect(self) -> None:
        self.submit()
        self.crash(*self.find_workers())
        (host,) = self.find_workers()
        other = replace(JOB, id="b" * 16, steps=(StepSpec(79, JOB.steps[0].size, 9.0),))
        self.apply(self.planner.handle(events.JobSubmitted(self.now, 2, other)))
        self.assertEqual(len(self.run_by_worker[host]), 1)
        self.wait(1.0)
        self.assertEqual(len(self.run_by_worker[host]), 10)

    # Guards against the other tasks of a step that crash one worker each.
    def test_tasks_beside_a_suspect_wait_until_it_has_settled(self) -> None:
        self.submit(count=10)
        self.assertEqual(len(self.find_workers()), 1)
        self.crash(*self.find_workers())
        self.assertEqual(len(self.find_workers()), 1)

    # Guards against lost runs that wait for a lease although their worker is gone.
    def test_runs_of_a_replaced_worker_start_again_at_once(self) -> None:
        self.submit()
        (worker,) = self.find_workers()
        self.planner.handle(events.WorkerPollFailed(self.now, worker))
        self.wait(3.0, worker)
        self.incarnation_by_worker["w9"] = 6
        entry = self.planner.state.worker_by_id[worker].entry
        assert entry is not None
        renamed = replace(entry, id="w9", incarnation=6)
        self.apply(self.planner.handle(events.WorkerListed(self.now, renamed)))
        self.poll("w9")
        self.wait(0.1, worker)
        starts = [start for runs in self.run_by_worker.values() for start in runs]
        self.assertEqual(sorted(start.run for start in starts), [1, 2])


if __name__ == "__main__":
    unittest.main()
