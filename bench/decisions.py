"""Time of one decision, at today's size and at the two-year size."""

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

WALL = 1_700_006_400.0

CAPACITY = Resources(64_000, 131_072, 0, 64)


class DirectShell:
    """Carry out effects at once, as if nothing took any time."""

    def __init__(self, workers: int, teams: int) -> None:
        self.member = Member(MemberSettings("e1.1", "a:1", "z"), UncappedPolicy())
        self.now = 0.0
        self._entries = 0
        self.running: list[tuple[str, str]] = []
        self.seconds: list[float] = []
        self._set_up(workers, teams)

    def _set_up(self, workers: int, teams: int) -> None:
        hosts = tuple(
            HostInfo(f"rack-{i // 8}/w{i % 8}", "w", f"zone-{i % 6}", "live")
            for i in range(workers)
        )
        self._read_log()
        self.apply(events.HostsListed, hosts)
        for _ in range(6):
            self.tick()
        listed = tuple(Team(f"team-{i}", 1.0 + i % 3) for i in range(teams))
        self._change("c1", 0, ClassesAndTeams((CHECK, LOOKUP), listed))
        for i in range(min(teams, 4)):
            key = KeyHash.from_secret(f"k{i}", "s", "x")
            self._change(f"k{i}", 1 + i, KeyGrant(f"team-{i}", key))
        self.tick()

    def _change(self, change_id: str, version: int, change: object) -> None:
        request = PublishChange(change_id, version, change, "bench")  # type: ignore[arg-type]
        self.apply(events.OperatorAsked, 0, request)
        self.tick()

    def tick(self) -> None:
        """Let a second pass."""
        self.now += 1.0
        self._read_log()
        self.apply(events.Ticked)

    def _read_log(self) -> None:
        self.apply(events.LogRead, self.now, (), True)

    def apply(self, kind: type[events.Event], *fields: object) -> float:
        """Reduce an event, carry out its effects, and return its seconds."""
        event = kind(self.now, WALL + self.now, *fields)
        began = time.perf_counter()
        effects = self.member.apply(event)
        seconds = time.perf_counter() - began
        for effect in effects:
            match effect:
                case AppendBatch():
                    entry = LogEntry(self._entries, effect.batch)
                    self._entries += 1
                    self.apply(events.LogRead, self.now, (entry,), True)
                case AskReport():
                    report = WorkerReport(CAPACITY, (), -1, 0)
                    self.apply(events.WorkerReported, effect.worker, self.now, report)
                case Exchange():
                    self._answer(effect)
        return seconds

    def _answer(self, effect: Exchange) -> None:
        results = tuple(StartResult(grant.key, True) for grant in effect.starts)
        for grant in effect.starts:
            self.running.append((effect.worker, grant.key))
        self.apply(events.ExchangeAnswered, effect.worker, effect.exchange, results)

    def make_grant(self, number: int, team: int, processors: int = 1000) -> Grant:
        """Build a grant of a small task."""
        spec = WorkSpec(
            f"j-{number}",
            f"team-{team}",
            "check",
            "batch",
            1,
            Resources(processors, 1024, 0, 1),
            600.0,
            WALL + 86_400.0 + number,
        )
        return Grant(spec, 0, number, "e1.1", self.member.membership.view.number)

    def grant(self, grants: list[Grant]) -> float:
        """Hand grants to the owner part; return the seconds it took."""
        began = time.perf_counter()
        self.member.grant_dispatcher.on_granted(TasksGranted(tuple(grants)))
        self.member.grant_dispatcher.flush()
        seconds = time.perf_counter() - began
        for effect in self.member.context.take_effects():
            if isinstance(effect, Exchange):
                self._answer(effect)
        return seconds

    def fill(self, tasks: int, teams: int) -> float:
        """Start so many tasks; return starts a second of the decisions alone."""
        total = 0.0
        for begin in range(0, tasks, 50):
            batch = [self.make_grant(n, n % teams) for n in range(begin, begin + 50)]
            total += self.grant(batch)
        return tasks / total

    def measure_decisions(self, count: int, teams: int, first: int) -> list[float]:
        """End one task and start another, again and again; return the seconds."""
        found = []
        for offset in range(count):
            worker, key = self.running[offset]
            done = Completion(key, "e1.1", "answered", "", 1.0, NO_RESOURCES)
            self.apply(events.CompletionsRead, worker, (done,), offset + 1)
            number = first + offset
            found.append(self.grant([self.make_grant(number, number % teams)]))
        return found


def measure(workers: int, teams: int, tasks: int) -> tuple[float, float, float]:
    """Return median and p99 of a decision, and starts a second.

    :returns: seconds, seconds, starts a second
    """
    shell = DirectShell(workers, teams)
    rate = shell.fill(tasks, teams)
    if len(shell.running) != tasks:
        raise AssertionError(f"{len(shell.running)} of {tasks} tasks started")
    found = sorted(shell.measure_decisions(2000, teams, tasks))
    return median(found), found[int(len(found) * 0.99)], rate
