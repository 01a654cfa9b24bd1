"""Load: some client accounts use far more than others over hours, within their rate.

Past usage orders the steps of one level and priority. Everything else stays as it is
without: levels, priorities, and the start of every step in the end.
"""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.jobs import Job, StepRun
from jacinthloom_core.planner.order import LatestStartOrder
from jacinthloom_core.planner.past_use import (
    MAX_SHIFT_SHARE,
    AccountUse,
    PastUse,
    StoredPastUse,
)
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.records import (
    MAX_VALUE_BYTES,
    PAST_USE_KEY,
    encode_past_use,
    load_jobs,
    load_past_use,
)
from jacinthloom_core.planner.rules import ClientAccount, Queue, Rules
from jacinthloom_core.planner.run_times import RunTimes
from jacinthloom_core.planner.specs import JobSpec, StepSpec
from jacinthloom_core.planner.state import PlannerSettings

from testkit.planning.world import Scenario, World

from .test_takeover import ENTRY, Store, answer_poll, find_starts, store_batches

HALF_LIFE_S = 7200.0
QUEUE = Queue("q", "h", "/q/", "service", 0, 2, 4.0, 20.0)
RULES = Rules(
    1,
    {"q": QUEUE, "urgent": replace(QUEUE, name="urgent", prefix="/u/", priority=-1)},
    {name: ClientAccount(name, 100, Resources()) for name in ("heavy", "light")},
)
WHOLE = StepSpec(1, Resources(1000, 100), 10.0)
"""Step that needs all of the worker."""


def note_kinds(emitted: list[effects.Effect]) -> list[str]:
    return [effect.kind for effect in emitted if isinstance(effect, effects.Note)]


