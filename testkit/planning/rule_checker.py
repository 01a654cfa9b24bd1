"""Checks of the invariants that hold in every scenario, whatever the faults."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from jacinthloom_core.planner.events import EndKind
from jacinthloom_core.planner.specs import StepId

if TYPE_CHECKING:
    from jacinthloom_core.planner.effects import Start
    from jacinthloom_core.planner.specs import JobSpec, StepSpec, TaskId

    from .worker import VirtualWorker


FINAL_STATES = ("completed", "failed", "cancelled")

CANCEL_GRACE_S = 3.0
"""Seconds after an acknowledged cancel after which no task of the job may start."""


EVACUATION_GRACE_S = 5.0
"""Seconds after the evacuation of a zone after which no task may start there."""

DRAIN_GRACE_S = 2.0
"""Seconds after which no task may start on a worker that drains."""

MAX_EARLY_S = 0.25
"""Seconds by which an occurrence may start before its time."""

MAX_CRASHES = 3
"""Workers that a task may crash before its starts are counted."""

MAX_STARTS_AFTER_CRASHES = 2
"""Starts that a task is allowed after it has crashed ``MAX_CRASHES`` workers."""


class RuleViolationError(AssertionError):
    """An invariant does not hold."""


class RuleChecker:
    """Observes every start, end and answer, and raises when an invariant fails.

    :ivar accepted: jobs whose submission was acknowledged
    :ivar refused: jobs of which every submission was refused
    :ivar running: worker and run number of each running task
    :ivar acknowledged_done: tasks whose end as done was acknowledged to the worker
    :ivar lapsed: tasks of which a run ended with its lease, or with its worker
    """

    def __init__(
        self, limit_by_client_account: dict[str, int], max_attempts: int
    ) -> None:
        self._limit_by_client_account = limit_by_client_account
        self._max_attempts = max_attempts
        self.job_by_id: dict[str, JobSpec] = {}
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancel_requested_at: dict[str, float] = {}
        self.cancel_stored_at: dict[str, float] = {}
        self._final_state_by_job: dict[str, str] = {}
        """Final states that a planner has reported."""
        self.running: dict[TaskId, tuple[VirtualWorker, int]] = {}
        self.acknowledged_done: set[TaskId] = set()
        self.lapsed: set[TaskId] = set()
        self.done: set[TaskId] = set()
        self.max_failures_by_step: Counter[StepId] = Counter()
        """Failed runs of each gang; for other steps, the highest count of any task."""
        self._failures_by_task: Counter[TaskId] = Counter()
        self._acknowledged_failures: dict[TaskId, list[float]] = defaultdict(list)
        self.crashes_by_task: Counter[TaskId] = Counter()
        """Workers that each task has crashed."""
        self._losses_by_task: Counter[TaskId] = Counter()
        self._unexplained_losses: Counter[TaskId] = Counter()
        self._starts_after_crashes: Counter[TaskId] = Counter()
        self._last_started_at: dict[TaskId, float] = {}
        self.zone_out_since: dict[str, float] = {}
        self.draining_since: dict[str, float] = {}
        """Time since which each worker drains."""
        self.usage_by_client_account: dict[str, int] = defaultdict(int)
        """Processors of running tasks, in millicores."""

    def find_step(self, task: TaskId) -> StepSpec:
        """Return the step of a task."""
        return self.job_by_id[task.job].steps[task.step]

    def on_start(self, worker: VirtualWorker, start: Start, now: float) -> None:
        """Check a start that a worker executes."""
        task = start.task
        spec = self.job_by_id.get(task.job)
        if spec is None or spec.payload != start.payload:
            raise RuleViolationError(
                f"{task} starts, but no job with this payload was submitted"
            )
        if task.job in self.refused:
            raise RuleViolationError(f"{task} starts although its job was refused")
        if task in self.running:
            raise RuleViolationError(f"{task} starts at {now} s while it is running")
        if task in self.acknowledged_done:
            raise RuleViolationError(f"{task} starts after its end was acknowledged")
        if now - self.cancel_stored_at.get(task.job, now) > CANCEL_GRACE_S:
            raise RuleViolationError(f"{task} starts long after its job was cancelled")
        step = self.find_step(task)
        due_s = (spec.first_due_ms + task.occurrence * spec.period_ms) / 1000
        if spec.is_timed and now < due_s - MAX_EARLY_S:
            raise RuleViolationError(f"{task} starts at {now} s, but is due at {due_s}")
        for number in step.after:
            earlier = spec.steps[number]
            for position in range(earlier.count):
                dependency = task._replace(step=number, position=position)
                if dependency not in self.done and not spec.steps[number].gang:
                    raise RuleViolationError(
                        f"{task} starts before {dependency} is done"
                    )
        if (
            len(self._acknowledged_failures[task]) >= self._max_attempts
            and not step.lasting
        ):
            raise RuleViolationError(f"{task} starts after its last attempt failed")
        self._count_start_after_crashes(task)
        self._last_started_at[task] = now
        self.running[task] = (worker, start.run)
        self.usage_by_client_account[spec.tenant] += step.size.processors
        limit = self._limit_by_client_account[spec.tenant]
        if (
            self.usage_by_client_account[spec.tenant]
            > limit * 1.1 + step.size.processors
        ):
            raise RuleViolationError(
                f"client account {spec.tenant} uses "
                f"{self.usage_by_client_account[spec.tenant]}, its limit is {limit}"
            )
        if step.most_per_worker:
            present = [
                other
                for other, (other_worker, _) in self.running.items()
                if other_worker is worker and other.step_id == task.step_id
            ]
            if len(present) > step.most_per_worker:
                raise RuleViolationError(
                    f"{worker.id} runs {len(present)} tasks of {task.step_id}, "
                    f"allowed are {step.most_per_worker}"
                )
        if worker.count_used_processors() > worker.binding_capacity.processors:
            raise RuleViolationError(f"{worker.id} runs more than its capacity allows")

    def check_place(self, worker: VirtualWorker, task: TaskId, now: float) -> None:
        """Check that a start keeps to evacuations and draining workers."""
        out_since = self.zone_out_since.get(worker.zone, now)
        if now - out_since > EVACUATION_GRACE_S:
            raise RuleViolationError(f"{task} starts in {worker.zone}, which is out")
        draining_since = self.draining_since.get(worker.id, now)
        if now - draining_since > DRAIN_GRACE_S:
            raise RuleViolationError(f"{task} starts on {worker.id}, which drains")

    def _count_start_after_crashes(self, task: TaskId) -> None:
        if self.crashes_by_task[task] < MAX_CRASHES:
            return
        self._starts_after_crashes[task] += 1
        if self._starts_after_crashes[task] > MAX_STARTS_AFTER_CRASHES:
            raise RuleViolationError(
                f"{task} has crashed {self.crashes_by_task[task]} workers, "
                f"and is started again"
            )

    def on_lost(self, task: TaskId, cause: TaskId | None) -> None:
        """Record that a task is lost with its worker.

        :param cause: task that crashes the worker, or None for any other cause
        """
        self._losses_by_task[task] += 1
        if cause is None:
            self._unexplained_losses[task] += 1

    def may_be_given_up(self, job: str) -> bool:
        """Whether a job that can be done may fail for the crashes under a task.

        Two workers have crashed under the task, one of them not by another task.
        """
        return any(
            count >= 2 and self._unexplained_losses[task]
            for task, count in self._losses_by_task.items()
            if task.job == job
        )

    def on_crash(self, task: TaskId) -> None:
        """Record that a task crashes the worker on which it runs."""
        self.crashes_by_task[task] += 1

    def on_end(self, task: TaskId, kind: EndKind) -> None:
        """Record the end of a run."""
        self.running.pop(task, None)
        client_account = self.job_by_id[task.job].tenant
        self.usage_by_client_account[client_account] -= self.find_step(
            task
        ).size.processors
        if kind is EndKind.DONE:
            self.done.add(task)
        if kind is EndKind.LAPSED:
            self.lapsed.add(task)
        if kind is EndKind.FAILED:
            self._count_failure(task)

    def _count_failure(self, task: TaskId) -> None:
        self._failures_by_task[task] += 1
        step = task.step_id
        if self.find_step(task).gang:
            self.max_failures_by_step[step] += 1
        else:
            highest = max(self.max_failures_by_step[step], self._failures_by_task[task])
            self.max_failures_by_step[step] = highest

    def on_end_acknowledged(self, task: TaskId, kind: EndKind, ended_at: float) -> None:
        """Check an end that the planner acknowledged to the worker."""
        started_at = self._last_started_at[task]
        if kind is EndKind.DONE:
            self.acknowledged_done.add(task)
            if started_at > ended_at:
                raise RuleViolationError(f"{task} was started after it was done")
        if kind is EndKind.FAILED:
            ended_at_list = self._acknowledged_failures[task]
            ended_at_list.append(ended_at)
            is_over = len(ended_at_list) >= self._max_attempts
            if is_over and started_at > sorted(ended_at_list)[self._max_attempts - 1]:
                raise RuleViolationError(
                    f"{task} was started after its last attempt had failed"
                )

    def check_state(self, job: str, state: str | None) -> None:
        """Check the state of a job that a planner reports."""
        if state is None and job in self.accepted:
            raise RuleViolationError(
                f"{job} was accepted, but the planner does not know it"
            )
        final_state = self._final_state_by_job.get(job, state)
        if state != final_state:
            raise RuleViolationError(
                f"{job} is reported as {state}, but was reported as {final_state}"
            )
        if state in FINAL_STATES:
            self._final_state_by_job[job] = state
        if state == "completed":
            spec = self.job_by_id[job]
            done_by_step = Counter(t.step_id for t in self.done if t.job == job)
            for occurrence in range(max(1, spec.occurrences)):
                for number, step in enumerate(spec.steps):
                    step_id = StepId(job, occurrence, number)
                    if done_by_step[step_id] < (1 if step.gang else step.count):
                        raise RuleViolationError(
                            f"{job} is reported as completed, but {step_id} is not done"
                        )
        if state == "cancelled" and job not in self.cancel_requested_at:
            raise RuleViolationError(
                f"{job} is reported as cancelled, but no cancel was requested"
            )
