"""Measure the slopes in docs/CAPACITY.md, each over at least four sizes."""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path
from statistics import linear_regression, median

import matplotlib as mpl

mpl.use("Agg")

import matplotlib.pyplot as plt
from jacinthloom_core.model import events
from jacinthloom_core.model.configuration import ZoneIn, ZoneOut
from jacinthloom_core.model.operations import PublishChange
from jacinthloom_wire.packets import encode_batch

from testkit.virtual.schedule import LOOKUP, REBUILD, Schedule

from .decisions import MemberHarness
from .traffic import SentBytesCounter

DOCS_FOLDER = Path(__file__).parent.parent / "docs"
PLOTS_FOLDER = DOCS_FOLDER / "plots"
FITS_PATH = DOCS_FOLDER / "capacity.json"


@dataclass(frozen=True)
class LinearFit:
    """Linear regression over measured points.

    :param residual: largest distance of a point from the line, as a fraction of the
        largest value
    """

    name: str
    x_unit: str
    y_unit: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    residual: float

    @classmethod
    def from_points(
        cls, name: str, x_unit: str, y_unit: str, points: list[tuple[float, float]]
    ) -> LinearFit:
        """Fit a line by the method of least squares."""
        xs = [x for x, _ in points]
        ys = [y for _, y in points]
        slope, intercept = linear_regression(xs, ys)
        max_deviation = max(abs(y - (slope * x + intercept)) for x, y in points)
        return cls(
            name,
            x_unit,
            y_unit,
            points,
            slope,
            intercept,
            max_deviation / max(ys, default=1.0),
        )

    def plot(self) -> None:
        """Write a plot of the points and the line as a PNG file."""
        xs = [x for x, _ in self.points]
        figure, axes = plt.subplots(figsize=(5, 3.2))
        axes.plot(xs, [y for _, y in self.points], "o")
        axes.plot(xs, [self.slope * x + self.intercept for x in xs], "-")
        axes.set_xlabel(self.x_unit)
        axes.set_ylabel(self.y_unit)
        axes.set_title(self.name.replace("_", " "))
        figure.tight_layout()
        figure.savefig(PLOTS_FOLDER / f"{self.name}.png", dpi=80)
        plt.close(figure)


def measure_owner() -> list[LinearFit]:
    """Measure memory and tick CPU of an owner by workers and running tasks.

    Memory is measured by teams as well.
    """
    memory = []
    ticks = []
    for workers in (50, 100, 200, 400):
        size, tick = _measure_member(workers, 30, 0)
        memory.append((float(workers), size))
        ticks.append((float(workers), tick))
    task_memory = []
    task_ticks = []
    for tasks in (1000, 2000, 4000, 8000):
        size, tick = _measure_member(400, 30, tasks)
        task_memory.append((float(tasks), size))
        task_ticks.append((float(tasks), tick))
    team_memory = []
    for teams in (50, 100, 200, 400):
        size, _ = _measure_member(50, teams, 0)
        team_memory.append((float(teams), size))
    make = LinearFit.from_points
    return [
        make("memory_by_workers", "workers", "KiB", memory),
        make("tick_by_workers", "workers", "CPU ms a second", ticks),
        make("memory_by_tasks", "running tasks", "KiB", task_memory),
        make("tick_by_tasks", "running tasks", "CPU ms a second", task_ticks),
        make("memory_by_teams", "teams", "KiB", team_memory),
    ]


def _measure_member(workers: int, teams: int, tasks: int) -> tuple[float, float]:
    """Return memory in KiB and the CPU milliseconds of the ticks of one second."""
    gc.collect()
    tracemalloc.start()
    harness = MemberHarness(workers, teams)
    if tasks:
        harness.start_tasks(tasks, teams)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    seconds = []
    for _ in range(5):
        began = time.process_time()
        for _ in range(10):
            harness.now += 0.1
            harness.report_log_read()
            harness.apply(events.Ticked)
        seconds.append(time.process_time() - began)
    return size, median(seconds) * 1000


