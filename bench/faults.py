"""Availability, control traffic and losses under faults, in virtual time."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from statistics import median

from jacinthloom_core.model.answers import ChangeAnswer, RequestAnswer
from jacinthloom_core.model.configuration import KeyWithdrawal, ZoneOut

from testkit.virtual import Faults, World
from testkit.virtual.schedule import LOOKUP, REBUILD, Schedule

from .result import Result
from .traffic import Traffic

IN_FORCE_S = 5.0
TAKEOVER_S = 15.0
URGENT_S = 7.7
APPENDS_PER_S = 100.0
CONTROL_BYTES_PER_S = 4096.0
MEMBERS = 8
CRASH_COURSES = 200


def measure_changes(seed: int) -> list[Result]:
    """Seconds until a change is in force at every member."""
    results = []
    for name, slow in (("config_in_force", 0.0), ("config_in_force_slow_log", 2.0)):
        worst = 0.0
        for offset in range(5):
            schedule = Schedule(seed + offset, MEMBERS)
            world = schedule.world
            if slow:
                world.faults.delay_s = slow
            began = world.now
            call = world.change(schedule.choose(), ZoneOut("zone-1"))
            done = world.run_until(partial(_everyone_has_it, world), 30.0)
            worst = max(worst, world.now - began if done else 30.0)
            world.run(12.0)
            answer = world.change_by_call.get(call)
            if not isinstance(answer, ChangeAnswer) or answer.state == "refused":
                worst = 30.0
        results.append(Result(name, worst, "s", IN_FORCE_S, "lower", seed=seed))
    schedule = Schedule(seed, MEMBERS)
    world = schedule.world
    began = world.now
    world.change(schedule.choose(), KeyWithdrawal("r"))
    world.run_until(partial(_key_is_gone, world), 30.0)
    worst = world.now - began
    results.append(Result("key_withdrawn", worst, "s", IN_FORCE_S, "lower", seed=seed))
    return results


def _everyone_has_it(world: World) -> bool:
    return all(
        "zone-1" in process.member.context.state.configuration.zones_out
        for process in world.alive
    )


def _key_is_gone(world: World) -> bool:
    return all(
        "r" not in process.member.context.state.configuration.keys_by_id
        for process in world.alive
    )


def measure_takeover(seed: int) -> list[Result]:
    """Seconds until another owner, and until all urgent work runs, after a crash."""
    crashes = [_crash_owner(seed + offset) for offset in range(5)]
    takeover = max(crash.takeover_s for crash in crashes)
    urgent = max(crash.urgent_s for crash in crashes)
    return [
        Result("takeover", takeover, "s", TAKEOVER_S, "lower", seed=seed),
        Result("urgent_after_crash", urgent, "s", URGENT_S, "lower", seed=seed),
    ]


@dataclass(frozen=True)
class _Crash:
    """What followed the crash of an owner.

    :param takeover_s: seconds until all of its workers were open elsewhere
    :param urgent_s: seconds until every request handed in anywhere was answered
    """

    takeover_s: float
    urgent_s: float


def _crash_owner(seed: int) -> _Crash:
    schedule = Schedule(seed, MEMBERS)
    world = schedule.world
    world.run(20.0)
    dead = next(p for p in world.alive if p.member.owned_workers.worker_by_name)
    names = set(dead.member.owned_workers.worker_by_name)
    world.kill(dead)
    began = world.now
    asked: dict[str, float] = {}
    takeover = 60.0
    while world.now < began + 30.0:
        request = f"r-urgent-{len(asked)}"
        asked[request] = world.now - began
        spec = world.make_spec(request, LOOKUP, processors=200, run_time_s=0.05)
        world.ask(schedule.choose(), spec)
        world.run(0.25)
        if takeover == 60.0 and names <= _list_open(world):
            takeover = world.now - began
    world.run(10.0)
    unanswered = [
        at for request, at in asked.items() if not _is_answered(world, request)
    ]
    return _Crash(takeover, max(unanswered, default=0.0) + 0.25)


def _list_open(world: World) -> set[str]:
    return {
        name
        for process in world.alive
        for name, worker in process.member.owned_workers.worker_by_name.items()
        if worker.phase == "open"
    }


def _is_answered(world: World, request: str) -> bool:
    answer = world.answer_by_request.get(request)
    return isinstance(answer, RequestAnswer) and answer.outcome == "answered"


def measure_outage(seed: int) -> list[Result]:
    """Rate of starts while the log is down, against the rate before."""
    results = []
    for name, crash in (("starts_log_down", False), ("starts_log_down_crash", True)):
        schedule = Schedule(seed, MEMBERS)
        world = schedule.world
        before = _count_answers(schedule, 20)
        world.log.is_up = False
        world.run(5.0)
        if crash:
            idle = [
                p for p in world.alive if not p.member.owned_workers.worker_by_name
            ] or world.alive
            world.kill(idle[0])
            world.run(5.0)
        during = _count_answers(schedule, 20)
        results.append(
            Result(
                name,
                during / max(1, before),
                "ratio",
                0.95,
                "higher",
                "before the outage",
                1.0,
                seed,
            )
        )
    return results


def _count_answers(schedule: Schedule, seconds: int) -> int:
    """Ask ten times a second and count whole answers."""
    world = schedule.world
    names = []
    for _ in range(seconds * 10):
        schedule._work += 1
        names.append(f"r-{schedule._work}")
        spec = world.make_spec(names[-1], LOOKUP, processors=100, run_time_s=0.05)
        world.ask(schedule.choose(), spec)
        world.run(0.1)
    world.run(6.0)
    return sum(_is_answered(world, name) for name in names)


def measure_control(seed: int) -> list[Result]:
    """Measure appends a second under load, and bytes a second between members."""
    schedule = Schedule(seed, MEMBERS)
    world = schedule.world
    traffic = Traffic(world)
    world.run(60.0)
    idle = traffic.sent_bytes / 60.0 / MEMBERS
    before = len(world.log.entries)
    for number in range(30):
        for part in range(4):
            spec = world.make_spec(
                f"j-load-{number}-{part}",
                REBUILD,
                tasks=75,
                processors=1,
                run_time_s=0.05,
            )
            world.ask(schedule.choose(), spec)
        world.run(1.0)
    appends = (len(world.log.entries) - before) / 30.0
    return [
        Result(
            "control_bytes_idle", idle, "B/s", CONTROL_BYTES_PER_S, "lower", seed=seed
        ),
        Result("appends_under_load", appends, "1/s", APPENDS_PER_S, "lower", seed=seed),
    ]


def measure_losses(seed: int) -> list[Result]:
    """Count schedules of crashes in which an accepted job is lost or stuck."""
    lost = 0
    steps = []
    first = 1400 * seed
    for course in range(first, first + CRASH_COURSES):
        schedule = Schedule(course, 4, Faults.make_severe())
        try:
            schedule.run(40)
        except AssertionError:
            lost += 1
        steps.append(schedule.world.now)
    return [
        Result("jobs_lost_200_crashes", lost, "schedules", 0, "lower", seed=first),
        Result("crash_schedule_length", median(steps), "s", None, "higher", seed=first),
    ]
