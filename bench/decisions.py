"""Measure the time of one scheduling decision for a given fleet size."""

from __future__ import annotations

import time
from statistics import median

from jacinthloom_core import Member, MemberSettings
from jacinthloom_core.model import events
from jacinthloom_core.model.configuration import (
    ClassesAndTeams,
    KeyGrant,
    KeyHash,
    Team,
    WorkClass,
)
from jacinthloom_core.model.effects import AppendBatch, AskReport, Exchange
from jacinthloom_core.model.messages import TasksGranted
from jacinthloom_core.model.operations import PublishChange
from jacinthloom_core.model.records import LogEntry
from jacinthloom_core.model.reports import (
    Completion,
    HostInfo,
    StartResult,
    WorkerReport,
)
from jacinthloom_core.model.resources import NO_RESOURCES, Resources
from jacinthloom_core.model.work import Grant, WorkSpec
from jacinthloom_core.policy.usage_cap import UncappedPolicy

CHECK = WorkClass("check", "batch", 7 * 86_400.0)
LOOKUP = WorkClass("lookup", "request", 5.0)

WALL_CLOCK_S = 1_700_006_400.0

CAPACITY = Resources(64_000, 131_072, 0, 64)


class MemberHarness:
    """Runs a member and answers its effects immediately, without any delay.

    :ivar running_tasks: worker and key of each started task, in order of start
    """

    def __init__(self, workers: int, teams: int) -> None:
        self.member = Member(MemberSettings("e1.1", "a:1", "z"), UncappedPolicy())
        self.now = 0.0
        self.next_offset = 0
        self.running_tasks: list[tuple[str, str]] = []
        self.seconds: list[float] = []
        self._set_up(workers, teams)

    def _set_up(self, workers: int, teams: int) -> None:
        hosts = tuple(
            HostInfo(f"rack-{i // 8}/w{i % 8}", "w", f"zone-{i % 6}", "live")
            for i in range(workers)
        )
        self.report_log_read()
        self.apply(events.HostsListed, hosts)
        for _ in range(6):
            self.tick()
        team_list = tuple(Team(f"team-{i}", 1.0 + i % 3) for i in range(teams))
        self._publish("c1", 0, ClassesAndTeams((CHECK, LOOKUP), team_list))
        for i in range(min(teams, 4)):
            key = KeyHash.from_secret(f"k{i}", "s", "x")
            self._publish(f"k{i}", 1 + i, KeyGrant(f"team-{i}", key))
        self.tick()

    def _publish(self, change_id: str, version: int, change: object) -> None:
        request = PublishChange(change_id, version, change, "bench")  # type: ignore[arg-type]
        self.apply(events.OperatorAsked, 0, request)
        self.tick()

    def tick(self) -> None:
        """Advance the clock by a second and apply a tick."""
        self.now += 1.0
        self.report_log_read()
        self.apply(events.Ticked)

    def report_log_read(self) -> None:
        """Tell the member that it has read the log to its end."""
        self.apply(events.LogRead, self.now, (), True)

    def apply(self, kind: type[events.Event], *fields: object) -> float:
        """Apply an event and answer its effects.

        :returns: seconds that the member took, without the effects
        """
        event = kind(self.now, WALL_CLOCK_S + self.now, *fields)
        began = time.perf_counter()
        effects = self.member.apply(event)
        seconds = time.perf_counter() - began
        for effect in effects:
            match effect:
                case AppendBatch():
                    entry = LogEntry(self.next_offset, effect.batch)
                    self.next_offset += 1
                    self.apply(events.LogRead, self.now, (entry,), True)
                case AskReport():
                    report = WorkerReport(CAPACITY, (), -1, 0)
                    self.apply(events.WorkerReported, effect.worker, self.now, report)
                case Exchange():
                    self._accept_starts(effect)
        return seconds

    def _accept_starts(self, effect: Exchange) -> None:
        results = tuple(StartResult(grant.key, True) for grant in effect.starts)
        for grant in effect.starts:
            self.running_tasks.append((effect.worker, grant.key))
        self.apply(events.ExchangeAnswered, effect.worker, effect.exchange, results)

    def make_grant(self, number: int, team: int, processors: int = 1000) -> Grant:
        """Return a grant of a task that needs few resources."""
        spec = WorkSpec(
            f"j-{number}",
            f"team-{team}",
            "check",
            "batch",
            1,
            Resources(processors, 1024, 0, 1),
            600.0,
            WALL_CLOCK_S + 86_400.0 + number,
        )
        return Grant(spec, 0, number, "e1.1", self.member.membership.view.number)

    def dispatch(self, grants: list[Grant]) -> float:
        """Pass grants to the dispatcher and return the seconds that it took."""
        began = time.perf_counter()
        self.member.grant_dispatcher.on_granted(TasksGranted(tuple(grants)))
        self.member.grant_dispatcher.flush()
        seconds = time.perf_counter() - began
        for effect in self.member.context.take_effects():
            if isinstance(effect, Exchange):
                self._accept_starts(effect)
        return seconds

    def start_tasks(self, tasks: int, teams: int) -> float:
        """Start tasks in batches of 50.

        :returns: starts per second of dispatching, without the answers of workers
        """
        total = 0.0
        for begin in range(0, tasks, 50):
            batch = [self.make_grant(n, n % teams) for n in range(begin, begin + 50)]
            total += self.dispatch(batch)
        return tasks / total

    def measure_decisions(self, count: int, teams: int, first: int) -> list[float]:
        """Repeatedly end a task and start another; return the seconds of each start."""
        durations_s = []
        for offset in range(count):
            worker, key = self.running_tasks[offset]
            done = Completion(key, "e1.1", "answered", "", 1.0, NO_RESOURCES)
            self.apply(events.CompletionsRead, worker, (done,), offset + 1)
            number = first + offset
            durations_s.append(self.dispatch([self.make_grant(number, number % teams)]))
        return durations_s


def measure_fleet(workers: int, teams: int, tasks: int) -> tuple[float, float, float]:
    """Measure decisions in a fleet of a given size.

    :returns: median and 99th percentile of a decision in seconds, starts per second
    :raises AssertionError: if some of the tasks do not start
    """
    harness = MemberHarness(workers, teams)
    rate = harness.start_tasks(tasks, teams)
    if len(harness.running_tasks) != tasks:
        raise AssertionError(f"{len(harness.running_tasks)} of {tasks} tasks started")
    durations_s = sorted(harness.measure_decisions(2000, teams, tasks))
    return median(durations_s), durations_s[int(len(durations_s) * 0.99)], rate