def measure_starts() -> list[LinearFit]:
    """Measure the reducer's CPU, peer traffic and log growth by started tasks."""
    cpu = []
    for starts in (500, 1000, 2000, 4000):
        harness = MemberHarness(100, 30)
        began = time.process_time()
        for number in range(starts):
            harness.dispatch([harness.make_grant(number, number % 30)])
        cpu.append((float(starts), (time.process_time() - began) * 1000))
    peer_rates = []
    log_rates = []
    for rate in (2, 5, 10, 20):
        peer_rate, log_rate = _measure_byte_rates(4, rate)
        peer_rates.append((float(rate), peer_rate))
        log_rates.append((float(rate), log_rate))
    make = LinearFit.from_points
    return [
        make("cpu_by_starts", "starts", "CPU ms", cpu),
        make(
            "peer_bytes_by_starts", "batch starts a second", "B/s a member", peer_rates
        ),
        make("log_bytes_by_starts", "batch starts a second", "B/s", log_rates),
    ]


def _measure_byte_rates(members: int, rate: int) -> tuple[float, float]:
    """Return bytes per second sent by each member and appended to the log.

    :param rate: batch tasks submitted per second
    """
    schedule = Schedule(3, members)
    world = schedule.world
    counter = SentBytesCounter(world)
    before = len(world.log.entries)
    seconds = 30
    for number in range(seconds):
        if rate:
            spec = world.make_spec(
                f"j-traffic-{number}", REBUILD, tasks=rate, processors=1, run_time_s=0.1
            )
            world.ask(schedule.choose(), spec)
        world.run(1.0)
    log_bytes = sum(len(encode_batch(e.batch)) for e in world.log.entries[before:])
    return counter.sent_bytes / seconds / members, log_bytes / seconds


def measure_members() -> list[LinearFit]:
    """Measure the bytes that an idle member sends by the number of members."""
    points = []
    for members in (3, 4, 6, 8, 10):
        peer_rate, _ = _measure_byte_rates(members, 0)
        points.append((float(members), peer_rate))
    return [
        LinearFit.from_points(
            "peer_bytes_by_members", "members", "B/s a member", points
        )
    ]


def measure_changes() -> list[LinearFit]:
    """Measure the CPU time of a member by configuration changes."""
    points = []
    for changes in (50, 100, 200, 400):
        harness = MemberHarness(50, 370)
        version = harness.member.context.state.configuration.version
        began = time.process_time()
        for number in range(changes):
            change = ZoneOut("zone-9") if number % 2 == 0 else ZoneIn("zone-9")
            request = PublishChange(f"n{number}", version + number, change, "bench")
            harness.now += 1.0
            harness.report_log_read()
            harness.apply(events.OperatorAsked, 0, request)
        points.append((float(changes), (time.process_time() - began) * 1000))
    return [LinearFit.from_points("cpu_by_changes", "changes", "CPU ms", points)]


def measure_requests() -> list[LinearFit]:
    """Measure the CPU time of a fleet of four members by requests."""
    points = []
    for requests in (250, 500, 1000, 2000):
        schedule = Schedule(3, 4)
        world = schedule.world
        began = time.process_time()
        for number in range(requests):
            spec = world.make_spec(f"r-load-{number}", LOOKUP, processors=10)
            world.ask(schedule.choose(), spec)
            if number % 25 == 0:
                world.run(0.5)
        world.run(3.0)
        points.append((float(requests), (time.process_time() - began) * 1000))
    return [
        LinearFit.from_points("cpu_by_requests", "requests", "CPU ms, fleet", points)
    ]


def main() -> None:
    """Measure and plot all fits and write them to docs/capacity.json."""
    PLOTS_FOLDER.mkdir(parents=True, exist_ok=True)
    fits = [
        *measure_owner(),
        *measure_starts(),
        *measure_members(),
        *measure_changes(),
        *measure_requests(),
    ]
    rows = []
    for fit in fits:
        fit.plot()
        rows.append(
            {
                "name": fit.name,
                "x": fit.x_unit,
                "y": fit.y_unit,
                "points": fit.points,
                "slope": fit.slope,
                "intercept": fit.intercept,
                "residual": round(fit.residual, 4),
            }
        )
        print(
            f"{fit.name}: {fit.slope:.4g} {fit.y_unit} per {fit.x_unit}, "
            f"{fit.intercept:.4g} at 0, residual {fit.residual:.1%}"
        )
    FITS_PATH.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
