"""What a caller asks for: jobs, their steps, and names of tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ..model.resources import Resources


class StepId(NamedTuple):
    """Name of one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class TaskId(NamedTuple):
    """Name of one task."""

    job: str
    occurrence: int
    step: int
    position: int

    @property
    def step_id(self) -> StepId:
        """Name of the step that the task belongs to."""
        return StepId(self.job, self.occurrence, self.step)


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step as it was submitted.

    :param size: what each task needs
    :param estimate_s: rough run time of a task, in seconds
    :param after: numbers of steps that must be done before
    :param label: label that a worker must have, or empty
    :param data_rack: rack that holds the data, or empty
    :param most_per_worker: most tasks on one worker; 0 without a bound
    :param lasting: whether tasks run until the job is cancelled
    :param target_s: bound on the tail latency of a serving task; 0 without one
    :param fills: whether tasks use only processor time that others leave
    :param may_miss: lasting tasks that may be away by our own doing
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
    :param payload: text that every task is started with
    :param received_ms: Unix time of its first submission, in milliseconds
    :param first_due_ms: Unix time at which occurrence 0 is due, in milliseconds
    :param period_ms: milliseconds between two occurrences
    :param occurrences: how many times the steps run; 0 for once, at once
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
        """Whether occurrences start at given times."""
        return self.occurrences > 0


class JobSpecError(ValueError):
    """A job can't be accepted; the text says why."""


MAX_PAYLOAD_BYTES = 4000
"""Longest payload, in bytes; from the users' interface."""

MAX_TASKS = 20_000
"""Most tasks in a job: what a stored record of one occurrence can hold."""

MAX_AMOUNT = 1 << 40
"""Largest amount of a resource that is taken for a number."""


@dataclass(frozen=True, slots=True)
class _Check:
    """Checks a submitted job."""

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
        if min(spec.occurrences, spec.period_ms, spec.first_due_ms) < 0:
            self.problems.append("times and counts can't be negative")
        for number, step in enumerate(spec.steps):
            self._check_step(number, step)

    def _check_step(self, number: int, step: StepSpec) -> None:
        size = step.size
        amounts = (size.processors, size.memory, size.accelerators)
        if step.count < 1:
            self.problems.append(f"step {number} has no tasks")
        if min(amounts) < 0 or max(amounts) > MAX_AMOUNT:
            self.problems.append(f"step {number} asks for an impossible amount")
        if any(not 0 <= earlier < number for earlier in step.after):
            self.problems.append(f"step {number} depends on a step that isn't earlier")
        if step.estimate_s < 0 or step.most_per_worker < 0 or step.may_miss < 0:
            self.problems.append(f"step {number} has a negative bound")


def check_job(spec: JobSpec) -> None:
    """Refuse a job that can't be read as a plan.

    :raises JobSpecError: with every reason
    """
    check = _Check(spec)
    check.run()
    if check.problems:
        raise JobSpecError("; ".join(check.problems))
