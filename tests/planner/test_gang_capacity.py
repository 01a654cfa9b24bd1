"""Capacity is reserved for gangs that wait while small tasks keep arriving."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.reservations import RESERVE_S, YIELD_S
from jacinthloom_core.planner.rules import AdvicePolicy, ClientAccount, Queue, Rules
from jacinthloom_core.planner.specs import JobSpec, StepSpec

from .test_takeover import ENTRY, Store, find_starts, make_planner, store_batches

WORKERS = 4
ADVICE = AdvicePolicy(0.7, 0.006, 2.0)
RULES = Rules(
    1,
    {
        "gangs": Queue("gangs", "h", "/g/", "service", 1, 2, 2.2, 1.0, False, ADVICE),
        "small": Queue("small", "h", "/s/", "service", 2, 2, 4.0, 3.0),
    },
    {"t": ClientAccount("t", 1, Resources())},
)
GANG = StepSpec(WORKERS, Resources(1000, 100), 5.0, gang=True)
SMALL = StepSpec(1, Resources(300, 100), 3.0)
LONG = StepSpec(1, Resources(300, 100), 30.0)
"""A task that ranks behind the gang, as it has more time."""


class GangCapacityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0, RULES)
        self.now = 0.1
        self.job_count = 0
        self.advice_requests: list[effects.RequestAdvice] = []
        self.starts: list[effects.Start] = []
        self.planner.handle(events.MemberJoined(0.05, "member"))
        for number in range(1, WORKERS + 1):
            entry = replace(ENTRY, id=f"w{number}", address=f"{number}:1")
            self.planner.handle(events.WorkerListed(0.05, entry))
            token = self.planner.state.worker_by_id[entry.id].token
            self.planner.handle(
                events.WorkerPolled(0.1, entry.id, 0.09, token, 5, 100, (), ())
            )

    def submit(self, queue: str, step: StepSpec) -> str:
        self.job_count += 1
        job = JobSpec(f"{self.job_count:016x}", queue, "t", "text", (step,), 0)
        self.apply_effects(
            self.planner.handle(events.JobSubmitted(self.now, self.job_count, job))
        )
        return job.id

    def apply_effects(self, emitted: list[effects.Effect]) -> None:
        emitted = store_batches(self.planner, self.store, emitted, self.now)
        self.advice_requests += [
            e for e in emitted if isinstance(e, effects.RequestAdvice)
        ]
        self.starts += find_starts(emitted)

    def advance(self, duration_s: float) -> None:
        until = self.now + duration_s
        while self.now < until:
            self.now += 0.05
            self.apply_effects(self.planner.handle(events.FlushDue(self.now)))

    def keep_running(self, duration_s: float) -> None:
        """Let time pass while all workers list what was started on them."""
        until = self.now + duration_s
        while self.now < until:
            self.advance(0.1)
            tick = events.Tick(self.now, int(self.now * 1000))
            self.apply_effects(self.planner.handle(tick))
            for worker in list(self.planner.state.worker_by_id.values()):
                running = tuple(
                    events.RunProgress(task.id, task.run, "", int(self.now * 10))
                    for task in worker.task_by_id.values()
                )
                polled = events.WorkerPolled(
                    self.now, worker.id, self.now, worker.token, 5, 9, running, ()
                )
                self.apply_effects(self.planner.handle(polled))

    def answer_advice_requests(self) -> None:
        for request in self.advice_requests:
            recommended = tuple((worker, "ticket") for worker in request.workers)
            event = events.AdviceGiven(
                self.now,
                request.member,
                request.step,
                request.workers,
                recommended,
            )
            self.apply_effects(self.planner.handle(event))
        self.advice_requests.clear()

    def list_started_jobs(self) -> list[str]:
        return [start.task.job for start in self.starts]

    def test_capacity_is_reserved_for_a_gang_whose_tickets_have_expired(self) -> None:
        gang = self.submit("gangs", GANG)
        self.advance(0.2)
        step = self.planner.state.ready_by_id[
            next(iter(self.planner.state.ready_by_id))
        ]
        advice = self.planner.state.advice_requests.find(step.id)
        for number in range(1, WORKERS + 1):
            # The service recommended the worker; its ticket has expired since.
            advice.is_recommended_by_worker[f"w{number}"] = True
        advice.is_request_pending = True
        small = self.submit("small", SMALL)
        self.advance(0.2)
        self.assertNotIn(small, self.list_started_jobs())
        advice.is_request_pending = False
        self.advance(0.1)
        self.answer_advice_requests()
        self.advance(0.1)
        self.assertEqual(self.list_started_jobs(), [gang] * WORKERS)

    def test_small_tasks_run_while_the_gang_has_no_advice(self) -> None:
        self.submit("gangs", GANG)
        small = self.submit("small", SMALL)
        self.advance(0.2)
        self.assertEqual(self.list_started_jobs(), [small])

    def test_gang_wider_than_the_fleet_does_not_block_other_tasks(self) -> None:
        too_wide = replace(GANG, count=WORKERS + 1)
        self.submit("gangs", too_wide)
        self.advance(0.2)
        self.answer_advice_requests()
        small = self.submit("small", SMALL)
        self.advance(0.2)
        self.assertEqual(self.list_started_jobs(), [small])

    # Guards against a gang that keeps all capacity for itself, without an end, beside
    # tasks that last and leave too little for it.
    def test_gang_that_cannot_fit_beside_lasting_tasks_does_not_block_others(
        self,
    ) -> None:
        lasting = StepSpec(
            WORKERS, Resources(100, 10), 1.0, lasting=True, most_per_worker=1
        )
        self.submit("small", lasting)
        self.advance(0.2)
        self.assertEqual(len(self.starts), WORKERS)
        self.submit("small", replace(GANG, lasting=True))
        self.advance(0.2)
        small = self.submit("small", SMALL)
        self.advance(0.2)
        self.assertIn(small, self.list_started_jobs())

    def start_small_gang_job(self, limit: int = 0) -> str:
        """Let a gang wait for what one long task keeps; return a job behind it."""
        account = ClientAccount("t", 1, Resources(limit, 0))
        rules = replace(RULES, version=2, client_account_by_name={"t": account})
        self.apply_effects(self.planner.handle(events.RulesChanged(self.now, rules)))
        self.submit("small", LONG)
        self.keep_running(0.2)
        self.submit("small", GANG)
        self.keep_running(0.2)
        return self.submit("small", LONG)

    # Guards against a gang that waits for one long task while all else is idle, and
    # keeps every other job from starting meanwhile.
    def test_others_start_beside_a_gang_that_waits_where_much_is_idle(self) -> None:
        small = self.start_small_gang_job()
        self.keep_running(0.2)
        self.assertNotIn(small, self.list_started_jobs())
        self.keep_running(RESERVE_S)
        self.assertIn(small, self.list_started_jobs())

    # Guards against the same with the limit of a client account.
    def test_others_start_beside_a_gang_that_waits_for_a_limit(self) -> None:
        small = self.start_small_gang_job(limit=1000 * WORKERS)
        self.keep_running(0.2)
        self.assertNotIn(small, self.list_started_jobs())
        self.keep_running(RESERVE_S)
        self.assertIn(small, self.list_started_jobs())

    # Guards against small tasks that keep a gang from ever starting on busy workers.
    def test_gang_reserves_without_a_pause_where_most_is_in_use(self) -> None:
        for _ in range(WORKERS):
            self.submit("small", replace(SMALL, size=Resources(600, 100)))
        self.advance(0.2)
        self.submit("small", GANG)
        self.advance(0.2)
        small = self.submit("small", LONG)
        self.keep_running(2 * (RESERVE_S + YIELD_S))
        self.assertNotIn(small, self.list_started_jobs())
        self.assertEqual(len(self.planner.state.worker_by_id["w1"].task_by_id), 1)

    def test_reserved_capacity_is_released_after_each_scheduling_pass(self) -> None:
        self.submit("gangs", GANG)
        self.submit("gangs", GANG)
        self.advance(0.3)
        self.answer_advice_requests()
        for worker in self.planner.state.worker_by_id.values():
            used_processors = sum(
                task.step.spec.size.processors for task in worker.task_by_id.values()
            )
            self.assertEqual(worker.free_processors + used_processors, 1000)


if __name__ == "__main__":
    unittest.main()
