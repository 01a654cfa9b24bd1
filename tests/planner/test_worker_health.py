"""Steps go to workers that suit them by their speed and by their recent failures."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.fleet import Worker
from jacinthloom_core.planner.jobs import StepRun
from jacinthloom_core.planner.placement import place_gang, place_tasks
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.specs import TaskId
from jacinthloom_core.planner.speed import FAST, SLOW, TYPICAL, SpeedGroups
from jacinthloom_core.planner.worker_health import HALF_LIFE_S, WorkerHealth

from .test_placement import PLAIN, make_step, make_worker
from .test_takeover import ENTRY, JOB, Store, make_planner

FLAPPING_PERIOD_S = 4.0
"""Seconds between two restarts of a worker that flaps."""

SCHEDULES = ("schedule", 25, 0.2)
QUOTES = ("quote", 3, 0.9)
"""Name, tasks per step, and largest relative error of the declared run times."""


def run_steps(
    groups: SpeedGroups,
    slowness: list[float],
    steps: int,
    seed: int,
    straggler_share: float = 0.0,
    is_declared_per_step: bool = True,
    queues: tuple[tuple[str, int, float], ...] = (SCHEDULES, QUOTES, QUOTES),
) -> set[str]:
    """Record steps on random workers, up to three tasks on each.

    :returns: workers that were in another group than the typical one at any time
    """
    source = random.Random(seed)
    grouped: set[str] = set()
    for number in range(steps):
        queue, count, spread = source.choice(queues)
        step_error = 1 + source.uniform(-spread, spread)
        ratios: list[tuple[str, float]] = []
        while len(ratios) < count:
            worker = source.randrange(len(slowness))
            for _ in range(min(3, count - len(ratios))):
                error = step_error
                if not is_declared_per_step:
                    error = 1 + source.uniform(-spread, spread)
                factor = 7.0 if source.random() < straggler_share else 1.0
                took = slowness[worker] * factor * source.uniform(0.95, 1.05)
                ratios.append((f"w{worker}", took / error))
        groups.record_step(queue, ratios)
        if number % 20 == 0:
            groups.regroup()
            grouped |= groups.group_by_worker.keys()
    return grouped


def make_ranked_step(gang: bool, count: int, run_s: float, slack_s: float) -> StepRun:
    step = make_step(replace(PLAIN, gang=gang, count=count, estimate_s=run_s))
    step.due_s, step.objective_s = 1000.0, 4 * run_s
    step.latest_start_s = step.due_s + step.objective_s - run_s
    step.slack_s = slack_s
    return step


class SpeedGroupsTest(unittest.TestCase):
    """Three speeds 1.0, 1.0 and 1.3, with declared times that are off by 90%."""

    def test_slower_kind_is_found(self) -> None:
        slowness = [1.0, 1.0, 1.3] * 12
        for seed in range(4):
            groups = SpeedGroups()
            run_steps(groups, slowness, 600, seed, 0.03, bool(seed % 2))
            found = [groups.group_by_worker.get(f"w{n}", TYPICAL) for n in range(36)]
            misplaced = sum(
                (group == SLOW) != (value > 1.0)
                for group, value in zip(found, slowness, strict=True)
            )
            self.assertLessEqual(misplaced, 2)
            self.assertNotIn(FAST, found)

    def test_workers_of_one_speed_stay_in_one_group(self) -> None:
        # Otherwise the placements of deployments in service change by chance.
        for size in (6, 36):
            for seed in range(8):
                groups = SpeedGroups()
                grouped = run_steps(
                    groups, [1.0] * size, 15 * size, seed, 0.03, bool(seed % 2)
                )
                self.assertEqual(grouped, set())

    def test_small_fleet_with_unreliable_times_stays_in_one_group(self) -> None:
        # A tenth of a small fleet is few workers, so that the errors have to decide.
        for seed in range(20):
            groups = SpeedGroups()
            grouped = run_steps(groups, [1.0] * 9, 200, seed, 0.03, False, (QUOTES,))
            self.assertEqual(grouped, set())

    def test_single_slower_worker_forms_no_group(self) -> None:
        groups = SpeedGroups()
        self.assertEqual(run_steps(groups, [1.0] * 23 + [1.4], 400, 1), set())


class PlacementBySpeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.workers = [
            make_worker("full-fast", "a", 2),
            make_worker("fast", "a", 6),
            make_worker("full-slow", "a", 2),
            make_worker("slow", "a", 6),
        ]
        for worker in self.workers[2:]:
            worker.speed_group = SLOW

    def place(self, step: StepRun) -> list[str]:
        place = place_gang if step.spec.gang else place_tasks
        return [worker.id for _, worker in place(step, step.tasks, self.workers)]

    def test_little_slack_takes_fast_workers_and_ample_slack_packs(self) -> None:
        tight = self.place(make_ranked_step(False, 3, 4.0, slack_s=1.0))
        self.assertEqual(tight, ["full-fast", "full-fast", "fast"])
        # The slower of two workers that are equally full, but not an emptier one.
        ample = self.place(make_ranked_step(False, 5, 4.0, slack_s=12.0))
        self.assertEqual(ample[:2], ["full-slow", "full-slow"])
        self.assertEqual(ample[2:4], ["full-fast", "full-fast"])

    def test_members_of_a_gang_run_on_workers_of_like_speed(self) -> None:
        for slack_s, group in ((1.0, "fast"), (6.0, "fast"), (12.0, "slow")):
            placed = self.place(make_ranked_step(True, 8, 4.0, slack_s))
            self.assertEqual({name.split("-")[-1] for name in placed}, {group})
        # A gang too large for one group starts at once rather than waits.
        self.assertEqual(len(self.place(make_ranked_step(True, 12, 4.0, 1.0))), 12)

    def test_step_that_is_late_anyway_leaves_the_fast_workers(self) -> None:
        placed = self.place(make_ranked_step(False, 3, 4.0, slack_s=-5.0))
        self.assertEqual(placed, ["full-fast", "full-fast", "full-slow"])

    def test_gang_avoids_a_doubted_worker_unless_it_is_needed(self) -> None:
        self.workers[1].doubt = 1
        placed = self.place(make_ranked_step(True, 8, 4.0, slack_s=1.0))
        self.assertNotIn("fast", placed)
        placed = self.place(make_ranked_step(True, 12, 4.0, slack_s=1.0))
        self.assertEqual(placed.count("fast"), 2)

    def test_gang_of_one_rack_avoids_the_rack_of_a_doubted_worker(self) -> None:
        self.workers += [make_worker("other", "b", 6)]
        self.workers[1].doubt = 1
        self.workers[3].doubt = 1
        step = make_ranked_step(True, 6, 4.0, slack_s=1.0)
        step.spec = replace(step.spec, same_rack=True)
        self.assertEqual(set(self.place(step)), {"other"})


class DoubtTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[dict[str, Any]] = []
        self.health = WorkerHealth(lambda kind, **fields: self.lines.append(fields))
        self.worker_by_id = {f"w{n}": make_worker(f"w{n}", "a", 4) for n in range(20)}
        for worker in self.worker_by_id.values():
            worker.is_listed = True
            worker.incarnation = 5
        self.now = 100.0

    def find_doubted(self, after_s: float = 0.0) -> dict[str, int]:
        self.now += after_s
        self.health.update(self.worker_by_id, self.now)
        return {w.id: w.doubt for w in self.worker_by_id.values() if w.doubt}

    def restart(self, worker: Worker) -> None:
        self.health.record_silence(worker, self.now)
        self.now += FLAPPING_PERIOD_S / 2
        self.health.record_restart(worker, self.now)

    def test_worker_that_flaps_is_doubted_until_it_stays_up(self) -> None:
        flapping = self.worker_by_id["w3"]
        levels = []
        for _ in range(4):
            self.restart(flapping)
            levels.append(self.find_doubted().get("w3", 0))
            self.assertEqual(set(self.find_doubted(FLAPPING_PERIOD_S / 2)), {"w3"})
        self.assertGreater(levels[-1], levels[0])
        self.assertEqual(self.find_doubted(4 * HALF_LIFE_S), {})
        self.assertEqual(self.lines[-1]["level"], 0)

    def test_silent_and_unresponsive_workers_are_doubted(self) -> None:
        self.health.record_silence(self.worker_by_id["w3"], self.now)
        self.health.record_unstarted("w4", self.now)
        self.assertEqual(self.find_doubted(1.0), {"w3": 1, "w4": 1})
        self.assertEqual(self.find_doubted(HALF_LIFE_S), {})

    def test_completed_runs_restore_trust_if_they_started_afterwards(self) -> None:
        self.restart(self.worker_by_id["w3"])
        for _ in range(8):
            self.health.record_done("w3", self.now - 5.0, self.now)
        self.assertIn("w3", self.find_doubted())
        for _ in range(8):
            self.health.record_done("w3", self.now + 0.1, self.now + 0.5)
        self.assertEqual(self.find_doubted(0.5), {})

    def test_worker_that_fails_what_it_starts_is_told_from_failing_tasks(self) -> None:
        # 5 in 100 runs fail by their task's own fault on every worker.
        source = random.Random(1)
        for _ in range(40):
            for worker in self.worker_by_id:
                self.now += 0.01
                if worker == "w3" or source.random() < 0.05:
                    self.health.record_failed(worker, self.now)
                else:
                    self.health.record_done(worker, self.now - 0.1, self.now)
        self.assertEqual(set(self.find_doubted()), {"w3"})
        levels = {line["worker"] for line in self.lines if line["level"]}
        self.assertLessEqual(len(levels), 3)

    def test_single_failed_run_raises_no_doubt(self) -> None:
        self.health.record_failed("w3", self.now)
        self.assertEqual(self.find_doubted(), {})

    def test_fault_that_hits_all_workers_raises_no_doubt(self) -> None:
        for worker in self.worker_by_id.values():
            self.health.record_silence(worker, self.now)
        self.assertEqual(self.find_doubted(), {})

    def test_leaving_worker_raises_no_doubt(self) -> None:
        worker = self.worker_by_id["w3"]
        worker.accept(replace(ENTRY, id="w3", is_ready=False))
        self.restart(worker)
        self.assertEqual(self.find_doubted(), {})

    def test_clock_that_jumps_back_keeps_the_doubt_bounded(self) -> None:
        self.restart(self.worker_by_id["w3"])
        before = self.find_doubted()
        self.health.record_done("w3", 0.0, self.now - 1000.0)
        self.health.record_silence(self.worker_by_id["w3"], self.now - 1000.0)
        self.assertGreaterEqual(self.find_doubted()["w3"], before["w3"])
        self.assertEqual(self.find_doubted(1000.0), {})


class PlannerTest(unittest.TestCase):
    """The planner learns from the events of workers, and a successor from its own."""

    def setUp(self) -> None:
        self.store = Store()
        self.started: list[dict[str, Any]] = []
        self.planner = self.make_planner(1, 0.0)

    def make_planner(self, term: int, now: float) -> Planner:
        self.planner = make_planner(term, self.store, now)
        for name in ("w2", "w3"):
            entry = replace(ENTRY, id=name, capacity=Resources(2000, 2000))
            self.handle(events.WorkerListed(now, entry))
        for name in ("w1", "w2", "w3"):
            self.poll(name, now + 0.1, 5)
        self.handle(events.Tick(now + 0.2, 0))
        return self.planner

    def handle(self, event: events.Event) -> None:
        emitted = self.planner.handle(event)
        for effect in emitted:
            if isinstance(effect, effects.Note) and effect.kind == "task_started":
                self.started.append(effect.fields)
        for number in self.store.append_batches(emitted):
            self.handle(events.BatchStored(event.now, number))

    def poll(
        self, name: str, now: float, life: int, ends: tuple[events.RunEnd, ...] = ()
    ) -> None:
        token = self.planner.state.worker_by_id[name].token
        polled = events.WorkerPolled(now, name, now - 0.01, token, life, 100, (), ends)
        self.handle(polled)

    def submit(self, job: str, now: float) -> dict[str, Any]:
        """Submit a job of one task, and return the line that tells of its start."""
        self.handle(events.JobSubmitted(now, 1, replace(JOB, id=job * 16)))
        self.handle(events.Tick(now + 0.1, 0))
        self.handle(events.FlushDue(now + 0.2))
        return self.started[-1]

    def test_restarted_worker_gets_new_work_last_also_after_a_failover(self) -> None:
        # The fullest worker, w1, is preferred until it is lost.
        self.assertEqual(self.submit("a", 0.3)["on"], "w1")
        self.handle(events.WorkerPollFailed(0.6, "w1"))
        self.handle(events.WorkerListed(1.0, replace(ENTRY, incarnation=6)))
        self.poll("w1", 1.0, 6)
        self.poll("w1", 1.1, 6)
        self.assertTrue(self.planner.state.worker_by_id["w1"].is_usable(1.2))
        line = self.submit("b", 1.2)
        self.assertEqual((line["task"][0], line["on"]), ("b" * 16, "w2"))
        self.assertGreater(self.planner.state.worker_by_id["w1"].doubt, 0)
        self.assertEqual(self.planner.state.counters["worker_doubt"], 1)
        # What is learnt isn't stored: a successor trusts all workers at first.
        successor = self.make_planner(2, 2.0)
        self.assertEqual(successor.state.worker_by_id["w1"].doubt, 0)

    def test_starts_that_fail_together_count_once(self) -> None:
        # A crash with many starts in flight would count against the worker for long.
        for job, now in (("a", 0.3), ("b", 0.6)):
            self.assertEqual(self.submit(job, now)["on"], "w1")
        tasks = list(self.planner.state.worker_by_id["w1"].task_by_id.values())
        self.assertEqual(len(tasks), 2)
        outcome = events.StartOutcome.NOT_SENT
        for task in tasks:
            answer = events.StartAnswered(0.9, "w1", task.id, task.run, outcome)
            self.handle(answer)
        self.handle(events.Tick(1.3, 0))
        # Counted twice, it would be well above the mean of the three workers.
        self.assertEqual(self.planner.state.worker_by_id["w1"].doubt, 0)

    def test_ends_of_runs_are_recorded_and_the_slack_is_known(self) -> None:
        # Otherwise neither speed nor failures are learnt, and no step is urgent.
        kinds = (events.EndKind.DONE, events.EndKind.FAILED)
        with (
            mock.patch.object(SpeedGroups, "record_step") as record_step,
            mock.patch.object(WorkerHealth, "record_done") as record_done,
            mock.patch.object(WorkerHealth, "record_failed") as record_failed,
        ):
            for number, kind in enumerate(kinds, 1):
                line = self.submit("ab"[number - 1], 1.8 * number - 1.4)
                # The objective is 1.5 times the run time of 1 s, and 0.25 s.
                self.assertAlmostEqual(line["slack_s"], 0.75)
                now = 1.8 * number - 1.0
                task, run = TaskId(*line["task"]), line["run"]
                started = events.StartOutcome.STARTED
                self.handle(events.StartAnswered(now, "w1", task, run, started))
                end = events.RunEnd(number, task, run, kind, "")
                self.poll("w1", now + 1.3, 5, (end,))
        record_step.assert_called_once()
        queue, ratio_by_run = record_step.call_args.args
        self.assertEqual((queue, ratio_by_run[0][0]), ("q", "w1"))
        self.assertAlmostEqual(ratio_by_run[0][1], 1.3)
        record_done.assert_called_once()
        record_failed.assert_called_once()


if __name__ == "__main__":
    unittest.main()
