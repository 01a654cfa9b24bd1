"""Measure availability, control traffic and lost jobs under faults in virtual time."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from statistics import median

from jacinthloom_core.model.answers import ChangeAnswer, RequestAnswer
from jacinthloom_core.model.configuration import KeyWithdrawal, ZoneOut

from testkit.virtual import Faults, World
from testkit.virtual.schedule import LOOKUP, REBUILD, Schedule

from .result import Result
from .traffic import SentBytesCounter

MAX_PROPAGATION_S = 5.0
MAX_TAKEOVER_S = 15.0
MAX_URGENT_WAIT_S = 7.7
MAX_APPENDS_PER_S = 100.0
MAX_CONTROL_BYTES_PER_S = 4096.0
MEMBERS = 8
CRASH_SCHEDULES = 200


def measure_change_propagation(seed: int) -> list[Result]:
    """Measure the seconds until every member has applied a configuration change."""
    results = []
    for name, delay_s in (("config_in_force", 0.0), ("config_in_force_slow_log", 2.0)):
        worst = 0.0
        for offset in range(5):
            schedule = Schedule(seed + offset, MEMBERS)
            world = schedule.world
            if delay_s:
                world.faults.delay_s = delay_s
            began = world.now
            call = world.change(schedule.choose(), ZoneOut("zone-1"))
            is_applied = world.run_until(partial(_is_zone_out_everywhere, world), 30.0)
            worst = max(worst, world.now - began if is_applied else 30.0)
            world.run(12.0)
            answer = world.change_by_call.get(call)
            if not isinstance(answer, ChangeAnswer) or answer.state == "refused":
                worst = 30.0
        results.append(Result(name, worst, "s", MAX_PROPAGATION_S, "lower", seed=seed))
    schedule = Schedule(seed, MEMBERS)
    world = schedule.world
    began = world.now
    world.change(schedule.choose(), KeyWithdrawal("r"))
    world.run_until(partial(_is_key_withdrawn_everywhere, world), 30.0)
    worst = world.now - began
    results.append(
        Result("key_withdrawn", worst, "s", MAX_PROPAGATION_S, "lower", seed=seed)
    )
    return results


def _is_zone_out_everywhere(world: World) -> bool:
    return all(
        "zone-1" in process.member.context.state.configuration.zones_out
        for process in world.alive
    )


def _is_key_withdrawn_everywhere(world: World) -> bool:
    return all(
        "r" not in process.member.context.state.configuration.keys_by_id
        for process in world.alive
    )


def measure_takeover(seed: int) -> list[Result]:
    """Measure the recovery after the crash of an owner.

    Reports the seconds until its workers have another owner, and until all urgent
    requests are answered.
    """
    crashes = [_measure_crash_recovery(seed + offset) for offset in range(5)]
    takeover = max(crash.takeover_s for crash in crashes)
    urgent = max(crash.urgent_s for crash in crashes)
    return [
        Result("takeover", takeover, "s", MAX_TAKEOVER_S, "lower", seed=seed),
        Result(
            "urgent_after_crash", urgent, "s", MAX_URGENT_WAIT_S, "lower", seed=seed
        ),
    ]


@dataclass(frozen=True)
class _CrashRecovery:
    """Times of recovery after the crash of an owner.

    :param takeover_s: seconds until all of its workers are open at other owners
    :param urgent_s: seconds after which requests to any member are answered again
    """

    takeover_s: float
    urgent_s: float


def _measure_crash_recovery(seed: int) -> _CrashRecovery:
    schedule = Schedule(seed, MEMBERS)
    world = schedule.world
    world.run(20.0)
    owner = next(p for p in world.alive if p.member.owned_workers.worker_by_name)
    owned_workers = set(owner.member.owned_workers.worker_by_name)
    world.kill(owner)
    began = world.now
    asked_at: dict[str, float] = {}
    takeover = 60.0
    while world.now < began + 30.0:
        request = f"r-urgent-{len(asked_at)}"
        asked_at[request] = world.now - began
        spec = world.make_spec(request, LOOKUP, processors=200, run_time_s=0.05)
        world.ask(schedule.choose(), spec)
        world.run(0.25)
        if takeover == 60.0 and owned_workers <= _list_open_workers(world):
            takeover = world.now - began
    world.run(10.0)
    unanswered = [
        at for request, at in asked_at.items() if not _is_answered(world, request)
    ]
    return _CrashRecovery(takeover, max(unanswered, default=0.0) + 0.25)


def _list_open_workers(world: World) -> set[str]:
    return {
        name
        for process in world.alive
        for name, worker in process.member.owned_workers.worker_by_name.items()
        if worker.phase == "open"
    }


def _is_answered(world: World, request: str) -> bool:
    answer = world.answer_by_request.get(request)
    return isinstance(answer, RequestAnswer) and answer.outcome == "answered"


def measure_log_outage(seed: int) -> list[Result]:
    """Compare answered requests during an outage of the log with those before it."""
    results = []
    for name, with_crash in (
        ("starts_log_down", False),
        ("starts_log_down_crash", True),
    ):
        schedule = Schedule(seed, MEMBERS)
        world = schedule.world
        before = _count_answered_requests(schedule, 20)
        world.log.is_up = False
        world.run(5.0)
        if with_crash:
            idle = [
                p for p in world.alive if not p.member.owned_workers.worker_by_name
            ] or world.alive
            world.kill(idle[0])
            world.run(5.0)
        during = _count_answered_requests(schedule, 20)
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


def _count_answered_requests(schedule: Schedule, seconds: int) -> int:
    """Submit ten requests per second and count the answered ones."""
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


def measure_control_traffic(seed: int) -> list[Result]:
    """Measure appends per second under load, and bytes per second when idle."""
    schedule = Schedule(seed, MEMBERS)
    world = schedule.world
    counter = SentBytesCounter(world)
    world.run(60.0)
    idle = counter.sent_bytes / 60.0 / MEMBERS
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
            "control_bytes_idle",
            idle,
            "B/s",
            MAX_CONTROL_BYTES_PER_S,
            "lower",
            seed=seed,
        ),
        Result(
            "appends_under_load", appends, "1/s", MAX_APPENDS_PER_S, "lower", seed=seed
        ),
    ]


def measure_lost_jobs(seed: int) -> list[Result]:
    """Count fault schedules that fail, as when an accepted job is lost or stuck."""
    lost = 0
    lengths_s = []
    first = 1400 * seed
    for schedule_seed in range(first, first + CRASH_SCHEDULES):
        schedule = Schedule(schedule_seed, 4, Faults.make_severe())
        try:
            schedule.run(40)
        except AssertionError:
            lost += 1
        lengths_s.append(schedule.world.now)
    return [
        Result("jobs_lost_200_crashes", lost, "schedules", 0, "lower", seed=first),
        Result(
            "crash_schedule_length", median(lengths_s), "s", None, "higher", seed=first
        ),
    ]
