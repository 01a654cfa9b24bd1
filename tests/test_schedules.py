"""Random fault schedules hold every invariant, which is checked after each step."""

from __future__ import annotations

import unittest

from testkit.virtual import Faults
from testkit.virtual.schedule import Schedule

STEPS_PER_SCHEDULE = 40

MILD_REGRESSION_SEEDS = (
    1,
    2,
    3,
    5,
    12,
    111,
    115,
    122,
    129,
    136,
    153,
    160,
    162,
    176,
    187,
    194,
    212,
    239,
)
"""Seeds that found a fault; their commits describe it."""

SEVERE_REGRESSION_SEEDS = (1000, 1020, 1022, 1026, 1028, 1055, 1065, 1066, 1087)

HARSH_REGRESSION_SEEDS = (2008, 2014, 2060, 2066, 2068, 2082)


class ScheduleTest(unittest.TestCase):
    def run_seeds(
        self, seeds: object, members: int = 4, severe: bool = False, harsh: bool = False
    ) -> int:
        starts = 0
        for seed in seeds:  # type: ignore[attr-defined]
            with self.subTest(seed=seed):
                faults = Faults.make_severe() if severe else None
                schedule = Schedule(seed, members, faults)
                schedule.run(STEPS_PER_SCHEDULE, harsh=harsh)
                starts += schedule.world.invariants.starts
        return starts

    def test_regression_seeds(self) -> None:
        self.run_seeds(MILD_REGRESSION_SEEDS)
        self.run_seeds(SEVERE_REGRESSION_SEEDS, severe=True)
        self.run_seeds(HARSH_REGRESSION_SEEDS, 7, severe=True, harsh=True)

    def test_mild_faults(self) -> None:
        starts = self.run_seeds(range(3000, 3020))
        self.assertGreater(starts, 200)

    def test_severe_faults(self) -> None:
        self.run_seeds(range(4000, 4020), severe=True)

    def test_harsh_schedules_of_seven_members(self) -> None:
        self.run_seeds(range(5000, 5010), 7, severe=True, harsh=True)
