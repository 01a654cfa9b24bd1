"""Load: many large jobs wait for slow advice, as after a takeover, beside lookups.

Each member handles one request to the advice service at a time. Requests for large jobs
take about a second; lookups, whose own requests take milliseconds, must not wait for
them.
"""

from __future__ import annotations

import unittest

from jacinthloom_core.planner.advice import AdviceRequests
from jacinthloom_core.planner.rules import AdvicePolicy
from jacinthloom_core.planner.specs import StepId

SLOW = AdvicePolicy(0.57, 0.0081, 1.5)
FAST = AdvicePolicy(0.012, 0.00017, 1.5)
WORKERS = tuple(f"w{number}" for number in range(24))
LOOKUP_RANK = (0, 0, 0.0)
LARGE_RANK = (0, 1, 0.0)


class AdviceIsolationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.requests = AdviceRequests()

    def add_members(self, count: int) -> None:
        for number in range(count):
            self.requests.add_member(f"m{number}", 0.0)

    def enqueue(self, name: str, is_slow: bool) -> StepId:
        step = StepId(name, 0, 0)
        policy, rank = (SLOW, LARGE_RANK) if is_slow else (FAST, LOOKUP_RANK)
        self.requests.enqueue(step, WORKERS, policy, rank)
        return step

    def enqueue_large_jobs(self, count: int) -> None:
        for number in range(count):
            self.enqueue(f"large-{number}", is_slow=True)

    def dispatch(self, now: float) -> list[tuple[str, StepId]]:
        return [(r.member, r.step) for r in self.requests.dispatch(now)]

    def test_lookup_is_sent_at_once_though_large_jobs_wait(self) -> None:
        self.add_members(9)
        self.enqueue_large_jobs(20)
        self.assertEqual(len(self.dispatch(0.0)), 6)
        lookup = self.enqueue("lookup", is_slow=False)
        self.assertIn(lookup, [step for _, step in self.dispatch(0.1)])

    def test_members_that_lookups_leave_idle_stay_available_for_the_next(self) -> None:
        self.add_members(9)
        self.enqueue_large_jobs(20)
        self.dispatch(0.0)
        for number in range(3):
            self.enqueue(f"lookup-{number}", is_slow=False)
        sent = self.dispatch(0.1)
        self.assertEqual(len(sent), 3)
        for member, step in sent:
            self.requests.on_answered(member, step, WORKERS, {})
        self.assertEqual(self.dispatch(0.2), [])

    def test_slow_requests_go_on_as_earlier_ones_are_answered(self) -> None:
        self.add_members(9)
        self.enqueue_large_jobs(20)
        for member, step in self.dispatch(0.0)[:2]:
            self.requests.on_answered(member, step, WORKERS, {})
        self.assertEqual(len(self.dispatch(0.8)), 2)

    def test_single_member_carries_slow_requests(self) -> None:
        self.add_members(1)
        self.enqueue_large_jobs(1)
        self.assertEqual(len(self.dispatch(0.0)), 1)

    def test_lost_member_frees_its_share_of_slow_requests(self) -> None:
        self.add_members(3)
        self.enqueue_large_jobs(4)
        sent = self.dispatch(0.0)
        self.assertEqual(len(sent), 2)
        self.requests.remove_member(sent[0][0], 0.1)
        self.requests.add_member("replacement", 0.1)
        self.assertEqual(len(self.dispatch(0.1)), 1)
