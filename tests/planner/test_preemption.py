"""Checkpointing tasks make room for gangs under a stream of small tasks.

The load: a fleet full of small tasks with much time, and gangs of tasks that each need
most of a worker and have little time.
"""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING
from unittest import mock

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.events import EndKind
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.preemption import (
    HOLD_S,
    MAX_PREEMPTIONS,
    MAX_UNUSED_HOLDS,
    RETRY_S,
    CheckpointCosts,
    Preemption,
)
from jacinthloom_core.planner.rules import ClientAccount, Queue, Rules
from jacinthloom_core.planner.specs import JobSpec, StepSpec, TaskId
from jacinthloom_core.planner.state import PlannerSettings

from testkit.planning.world import Scenario, World

from .test_takeover import ENTRY, Store, find_starts, store_batches

if TYPE_CHECKING:
    from jacinthloom_core.planner.fleet import Worker
    from jacinthloom_core.planner.jobs import StepRun
    from jacinthloom_core.planner.preemption import _Plan

WORKERS = 8
CHEAP = CheckpointCosts(0.5, 0.25)
SCENARIO_COSTS = CheckpointCosts(0.2, 0.1)
"""Costs that allow preemption of the tasks of the scenarios, which take 0.1 to 5 s."""
RULES = Rules(
    1,
    {
        "gangs": Queue("gangs", "h", "/g/", "service", 1, 2, 2.2, 1.0),
        "small": Queue("small", "h", "/s/", "service", 2, 2, 4.0, 3.0),
        "urgent": Queue("urgent", "h", "/u/", "service", 0, 2, 1.5, 0.3),
    },
    {
        "t": ClientAccount("t", 1000, Resources()),
        "small": ClientAccount("small", 1, Resources()),
    },
)
GANG = StepSpec(1, Resources(900, 100), 5.0, gang=True)
SMALL = StepSpec(2, Resources(400, 100), 5.0, checkpoints=True)


class PreemptionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.begin(CHEAP)

    def begin(self, costs: CheckpointCosts) -> None:
        self.store = Store()
        self.planner = Planner(PlannerSettings(1, 6.0, 120.0, checkpoint_costs=costs))
        self.planner.load({}, 0.0, 0)
        self.planner.handle(events.RulesChanged(0.0, RULES))
        self.now = 0.1
        self.job_count = 0
        self.starts: list[effects.Start] = []
        self.stops: list[effects.Stop] = []
        self.end_counts: dict[str, int] = {}
        self.workers_obey_stops = True
        for number in range(WORKERS):
            entry = replace(ENTRY, id=f"w{number}", address=f"{number}:1")
            self.planner.handle(events.WorkerListed(0.05, entry))
        self.poll()

    def apply(self, emitted: list[effects.Effect]) -> None:
        emitted = store_batches(self.planner, self.store, emitted, self.now)
        self.starts += find_starts(emitted)
        self.stops += [e for e in emitted if isinstance(e, effects.Stop)]

    @property
    def preemption(self) -> Preemption:
        return self.planner._scheduler._preemption

    def list_stopped_runs(self) -> set[tuple[TaskId, int]]:
        return {(stop.task, stop.run) for stop in self.stops}

    def submit(self, queue: str, step: StepSpec, account: str = "t") -> str:
        self.job_count += 1
        received_ms = int(self.now * 1000)
        job = JobSpec(
            f"{self.job_count:016x}", queue, account, "text", (step,), received_ms
        )
        event = events.JobSubmitted(self.now, self.job_count, job)
        self.apply(self.planner.handle(event))
        return job.id

    def poll(self) -> None:
        """Let each worker list its runs, and the end of those that were stopped."""
        self.apply(self.planner.handle(events.Tick(self.now, int(self.now * 1000))))
        stopped = self.list_stopped_runs() if self.workers_obey_stops else set()
        for worker in list(self.planner.state.worker_by_id.values()):
            runs = list(worker.task_by_id.values())
            ends = []
            for task in runs:
                if (task.id, task.run) in stopped:
                    number = self.end_counts.get(worker.id, 0) + 1
                    self.end_counts[worker.id] = number
                    ends.append(
                        events.RunEnd(
                            number, task.id, task.run, EndKind.STOPPED, "saved"
                        )
                    )
            running = tuple(
                events.RunProgress(task.id, task.run, "", int(self.now * 2))
                for task in runs
                if (task.id, task.run) not in stopped
            )
            polled = events.WorkerPolled(
                self.now, worker.id, self.now, worker.token, 5, 9, running, tuple(ends)
            )
            self.apply(self.planner.handle(polled))

    def advance(self, duration_s: float, polls: bool = True) -> None:
        until = self.now + duration_s
        while self.now < until:
            self.now += 0.05
            if polls:
                self.poll()
            self.apply(self.planner.handle(events.FlushDue(self.now)))

    def fill(self, step: StepSpec = SMALL) -> None:
        """Fill all workers with small tasks that workers have confirmed."""
        for _ in range(WORKERS):
            self.submit("small", step)
        self.advance(0.3)
        self.assertEqual(len(self.starts), 2 * WORKERS)

    def list_started_jobs(self) -> list[str]:
        return [start.task.job for start in self.starts]

    # Guards against gangs that end too late while small tasks with much time take each
    # part of the capacity as it becomes free.
    def test_gang_starts_at_once_in_a_fleet_full_of_checkpointing_tasks(self) -> None:
        self.fill()
        gang = self.submit("gangs", GANG)
        self.advance(0.3)
        self.assertEqual(len(self.stops), 2)
        self.assertIn(gang, self.list_started_jobs())

    def test_preempted_tasks_resume_from_their_checkpoint(self) -> None:
        self.fill()
        self.submit("gangs", GANG)
        self.advance(0.3)
        tasks = [self.planner.state.job_by_id[s.task.job] for s in self.stops]
        saved = [t.checkpoint for job in tasks for t in job.tasks() if t.preemptions]
        self.assertEqual(set(saved), {"saved"})

    def test_higher_priority_does_not_take_the_capacity_that_is_held(self) -> None:
        self.fill()
        gang = self.submit("gangs", GANG)
        self.advance(0.1, polls=False)
        self.assertTrue(self.stops)
        urgent = self.submit("urgent", StepSpec(1, Resources(400, 100), 0.8))
        self.advance(0.2)
        self.assertIn(gang, self.list_started_jobs())
        self.assertNotIn(urgent, self.list_started_jobs())

    # Guards against capacity that stays idle for a gang which will not start.
    def test_hold_ends_if_a_worker_does_not_stop_its_runs(self) -> None:
        self.fill()
        self.submit("gangs", GANG)
        self.advance(0.05, polls=False)
        self.assertTrue(self.preemption._hold_by_worker)
        self.preemption.begin_pass(self.now + HOLD_S + 0.1)
        self.assertFalse(self.preemption._hold_by_worker)

    def test_hold_ends_if_the_gang_is_cancelled(self) -> None:
        self.fill()
        gang = self.submit("gangs", GANG)
        self.advance(0.05, polls=False)
        self.apply(self.planner.handle(events.CancelRequested(self.now, 99, gang)))
        self.preemption.begin_pass(self.now)
        self.assertFalse(self.preemption._hold_by_worker)

    def test_hold_ends_if_the_clock_jumps_back(self) -> None:
        self.fill()
        self.submit("gangs", GANG)
        self.advance(0.05, polls=False)
        self.assertTrue(self.preemption._hold_by_worker)
        self.preemption.begin_pass(self.now - 3600.0)
        self.assertFalse(self.preemption._hold_by_worker)

    # Guards against capacity that is held on other workers for a gang that can't start.
    def test_gang_gets_other_capacity_if_a_held_worker_leaves(self) -> None:
        self.fill()
        gang = self.submit("gangs", replace(GANG, count=2, size=Resources(500, 100)))
        self.advance(0.05, polls=False)
        held = min(self.preemption._hold_by_worker)
        entry = replace(self.planner.state.worker_by_id[held].entry, is_ready=False)
        self.apply(self.planner.handle(events.WorkerListed(self.now, entry)))
        self.advance(0.5)
        self.assertNotIn(held, self.preemption._hold_by_worker)
        self.assertEqual(self.list_started_jobs().count(gang), 2)

    # Guards against a gang for which runs are stopped again and again, and which never
    # starts.
    def test_runs_are_not_stopped_for_ever_for_a_gang_that_does_not_start(self) -> None:
        self.fill()
        self.workers_obey_stops = False
        self.submit("gangs", replace(GANG, estimate_s=20.0))
        self.advance((MAX_UNUSED_HOLDS + 2) * HOLD_S)
        self.assertEqual(len(self.list_stopped_runs()), 2 * MAX_UNUSED_HOLDS)

    # Guards against runs that are stopped although the gang fits beside them.
    def test_no_more_runs_are_stopped_than_the_gang_needs(self) -> None:
        self.fill()
        self.submit("gangs", replace(GANG, size=Resources(300, 100)))
        self.advance(0.3)
        self.assertEqual(len(self.list_stopped_runs()), 1)

    def test_runs_that_are_too_small_to_help_are_not_stopped(self) -> None:
        jobs: list[str] = []
        for size in (800, 150):
            step = replace(SMALL, count=1, size=Resources(size, 100))
            jobs += [self.submit("small", step) for _ in range(WORKERS)]
            self.advance(0.3)
        self.advance(0.3)
        self.submit("gangs", replace(GANG, size=Resources(850, 100)))
        self.advance(0.3)
        stopped = [task.job for task, _ in self.list_stopped_runs()]
        self.assertEqual(len(stopped), 1)
        self.assertIn(stopped[0], jobs[:WORKERS])

    # Guards against an account at several times its rate that stops the work of others.
    def test_gang_beyond_its_share_stops_only_runs_beyond_theirs(self) -> None:
        self.fill()
        self.submit("urgent", StepSpec(1, Resources(100, 100), 0.2), "small")
        gang = self.submit("gangs", GANG, "small")
        self.assertTrue(self.planner.state.job_by_id[gang].is_beyond_share)
        self.advance(0.5)
        self.assertEqual(self.stops, [])
        for job in self.planner.state.job_by_id.values():
            job.is_beyond_share = True
        self.advance(0.5 + RETRY_S)
        self.assertTrue(self.stops)

    # Guards against a hold that takes what a gang ahead waits for.
    def test_capacity_that_is_reserved_for_a_gang_ahead_is_not_held(self) -> None:
        self.fill()
        ahead = replace(GANG, count=WORKERS, estimate_s=1.0)
        self.submit("urgent", ahead)
        self.advance(0.1)
        self.assert_nothing_is_stopped(replace(GANG, size=Resources(700, 100)))

    # Guards against an idle worker that is held for a gang and, in the same pass,
    # reserved for tasks that may have crashed their worker: neither could use it.
    def test_held_worker_is_not_reserved_for_suspects(self) -> None:
        for _ in range(WORKERS - 1):
            self.submit("small", SMALL)
        self.advance(0.3)
        workers = list(self.planner.state.worker_by_id.values())
        idle = [worker.id for worker in workers if not worker.task_by_id]
        self.assertEqual(len(idle), 1)
        scheduler = self.planner._scheduler
        suspect = next(iter(self.planner.state.ready_by_id.values()))
        scheduler._waiting_suspects.append((suspect, workers))
        with mock.patch.object(scheduler._isolation, "reserve_idle") as reserve_idle:
            self.submit("gangs", replace(GANG, count=2))
            self.advance(0.05, polls=False)
        self.assertIn(idle[0], self.preemption._hold_by_worker)
        candidates = [worker.id for worker in reserve_idle.call_args.args[1]]
        self.assertEqual(len(candidates), WORKERS - 2)
        self.assertNotIn(idle[0], candidates)

    # Guards against passes that go through all running tasks for each waiting gang.
    def test_choices_that_fail_are_not_repeated_at_once(self) -> None:
        self.fill()
        steps: list[str] = []
        choose = self.preemption._choose_plans

        def count(step: StepRun, queue: Queue, workers: list[Worker]) -> list[_Plan]:
            steps.append(step.id.job)
            return choose(step, queue, workers)

        with mock.patch.object(self.preemption, "_choose_plans", count):
            for _ in range(20):
                self.submit("gangs", replace(GANG, count=WORKERS + 1))
            self.advance(1.0)
        self.assertEqual(len(set(steps)), 20)
        self.assertLessEqual(max(Counter(steps).values()), 1.0 / RETRY_S + 1)

    def assert_nothing_is_stopped(self, gang: StepSpec = GANG) -> None:
        self.submit("gangs", gang)
        self.advance(0.3)
        self.assertEqual(self.stops, [])

    def test_nothing_is_stopped_if_the_cost_of_checkpoints_is_unknown(self) -> None:
        self.begin(CheckpointCosts())
        self.fill()
        self.assert_nothing_is_stopped()

    def test_nothing_is_stopped_if_too_much_work_would_be_lost(self) -> None:
        self.begin(CheckpointCosts(2.0, 0.25))
        self.fill()
        self.assert_nothing_is_stopped()

    def test_tasks_without_checkpoints_are_not_stopped(self) -> None:
        self.fill(replace(SMALL, checkpoints=False))
        self.assert_nothing_is_stopped()

    def test_tasks_that_would_miss_their_objective_are_not_stopped(self) -> None:
        self.fill()
        self.advance(18.5)
        self.assert_nothing_is_stopped()

    def test_gang_that_cannot_meet_its_objective_stops_nothing(self) -> None:
        self.fill()
        late = JobSpec("f" * 16, "gangs", "t", "text", (GANG,), -20_000)
        self.apply(self.planner.handle(events.JobSubmitted(self.now, 50, late)))
        self.advance(0.3)
        self.assertEqual(self.stops, [])

    # Guards against runs that are stopped for a gang which then still does not fit.
    def test_gang_that_is_too_wide_stops_nothing(self) -> None:
        self.fill()
        self.assert_nothing_is_stopped(replace(GANG, count=WORKERS + 1))

    # Guards against tasks that make no progress, as each run is stopped.
    def test_a_task_is_preempted_at_most_twice(self) -> None:
        self.fill()
        for _ in range(6):
            self.submit("gangs", replace(GANG, estimate_s=1.0))
            self.advance(1.0)
        stops_by_task = Counter(task for task, _ in self.list_stopped_runs())
        self.assertLessEqual(max(stops_by_task.values()), MAX_PREEMPTIONS)


class ScenariosTest(unittest.TestCase):
    """Gangs make room for themselves while planners are killed, the store is away, and
    workers are lost, cut off or drain."""

    # Guards against rules that a stop breaks, jobs that no longer end, capacity that is
    # held for ever, and free capacity that a choice of runs leaves wrong.
    def test_rules_hold_and_every_job_ends_under_faults(self) -> None:
        preempted = 0
        for seed in range(8000, 8030):
            with self.subTest(seed=seed):
                scenario = Scenario(
                    seed, drains=2, evacuations=1, checkpoint_costs=SCENARIO_COSTS
                )
                world = World(scenario)
                world.run()
                assert world.current_process is not None
                planner = world.current_process.planner
                preempted += planner.state.counters["preempted"]
                preemption = planner._scheduler._preemption
                self.assertFalse(preemption._hold_by_worker)
                self.assertFalse(preemption._attempts_by_step)
                for worker in planner.state.worker_by_id.values():
                    if worker.entry is not None and not worker.task_by_id:
                        free = worker.free_processors
                        self.assertEqual(free, worker.entry.capacity.processors)
        self.assertGreater(preempted, 3)


if __name__ == "__main__":
    unittest.main()
