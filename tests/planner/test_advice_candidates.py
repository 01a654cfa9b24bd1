"""Advice candidates of steps on a fleet larger than one request may name."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner.advice import MAX_CANDIDATES, StepAdvice, Ticket
from jacinthloom_core.planner.advice_candidates import (
    MIN_UNKNOWN_CANDIDATES,
    choose_candidates,
)
from jacinthloom_core.planner.fleet import Worker
from jacinthloom_core.planner.jobs import Job
from jacinthloom_core.planner.specs import JobSpec, StepSpec

from .test_takeover import ENTRY

FLEET_SIZE = 176
"""Number of workers."""


def make_worker(number: int, free: int = 64) -> Worker:
    worker = Worker(f"w{number}", 1)
    capacity = Resources(64, 128)
    worker.accept(replace(ENTRY, id=worker.id, capacity=capacity))
    worker.reserve(Resources(64 - free, 0))
    return worker


def make_step(number: int, count: int):  # type: ignore[no-untyped-def]
    spec = StepSpec(count, Resources(18, 10), 5.0)
    job = Job(JobSpec(f"{number:016x}", "q", "t", "", (spec,), 0))
    return job.add_occurrence(0).steps[0]


class AdviceCandidatesTest(unittest.TestCase):
    def test_waiting_steps_choose_different_candidates(self) -> None:
        workers = [make_worker(number) for number in range(FLEET_SIZE)]
        counts: Counter[str] = Counter()
        for number in range(50):
            step = make_step(number, count=2)
            counts.update(choose_candidates(step, workers, 2, StepAdvice(), 0.0))
        self.assertEqual(sum(counts.values()), 50 * MIN_UNKNOWN_CANDIDATES)
        # An even share is 6.8 requests; the first workers of a list would get all 50.
        self.assertLess(max(counts.values()), 25)
        self.assertGreater(len(counts), 0.9 * FLEET_SIZE)

    def test_wide_step_chooses_enough_capacity_up_to_the_maximum(self) -> None:
        workers = [make_worker(number) for number in range(FLEET_SIZE)]
        names = choose_candidates(make_step(1, 40), workers, 40, StepAdvice(), 0.0)
        self.assertGreaterEqual(len(names) * 3 * 0.3, 40 * 1.5)
        names = choose_candidates(make_step(1, 400), workers, 400, StepAdvice(), 0.0)
        self.assertEqual(len(names), MAX_CANDIDATES)

    def test_workers_with_free_capacity_come_before_full_ones(self) -> None:
        workers = [make_worker(n, free=64 if n % 2 else 0) for n in range(FLEET_SIZE)]
        names = choose_candidates(make_step(1, 20), workers, 20, StepAdvice(), 0.0)
        self.assertTrue(all(int(name[1:]) % 2 for name in names))

    def test_spread_step_chooses_workers_beyond_those_that_it_has_filled(self) -> None:
        workers = [make_worker(number) for number in range(FLEET_SIZE)]
        step = make_step(1, 25)
        step.spec = replace(step.spec, most_per_worker=1)
        advice = StepAdvice(is_recommended_by_worker={f"w{n}": True for n in range(10)})
        for number in range(10):
            step.tasks[number].worker = f"w{number}"
        names = choose_candidates(step, workers, 15, advice, 0.0)
        unknown = [name for name in names if int(name[1:]) >= 10]
        self.assertGreaterEqual(len(unknown) * 0.3, 15 * 1.5)

    def test_known_workers_are_chosen_again_only_for_new_tickets(self) -> None:
        workers = [make_worker(number) for number in range(FLEET_SIZE)]
        advice = StepAdvice(
            ticket_by_worker={"w1": Ticket(0, "x", 10.0)},
            is_recommended_by_worker={f"w{number}": True for number in range(20)},
        )
        names = choose_candidates(make_step(1, 9), workers, 9, advice, 0.0)
        self.assertNotIn("w1", names)
        self.assertTrue(all(int(name[1:]) < 20 for name in names))


if __name__ == "__main__":
    unittest.main()
