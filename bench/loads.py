"""Named loads of jobs for the planner, and how much each kind is worth."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner.rules import AdvicePolicy, Queue
from jacinthloom_core.planner.specs import JobSpec, StepSpec

WIDEST = 1.5
"""Widest step as a multiple of the mean: a gang still fits on the good workers."""


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of job.

    :param per_s: jobs a second
    :param width: mean number of tasks
    :param run_s: mean run time of a task
    :param processors: mean processors of a task, in millicores
    :param error: largest relative error of declared run times
    :param gang: share of gangs
    :param good: share of workers that the advice service names
    :param worth: credit of a job that ends within its objective
    """

    queue: Queue
    per_s: float
    width: float
    run_s: float
    processors: int
    error: float
    gang: float
    good: float
    worth: float

    def draw(self, job_id: str, tenant: str, at: float, random: Random) -> JobSpec:
        """Return a job that is handed in at a time."""
        run_s = self.draw_run_s(job_id)
        drawn = round(random.expovariate(1 / self.width))
        count = max(1, min(int(WIDEST * self.width), drawn))
        scale = random.uniform(0.6, 1.4)
        step = StepSpec(
            count=count,
            size=Resources(int(self.processors * scale), 1_000),
            estimate_s=run_s * random.uniform(1 - self.error, 1 + self.error),
            gang=count > 1 and random.random() < self.gang,
        )
        received_ms = int(at * 1000)
        return JobSpec(job_id, self.queue.name, tenant, "text", (step,), received_ms)

    def draw_run_s(self, job_id: str) -> float:
        """Return the true run time of a job's tasks; the same for each call."""
        random = Random(f"{job_id}{self.queue.name}")
        return min(2.4 * self.run_s, random.lognormvariate(math.log(self.run_s), 0.45))


@dataclass(frozen=True, slots=True)
class Load:
    """Kinds of jobs on a fleet of one service."""

    kinds: tuple[Kind, ...]
    workers: int
    capacity: Resources
    seconds: float = 40.0


def make_kinds(scale: float, wide: float) -> tuple[Kind, ...]:
    """Return rebuilds, checks and lookups, as at the Statistics Office.

    :param scale: factor on the rates
    :param wide: factor on the widths
    """
    slow, middle, quick = (
        AdvicePolicy(0.688, 0.0061, 2.0),
        AdvicePolicy(0.078, 0.0007, 2.0),
        AdvicePolicy(0.014, 0.0001, 2.0),
    )
    rebuilds = Queue("rebuilds", "h", "/r/", "s", 1, 2, 2.2, 1.0, False, slow)
    checks = Queue("checks", "h", "/c/", "s", 2, 2, 4.0, 3.0, False, middle)
    lookups = Queue("lookups", "h", "/l/", "s", 0, 2, 1.5, 0.25, False, quick)
    return (
        Kind(rebuilds, 0.8 * scale, 8 * wide, 5.0, 18_000, 0.9, 1.0, 0.3, 12.1),
        Kind(checks, 3.7 * scale, 10 * wide, 2.7, 3_600, 0.9, 0.0, 0.45, 1.83),
        Kind(lookups, 15.4 * scale, 2.0, 1.0, 5_100, 0.2, 0.3, 0.7, 0.452),
    )


CAPACITY = Resources(64_000, 128_000)

LOADS: dict[str, Load] = {
    "calm": Load(make_kinds(0.8, 1.0), 24, CAPACITY),
    "burst_of_rebuilds": Load(make_kinds(1.3, 1.0), 24, CAPACITY),
    "wide_gangs": Load(make_kinds(1.5, 2.0), 64, CAPACITY),
}
"""Loads by the pattern that they show."""
