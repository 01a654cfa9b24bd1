"""A worker in virtual time: fences, leases, incarnations, ends and cursors."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from jacinthloom_core.planner.events import (
    EndKind,
    RunEnd,
    RunProgress,
    StartOutcome,
)

if TYPE_CHECKING:
    from random import Random

    from jacinthloom_core.model.resources import Resources
    from jacinthloom_core.planner.effects import PollWorker, Start, Stop
    from jacinthloom_core.planner.specs import TaskId

    from .clock import VirtualClock
    from .rule_checker import RuleChecker

STOP_S = 0.3
"""Seconds that a stop takes."""

LONGEST_LEASE_MS = 10_000
"""Longest lease that it grants, in milliseconds."""

GANG_WAIT_S = 3.0
"""Seconds that a member of a gang waits for the others."""


@dataclass(slots=True)
class _Run:
    run: int
    incarnation: int
    stopping: bool = False
    checkpoint: str = ""
    works: bool = False
    began_at: float = 0.0
    duration: float = 1.0


class Gangs:
    """Members of gangs on all workers: they work once all are present."""

    def __init__(self, checker: RuleChecker) -> None:
        self._checker = checker
        self._present: dict[tuple[str, int, int], dict[TaskId, VirtualWorker]] = {}

    def join(self, worker: VirtualWorker, task: TaskId, run: int) -> bool:
        """Add a member; return whether the gang is whole."""
        members = self._present.setdefault((task.job, task.step, run), {})
        members[task] = worker
        return len(members) == self._checker.find_step(task).count

    def find(self, task: TaskId, run: int) -> dict[TaskId, VirtualWorker]:
        """Return the members that are present."""
        return self._present.get((task.job, task.step, run), {})


class VirtualWorker:
    """One worker."""

    def __init__(
        self,
        name: str,
        capacity: Resources,
        clock: VirtualClock,
        checker: RuleChecker,
        gangs: Gangs,
        random: Random,
    ) -> None:
        self.id = name
        self.capacity = capacity
        self._clock = clock
        self._checker = checker
        self._gangs = gangs
        self._random = random
        self.incarnation = 1
        self.is_up = True
        self.fails_all = False
        self._rate = random.uniform(0.98, 1.02)
        self._born_at = clock.now
        self._token = 0
        self._lease_ms = 0.0
        self._runs: dict[TaskId, _Run] = {}
        self._highest: dict[TaskId, int] = {}
        self._ends: list[RunEnd] = []
        self._count = 0
        self._ended_at: dict[int, float] = {}
        self._unbound: set[int] = set()
        """Ends that bind nobody: the lease has lapsed since."""

    @property
    def clock_ms(self) -> float:
        """Its own clock, which may be slow or fast."""
        return (self._clock.now - self._born_at) * 1000 * self._rate

    def count_used(self) -> int:
        """Return the processors of everything that runs."""
        return sum(self._checker.find_step(task).size.processors for task in self._runs)

    def crash(self) -> None:
        """Lose everything."""
        self.is_up = False
        self.incarnation += 1
        for task in list(self._runs):
            self._checker.on_end(task, EndKind.LAPSED)
            self._break_gang(task, self._runs[task].run)
        self._runs.clear()
        self._highest.clear()
        self._ends.clear()
        self._unbound.clear()
        self._ended_at.clear()
        self._count = 0
        self._token = 0
        self._lease_ms = 0.0

    def restart(self) -> None:
        """Begin a new incarnation under the same name."""
        self.is_up = True
        self._born_at = self._clock.now

    def start(self, start: Start) -> StartOutcome:
        """Carry out a start."""
        if start.token < self._token:
            return StartOutcome.FENCED
        self._token = start.token
        self._extend(start.deadline_ms)
        current = self._runs.get(start.task)
        if current is not None and current.run == start.run:
            return StartOutcome.STARTED
        if current is not None or start.run <= self._highest.get(start.task, 0):
            return StartOutcome.STALE_RUN
        if start.deadline_ms <= self.clock_ms:
            return StartOutcome.PAST_DEADLINE
        run = _Run(start.run, self.incarnation, checkpoint=start.checkpoint)
        self._runs[start.task] = run
        self._highest[start.task] = start.run
        self._checker.on_start(self, start, self._clock.now)
        step = self._checker.find_step(start.task)
        if not step.gang:
            self._work(start.task, run)
        elif self._gangs.join(self, start.task, start.run):
            for task, worker in list(self._gangs.find(start.task, start.run).items()):
                worker.begin_work(task, start.run)
        else:
            self._clock.after(GANG_WAIT_S, lambda: self._give_up(start.task, run))
        return StartOutcome.STARTED

    def begin_work(self, task: TaskId, number: int) -> None:
        """Let a member work, now that its gang is whole."""
        run = self._runs.get(task)
        if run is not None and run.run == number:
            self._work(task, run)

    def _work(self, task: TaskId, run: _Run) -> None:
        run.works = True
        run.began_at = self._clock.now
        duration = self._random.uniform(0.2, 3.0)
        run.duration = duration
        poisoned = "poison" in self._checker.job_by_id[task.job].payload
        fails = self.fails_all or poisoned or self._random.random() < 0.02
        how = EndKind.FAILED if fails else EndKind.DONE
        if not self._checker.find_step(task).lasting or fails:
            self._clock.after(duration, lambda: self._finish(task, run, how))

    def _give_up(self, task: TaskId, run: _Run) -> None:
        if not run.works:
            self._finish(task, run, EndKind.GANG_INCOMPLETE)

    def _finish(self, task: TaskId, run: _Run, how: EndKind) -> None:
        if (
            self._runs.get(task) is not run
            or run.incarnation != self.incarnation
            or not self.is_up
        ):
            return
        del self._runs[task]
        self._count += 1
        self._ends.append(RunEnd(self._count, task, run.run, how, run.checkpoint))
        self._ended_at[self._count] = self._clock.now
        self._checker.on_end(task, how)
        if not self._checker.find_step(task).gang:
            return
        if how is EndKind.DONE:
            for member, worker in self._gangs.find(task, run.run).items():
                worker.finish_member(member, run.run)
        else:
            self._break_gang(task, run.run)

    def finish_member(self, task: TaskId, number: int) -> None:
        """End a member as done, with its gang."""
        run = self._runs.get(task)
        if run is not None and run.run == number:
            self._finish(task, run, EndKind.DONE)

    def _break_gang(self, task: TaskId, number: int) -> None:
        if not self._checker.find_step(task).gang:
            return
        for member, worker in list(self._gangs.find(task, number).items()):
            worker.break_member(member, number)

    def break_member(self, task: TaskId, number: int) -> None:
        """End a member since another one has ended."""
        run = self._runs.get(task)
        if run is not None and run.run == number:
            self._finish(task, run, EndKind.GANG_BROKEN)

    def stop(self, stop: Stop) -> bool:
        """Carry out a stop; bar the run if it is not there."""
        if stop.token < self._token:
            return False
        self._token = stop.token
        run = self._runs.get(stop.task)
        if run is not None and run.run == stop.run and not run.stopping:
            run.stopping = True
            self._clock.after(
                STOP_S, lambda: self._finish(stop.task, run, EndKind.STOPPED)
            )
        highest = self._highest.get(stop.task, 0)
        self._highest[stop.task] = max(highest, stop.run)
        return True

    def hold(
        self, hold: PollWorker
    ) -> tuple[tuple[RunProgress, ...], tuple[RunEnd, ...]] | None:
        """Renew, forget and list; None if the token is too low."""
        if hold.token < self._token:
            return None
        self._token = hold.token
        if hold.deadline_ms:
            self._extend(hold.deadline_ms)
        for row in self._ends:
            if row.number <= hold.cursor and row.number not in self._unbound:
                self._checker.on_noted(row.task, row.kind, self._ended_at[row.number])
        self._ends = [row for row in self._ends if row.number > hold.cursor]
        running = tuple(
            RunProgress(task, run.run, run.checkpoint, self._measure(run))
            for task, run in self._runs.items()
        )
        return running, tuple(self._ends)

    def _measure(self, run: _Run) -> int:
        if not run.works:
            return 0
        worked = self._clock.now - run.began_at
        return min(99, int(100 * worked / run.duration))

    def _extend(self, deadline_ms: float) -> None:
        longest = self.clock_ms + LONGEST_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest))

    def check_lease(self) -> None:
        """Kill everything once the lease has lapsed."""
        if self.clock_ms > self._lease_ms:
            self._unbound.update(row.number for row in self._ends)
            for task, run in list(self._runs.items()):
                self._finish(task, run, EndKind.LAPSED)
