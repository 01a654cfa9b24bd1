"""The tasks of a service are spread over zones first, then racks, then workers."""

from __future__ import annotations

import unittest
from typing import cast

from jacinthloom_core.model.reports import HostInfo
from jacinthloom_core.model.work import WorkSpec
from jacinthloom_core.worker_owners.placement import POLICY_BY_KIND
from jacinthloom_core.worker_owners.workers import Attempt, Worker

JOB = "j-service"
SPEC = cast("WorkSpec", type("Spec", (), {"job": JOB}))


def make_worker(name: str, zone: str, tasks: int = 0) -> Worker:
    worker = Worker(HostInfo(name, "1:1", zone, "live"))
    for number in range(tasks):
        worker.attempt_by_key[f"{JOB}/{name}{number}#1"] = cast("Attempt", None)
    return worker


class ServiceSpreadTest(unittest.TestCase):
    def choose(self, fitting: list[Worker], full: list[Worker]) -> str:
        policy = POLICY_BY_KIND["service"]
        worker = policy._prefer(SPEC, fitting, [*fitting, *full])
        assert worker is not None
        return worker.name

    def test_zone_without_a_task_is_preferred(self) -> None:
        full = [make_worker("a-r1/w1", "a", 1)]
        fitting = [make_worker("a-r2/w1", "a"), make_worker("b-r1/w1", "b")]
        self.assertEqual(self.choose(fitting, full), "b-r1/w1")

    def test_rack_without_a_task_is_preferred_within_a_zone(self) -> None:
        full = [make_worker("a-r1/w1", "a", 1)]
        fitting = [make_worker("a-r1/w2", "a"), make_worker("a-r2/w1", "a")]
        self.assertEqual(self.choose(fitting, full), "a-r2/w1")

    def test_worker_without_a_task_is_preferred_within_a_rack(self) -> None:
        fitting = [make_worker("a-r1/w1", "a", 1), make_worker("a-r1/w2", "a")]
        self.assertEqual(self.choose(fitting, []), "a-r1/w2")
