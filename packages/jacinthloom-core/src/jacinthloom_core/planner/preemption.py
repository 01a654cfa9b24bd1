"""Preemption of checkpointing tasks by gangs that would otherwise miss their objective.

Gangs of large tasks find no capacity beside a stream of small ones: each part that
becomes free is taken before the rest follows. Draining workers for them leaves capacity
idle for as long as the longest task runs. Tasks that save checkpoints can be stopped at
little loss, and those of queues with a longer objective still complete in time.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .jobs import TaskState
from .paths import find_paths

if TYPE_CHECKING:
    from .fleet import Worker
    from .jobs import StepRun, Task
    from .rules import Queue
    from .specs import StepId
    from .state import PlannerState

MAX_LOSS_SHARE = 0.2
"""Largest share of a task's expected run time that a preemption may cost. Above it, the
work that is repeated outweighs the capacity that draining leaves idle."""

MAX_PREEMPTIONS = 2
"""Maximum number of preemptions of one task, so that each makes progress."""

STOP_S = 1.0
"""Seconds in which a worker stops a run and lists its end."""

RESTART_S = 2.0
"""Seconds assumed until a preempted task runs again: new advice, and a free worker."""

HOLD_S = 3.0
"""Seconds for which preempted capacity is kept for the gang: a stop, a slow request for
advice, and the scheduling pass that follows."""

MAX_STOPPING_SHARE = 0.15
"""Largest share of the processors of a pool whose runs may be stopped for gangs at a
time: that capacity is idle until the last of them has stopped."""

MAX_UNUSED_HOLDS = 3
"""Maximum number of times that capacity is held for a gang which does not start, for
want of a ticket or of its client account's limit, or because a worker is lost."""

RETRY_S = 0.5
"""Seconds until runs are chosen again for a gang that still did not fit."""

MAX_CHOICES_PER_PASS = 2
"""Maximum number of gangs for which one scheduling pass chooses runs to stop. The
others follow, as a gang for which that fails is not tried again for ``RETRY_S``."""

MAX_WORKERS = 400
"""Maximum number of workers that are considered for one gang, which bounds the time
that the choice takes in the largest fleets."""


@dataclass(frozen=True, slots=True)
class CheckpointCosts:
    """What it costs to stop a task that saves checkpoints, and to resume it.

    :param interval_s: seconds of work between two checkpoints; 0 if it is unknown
    :param resume_s: seconds that a resumed run takes to reach its checkpoint
    """

    interval_s: float = 0.0
    resume_s: float = 0.0

    @property
    def expected_loss_s(self) -> float:
        """Expected seconds of work that one preemption costs."""
        return self.interval_s / 2 + self.resume_s

    def allow_preemption(self, run_s: float) -> bool:
        """Whether a task may be preempted.

        :param run_s: its expected run time, in seconds
        """
        return self.interval_s > 0 and self.expected_loss_s <= MAX_LOSS_SHARE * run_s


@dataclass(frozen=True, slots=True)
class _Hold:
    """Capacity of workers that is kept for a gang.

    :param workers: names of the workers
    :param processors: processors of the runs that are stopped, in millicores
    """

    step: StepId
    service: str
    workers: tuple[str, ...]
    processors: int
    began_at: float

    def is_expired(self, now: float) -> bool:
        """Whether the hold took too long, or the clock has jumped back."""
        return not 0 <= now - self.began_at < HOLD_S


@dataclass(slots=True)
class _Attempts:
    """Earlier attempts to make room for a gang.

    :param unused_holds: number of holds that ended before the gang was placed
    :param failed_at: time of the latest choice that failed
    :param obstacle: why it failed
    """

    unused_holds: int = 0
    failed_at: float = float("-inf")
    obstacle: str = ""


@dataclass(slots=True)
class _Plan:
    """Runs to stop on one worker so that it takes more members of a gang.

    :param members: number of members that fit once the runs have stopped
    """

    worker: Worker
    members: int
    victims: list[Task]

    @property
    def processors(self) -> int:
        """Processors of the runs to stop, in millicores."""
        return sum(task.step.spec.size.processors for task in self.victims)


