"""Measure slopes for docs/CAPACITY.md: four sizes or more of each quantity."""

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

from .decisions import DirectShell
from .traffic import Traffic

DOCS = Path(__file__).parent.parent / "docs"
PLOTS = DOCS / "plots"
DATA = DOCS / "capacity.json"


@dataclass(frozen=True)
class Fit:
    """A straight line through measured points.

    :param residual: largest distance of a point from the line, as part of the largest
        value
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
    ) -> Fit:
        """Fit a line by least squares."""
        xs = [x for x, _ in points]
        ys = [y for _, y in points]
        slope, intercept = linear_regression(xs, ys)
        off = max(abs(y - (slope * x + intercept)) for x, y in points)
        return cls(
            name, x_unit, y_unit, points, slope, intercept, off / max(ys, default=1.0)
        )

    def plot(self) -> None:
        """Write a plot of points and line."""
        xs = [x for x, _ in self.points]
        figure, axes = plt.subplots(figsize=(5, 3.2))
        axes.plot(xs, [y for _, y in self.points], "o")
        axes.plot(xs, [self.slope * x + self.intercept for x in xs], "-")
        axes.set_xlabel(self.x_unit)
        axes.set_ylabel(self.y_unit)
        axes.set_title(self.name.replace("_", " "))
        figure.tight_layout()
        figure.savefig(PLOTS / f"{self.name}.png", dpi=80)
        plt.close(figure)


def measure_owner() -> list[Fit]:
    """Measure memory and tick of an owner by workers and by running tasks."""
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
    make = Fit.from_points
    return [
        make("memory_by_workers", "workers", "KiB", memory),
        make("tick_by_workers", "workers", "CPU ms a second", ticks),
        make("memory_by_tasks", "running tasks", "KiB", task_memory),
        make("tick_by_tasks", "running tasks", "CPU ms a second", task_ticks),
        make("memory_by_teams", "teams", "KiB", team_memory),
    ]


def _measure_member(workers: int, teams: int, tasks: int) -> tuple[float, float]:
    """Return KiB and the CPU milliseconds of one second's ticks."""
    gc.collect()
    tracemalloc.start()
    shell = DirectShell(workers, teams)
    if tasks:
        shell.fill(tasks, teams)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    seconds = []
    for _ in range(5):
        began = time.process_time()
        for _ in range(10):
            shell.now += 0.1
            shell._read_log()
            shell.apply(events.Ticked)
        seconds.append(time.process_time() - began)
    return size, median(seconds) * 1000


def measure_starts() -> list[Fit]:
    """Measure the reducer's CPU by starts, and bytes between members by starts."""
    cpu = []
    for starts in (500, 1000, 2000, 4000):
        shell = DirectShell(100, 30)
        began = time.process_time()
        for number in range(starts):
            shell.grant([shell.make_grant(number, number % 30)])
        cpu.append((float(starts), (time.process_time() - began) * 1000))
    sent = []
    appended = []
    for rate in (2, 5, 10, 20):
        wire, log = _measure_traffic(4, rate)
        sent.append((float(rate), wire))
        appended.append((float(rate), log))
    make = Fit.from_points
    return [
        make("cpu_by_starts", "starts", "CPU ms", cpu),
        make("peer_bytes_by_starts", "batch starts a second", "B/s a member", sent),
        make("log_bytes_by_starts", "batch starts a second", "B/s", appended),
    ]


def _measure_traffic(members: int, rate: int) -> tuple[float, float]:
    """Return bytes a second from each member, and to the log."""
    schedule = Schedule(3, members)
    world = schedule.world
    traffic = Traffic(world)
    before = len(world.log.entries)
    seconds = 30
    for number in range(seconds):
        if rate:
            spec = world.make_spec(
                f"j-traffic-{number}", REBUILD, tasks=rate, processors=1, run_time_s=0.1
            )
            world.ask(schedule.choose(), spec)
        world.run(1.0)
    log = sum(len(encode_batch(e.batch)) for e in world.log.entries[before:])
    return traffic.sent_bytes / seconds / members, log / seconds


def measure_members() -> list[Fit]:
    """Measure idle bytes of each member by the number of members."""
    points = []
    for members in (3, 4, 6, 8, 10):
        wire, _ = _measure_traffic(members, 0)
        points.append((float(members), wire))
    return [Fit.from_points("peer_bytes_by_members", "members", "B/s a member", points)]


def measure_changes() -> list[Fit]:
    """Measure the CPU of a member by configuration changes."""
    points = []
    for changes in (50, 100, 200, 400):
        shell = DirectShell(50, 370)
        version = shell.member.context.state.configuration.version
        began = time.process_time()
        for number in range(changes):
            change = ZoneOut("zone-9") if number % 2 == 0 else ZoneIn("zone-9")
            request = PublishChange(f"n{number}", version + number, change, "bench")
            shell.now += 1.0
            shell._read_log()
            shell.apply(events.OperatorAsked, 0, request)
        points.append((float(changes), (time.process_time() - began) * 1000))
    return [Fit.from_points("cpu_by_changes", "changes", "CPU ms", points)]


def measure_requests() -> list[Fit]:
    """Measure the core's CPU by requests that one member takes and owns."""
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
    return [Fit.from_points("cpu_by_requests", "requests", "CPU ms, fleet", points)]


def main() -> None:
    """Measure, plot and write docs/capacity.json."""
    PLOTS.mkdir(parents=True, exist_ok=True)
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
    DATA.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
