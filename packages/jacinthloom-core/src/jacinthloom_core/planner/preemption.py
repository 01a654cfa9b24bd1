"""Preemption of checkpointing tasks by gangs that would otherwise miss their objective.

Gangs of large tasks find no capacity beside a stream of small ones: each part that
becomes free is taken before the rest follows. Draining workers for them leaves capacity
idle for as long as the longest task runs. Tasks that save checkpoints can be stopped at
little loss, and those of queues with a longer objective still complete in time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .jobs import TaskState
from .order import estimate_remaining_path_s

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
"""Largest share of the processors of a pool that may be held for gangs at a time: held
capacity is idle until the last run on it has stopped."""


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
    """Capacity of a worker that is kept for a gang.

    :param processors: processors of the runs that are stopped, in millicores
    """

    step: StepId
    service: str
    processors: int
    until: float


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

    def release_expired(self, now: float) -> None:
        """Give up holds whose gang was placed or is over, or that took too long."""
        ready = self._state.ready_by_id
        for worker, hold in list(self._hold_by_worker.items()):
            step = ready.get(hold.step)
            if now >= hold.until or step is None or not step.list_waiting():
                del self._hold_by_worker[worker]

    def may_use(self, step: StepRun, worker: Worker) -> bool:
        """Whether a step may be placed on a worker that may be held for another one."""
        hold = self._hold_by_worker.get(worker.id)
        return hold is None or hold.step == step.id

    def has_holds(self, step: StepRun) -> bool:
        """Whether capacity is held for a step."""
        return any(hold.step == step.id for hold in self._hold_by_worker.values())

    def make_room(
        self, step: StepRun, queue: Queue, workers: list[Worker], now: float
    ) -> str:
        """Stop enough runs for a gang that fits on no set of workers.

        :param workers: workers that are known to be permitted for the gang
        :returns: why no capacity is held for the gang, or an empty string if it is
        """
        if self.has_holds(step):
            return ""
        if not self._state.settings.checkpoint_costs.interval_s:
            return "the cost of a checkpoint is unknown"
        if self._compute_slack_s(step, STOP_S, 0.0) < 0:
            return "it would miss its objective nevertheless"
        plans = self._choose_plans(step, queue, workers)
        if not plans:
            return f"too few runs may be stopped on {len(workers)} permitted workers"
        stopped = sum(plan.processors for plan in plans)
        if stopped > self._find_allowance(queue.service):
            return "too many runs are being stopped for others"
        for plan in plans:
            self._hold_by_worker[plan.worker.id] = _Hold(
                step.id, queue.service, plan.processors, now + HOLD_S
            )
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
            for hold in self._hold_by_worker.values()
            if hold.service == service
        )
        return int(total * MAX_STOPPING_SHARE) - held

    def _choose_plans(
        self, step: StepRun, queue: Queue, workers: list[Worker]
    ) -> list[_Plan]:
        """Return the cheapest plans under which all members of a gang fit.

        :returns: plans for different workers; empty if the gang does not fit
        """
        plans = [
            plan
            for worker in workers
            if worker.id not in self._hold_by_worker
            and (plan := self._plan_worker(step, queue, worker)).members
        ]
        plans.sort(key=lambda plan: (plan.processors / plan.members, plan.worker.id))
        chosen: list[_Plan] = []
        missing = step.spec.count
        for plan in plans:
            if missing <= 0:
                break
            chosen.append(plan)
            missing -= plan.members
        return chosen if missing <= 0 else []

    def _plan_worker(self, step: StepRun, queue: Queue, worker: Worker) -> _Plan:
        """Return the runs to stop for as many members as the worker can take."""
        spec = step.spec
        most = spec.most_per_worker or spec.count
        candidates = [
            (slack_s, task)
            for task in worker.task_by_id.values()
            if (slack_s := self._find_slack_s(task, queue)) is not None and slack_s >= 0
        ]
        candidates.sort(key=lambda row: (-row[0], row[1].id))
        fitting = worker.count_fitting(spec.size, spec.fills)
        victims: list[Task] = []
        best = 0
        for _, task in candidates:
            worker.release(task.step.spec.size, task.step.spec.fills)
            victims.append(task)
            count = worker.count_fitting(spec.size, spec.fills)
            if count > fitting:
                fitting, best = count, len(victims)
        for task in victims:
            worker.reserve(task.step.spec.size, task.step.spec.fills)
        return _Plan(worker, min(most, fitting), victims[:best])

    def _find_slack_s(self, task: Task, queue: Queue) -> float | None:
        """Return how much earlier than necessary a task would end after a preemption.

        :returns: seconds, or None if the task must not be preempted
        """
        spec, state = task.step.spec, self._state
        job = task.step.occurrence.job
        own_queue = state.queue_by_name.get(job.spec.queue)
        if own_queue is None or own_queue.priority <= queue.priority:
            return None
        if not spec.checkpoints or spec.gang or spec.lasting or job.is_over:
            return None
        if task.state is not TaskState.RUNNING or task.is_stopping:
            return None
        if task.preemptions >= MAX_PREEMPTIONS or task.crashes:
            return None
        run_s = state.run_times.predict(job.spec.queue, spec.estimate_s)
        costs = state.settings.checkpoint_costs
        if not costs.allow_preemption(run_s):
            return None
        done_s = run_s * task.percent / 100
        delay_s = STOP_S + RESTART_S + costs.expected_loss_s
        return self._compute_slack_s(task.step, delay_s, done_s)

    def _compute_slack_s(self, step: StepRun, delay_s: float, done_s: float) -> float:
        """Return the seconds that are left if the rest of a job starts after a delay.

        :param done_s: seconds of the step's work that are done
        """
        job = step.occurrence.job
        path_s = estimate_remaining_path_s(
            job, step.id.step, self._state.run_times.predict
        )
        end_s = self._state.wall_ms / 1000 + delay_s + path_s - done_s
        return step.due_s + step.objective_s - end_s

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