class PastUseTest(unittest.TestCase):
    """The fleet is one worker, which an earlier job of ``heavy`` occupies."""

    def setUp(self) -> None:
        self.store = Store()
        self.now = 0.0
        self.wall_offset_ms = 0
        self.calls = 0
        self.starts: list[effects.Start] = []
        self.notes: list[str] = []

    def make_planner(
        self, term: int = 1, half_life_s: float = HALF_LIFE_S, rules: Rules = RULES
    ) -> Planner:
        settings = PlannerSettings(term, 6.0, 120.0, past_use_half_life_s=half_life_s)
        planner = Planner(settings)
        planner.load(self.store.value_by_key, self.now, self.wall_ms)
        for event in (
            events.RulesChanged(self.now, rules),
            events.WorkerListed(self.now, ENTRY),
        ):
            self.keep(planner, planner.handle(event))
        self.keep(planner, answer_poll(planner, self.now))
        return planner

    @property
    def wall_ms(self) -> int:
        return int(self.now * 1000) + self.wall_offset_ms

    def keep(self, planner: Planner, emitted: list[effects.Effect]) -> None:
        stored = store_batches(planner, self.store, emitted, self.now)
        self.starts += find_starts(stored)
        self.notes += note_kinds(stored)

    def submit(self, planner: Planner, account: str, queue: str = "q") -> str:
        self.calls += 1
        job_id = f"{self.calls:016x}"
        spec = JobSpec(job_id, queue, account, "text", (WHOLE,), self.wall_ms)
        event = events.JobSubmitted(self.now, self.calls, spec)
        self.keep(planner, planner.handle(event))
        return job_id

    def tick(self, planner: Planner, seconds: float, step_s: float = 1.0) -> None:
        """Let time pass, with the worker listing what runs on it."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step_s
            worker = planner.state.worker_by_id["w1"]
            running = tuple(
                events.RunProgress(task.id, task.run, "", 50)
                for task in worker.task_by_id.values()
            )
            polled = events.WorkerPolled(
                self.now, "w1", self.now, worker.token, 5, self.wall_ms, running, ()
            )
            self.keep(planner, planner.handle(polled))
            tick = events.Tick(self.now, self.wall_ms, self.now + 10)
            self.keep(planner, planner.handle(tick))

    def finish(self, planner: Planner) -> None:
        """End the oldest run, and give its worker the next task."""
        start = self.starts.pop(0)
        worker = planner.state.worker_by_id["w1"]
        done = events.EndKind.DONE
        end = events.RunEnd(worker.seen_end + 1, start.task, start.run, done, "")
        self.now += 0.1
        polled = events.WorkerPolled(
            self.now, "w1", self.now, worker.token, 5, self.wall_ms, (), (end,)
        )
        self.keep(planner, planner.handle(polled))
        self.tick(planner, 0.1, 0.1)

    def use_for(self, planner: Planner, account: str, seconds: float) -> None:
        self.submit(planner, account)
        self.tick(planner, seconds)

    def find_use(self, planner: Planner, account: str) -> AccountUse:
        return planner.state.past_use.account_use_by_name[account]

    # The load

    def test_account_that_used_less_starts_first_at_the_same_latest_start(self) -> None:
        planner = self.make_planner()
        self.use_for(planner, "heavy", 3600)
        self.submit(planner, "heavy")
        self.now += 1.0
        light = self.submit(planner, "light")
        self.tick(planner, 2)
        self.finish(planner)
        self.assertEqual([start.task.job for start in self.starts], [light])
        self.assertIn("past_use", self.notes)
        self.assertIn("step_shifted", self.notes)

    # Guards against past usage that outranks the customers' priorities.
    def test_priority_is_not_changed(self) -> None:
        planner = self.make_planner()
        self.use_for(planner, "heavy", 3600)
        urgent = self.submit(planner, "heavy", "urgent")
        self.submit(planner, "light")
        self.tick(planner, 2)
        self.finish(planner)
        self.assertEqual([start.task.job for start in self.starts], [urgent])

    # Guards against starvation: jobs of a preferred account arrive all the time.
    def test_later_step_of_a_preferred_account_passes_by_a_bounded_time(self) -> None:
        planner = self.make_planner()
        self.use_for(planner, "heavy", 3600)
        heavy = self.submit(planner, "heavy")
        objective_s = QUEUE.stretch * WHOLE.estimate_s + QUEUE.target_s
        self.tick(planner, 2 * MAX_SHIFT_SHARE * objective_s + 1)
        self.submit(planner, "light")
        self.tick(planner, 2)
        self.finish(planner)
        self.assertEqual([start.task.job for start in self.starts], [heavy])

    def test_shift_is_at_most_its_share_of_the_objective(self) -> None:
        past_use = PastUse(HALF_LIFE_S)
        past_use.restore(StoredPastUse(0, {"heavy": 1e300, "light": 1.0}), 0.0, 0)
        planner = self.make_planner()
        planner.state.past_use = past_use
        past_use.on_tick(planner.state, 0.0)
        for account in ("heavy", "light"):
            self.assertLessEqual(abs(past_use.find_shift_s(account, 60.0)), 15.0)
        step = self.make_step("heavy")
        rank = LatestStartOrder(RunTimes(), past_use).rank(step, QUEUE, 0)
        self.assertEqual(rank[:2], (0, 0))
        self.assertAlmostEqual(rank[2], step.latest_start_s + step.past_use_shift_s)
        self.assertGreater(step.past_use_shift_s, 0)

    def make_step(self, account: str) -> StepRun:
        job = Job(JobSpec("a" * 16, "q", account, "text", (WHOLE,), 0))
        return job.add_occurrence(0).steps[0]

    # Guards against the first seconds of a deployment counting like hours.
    def test_seconds_of_usage_move_little(self) -> None:
        planner = self.make_planner()
        self.use_for(planner, "heavy", 10)
        self.submit(planner, "light")
        self.tick(planner, 1)
        self.assertLess(abs(self.find_use(planner, "heavy").factor), 0.05)

    def test_usage_halves_in_a_half_life(self) -> None:
        planner = self.make_planner()
        self.use_for(planner, "heavy", 100)
        self.submit(planner, "light")
        self.tick(planner, 2)
        before_s = self.find_use(planner, "heavy").usage_s
        self.assertAlmostEqual(before_s, 102, delta=2.5)
        planner.handle(events.CancelRequested(self.now, 99, "0" * 15 + "1"))
        planner.state.usage_by_client_account.clear()
        self.now += HALF_LIFE_S
        planner.state.past_use.on_tick(planner.state, self.now)
        after_s = self.find_use(planner, "heavy").usage_s
        self.assertAlmostEqual(after_s, before_s / 2, delta=0.1)

    # Guards against limits that a pass reserves for gangs counting as usage.
    def test_samples_are_taken_between_passes(self) -> None:
        planner = self.make_planner(
            rules=replace(
                RULES,
                client_account_by_name={
                    name: replace(account, limit=Resources(1000, 0))
                    for name, account in RULES.client_account_by_name.items()
                },
            )
        )
        self.use_for(planner, "heavy", 1)
        gang = StepSpec(2, Resources(500, 10), 10.0, gang=True)
        spec = JobSpec("b" * 16, "q", "light", "text", (gang,), self.wall_ms)
        submitted = events.JobSubmitted(self.now, 50, spec)
        self.keep(planner, planner.handle(submitted))
        self.tick(planner, 60)
        self.assertEqual(self.find_use(planner, "light").usage_s, 0.0)

    # Off, and single accounts

    def test_off_by_default(self) -> None:
        self.assertEqual(PlannerSettings(1, 6.0, 120.0).past_use_half_life_s, 0.0)
        planner = self.make_planner(half_life_s=0.0)
        self.use_for(planner, "heavy", 400)
        self.submit(planner, "light")
        self.tick(planner, 2)
        self.assertEqual(planner.state.past_use.account_use_by_name, {})
        self.assertNotIn(PAST_USE_KEY, self.store.value_by_key)
        self.assertFalse([kind for kind in self.notes if "past_use" in kind])

    def test_one_weighted_account_is_not_shifted(self) -> None:
        accounts = {"heavy": RULES.client_account_by_name["heavy"]}
        rules = replace(RULES, client_account_by_name=accounts)
        planner = self.make_planner(rules=rules)
        self.use_for(planner, "heavy", 400)
        self.submit(planner, "light")
        self.tick(planner, 2)
        self.assertEqual(planner.state.past_use.account_use_by_name, {})

    # The record

    def test_successor_loads_it_and_decays_it_by_the_wall_clock(self) -> None:
        planner = self.make_planner()
        self.use_for(planner, "heavy", 600)
        self.submit(planner, "light")
        self.tick(planner, 61)
        stored = load_past_use(self.store.value_by_key)
        assert stored is not None
        stored_s = stored.usage_by_client_account["heavy"]
        self.assertGreater(stored_s, 500)
        # The monotonic clock of the next host has another origin.
        self.wall_offset_ms = int((self.now + HALF_LIFE_S) * 1000)
        self.now = 5.0
        successor = self.make_planner(2)
        successor.state.past_use.on_tick(successor.state, self.now)
        loaded_s = self.find_use(successor, "heavy").usage_s
        self.assertAlmostEqual(loaded_s, stored_s / 2, delta=5)
        self.assertIn("past_use_loaded", self.notes)

    # Guards against planners that are replaced within a minute, over and over: none
    # of them would store what it has seen.
    def test_usage_adds_up_over_short_terms(self) -> None:
        planner = self.make_planner()
        self.use_for(planner, "heavy", 2)
        for term in range(2, 12):
            planner = self.make_planner(term)
            self.tick(planner, 40)
            self.submit(planner, "light")
            self.tick(planner, 1)
        rows = planner.state.past_use.account_use_by_name.values()
        self.assertGreater(sum(row.usage_s for row in rows), 150)

    # Guards against store calls of an idle planner, and against one every second.
    def test_record_goes_with_batches_at_most_once_a_minute(self) -> None:
        planner = self.make_planner()
        self.submit(planner, "heavy")
        self.tick(planner, 1)
        stored = self.notes.count("past_use_stored")
        for _ in range(120):
            self.submit(planner, "light")
            self.tick(planner, 1)
        self.assertLessEqual(self.notes.count("past_use_stored") - stored, 3)
        self.assertGreaterEqual(self.notes.count("past_use_stored") - stored, 1)
        stored = self.notes.count("past_use_stored")
        last = self.store.value_by_key[PAST_USE_KEY]
        self.tick(planner, 230)
        self.assertEqual(self.notes.count("past_use_stored"), stored)
        self.tick(planner, 80)
        self.assertEqual(self.notes.count("past_use_stored"), stored + 1)
        record = self.store.value_by_key[PAST_USE_KEY]
        self.assertNotEqual(record, last)
        self.store.value_by_key = {PAST_USE_KEY: record}
        idle = self.make_planner(2)
        stored = self.notes.count("past_use_stored")
        for _ in range(700):
            self.now += 1.0
            self.keep(idle, idle.handle(events.Tick(self.now, self.wall_ms)))
        self.assertEqual(self.notes.count("past_use_stored"), stored)

    # Guards against a record that costs more than itself: the planner goes on without.
    def test_unreadable_record_counts_as_no_past_usage(self) -> None:
        good = encode_past_use(StoredPastUse(0, {"heavy": 1.0})).value
        huge = encode_past_use(StoredPastUse(0, {"heavy": float("nan")})).value
        for value in (b"\xc1", b"", good[:-3], b"\x93\x02\x00\x90", huge, b"\x05"):
            with self.subTest(value=value):
                self.store.value_by_key[PAST_USE_KEY] = value
                self.notes.clear()
                planner = self.make_planner()
                planner.state.past_use.on_tick(planner.state, self.now)
                self.assertEqual(planner.state.past_use.account_use_by_name, {})
                kinds = planner.state.counters
                self.assertEqual(kinds["past_use_unreadable"], 1)

    def test_older_builds_ignore_the_record(self) -> None:
        records = {PAST_USE_KEY: encode_past_use(StoredPastUse(5, {"a": 1.0})).value}
        self.assertEqual(load_jobs(records, 0.0), ({}, 0))

    def test_record_of_many_accounts_keeps_to_the_limit_of_the_store(self) -> None:
        usage = {f"{number:0100}": float(number) for number in range(5000)}
        record = encode_past_use(StoredPastUse(5, usage))
        self.assertLessEqual(len(record.value), MAX_VALUE_BYTES)
        stored = load_past_use({PAST_USE_KEY: record.value})
        assert stored is not None
        self.assertIn(f"{4999:0100}", stored.usage_by_client_account)

    # Guards against a batch that the store refuses: the record waits with it.
    def test_record_of_a_refused_batch_is_appended_again(self) -> None:
        planner = self.make_planner()
        self.use_for(planner, "heavy", 70)
        self.calls += 1
        spec = JobSpec("c" * 16, "q", "light", "text", (WHOLE,), self.wall_ms)
        emitted = planner.handle(events.JobSubmitted(self.now, self.calls, spec))
        emitted += planner.handle(events.FlushDue(self.now + 0.05))
        (batch,) = [e for e in emitted if isinstance(e, effects.Store)]
        planner.handle(events.BatchRefused(self.now + 0.1, batch.number))
        emitted = planner.handle(events.FlushDue(self.now + 0.5))
        (again,) = [e for e in emitted if isinstance(e, effects.Store)]
        for records in (batch.records, again.records):
            self.assertIn(PAST_USE_KEY, [record.key for record in records])

    # Clocks that jump

    # Guards against wall clocks that differ between hosts: a successor behind would
    # raise the values, and one far ahead would take minutes to decay them.
    def test_wall_clock_of_a_successor_is_bounded(self) -> None:
        stored = StoredPastUse(10**12, {"heavy": 100.0})
        past_use = PastUse(HALF_LIFE_S)
        self.assertEqual(past_use.restore(stored, 0.0, 0), 0.0)
        self.assertEqual(past_use.restore(stored, 0.0, 10**15), 10 * HALF_LIFE_S)

    # Guards against a host that was suspended: it did not see what the fleet used.
    def test_monotonic_clock_that_jumps_adds_little(self) -> None:
        planner = self.make_planner()
        self.use_for(planner, "heavy", 10)
        self.submit(planner, "light")
        self.tick(planner, 1)
        before_s = self.find_use(planner, "heavy").usage_s
        past_use = planner.state.past_use
        past_use.on_tick(planner.state, self.now + 3600)
        self.assertLess(self.find_use(planner, "heavy").usage_s, before_s + 10)
        past_use.on_tick(planner.state, 1.0)
        after_s = self.find_use(planner, "heavy").usage_s
        past_use.on_tick(planner.state, 2.0)
        self.assertAlmostEqual(
            self.find_use(planner, "heavy").usage_s, after_s + 1, delta=0.1
        )

    # Guards against a successor whose first lists name few of the workers with tasks.
    def test_account_counts_at_most_as_the_whole_fleet(self) -> None:
        planner = self.make_planner()
        self.use_for(planner, "heavy", 1)
        small = replace(ENTRY, capacity=Resources(10, 10))
        planner.handle(events.WorkerListed(self.now, small))
        before_s = planner.state.past_use
        self.submit(planner, "light")
        self.tick(planner, 10)
        self.assertLess(self.find_use(planner, "heavy").usage_s, 13)
        self.assertIs(before_s, planner.state.past_use)

    # Guards against a record that waits until the clock is back where it was.
    def test_record_is_stored_after_a_clock_that_jumps_back(self) -> None:
        planner = self.make_planner()
        self.use_for(planner, "heavy", 2)
        past_use = planner.state.past_use
        self.assertIsNotNone(past_use.take_record(2.0, 0, True))
        for now in (1e6, 1.0, 2.0):
            past_use.on_tick(planner.state, now)
        self.assertIsNotNone(past_use.take_record(2.0, 0, True))

    # Guards against two planners that order the same steps differently: sums of floats
    # depend on the order of the accounts, which must not be that of a set.
    def test_accounts_are_compared_in_order_of_name(self) -> None:
        names = [f"a{number}" for number in range(370)]
        rules = Rules(1, {}, {n: ClientAccount(n, 1.1, Resources()) for n in names})
        planner = self.make_planner(rules=rules)
        for name in names:
            planner.state.add_usage(name, Resources(int(name[1:]) + 10, 0), 1)
        for second in range(3):
            planner.state.past_use.on_tick(planner.state, float(second))
        rows = planner.state.past_use.account_use_by_name
        self.assertEqual(list(rows), sorted(names))


class ScenariosTest(unittest.TestCase):
    """Planners are killed, the store is away, and workers are lost, with a half-life
    so short that past usage moves steps within a scenario."""

    def test_rules_hold_and_every_job_ends_under_faults(self) -> None:
        stored = 0
        for seed in range(7000, 7010):
            with self.subTest(seed=seed):
                world = World(Scenario(seed, past_use_half_life_s=10.0))
                world.run()
                stored += PAST_USE_KEY in world.store.value_by_key
        self.assertGreater(stored, 5)


if __name__ == "__main__":
    unittest.main()
