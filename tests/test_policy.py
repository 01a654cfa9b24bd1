"""Unit tests of shares, allotments, usage caps, worker health and estimates."""

from __future__ import annotations

import unittest

from jacinthloom_core.context import Context
from jacinthloom_core.job_coordination.retries import compute_backoff
from jacinthloom_core.model.configuration import Team, WorkClass
from jacinthloom_core.model.resources import NO_RESOURCES, UNLIMITED, Resources
from jacinthloom_core.model.settings import MemberSettings
from jacinthloom_core.model.work import WorkSpec
from jacinthloom_core.policy.allotments import POOL, Allotments
from jacinthloom_core.policy.estimates import RunTimeEstimator
from jacinthloom_core.policy.fairness import (
    Demand,
    FairShareTracker,
    compute_entitlements,
)
from jacinthloom_core.policy.usage_cap import (
    RATE_SAFETY_FACTOR,
    Backlog,
    MinimumRatePolicy,
)
from jacinthloom_core.worker_owners.health import FAILING_JOBS, Health

HOUR_S = 3600.0


def make_spec(team: str = "a", run_time_s: float = 100.0) -> WorkSpec:
    need = Resources(1000, 0, 0, 1)
    return WorkSpec("j-1", team, "check", "batch", 1, need, run_time_s, 0.0)


class FairShareTest(unittest.TestCase):
    def test_unused_share_is_lent_in_proportion(self) -> None:
        entitled = compute_entitlements(
            {"a": Demand(3.0, 0.1), "b": Demand(2.0, 1.0), "c": Demand(1.0, 1.0)}
        )
        self.assertAlmostEqual(entitled["a"], 0.1)
        self.assertAlmostEqual(entitled["b"], 0.6)
        self.assertAlmostEqual(entitled["c"], 0.3)

    def test_least_served_team_comes_first(self) -> None:
        tracker = FairShareTracker()
        tracker.set_fleet_capacity(Resources(10_000, 1000, 10))
        tracker.set_shares({"a": 2.0, "b": 1.0})
        for team in ("a", "b"):
            tracker.set_waiting(team, True)
        tracker.add_used("a", Resources(3000, 0, 0))
        tracker.add_used("b", Resources(1000, 200, 0))
        self.assertEqual(list(tracker.iterate_waiting()), ["a", "b"])
        tracker.set_peer_used("e2", "a", Resources(2000, 0, 0))
        self.assertEqual(list(tracker.iterate_waiting()), ["b", "a"])
        tracker.remove_peer("e2")
        self.assertEqual(list(tracker.iterate_waiting()), ["a", "b"])


class AllotmentsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.allotments = Allotments()
        self.set_limit(10_000)
        self.allotments.distribute_pool(["e1", "e2"], lambda team: "e2")

    def set_limit(self, processors: int) -> None:
        limit = Resources(processors, UNLIMITED, UNLIMITED, UNLIMITED)
        self.allotments.set_limits({"a": Team("a", 1.0, limit)})

    def compute_total(self) -> int:
        allotments = self.allotments.allotments_by_team["a"].values()
        return sum(allotments, NO_RESOURCES).processors

    def test_allotments_never_exceed_the_limit(self) -> None:
        self.allotments.move("a", "e2", "e1", Resources(4000))
        self.allotments.move("a", "e2", "e1", Resources(99_000))
        self.assertEqual(self.compute_total(), 10_000)
        self.set_limit(3000)
        self.assertEqual(self.compute_total(), 3000)
        self.allotments.return_to_pool("e1")
        self.assertNotIn("e1", self.allotments.allotments_by_team["a"])
        self.assertEqual(self.compute_total(), 3000)
        self.assertIn(POOL, self.allotments.allotments_by_team["a"])

    def test_resources_without_a_limit_are_unlimited(self) -> None:
        allotment = self.allotments.find_allotment("a", "e1")
        assert allotment is not None
        self.assertEqual(allotment.memory, UNLIMITED)
        self.assertIsNone(self.allotments.find_allotment("b", "e1"))


class UsageCapTest(unittest.TestCase):
    def make_backlog(self, deadline: float, tasks: int, run_time_s: float) -> Backlog:
        work = tasks * run_time_s * 1000
        return Backlog(
            deadline, work, "j", "check", run_time_s, True, tasks * 1000, 1000
        )

    def test_cap_is_the_minimum_rate_that_meets_every_deadline(self) -> None:
        backlog = [
            self.make_backlog(HOUR_S, 36, 100.0),
            self.make_backlog(10 * HOUR_S, 36, 100.0),
        ]
        cap = MinimumRatePolicy().compute(0.0, backlog, 0, 5000, 100_000)
        self.assertAlmostEqual(
            cap.processors, 5000 + RATE_SAFETY_FACTOR * 1000, delta=50
        )

    def test_cap_is_not_below_the_peak_already_paid_for(self) -> None:
        backlog = [self.make_backlog(HOUR_S, 36, 100.0)]
        cap = MinimumRatePolicy().compute(0.0, backlog, 50_000, 5000, 100_000)
        self.assertEqual(cap.processors, 50_000)

    def test_target_that_cannot_be_met_is_reported(self) -> None:
        backlog = [self.make_backlog(HOUR_S, 4000, 100.0)]
        cap = MinimumRatePolicy().compute(0.0, backlog, 0, 0, 100_000)
        self.assertEqual((cap.late_class, cap.late_job), ("check", "j"))

    def test_deadlines_by_time_of_day(self) -> None:
        rebuild = WorkClass("rebuild", "batch", None, int(7.5 * HOUR_S))
        self.assertEqual(rebuild.compute_deadline(18 * HOUR_S), 31.5 * HOUR_S)
        self.assertEqual(rebuild.compute_deadline(6 * HOUR_S), 7.5 * HOUR_S)


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.context = Context(MemberSettings("e1.1", "a:1", "z"))
        self.health = Health(self.context)

    def test_only_failures_of_several_jobs_quarantine_a_worker(self) -> None:
        for _ in range(10):
            self.assertFalse(self.health.note_failure("w", "j-same"))
        for number in range(FAILING_JOBS - 1):
            blamed = self.health.note_failure("w", f"j-{number}")
        self.assertTrue(blamed)
        self.assertTrue(self.health.is_quarantined("w"))

    def test_quarantined_worker_returns_after_successful_probe(self) -> None:
        for number in range(FAILING_JOBS):
            self.health.note_failure("w", f"j-{number}")
        self.assertFalse(self.health.may_probe("w"))
        self.context.now = 11.0
        self.assertTrue(self.health.may_probe("w"))
        self.health.note_start("w", "j-9/0#1")
        self.assertFalse(self.health.may_probe("w"))
        self.health.note_success("w")
        self.assertFalse(self.health.is_quarantined("w"))


class RunTimeEstimatorTest(unittest.TestCase):
    def test_run_times_of_a_team_do_not_change_estimates_of_another(self) -> None:
        estimator = RunTimeEstimator()
        for _ in range(200):
            estimator.observe(make_spec("liar"), 100_000.0)
        self.assertAlmostEqual(estimator.estimate_run_time(make_spec("a")), 100.0)
        liar = estimator.estimate_run_time(make_spec("liar"))
        self.assertAlmostEqual(liar, 400.0, delta=1.0)

    def test_backoff_grows_with_jitter_and_a_ceiling(self) -> None:
        delays = [compute_backoff("j-1/0", failures) for failures in range(1, 20)]
        self.assertLessEqual(max(delays), 60.0)
        self.assertGreater(delays[5], delays[0])
        self.assertNotEqual(compute_backoff("a", 3), compute_backoff("b", 3))
