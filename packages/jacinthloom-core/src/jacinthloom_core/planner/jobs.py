"""State of jobs, occurrences, steps and tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import TYPE_CHECKING

from .specs import StepId, TaskId

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .specs import JobSpec, StepSpec


class JobState(Enum):
    """State that callers see."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class TaskState(IntEnum):
    """Where a task is on its way; the numbers are stored."""

    WAITING = 0
    PLACED = 1
    """Its worker is recorded, or about to be."""
    STARTING = 2
    """An order may have left."""
    RUNNING = 3
    """Its worker has listed it, or confirmed the start."""
    DONE = 4


@dataclass(slots=True)
class Task:
    """One task.

    :param run: number of the latest start
    :param worker: worker that it is placed on, until its end is listed; or empty
    :param incarnation: incarnation of that worker
    :param confirmed_at: time at which its worker confirmed the start
    :param placed_at: time at which this planner ordered the run; 0 for another's
    :param is_resumed: whether this run began with saved progress
    :param is_gauged: whether the progress of this run has told how fast its worker is
    :param barred_at: time from which a start that is not listed can't come any more
    :param stills: runs that were stopped since they showed no progress
    :param is_unsure: whether an order for this run went without an answer
    """

    id: TaskId
    step: StepRun
    state: TaskState = TaskState.WAITING
    run: int = 0
    worker: str = ""
    incarnation: int = 0
    failures: int = 0
    stills: int = 0
    checkpoint: str = ""
    percent: int = 0
    progress_at: float = 0.0
    placed_at: float = 0.0
    confirmed_at: float = 0.0
    is_unsure: bool = False
    is_stopping: bool = False
    is_resumed: bool = False
    is_gauged: bool = False
    barred_at: float = float("inf")
    retry_at: float = 0.0
    failed_on: set[str] = field(default_factory=set)

    @property
    def is_waiting(self) -> bool:
        """Whether it may be placed."""
        return self.state is TaskState.WAITING and not self.worker


@dataclass(slots=True)
class StepRun:
    """One step of one occurrence.

    :param done: tasks that have ended as done
    :param run: latest run of a gang; all its members share it
    :param failures: failed runs of a gang
    :param failed_run: latest run of a gang that has failed
    :param due_s: Unix time from which its objective counts, in seconds
    :param objective_s: seconds of its objective; 0 until it is first ranked
    :param latest_start_s: Unix time of the latest start that keeps the objective
    """

    id: StepId
    spec: StepSpec
    occurrence: Occurrence
    tasks: list[Task] = field(default_factory=list)
    done: int = 0
    run: int = 0
    failures: int = 0
    failed_run: int = 0
    due_s: float = 0.0
    objective_s: float = 0.0
    latest_start_s: float = 0.0

    @property
    def is_done(self) -> bool:
        """Whether all tasks have ended as done."""
        return self.done >= self.spec.count

    def waiting(self) -> list[Task]:
        """Return the tasks that may be placed."""
        return [task for task in self.tasks if task.is_waiting]


@dataclass(slots=True)
class Occurrence:
    """One occurrence of a job."""

    job: Job
    index: int
    steps: list[StepRun] = field(default_factory=list)

    @property
    def is_done(self) -> bool:
        """Whether every step is done."""
        return all(step.is_done for step in self.steps)


@dataclass(slots=True)
class Job:
    """One accepted job.

    :param outcome: its final state, once decided
    :param created: occurrences that exist so far
    :param is_stored: whether the record of it is stored
    :param is_final_stored: whether its final state is stored
    :param final_at: time at which its final state was decided
    """

    spec: JobSpec
    occurrences: dict[int, Occurrence] = field(default_factory=dict)
    created: int = 0
    outcome: JobState | None = None
    is_stored: bool = False
    is_final_stored: bool = False
    has_started: bool = False
    final_at: float = 0.0

    @property
    def is_over(self) -> bool:
        """Whether nothing of it may start any more."""
        return self.outcome is not None

    @property
    def has_placements(self) -> bool:
        """Whether a worker may still run something of it."""
        return any(task.worker for task in self.tasks())

    @property
    def shown(self) -> JobState:
        """State that may be told: a final one only once it is stored."""
        if self.outcome is not None and self.is_final_stored:
            return self.outcome
        return JobState.RUNNING if self.has_started else JobState.QUEUED

    def add_occurrence(self, index: int) -> Occurrence:
        """Create the steps and tasks of an occurrence."""
        occurrence = Occurrence(self, index)
        for number, spec in enumerate(self.spec.steps):
            step = StepRun(StepId(self.spec.id, index, number), spec, occurrence)
            step.tasks = [
                Task(TaskId(self.spec.id, index, number, position), step)
                for position in range(spec.count)
            ]
            occurrence.steps.append(step)
        self.occurrences[index] = occurrence
        self.created = max(self.created, index + 1)
        return occurrence

    def tasks(self) -> Iterator[Task]:
        """Yield every task."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                yield from step.tasks


def find_ready_steps(occurrence: Occurrence) -> list[StepRun]:
    """Return the steps whose earlier steps are all done and which are not."""
    return [
        step
        for step in occurrence.steps
        if not step.is_done
        and all(occurrence.steps[number].is_done for number in step.spec.after)
    ]
