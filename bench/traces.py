"""Seeded traces of a day of work at the two existing deployments."""

from __future__ import annotations

import random
from dataclasses import dataclass

from jacinthloom_core.model.configuration import Team, WorkClass
from jacinthloom_core.model.resources import Resources

HOUR_S = 3600.0
DAY_S = 24 * HOUR_S

LOOKUP = WorkClass("lookup", "request", 5.0)
REBUILD = WorkClass("rebuild", "batch", None, int(7.5 * HOUR_S))
CHECK = WorkClass("check", "batch", 4 * HOUR_S)
BOARD = WorkClass("board", "service", 60.0)
CLASSES = (LOOKUP, REBUILD, CHECK, BOARD)


@dataclass(frozen=True)
class Arrival:
    """A submitted job or request.

    :param arrived_at: seconds from the beginning of the day
    :param processors: millicores of one task
    :param run_s: actual run time of one task
    :param declared_s: run time that the submitter declares
    """

    arrived_at: float
    name: str
    work_class: WorkClass
    team: str
    tasks: int
    processors: int
    run_s: float
    declared_s: float

    @property
    def deadline(self) -> float:
        """Time by which it must end, in seconds from the beginning of the day."""
        return self.work_class.compute_deadline(self.arrived_at)

    @property
    def millicore_seconds(self) -> float:
        """Millicore-seconds of all tasks."""
        return self.tasks * self.run_s * self.processors


@dataclass(frozen=True)
class Deployment:
    """Workers of a deployment and the arrivals of a day."""

    name: str
    workers: int
    capacity: Resources
    teams: tuple[Team, ...]
    arrivals: tuple[Arrival, ...]

    @property
    def total_processors(self) -> int:
        """Millicores of all workers."""
        return self.workers * self.capacity.processors


def make_tshwane(seed: int, error: float = 1.0) -> Deployment:
    """Return a day at the Statistics Office: 24 workers of 64 processors.

    :param error: largest factor by which a declared run time is too long or too short
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    for index in range(14):
        _add_batch_job(
            arrivals, rng, error, REBUILD, "planning", index, 18 * HOUR_S, 3 * HOUR_S
        )
    for index in range(120):
        _add_batch_job(
            arrivals, rng, error, CHECK, "revenue", index, 7 * HOUR_S, 9 * HOUR_S
        )
    _add_services(arrivals, 30, "wards")
    _add_lookups(arrivals, rng, "wards", 400)
    teams = (Team("planning", 3.0), Team("revenue", 2.0), Team("wards", 1.0))
    return Deployment(
        "tshwane",
        24,
        Resources(64_000, 131_072, 0, 64),
        teams,
        _sort_by_arrival(arrivals),
    )


def make_surtido(seed: int, error: float = 1.0) -> Deployment:
    """Return a day at the logistics firm: 24 workers of 32 processors."""
    rng = random.Random(seed + 1)
    arrivals: list[Arrival] = []
    for index in range(20):
        _add_batch_job(
            arrivals,
            rng,
            error,
            REBUILD,
            "planning",
            index,
            20 * HOUR_S,
            3 * HOUR_S,
            2000,
        )
    for index in range(80):
        _add_batch_job(
            arrivals, rng, error, CHECK, "prizes", index, 8 * HOUR_S, 11 * HOUR_S
        )
    _add_services(arrivals, 20, "shops")
    _add_lookups(arrivals, rng, "shops", 400)
    teams = (Team("planning", 2.0), Team("prizes", 1.0), Team("shops", 1.0))
    return Deployment(
        "surtido",
        24,
        Resources(32_000, 65_536, 0, 32),
        teams,
        _sort_by_arrival(arrivals),
    )


def _add_batch_job(
    arrivals: list[Arrival],
    rng: random.Random,
    error: float,
    work_class: WorkClass,
    team: str,
    index: int,
    begin: float,
    span: float,
    processors: int = 4000,
) -> None:
    tasks = rng.randint(20, 60) if work_class is REBUILD else rng.randint(4, 16)
    run_s = rng.uniform(600, 2400) if work_class is REBUILD else rng.uniform(300, 1500)
    declared = run_s * error ** rng.uniform(-1, 1)
    arrivals.append(
        Arrival(
            begin + rng.uniform(0, span),
            f"j-{work_class.name}-{index}",
            work_class,
            team,
            tasks,
            processors,
            run_s,
            declared,
        )
    )


def _add_services(arrivals: list[Arrival], count: int, team: str) -> None:
    arrivals.append(
        Arrival(60.0, "j-board", BOARD, team, count, 1000, 40 * HOUR_S, 40 * HOUR_S)
    )


def _add_lookups(
    arrivals: list[Arrival], rng: random.Random, team: str, count: int
) -> None:
    for index in range(count):
        at = rng.uniform(6 * HOUR_S, 20 * HOUR_S)
        arrivals.append(Arrival(at, f"r-{index}", LOOKUP, team, 1, 200, 0.5, 0.5))


def _sort_by_arrival(arrivals: list[Arrival]) -> tuple[Arrival, ...]:
    return tuple(sorted(arrivals, key=lambda item: item.arrived_at))


def compute_hindsight_peak(deployment: Deployment) -> float:
    """Return a lower bound in millicores on the busiest minute, known with hindsight.

    Work that both arrives and is due within an interval must be done in it. The bound
    is the largest rate that any interval needs, plus the services.
    """
    services = sum(
        item.tasks * item.processors
        for item in deployment.arrivals
        if item.work_class is BOARD
    )
    batch_jobs = [
        item for item in deployment.arrivals if item.work_class.kind == "batch"
    ]
    best = 0.0
    for begin in {item.arrived_at for item in batch_jobs}:
        inside = sorted(
            (item for item in batch_jobs if item.arrived_at >= begin),
            key=lambda i: i.deadline,
        )
        due = 0.0
        for item in inside:
            due += item.millicore_seconds
            best = max(best, due / (item.deadline - begin))
    return services + best
