"""Measure shares and packing in a saturated fleet, and the effect of a zone outage."""

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

CHECK = WorkClass("check", "batch", 300.0)
SHARE_BY_TEAM = {"a": 3.0, "b": 2.0, "c": 1.0}
CAPACITY = Resources(16_000, 65_536, 0, 64)
MEASUREMENT_WINDOW_S = 300.0
MAX_SHARE_ERROR = 0.05
MIN_PACKING_RATIO = 0.95
MIN_ZONE_OUT_WORK_RATIO = 0.95
TASKS_PER_JOB = 4_000


def measure_shares(seed: int) -> list[Result]:
    """Measure shares and packing, and the work done while a zone is out."""
    return [*measure_full_fleet(seed), _measure_zone_out_work(seed)]


def measure_full_fleet(seed: int) -> list[Result]:
    """Saturate the fleet with the work of three teams; measure shares and packing."""
    world = _make_full_fleet(seed, 30.0)
    world.run(60.0)
    used = dict.fromkeys(SHARE_BY_TEAM, 0.0)
    total = 0.0
    samples = 0
    until = world.now + MEASUREMENT_WINDOW_S
    while world.now < until:
        world.run(1.0)
        samples += 1
        for worker in world.worker_by_name.values():
            for task in worker.task_by_key.values():
                used[task.grant.spec.team] += task.grant.spec.need.processors
    capacity = sum(w.capacity.processors for w in world.worker_by_name.values())
    total = sum(used.values())
    total_shares = sum(SHARE_BY_TEAM.values())
    worst = max(
        abs(used[team] / total - share / total_shares) / (share / total_shares)
        for team, share in SHARE_BY_TEAM.items()
    )
    packing = total / samples / capacity
    return [
        Result("share_error", worst, "ratio", MAX_SHARE_ERROR, "lower", seed=seed),
        Result("packing", packing, "ratio", MIN_PACKING_RATIO, "higher", seed=seed),
    ]


def _make_full_fleet(seed: int, run_time_s: float) -> World:
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
    teams = tuple(Team(name, share) for name, share in SHARE_BY_TEAM.items())
    world.change(process, ClassesAndTeams((CHECK,), teams))
    world.run(2.0)
    for name in SHARE_BY_TEAM:
        world.grant_key(process, name, name)
        world.run(2.0)
    for name in SHARE_BY_TEAM:
        spec = world.make_spec(
            f"j-{name}", CHECK, tasks=TASKS_PER_JOB, run_time_s=run_time_s
        )
        world.ask(process, spec, f"{name}.secret")
    return world


def _measure_zone_out_work(seed: int) -> Result:
    """Measure the work done in an hour in which a zone is out for twenty minutes."""
    world = _make_full_fleet(seed, 200.0)
    world.run(60.0)
    capacity = sum(w.capacity.processors for w in world.worker_by_name.values())
    done = 0.0
    possible = 0.0
    began = world.now
    is_zone_out = False
    while world.now < began + 3_600.0:
        minute = (world.now - began) / 60.0
        if not is_zone_out and 20.0 <= minute < 40.0:
            world.change(world.alive[0], ZoneOut("zone-1"))
            is_zone_out = True
        if is_zone_out and minute >= 40.0:
            world.change(world.alive[0], ZoneIn("zone-1"))
            is_zone_out = False
        world.run(1.0)
        share = 2 / 3 if is_zone_out else 1.0
        possible += capacity * share
        for worker in world.worker_by_name.values():
            for task in worker.task_by_key.values():
                done += task.grant.spec.need.processors
    return Result(
        "work_with_zone_out",
        done / possible,
        "ratio",
        MIN_ZONE_OUT_WORK_RATIO,
        "higher",
        seed=seed,
    )
