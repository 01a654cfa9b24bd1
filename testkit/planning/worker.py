"""A simulated worker: fencing tokens, leases, incarnations, ends and cursors."""

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
    from collections.abc import Callable
    from random import Random

    from jacinthloom_core.model.resources import Resources
    from jacinthloom_core.planner.effects import PollWorker, Start, Stop
    from jacinthloom_core.planner.specs import StepId, TaskId

    from .clock import VirtualClock
    from .rule_checker import RuleChecker

STOP_DURATION_S = 0.3
"""Seconds from a stop command to the end of the run."""

MAX_LEASE_MS = 10_000
"""Longest lease that a worker accepts, in milliseconds."""

GANG_TIMEOUT_S = 3.0
"""Seconds that a member of a gang waits for the other members."""

DEADLY_PAYLOAD = "deadly"
"""Payload of jobs whose first task in each step crashes the workers that start it."""

LONG_PAYLOAD = "long"
"""Payload of jobs whose tasks run ``LONG_RUN_FACTOR`` times as long."""

LONG_RUN_FACTOR = 8


@dataclass(slots=True)
class _Run:
    """One run of a task on a worker.

    :param run: number of the run
    :param work_began_at: virtual time; a member of a gang begins when all are present
    """

    run: int
    incarnation: int
    stopping: bool = False
    checkpoint: str = ""
    is_working: bool = False
    work_began_at: float = 0.0
    duration_s: float = 1.0


class GangRegistry:
    """Members of gangs on all workers; a gang begins once all members are present."""

    def __init__(self, checker: RuleChecker) -> None:
        self._checker = checker
        self._present_by_gang: dict[
            tuple[StepId, int], dict[TaskId, VirtualWorker]
        ] = {}

    def join(self, worker: VirtualWorker, task: TaskId, run: int) -> bool:
        """Add a member and return whether all members are present."""
        members = self._present_by_gang.setdefault((task.step_id, run), {})
        members[task] = worker
        return len(members) == self._checker.find_step(task).count

    def find_members(self, task: TaskId, run: int) -> dict[TaskId, VirtualWorker]:
        """Return the members of a task's gang that are present, and their workers."""
        return self._present_by_gang.get((task.step_id, run), {})


