"""Shares in a full cell, packing, and a zone that leaves and returns."""

from __future__ import annotations

from jacinthloom_core.model.configuration import (
    ClassesAndTeams,
    Team,
    WorkClass,
    ZoneIn,
    ZoneOut,
)
from jacinthloom_core.model.resources import Resources

from testkit.virtual import World

from .result import Result

URGENT_CHECK = WorkClass("check", "batch", 300.0)
SHARES = {"a": 3.0, "b": 2.0, "c": 1.0}
CAPACITY = Resources(16_000, 65_536, 0, 64)
WINDOW_S = 300.0
SHARE_ERROR = 0.05
PACKING = 0.95
ZONE_WORK = 0.95
JOB_TASKS = 4_000


def measure_shares(seed: int) -> list[Result]:
    """Measure shares and packing, then the same with a zone out for a while."""
    return [*measure_full_cell(seed), _measure_zone(seed)]


def measure_full_cell(seed: int) -> list[Result]:
    """Fill the cell with more work than it can do, from three teams."""
    world = _make_full_cell(seed, 30.0)
    world.run(60.0)
    used = dict.fromkeys(SHARES, 0.0)
    total = 0.0
    samples = 0
    until = world.now + WINDOW_S
    while world.now < until:
        world.run(1.0)
        samples += 1
        for worker in world.worker_by_name.values():
            for task in worker.task_by_key.values():
                used[task.grant.spec.team] += task.grant.spec.need.processors
    capacity = sum(w.capacity.processors for w in world.worker_by_name.values())
    total = sum(used.values())
    promised = sum(SHARES.values())
    worst = max(
        abs(used[team] / total - share / promised) / (share / promised)
        for team, share in SHARES.items()
    )
    packed = total / samples / capacity
    return [
        Result("share_error", worst, "ratio", SHARE_ERROR, "lower", seed=seed),
        Result("packing", packed, "ratio", PACKING, "higher", seed=seed),
    ]


def _make_full_cell(seed: int, run_time_s: float) -> World:
    world = World(
        seed,
        members=4,
        racks=6,
        workers_per_rack=4,
        capacity=CAPACITY,
        judged=False,
    )
    world.run(25.0)
    process = world.alive[0]
    teams = tuple(Team(name, share) for name, share in SHARES.items())
    world.change(process, ClassesAndTeams((URGENT_CHECK,), teams))
    world.run(2.0)
    for name in SHARES:
        world.grant_key(process, name, name)
        world.run(2.0)
    for name in SHARES:
        spec = world.make_spec(
            f"j-{name}", URGENT_CHECK, tasks=JOB_TASKS, run_time_s=run_time_s
        )
        world.ask(process, spec, f"{name}.secret")
    return world


def _measure_zone(seed: int) -> Result:
    """Work done in an hour with a zone out for twenty minutes."""
    world = _make_full_cell(seed, 200.0)
    world.run(60.0)
    capacity = sum(w.capacity.processors for w in world.worker_by_name.values())
    done = 0.0
    possible = 0.0
    began = world.now
    gone = False
    while world.now < began + 3_600.0:
        minute = (world.now - began) / 60.0
        if not gone and 20.0 <= minute < 40.0:
            world.change(world.alive[0], ZoneOut("zone-1"))
            gone = True
        if gone and minute >= 40.0:
            world.change(world.alive[0], ZoneIn("zone-1"))
            gone = False
        world.run(1.0)
        share = 2 / 3 if gone else 1.0
        possible += capacity * share
        for worker in world.worker_by_name.values():
            for task in worker.task_by_key.values():
                done += task.grant.spec.need.processors
    return Result(
        "work_with_zone_out", done / possible, "ratio", ZONE_WORK, "higher", seed=seed
    )