class Preemption:
    """Chooses the runs to stop for a gang, and keeps their capacity for it."""

    def __init__(self, state: PlannerState) -> None:
        self._state = state
        self._hold_by_worker: dict[str, _Hold] = {}
        self._hold_by_step: dict[StepId, _Hold] = {}
        self._attempts_by_step: dict[StepId, _Attempts] = {}
        self._choices_left = MAX_CHOICES_PER_PASS
        self.holds = 0
        """Number of holds so far."""

    def begin_pass(self, now: float) -> None:
        """Release holds that serve no gang any more."""
        self._choices_left = MAX_CHOICES_PER_PASS
        ready = self._state.ready_by_id
        for hold in list(self._hold_by_step.values()):
            step = ready.get(hold.step)
            if step is None or not step.list_waiting():
                self._release(hold)
            elif hold.is_expired(now) or not self._are_usable(hold.workers, now):
                self._release(hold)
                self._get_attempts(step).unused_holds += 1
        for step_id in [i for i in self._attempts_by_step if i not in ready]:
            del self._attempts_by_step[step_id]

    def _are_usable(self, workers: tuple[str, ...], now: float) -> bool:
        known = self._state.worker_by_id
        return all(
            name in known and self._state.is_usable(known[name], now)
            for name in workers
        )

    def _release(self, hold: _Hold) -> None:
        del self._hold_by_step[hold.step]
        for worker in hold.workers:
            del self._hold_by_worker[worker]

    def _get_attempts(self, step: StepRun) -> _Attempts:
        return self._attempts_by_step.setdefault(step.id, _Attempts())

    def may_make_room(self, step: StepRun) -> bool:
        """Whether this pass may stop runs for a gang, or has done so before."""
        if step.id in self._hold_by_step:
            return True
        has_costs = bool(self._state.settings.checkpoint_costs.interval_s)
        return has_costs and self._choices_left > 0

    def holds_for(self, step: StepRun) -> bool:
        """Whether workers are held for a gang."""
        return step.id in self._hold_by_step

    def may_use(self, step: StepRun, worker: Worker) -> bool:
        """Whether a step may be placed on a worker that may be held for another one."""
        hold = self._hold_by_worker.get(worker.id)
        return hold is None or hold.step == step.id

    def make_room(
        self, step: StepRun, queue: Queue, workers: list[Worker], now: float
    ) -> str:
        """Stop enough runs for a gang that fits on no set of workers.

        :param workers: workers that are known to be permitted for the gang, without
            those on which capacity is reserved for steps ahead of it
        :returns: why no capacity is held for the gang, or an empty string if it is
        """
        if step.id in self._hold_by_step:
            return ""
        if not self._state.settings.checkpoint_costs.interval_s:
            return "the cost of a checkpoint is unknown"
        if _compute_slack_s(self._state, step, STOP_S) < 0:
            return "it would miss its objective nevertheless"
        attempts = self._get_attempts(step)
        if attempts.unused_holds >= MAX_UNUSED_HOLDS:
            return f"it did not start {MAX_UNUSED_HOLDS} times when it was made"
        if 0 <= now - attempts.failed_at < RETRY_S:
            return attempts.obstacle
        if self._choices_left <= 0:
            return "it is made for other gangs first"
        self._choices_left -= 1
        attempts.obstacle = self._stop_runs(step, queue, workers, now)
        if attempts.obstacle:
            attempts.failed_at = now
        return attempts.obstacle

    def _stop_runs(
        self, step: StepRun, queue: Queue, workers: list[Worker], now: float
    ) -> str:
        """Choose runs and stop them.

        :returns: why none are stopped, or an empty string
        """
        allowance = self._find_allowance(queue.service)
        if allowance <= 0:
            return "too many runs are being stopped for others"
        plans = self._choose_plans(step, queue, workers)
        if not plans:
            return f"too few runs may be stopped on {len(workers)} permitted workers"
        processors = sum(plan.processors for plan in plans)
        if processors > allowance:
            return "too many runs are being stopped for others"
        names = tuple(plan.worker.id for plan in plans)
        hold = _Hold(step.id, queue.service, names, processors, now)
        self.holds += 1
        self._hold_by_step[step.id] = hold
        self._hold_by_worker.update(dict.fromkeys(names, hold))
        for plan in plans:
            for task in plan.victims:
                self._stop(task, step)
        return ""

    def _find_allowance(self, service: str) -> int:
        """Return the processors that may still be stopped in a pool, in millicores."""
        total = sum(
            worker.entry.capacity.processors
            for worker in self._state.worker_by_id.values()
            if worker.entry is not None and worker.entry.service == service
        )
        held = sum(
            hold.processors
            for hold in self._hold_by_step.values()
            if hold.service == service
        )
        return int(total * MAX_STOPPING_SHARE) - held

    def _choose_plans(
        self, step: StepRun, queue: Queue, workers: list[Worker]
    ) -> list[_Plan]:
        """Return the cheapest plans under which all members of a gang fit.

        :returns: plans for different workers; empty if the gang does not fit
        """
        candidates = _Candidates(self._state, step, queue)
        spec = step.spec
        most = min(spec.most_per_worker or spec.count, spec.count)
        free = [worker for worker in workers if worker.id not in self._hold_by_worker]
        if len(free) > MAX_WORKERS:
            free = heapq.nlargest(
                MAX_WORKERS, free, lambda w: (w.free_processors, w.id)
            )
        plans = [
            plan
            for worker in free
            if (plan := _plan_worker(candidates, worker, most)).members
        ]
        plans.sort(key=lambda plan: (plan.processors / plan.members, plan.worker.id))
        chosen: list[_Plan] = []
        missing = spec.count
        for plan in plans:
            if missing <= 0:
                break
            if plan.members > missing:
                plan = _plan_worker(candidates, plan.worker, missing)
            chosen.append(plan)
            missing -= plan.members
        return chosen if missing <= 0 else []

    def _stop(self, task: Task, gang: StepRun) -> None:
        state = self._state
        task.preemptions += 1
        state.note(
            "preempted",
            task=list(task.id),
            run=task.run,
            on=task.worker,
            for_step=list(gang.id),
            percent=task.percent,
            loss_s=round(state.settings.checkpoint_costs.expected_loss_s, 2),
        )
        state.stop(task)