class VirtualWorker:
    """A worker whose clock runs up to 2 % fast or slow."""

    def __init__(
        self,
        name: str,
        capacity: Resources,
        clock: VirtualClock,
        checker: RuleChecker,
        gang_registry: GangRegistry,
        random: Random,
        on_deadly_start: Callable[[VirtualWorker, TaskId], None] = lambda *_: None,
        ends_per_list: int = 500,
        zone: str = "z0",
    ) -> None:
        """Create a worker that is up.

        :param on_deadly_start: called when a task starts that crashes its workers
        :param ends_per_list: ended runs that it lists at a time
        """
        self.id = name
        self.zone = zone
        self.capacity = capacity
        self.binding_capacity = capacity
        """Capacity that starts must keep to; lags behind one that has shrunk."""
        self._clock = clock
        self._checker = checker
        self._gang_registry = gang_registry
        self._random = random
        self._on_deadly_start = on_deadly_start
        self._ends_per_list = ends_per_list
        self.incarnation = 1
        self.is_up = True
        self.fails_all = False
        self._clock_rate = random.uniform(0.98, 1.02)
        self._incarnation_began_at = clock.now
        self._token = 0
        self._lease_ms = 0.0
        self._run_by_task: dict[TaskId, _Run] = {}
        self._highest_run_by_task: dict[TaskId, int] = {}
        self._ends: list[RunEnd] = []
        self._end_count = 0
        self._ended_at_by_number: dict[int, float] = {}
        self._ends_before_lapse: set[int] = set()
        """Numbers of ends that were listed when the lease lapsed: the planner may place
        these tasks again, so their acknowledgement is not checked."""

    @property
    def clock_ms(self) -> float:
        """Milliseconds since the incarnation began, by the worker's own clock."""
        return (self._clock.now - self._incarnation_began_at) * 1000 * self._clock_rate

    def count_used_processors(self) -> int:
        """Return the processors of all running tasks, in millicores."""
        return sum(
            self._checker.find_step(task).size.processors for task in self._run_by_task
        )

    def crash(self, cause: TaskId | None = None) -> None:
        """Stop, and lose all runs, ends, tokens and leases.

        :param cause: task that crashes the worker, if any does
        """
        self.is_up = False
        self.incarnation += 1
        for task in list(self._run_by_task):
            self._checker.on_lost(task, cause)
            self._checker.on_end(task, EndKind.LAPSED)
            self._break_gang(task, self._run_by_task[task].run)
        self._run_by_task.clear()
        self._highest_run_by_task.clear()
        self._ends.clear()
        self._ends_before_lapse.clear()
        self._ended_at_by_number.clear()
        self._end_count = 0
        self._token = 0
        self._lease_ms = 0.0

    def runs(self, task: TaskId) -> bool:
        """Whether a task is running."""
        return task in self._run_by_task

    def restart(self) -> None:
        """Come up again under the same name, in the incarnation after a crash."""
        self.is_up = True
        self._incarnation_began_at = self._clock.now

    def start(self, start: Start, is_late: bool = False) -> StartOutcome:
        """Start a run, unless its token, number or deadline is too old.

        :param is_late: whether the order is carried out long after it was sent
        """
        if start.token < self._token:
            return StartOutcome.FENCED
        self._token = start.token
        self._extend_lease(start.deadline_ms)
        current = self._run_by_task.get(start.task)
        if current is not None and current.run == start.run:
            return StartOutcome.STARTED
        if current is not None or start.run <= self._highest_run_by_task.get(
            start.task, 0
        ):
            return StartOutcome.STALE_RUN
        if start.deadline_ms <= self.clock_ms:
            return StartOutcome.PAST_DEADLINE
        run = _Run(start.run, self.incarnation, checkpoint=start.checkpoint)
        self._run_by_task[start.task] = run
        self._highest_run_by_task[start.task] = start.run
        self._checker.on_start(self, start, self._clock.now)
        if not is_late:
            self._checker.check_place(self, start.task, self._clock.now)
        if self._is_deadly(start.task):
            self._on_deadly_start(self, start.task)
        step = self._checker.find_step(start.task)
        if not step.gang:
            self._begin_work(start.task, run)
        elif self._gang_registry.join(self, start.task, start.run):
            for task, worker in list(
                self._gang_registry.find_members(start.task, start.run).items()
            ):
                worker.begin_member(task, start.run)
        else:
            self._clock.after(
                GANG_TIMEOUT_S, lambda: self._time_out_gang(start.task, run)
            )
        return StartOutcome.STARTED

    def begin_member(self, task: TaskId, number: int) -> None:
        """Begin the work of a gang member once all members are present."""
        run = self._run_by_task.get(task)
        if run is not None and run.run == number:
            self._begin_work(task, run)

    def _begin_work(self, task: TaskId, run: _Run) -> None:
        run.is_working = True
        run.work_began_at = self._clock.now
        duration_s = self._random.uniform(0.2, 3.0)
        if self._checker.job_by_id[task.job].payload == LONG_PAYLOAD:
            duration_s *= LONG_RUN_FACTOR
        run.duration_s = duration_s
        is_poisoned = "poison" in self._checker.job_by_id[task.job].payload
        fails = self.fails_all or is_poisoned or self._random.random() < 0.02
        kind = EndKind.FAILED if fails else EndKind.DONE
        step = self._checker.find_step(task)
        is_deadly = self._is_deadly(task._replace(position=0) if step.gang else task)
        if not (step.lasting or is_deadly) or fails:
            self._clock.after(duration_s, lambda: self._finish(task, run, kind))

    def _is_deadly(self, task: TaskId) -> bool:
        payload = self._checker.job_by_id[task.job].payload
        return payload == DEADLY_PAYLOAD and task.position == 0

    def _time_out_gang(self, task: TaskId, run: _Run) -> None:
        if not run.is_working:
            self._finish(task, run, EndKind.GANG_INCOMPLETE)

    def _finish(self, task: TaskId, run: _Run, kind: EndKind) -> None:
        if (
            self._run_by_task.get(task) is not run
            or run.incarnation != self.incarnation
            or not self.is_up
        ):
            return
        del self._run_by_task[task]
        self._end_count += 1
        self._ends.append(RunEnd(self._end_count, task, run.run, kind, run.checkpoint))
        self._ended_at_by_number[self._end_count] = self._clock.now
        self._checker.on_end(task, kind)
        if not self._checker.find_step(task).gang:
            return
        if kind is EndKind.DONE:
            for member, worker in self._gang_registry.find_members(
                task, run.run
            ).items():
                worker.finish_member(member, run.run)
        else:
            self._break_gang(task, run.run)

    def finish_member(self, task: TaskId, number: int) -> None:
        """End a gang member as done, together with its gang."""
        run = self._run_by_task.get(task)
        if run is not None and run.run == number:
            self._finish(task, run, EndKind.DONE)

    def _break_gang(self, task: TaskId, number: int) -> None:
        if not self._checker.find_step(task).gang:
            return
        for member, worker in list(
            self._gang_registry.find_members(task, number).items()
        ):
            worker.break_member(member, number)

    def break_member(self, task: TaskId, number: int) -> None:
        """End a gang member because another member ended without being done."""
        run = self._run_by_task.get(task)
        if run is not None and run.run == number:
            self._finish(task, run, EndKind.GANG_BROKEN)

    def stop(self, stop: Stop) -> bool:
        """Stop a run; return False if the token is too old.

        A run that has not started yet is barred from starting later.
        """
        if stop.token < self._token:
            return False
        self._token = stop.token
        run = self._run_by_task.get(stop.task)
        if run is not None and run.run == stop.run and not run.stopping:
            run.stopping = True
            self._clock.after(
                STOP_DURATION_S, lambda: self._finish(stop.task, run, EndKind.STOPPED)
            )
        highest = self._highest_run_by_task.get(stop.task, 0)
        self._highest_run_by_task[stop.task] = max(highest, stop.run)
        return True

    def poll(
        self, poll: PollWorker
    ) -> tuple[tuple[RunProgress, ...], tuple[RunEnd, ...]] | None:
        """Renew the lease, drop acknowledged ends, and return what runs and what ended.

        :return: None if the token is too old
        """
        if poll.token < self._token:
            return None
        self._token = poll.token
        if poll.deadline_ms:
            self._extend_lease(poll.deadline_ms)
        for end in self._ends:
            if end.number <= poll.cursor and end.number not in self._ends_before_lapse:
                self._checker.on_end_acknowledged(
                    end.task, end.kind, self._ended_at_by_number[end.number]
                )
        self._ends = [end for end in self._ends if end.number > poll.cursor]
        running = tuple(
            RunProgress(task, run.run, run.checkpoint, self._measure_percent(run))
            for task, run in self._run_by_task.items()
        )
        return running, tuple(self._ends[: self._ends_per_list])

    def _measure_percent(self, run: _Run) -> int:
        if not run.is_working:
            return 0
        worked_s = self._clock.now - run.work_began_at
        return min(99, int(100 * worked_s / run.duration_s))

    def _extend_lease(self, deadline_ms: float) -> None:
        max_deadline_ms = self.clock_ms + MAX_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, max_deadline_ms))

    def enforce_lease(self) -> None:
        """End all runs once the lease has lapsed."""
        if self.clock_ms > self._lease_ms:
            self._ends_before_lapse.update(end.number for end in self._ends)
            for task, run in list(self._run_by_task.items()):
                self._finish(task, run, EndKind.LAPSED)
