"""Jobs of many steps cost an amount of work that is linear in their number.

The planner renews its claim between two pieces of work, so no piece may take long.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events, scheduler
from jacinthloom_core.planner.fleet import Worker
from jacinthloom_core.planner.intake import MAX_OPENED_TASKS
from jacinthloom_core.planner.jobs import Job, StepRun, TaskState
from jacinthloom_core.planner.paths import estimate_remaining_paths_s
from jacinthloom_core.planner.placement import FreeCapacity
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.rules import AdvicePolicy, Queue
from jacinthloom_core.planner.run_times import RunTimes
from jacinthloom_core.planner.specs import JobSpec, StepSpec

from testkit.planning.world import Scenario, World

from .test_takeover import (
    ENTRY,
    RULES,
    Store,
    answer_poll,
    make_planner,
    store_batches,
)

ADVICE = AdvicePolicy(0.01, 0.0, 2.0)
STEP = StepSpec(1, Resources(100, 100), 1.0)
STEPS = 300
WIDE = JobSpec("a" * 16, "q", "t", "text", (STEP,) * STEPS, 0)
CHAIN = replace(
    WIDE,
    steps=(STEP, *(replace(STEP, after=(n,)) for n in range(STEPS - 1))),
)


def submit(planner: Planner, store: Store, spec: JobSpec) -> None:
    emitted = planner.handle(events.JobSubmitted(0.2, 1, spec))
    store_batches(planner, store, emitted, 0.3)


def make_planner_with(spec: JobSpec) -> Planner:
    store = Store()
    planner = make_planner(1, store, 0.0)
    answer_poll(planner, 0.1)
    submit(planner, store, spec)
    return planner


class PathsTest(unittest.TestCase):
    def predict(self, queue: str, declared_s: float) -> float:
        self.predictions += 1
        return declared_s

    def setUp(self) -> None:
        self.predictions = 0

    def estimate(self, *steps: StepSpec) -> tuple[float, ...]:
        return estimate_remaining_paths_s(Job(replace(WIDE, steps=steps)), self.predict)

    def test_paths_follow_the_longest_of_the_later_steps(self) -> None:
        first, short = replace(STEP, estimate_s=2.0), replace(STEP, after=(0,))
        long = replace(short, estimate_s=5.0)
        last = replace(STEP, after=(1, 2))
        alone = replace(STEP, estimate_s=4.0)
        lengths = self.estimate(first, short, long, last, alone)
        self.assertEqual(lengths, (8.0, 2.0, 6.0, 1.0, 4.0))

    def test_each_declared_run_time_is_predicted_once(self) -> None:
        self.assertEqual(self.estimate(*CHAIN.steps)[0], float(STEPS))
        self.assertEqual(self.predictions, 1)


class ManyStepsTest(unittest.TestCase):
    # Guards against a pass that works out the paths of a whole job for each of its
    # steps, and so takes longer than a planner's claim lasts (review/14).
    def test_pass_predicts_run_times_a_few_times_for_each_step(self) -> None:
        for name, spec in (("wide", WIDE), ("chain", CHAIN)):
            planner = make_planner_with(spec)
            predict = RunTimes.predict
            with (
                self.subTest(job=name),
                mock.patch.object(RunTimes, "predict", autospec=True) as predicted,
            ):
                predicted.side_effect = predict
                planner.handle(events.Tick(2.0, 2_000))
                self.assertGreater(predicted.call_count, 0)
                self.assertLessEqual(predicted.call_count, 3 * STEPS)

    # Guards against the same for the opening of occurrences that are due at once.
    def test_occurrences_that_are_due_are_opened_in_parts(self) -> None:
        planner = make_planner_with(replace(WIDE, period_ms=1, occurrences=50))
        job = planner.state.job_by_id[WIDE.id]
        opened = []
        for tick in range(1, 20):
            before = job.next_occurrence
            planner.handle(events.Tick(1.0 + 0.05 * tick, 1_000 + 50 * tick))
            opened.append((job.next_occurrence - before) * STEPS)
        self.assertLess(max(opened), MAX_OPENED_TASKS + STEPS)
        self.assertEqual(job.next_occurrence, 50)

    # Guards against an end of a task that looks at all other steps of its job.
    def test_ends_look_at_the_steps_that_follow(self) -> None:
        planner = make_planner_with(replace(CHAIN, steps=CHAIN.steps[:100]))
        occurrence = planner.state.job_by_id[WIDE.id].occurrences[0]
        looks = 0

        def look(step: StepRun) -> bool:
            nonlocal looks
            looks += 1
            return is_done(step)

        is_done = StepRun.is_done.fget
        assert is_done is not None
        with mock.patch.object(StepRun, "is_done", property(look)):
            for step in occurrence.steps:
                self.assertIn(step.id, planner.state.ready_by_id)
                step.done = 1
                planner.state.close_step(step)
                planner.state.open_followers(step)
                occurrence.is_done  # noqa: B018
        self.assertEqual(occurrence.steps[-1].done, 1)
        self.assertLess(looks, 8 * len(occurrence.steps))


class FullFleetTest(unittest.TestCase):
    """A fleet on which one job has taken almost all room."""

    WORKERS = 20

    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        for number in range(self.WORKERS):
            name = f"w{number}"
            entry = replace(ENTRY, id=name, address=f"1:{number}")
            self.planner.handle(events.WorkerListed(0.0, entry))
        self.now = 0.1
        self.answer_polls()
        self.calls = 0
        step = replace(STEP, count=self.WORKERS, size=Resources(990, 990))
        self.submit(step)

    def answer_polls(self) -> None:
        """Let each worker list what was placed on it as running."""
        for worker in list(self.planner.state.worker_by_id.values()):
            running = tuple(
                events.RunProgress(task.id, task.run, "", int(self.now))
                for task in worker.task_by_id.values()
            )
            clock_ms, sent_at = int(self.now * 1000), self.now - 0.01
            self.planner.handle(
                events.WorkerPolled(
                    self.now, worker.id, sent_at, worker.token, 5, clock_ms, running, ()
                )
            )

    def submit(self, *steps: StepSpec) -> str:
        """Submit a job, and let its tasks be placed."""
        self.answer_polls()
        self.calls += 1
        spec = replace(WIDE, id=f"{self.calls:016x}", steps=steps)
        self.now += 0.5
        emitted = self.planner.handle(events.JobSubmitted(self.now, self.calls, spec))
        store_batches(self.planner, self.store, emitted, self.now)
        return spec.id

    def run_pass(self) -> None:
        self.now += 1.0
        self.answer_polls()
        self.planner.handle(events.Tick(self.now, int(self.now * 1000)))

    def count_looks(self) -> int:
        """Return how often a pass looks at the free capacity of a worker."""
        look = Worker.count_fitting
        with mock.patch.object(Worker, "count_fitting", autospec=True) as looks:
            looks.side_effect = look
            self.run_pass()
        return int(looks.call_count)

    def is_placed(self, job: str) -> bool:
        tasks = self.planner.state.job_by_id[job].tasks()
        return all(task.state is not TaskState.WAITING for task in tasks)

    # Guards against a pass that looks at every worker for every step that waits: with
    # many of both it takes longer than a planner's claim lasts (review/14).
    def test_steps_that_are_alike_share_one_look_at_the_workers(self) -> None:
        for _ in range(3):
            self.submit(*[STEP] * 100)
        self.assertLessEqual(self.count_looks(), 2 * self.WORKERS)

    # Guards against the same with jobs that differ in all but the size of their tasks.
    def test_steps_of_other_jobs_don_t_look_for_room_that_is_known_to_be_taken(
        self,
    ) -> None:
        for number in range(30):
            self.submit(replace(STEP, estimate_s=1.0 + number / 8))
        self.assertLessEqual(self.count_looks(), 2 * self.WORKERS)

    # Guards against the same with gangs.
    def test_gangs_that_are_alike_share_a_few_looks_at_the_workers(self) -> None:
        for _ in range(3):
            self.submit(*[replace(STEP, count=3, gang=True)] * 30)
        few = 4 * (scheduler.MAX_DRAINED_GANGS + 1) * self.WORKERS
        self.assertLessEqual(self.count_looks(), few)

    # Guards against steps of low rank that wait until a long round of passes is over,
    # though there is room for them, or their advice has come.
    def test_each_pass_begins_with_the_steps_of_lowest_rank(self) -> None:
        first = self.submit(replace(STEP, size=Resources(700, 700)))
        sizes = (Resources(600 + n, 690 - n) for n in range(40))
        self.submit(*(replace(STEP, size=size) for size in sizes))
        with mock.patch.object(scheduler, "MAX_PASS_WORK", 100):
            self.run_pass()
            self.run_pass()
            self.assertFalse(self.is_placed(first))
            entry = replace(ENTRY, id="w0", capacity=Resources(1990, 1990))
            self.planner.handle(events.WorkerListed(self.now, entry))
            self.run_pass()
        self.assertTrue(self.is_placed(first))

    # Guards against gangs that ask for advice only once there is room: they would wait
    # for the advice then, while other steps take the room.
    def test_gangs_ask_for_advice_while_the_fleet_is_full(self) -> None:
        gang = replace(STEP, count=3, gang=True)
        advised = Queue("a", "h", "/a/", "service", 1, 2, 9.0, 9.0, False, ADVICE)
        queues = RULES.queue_by_name | {"a": advised}
        rules = replace(RULES, version=2, queue_by_name=queues)
        self.planner.handle(events.RulesChanged(self.now, rules))
        self.submit(STEP)
        self.submit(*[gang] * (scheduler.MAX_DRAINED_GANGS + 1))
        self.planner.handle(events.MemberJoined(self.now, "m"))
        self.answer_polls()
        spec = replace(WIDE, id="f" * 16, queue="a", steps=(gang,))
        emitted = self.planner.handle(events.JobSubmitted(self.now + 1, 99, spec))
        requests = [e for e in emitted if isinstance(e, effects.RequestAdvice)]
        self.assertEqual([request.step.job for request in requests], [spec.id])

    # Guards against tasks that are placed on a worker which was reserved in the same
    # pass, for suspects or for a gang, as their step shares an older look at it.
    def test_free_capacity_is_not_shared_once_a_worker_is_reserved(self) -> None:
        small = replace(STEP, size=Resources(1, 1))
        job = self.submit(small)
        planned: Any = self.planner
        policy, state = planned._scheduler, self.planner.state
        (step,) = state.job_by_id[job].occurrences[0].steps
        capacity = FreeCapacity(step, [])
        room, count = policy._room, policy._count_reservations
        room.keep_capacity("service", step, capacity, count())
        self.assertIs(room.find_capacity("service", step, count()), capacity)
        suspect, worker = step.tasks[0], state.worker_by_id["w3"]
        worker.isolation = None
        policy._isolation.isolate(suspect, worker, self.now)
        self.assertIsNone(room.find_capacity("service", step, count()))
        self.assertTrue(policy._has_workers_of_its_own(step))

    # Guards against a pass without an end, and against steps that are never considered
    # since those ahead of them use up every pass.
    def test_pass_goes_on_where_the_one_before_it_ended(self) -> None:
        sizes = (Resources(100 + n, 900 - n) for n in range(40))
        large = self.submit(*(replace(STEP, size=size) for size in sizes))
        with mock.patch.object(scheduler, "MAX_PASS_WORK", 100):
            small = self.submit(replace(STEP, size=Resources(10, 10)))
            for _ in range(45):
                self.run_pass()
        self.assertFalse(self.is_placed(large))
        self.assertTrue(self.is_placed(small))


class ScenariosTest(unittest.TestCase):
    """Jobs of hundreds of steps beside others, while planners and workers are lost."""

    SEEDS = range(400, 412)

    def make_scenario(self, seed: int) -> Scenario:
        return Scenario(seed, jobs=30, faults=6, large_jobs=3, end_s=150.0)

    # Guards against steps that a bounded pass forgets, or starts twice, and against
    # records of many steps that a successor does not take over.
    def test_jobs_of_many_steps_end_under_faults(self) -> None:
        with mock.patch.object(scheduler, "MAX_PASS_WORK", 400):
            for seed in self.SEEDS:
                with self.subTest(seed=seed):
                    World(self.make_scenario(seed)).run()

    # Guards against scenarios in which no pass ends early.
    def test_passes_of_the_scenarios_end_early(self) -> None:
        schedule = scheduler.Scheduler._schedule_group
        ends: list[bool] = []

        def note_end(*arguments: Any) -> bool:
            ends.append(schedule(*arguments))
            return ends[-1]

        with (
            mock.patch.object(scheduler, "MAX_PASS_WORK", 400),
            mock.patch.object(scheduler.Scheduler, "_schedule_group", note_end),
        ):
            World(self.make_scenario(self.SEEDS[0])).run()
        self.assertGreater(ends.count(False), 10)


if __name__ == "__main__":
    unittest.main()