class _Candidates:
    """Runs that may be stopped for a gang."""

    def __init__(self, state: PlannerState, gang: StepRun, queue: Queue) -> None:
        self._state = state
        self.gang = gang
        self._queue = queue
        self._row_by_step: dict[StepId, tuple[float, float] | None] = {}
        """Slack after a stop at the start of a run and expected run time, in seconds;
        None for steps of which no run may be stopped."""

    def list_on(self, worker: Worker) -> list[Task]:
        """Return the runs of a worker that may be stopped, the least urgent first."""
        rows = []
        for task in worker.task_by_id.values():
            if not task.step.spec.checkpoints or not _may_stop(task):
                continue
            row = self._find_row(task.step)
            if row is None:
                continue
            slack_s = row[0] + row[1] * task.percent / 100
            if slack_s >= 0:
                rows.append((-slack_s, task.id, task))
        rows.sort(key=lambda row: row[:2])
        return [task for _, _, task in rows]

    def _find_row(self, step: StepRun) -> tuple[float, float] | None:
        if step.id not in self._row_by_step:
            self._row_by_step[step.id] = self._compute_row(step)
        return self._row_by_step[step.id]

    def _compute_row(self, step: StepRun) -> tuple[float, float] | None:
        spec, state = step.spec, self._state
        job = step.occurrence.job
        queue = state.queue_by_name.get(job.spec.queue)
        if queue is None or queue.priority <= self._queue.priority:
            return None
        if spec.gang or spec.lasting or job.is_over:
            return None
        if self.gang.occurrence.job.is_beyond_share and not job.is_beyond_share:
            return None  # it would pass over the shares of the client accounts
        run_s = state.run_times.predict(job.spec.queue, spec.estimate_s)
        costs = state.settings.checkpoint_costs
        if not costs.allow_preemption(run_s):
            return None
        delay_s = STOP_S + RESTART_S + costs.expected_loss_s
        return _compute_slack_s(state, step, delay_s), run_s


def _may_stop(task: Task) -> bool:
    """Whether a task's run may be stopped, by what has happened to it so far."""
    return (
        task.state is TaskState.RUNNING
        and not task.is_stopping
        and task.preemptions < MAX_PREEMPTIONS
        and not task.crashes
    )


def _plan_worker(candidates: _Candidates, worker: Worker, most: int) -> _Plan:
    """Return the runs to stop on a worker so that it takes members of the gang.

    :param most: maximum number of members
    """
    spec = candidates.gang.spec
    fitting = best_fitting = worker.count_fitting(spec.size, spec.fills)
    stopped: list[Task] = []
    best = 0
    if fitting < most:
        for task in candidates.list_on(worker):
            worker.release(task.step.spec.size, task.step.spec.fills)
            stopped.append(task)
            fitting = worker.count_fitting(spec.size, spec.fills)
            if fitting > best_fitting:
                best_fitting, best = fitting, len(stopped)
            if fitting >= most:
                break
    members = min(most, best_fitting)
    needed: list[Task] = []
    for number, task in reversed(list(enumerate(stopped))):
        size, fills = task.step.spec.size, task.step.spec.fills
        worker.reserve(size, fills)
        if number < best and worker.count_fitting(spec.size, spec.fills) < members:
            worker.release(size, fills)
            needed.append(task)
    for task in needed:
        worker.reserve(task.step.spec.size, task.step.spec.fills)
    return _Plan(worker, members, needed)


def _compute_slack_s(state: PlannerState, step: StepRun, delay_s: float) -> float:
    """Return the slack of a step, in seconds, if it starts after a delay."""
    job = step.occurrence.job
    paths = find_paths(job, state.run_times.predict, state.wall_ms)
    end_s = state.wall_ms / 1000 + delay_s + paths.remaining_s[step.id.step]
    return step.due_s + step.objective_s - end_s
