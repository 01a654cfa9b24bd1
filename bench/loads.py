"""Named loads for the planner, with the credit that each kind of job earns."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner.rules import AdvicePolicy, Queue
from jacinthloom_core.planner.specs import JobSpec, StepSpec

MAX_WIDTH_FACTOR = 1.5
"""Tasks of the widest step as a multiple of the mean, so that a gang still fits on the
recommended workers."""


@dataclass(frozen=True, slots=True)
class JobKind:
    """Arrival rate, size and credit of one kind of job.

    :param arrivals_per_s: mean number of jobs that arrive per second
    :param mean_task_count: mean number of tasks per job
    :param run_s: median run time of a task, in seconds
    :param processors: mean processors of a task, in millicores
    :param error: largest relative error of declared run times
    :param gang: share of jobs with several tasks that are gangs
    :param good: share of workers that the advice service recommends
    :param credit: credit of a job that ends within its objective
    """

    queue: Queue
    arrivals_per_s: float
    mean_task_count: float
    run_s: float
    processors: int
    error: float
    gang: float
    good: float
    credit: float

    def draw(
        self, job_id: str, client_account: str, at: float, random: Random
    ) -> JobSpec:
        """Return a random job that is submitted at a time."""
        run_s = self.draw_run_s(job_id)
        drawn_count = round(random.expovariate(1 / self.mean_task_count))
        count = max(1, min(int(MAX_WIDTH_FACTOR * self.mean_task_count), drawn_count))
        size_factor = random.uniform(0.6, 1.4)
        step = StepSpec(
            count=count,
            size=Resources(int(self.processors * size_factor), 1_000),
            estimate_s=run_s * random.uniform(1 - self.error, 1 + self.error),
            gang=count > 1 and random.random() < self.gang,
        )
        received_ms = int(at * 1000)
        return JobSpec(
            job_id, self.queue.name, client_account, "text", (step,), received_ms
        )

    def draw_run_s(self, job_id: str) -> float:
        """Return the actual run time of a job's tasks; the same for each call."""
        random = Random(f"{job_id}{self.queue.name}")
        return min(2.4 * self.run_s, random.lognormvariate(math.log(self.run_s), 0.45))


@dataclass(frozen=True, slots=True)
class Load:
    """Kinds of jobs that arrive at a fleet of one service.

    :param workers: number of workers
    :param capacity: capacity of each worker
    :param duration_s: seconds during which jobs arrive
    """

    kinds: tuple[JobKind, ...]
    workers: int
    capacity: Resources
    duration_s: float = 40.0


def make_job_kinds(rate_factor: float, width_factor: float) -> tuple[JobKind, ...]:
    """Return the Statistics Office's kinds of jobs: rebuilds, checks and lookups.

    :param rate_factor: factor on the arrival rates
    :param width_factor: factor on the numbers of tasks of rebuilds and checks
    """
    slow, medium, fast = (
        AdvicePolicy(0.688, 0.0061, 2.0),
        AdvicePolicy(0.078, 0.0007, 2.0),
        AdvicePolicy(0.014, 0.0001, 2.0),
    )
    rebuilds = Queue("rebuilds", "h", "/r/", "s", 1, 2, 2.2, 1.0, False, slow)
    checks = Queue("checks", "h", "/c/", "s", 2, 2, 4.0, 3.0, False, medium)
    lookups = Queue("lookups", "h", "/l/", "s", 0, 2, 1.5, 0.25, False, fast)
    return (
        JobKind(
            rebuilds,
            0.8 * rate_factor,
            8 * width_factor,
            5.0,
            18_000,
            0.9,
            1.0,
            0.3,
            12.1,
        ),
        JobKind(
            checks,
            3.7 * rate_factor,
            10 * width_factor,
            2.7,
            3_600,
            0.9,
            0.0,
            0.45,
            1.83,
        ),
        JobKind(lookups, 15.4 * rate_factor, 2.0, 1.0, 5_100, 0.2, 0.3, 0.7, 0.452),
    )


WORKER_CAPACITY = Resources(64_000, 128_000)

LOADS: dict[str, Load] = {
    "calm": Load(make_job_kinds(0.8, 1.0), 24, WORKER_CAPACITY),
    "burst_of_rebuilds": Load(make_job_kinds(1.3, 1.0), 24, WORKER_CAPACITY),
    "wide_gangs": Load(make_job_kinds(1.5, 2.0), 64, WORKER_CAPACITY),
}
"""Loads by the name of their pattern."""
