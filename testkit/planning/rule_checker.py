"""Judge what workers do against the rules that must always hold."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from jacinthloom_core.planner.events import EndKind

if TYPE_CHECKING:
    from jacinthloom_core.planner.effects import Start
    from jacinthloom_core.planner.specs import JobSpec, StepId, StepSpec, TaskId

    from .worker import VirtualWorker


CANCEL_S = 3.0
"""Seconds after an acknowledged cancel from which nothing of the job may start."""


class RuleViolationError(AssertionError):
    """A rule was broken."""


class RuleChecker:
    """Sees every start, end and answer."""

    def __init__(self, limit_by_tenant: dict[str, int], max_attempts: int) -> None:
        self._limit_by_tenant = limit_by_tenant
        self._max_attempts = max_attempts
        self.job_by_id: dict[str, JobSpec] = {}
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.cancel_stored_at: dict[str, float] = {}
        self.running: dict[TaskId, tuple[VirtualWorker, int]] = {}
        self.noted_done: set[TaskId] = set()
        self.done: set[TaskId] = set()
        self.failures_by_step: Counter[StepId] = Counter()
        """Failed runs of each gang, and the most of any task of other steps."""
        self._failures: Counter[TaskId] = Counter()
        self._noted_failures: dict[TaskId, list[float]] = defaultdict(list)
        self._started_at: dict[TaskId, float] = {}
        self.usage: dict[str, int] = defaultdict(int)

    def find_step(self, task: TaskId) -> StepSpec:
        """Return the step of a task."""
        return self.job_by_id[task.job].steps[task.step]

    def on_start(self, worker: VirtualWorker, start: Start, now: float) -> None:
        """Check a start that a worker carries out."""
        task = start.task
        spec = self.job_by_id.get(task.job)
        if spec is None or spec.payload != start.payload:
            raise RuleViolationError(f"{task} was never submitted so")
        if task.job in self.refused:
            raise RuleViolationError(f"{task} of a refused job starts")
        if task in self.running:
            raise RuleViolationError(f"{task} runs twice at {now}")
        if task in self.noted_done:
            raise RuleViolationError(f"{task} starts after its end was noted")
        if now - self.cancel_stored_at.get(task.job, now) > CANCEL_S:
            raise RuleViolationError(f"{task} starts after its job was cancelled")
        step = self.find_step(task)
        for number in step.after:
            earlier = spec.steps[number]
            for position in range(earlier.count):
                before = task._replace(step=number, position=position)
                if before not in self.done and not spec.steps[number].gang:
                    raise RuleViolationError(f"{task} starts before {before} is done")
        if len(self._noted_failures[task]) >= self._max_attempts and not step.lasting:
            raise RuleViolationError(f"{task} starts after its last failure")
        self._started_at[task] = now
        self.running[task] = (worker, start.run)
        self.usage[spec.tenant] += step.size.processors
        limit = self._limit_by_tenant[spec.tenant]
        if self.usage[spec.tenant] > limit * 1.1 + step.size.processors:
            raise RuleViolationError(f"{spec.tenant} uses {self.usage[spec.tenant]}")
        if step.most_per_worker:
            present = [
                other
                for other, (place, _) in self.running.items()
                if place is worker and other.step_id == task.step_id
            ]
            if len(present) > step.most_per_worker:
                raise RuleViolationError(f"{worker.id} has too many of {task.step_id}")
        if worker.count_used() > worker.capacity.processors:
            raise RuleViolationError(f"{worker.id} is over its capacity")

    def on_end(self, task: TaskId, how: EndKind) -> None:
        """Note the end of a run."""
        self.running.pop(task, None)
        tenant = self.job_by_id[task.job].tenant
        self.usage[tenant] -= self.find_step(task).size.processors
        if how is EndKind.DONE:
            self.done.add(task)
        if how is EndKind.FAILED:
            self._count_failure(task)

    def _count_failure(self, task: TaskId) -> None:
        self._failures[task] += 1
        step = task.step_id
        if self.find_step(task).gang:
            self.failures_by_step[step] += 1
        else:
            most = max(self.failures_by_step[step], self._failures[task])
            self.failures_by_step[step] = most

    def on_noted(self, task: TaskId, how: EndKind, ended_at: float) -> None:
        """Note that a worker was told to forget an end."""
        started_at = self._started_at[task]
        if how is EndKind.DONE:
            self.noted_done.add(task)
            if started_at > ended_at:
                raise RuleViolationError(f"{task} was started after it was done")
        if how is EndKind.FAILED:
            noted = self._noted_failures[task]
            noted.append(ended_at)
            is_over = len(noted) >= self._max_attempts
            if is_over and started_at > sorted(noted)[self._max_attempts - 1]:
                raise RuleViolationError(f"{task} was started after its last failure")

    def on_shown(self, job: str, state: str | None) -> None:
        """Check a state that was told."""
        if state is None and job in self.accepted:
            raise RuleViolationError(f"{job} was accepted and is not known")
        if state == "completed":
            spec = self.job_by_id[job]
            for number, step in enumerate(spec.steps):
                found = [t for t in self.done if t.job == job and t.step == number]
                if len(found) < (1 if step.gang else step.count):
                    raise RuleViolationError(f"{job} is shown as completed too early")
        if state == "cancelled" and job not in self.cancelled_at:
            raise RuleViolationError(f"{job} was never cancelled")
