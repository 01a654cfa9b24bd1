"""Specifications of jobs and steps as submitted, and identifiers of steps and tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ..model.resources import Resources


class StepId(NamedTuple):
    """Identifier of one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class TaskId(NamedTuple):
    """Identifier of one task."""

    job: str
    occurrence: int
    step: int
    position: int

    @property
    def step_id(self) -> StepId:
        """Identifier of the step that the task belongs to."""
        return StepId(self.job, self.occurrence, self.step)


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step as it was submitted.

    :param count: number of tasks
    :param size: resources that each task needs
    :param estimate_s: declared run time of a task, in seconds
    :param after: numbers of the steps that must be done before this one starts
    :param checkpoints: whether tasks save checkpoints to resume from
    :param gang: whether all tasks must run at the same time
    :param same_rack: whether the tasks should run in one rack
    :param label: label that a worker must have, or empty
    :param data_rack: rack that holds the input data, or empty
    :param most_per_worker: maximum number of tasks on one worker; 0 for no limit
    :param lasting: whether tasks run until the job is cancelled
    :param target_s: bound on the tail latency of a serving task, in seconds; 0 for none
    :param fills: whether tasks use only processor time that other tasks leave idle
    :param may_miss: number of lasting tasks that may be down through the scheduler's
        own actions
    """

    count: int
    size: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_s: float = 0.0
    fills: bool = False
    may_miss: int = 0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was submitted.

    :param queue: name of the queue
    :param tenant: name of the client account
    :param payload: text that is passed to every task
    :param received_ms: Unix time of the first submission, in milliseconds
    :param first_due_ms: Unix time at which occurrence 0 is due, in milliseconds
    :param period_ms: milliseconds between two occurrences
    :param occurrences: how many times the steps run; 0 to run them once, immediately
    """

    id: str
    queue: str
    tenant: str
    payload: str
    steps: tuple[StepSpec, ...]
    received_ms: int
    first_due_ms: int = 0
    period_ms: int = 0
    occurrences: int = 0

    @property
    def is_timed(self) -> bool:
        """Whether occurrences start at scheduled times."""
        return self.occurrences > 0


class JobSpecError(ValueError):
    """Raised for a job that can't be accepted; the message lists the reasons."""


MAX_PAYLOAD_BYTES = 4000
"""Maximum size of a payload in bytes, set by the interface for callers."""

MAX_TASKS = 2_000
"""Maximum number of tasks in a job: the record of an occurrence holds no more."""

MAX_AMOUNT = 1 << 40
"""Upper bound on the amount of a resource; larger values are rejected as invalid."""

MAX_NUMBER = 1 << 53
"""Upper bound on other numbers; larger ones can't be represented exactly everywhere."""

MAX_DURATION_S = 1e9
"""Upper bound on a declared duration, in seconds."""


@dataclass(frozen=True, slots=True)
class _Check:
    """Collects the reasons why a submitted job is invalid."""

    spec: JobSpec
    problems: list[str] = field(default_factory=list)

    def run(self) -> None:
        spec = self.spec
        if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
            self.problems.append(f"the payload exceeds {MAX_PAYLOAD_BYTES} bytes")
        if not spec.steps:
            self.problems.append("a job needs at least one step")
        if sum(max(0, step.count) for step in spec.steps) > MAX_TASKS:
            self.problems.append(f"a job has at most {MAX_TASKS} tasks")
        times = (spec.occurrences, spec.period_ms, spec.first_due_ms)
        if min(times) < 0:
            self.problems.append("occurrences, period and due time can't be negative")
        if max(times) > MAX_NUMBER:
            self.problems.append(
                f"occurrences, period and due time are at most {MAX_NUMBER}"
            )
        for number, step in enumerate(spec.steps):
            self._check_step(number, step)

    def _check_step(self, number: int, step: StepSpec) -> None:
        size = step.size
        amounts = (size.processors, size.memory, size.accelerators)
        if step.count < 1:
            self.problems.append(f"step {number} has no tasks")
        if min(amounts) < 0 or max(amounts) > MAX_AMOUNT:
            self.problems.append(f"step {number} has an invalid resource amount")
        if any(not 0 <= earlier < number for earlier in step.after):
            self.problems.append(f"step {number} depends on a step that isn't earlier")
        limits = (step.most_per_worker, step.may_miss)
        durations = (step.estimate_s, step.target_s)
        if min(*limits, *durations) < 0:
            self.problems.append(f"step {number} has a negative estimate or limit")
        if max(limits) > MAX_NUMBER or max(durations) > MAX_DURATION_S:
            self.problems.append(f"step {number} has too large an estimate or limit")


def check_job(spec: JobSpec) -> None:
    """Validate a submitted job.

    :raises JobSpecError: if the job is invalid, with all reasons
    """
    check = _Check(spec)
    check.run()
    if check.problems:
        raise JobSpecError("; ".join(check.problems))
