"""State of jobs and of their occurrences, steps and tasks."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum, IntEnum
from operator import attrgetter
from typing import TYPE_CHECKING

from .specs import StepId, StepSpec, TaskId

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .fleet import WorkerLoss
    from .paths import JobPaths
    from .specs import JobSpec


class JobState(Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


_get_shape = attrgetter(*(f.name for f in fields(StepSpec) if f.name != "after"))

FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class TaskState(IntEnum):
    """Stage of a task between submission and completion."""

    WAITING = 0
    PLACED = 1
    """A worker is chosen, and the record of it is stored or about to be."""
    STARTING = 2
    """The order to start may have been sent."""
    RUNNING = 3
    """The worker has listed the run, or confirmed its start."""
    DONE = 4


@dataclass(frozen=True, slots=True)
class Crash:
    """Loss of a worker that ran a task.

    :param incarnation: incarnation of the worker that was lost
    :param run: number of the run, and of later starts that crashed no worker
    :param is_fresh: whether the worker was lost before it had outlived the task's start
    :param is_certain: whether the worker has certainly crashed, and had started it
    :param is_common: whether other workers were lost at the same time
    :param max_age_s: maximum seconds from the start of the run to the loss
    """

    worker: str
    incarnation: int
    run: int
    is_fresh: bool
    is_certain: bool
    is_common: bool = False
    max_age_s: float = float("inf")


@dataclass(slots=True)
class Task:
    """State of one task.

    :param run: number of the latest run, which rises with each start
    :param worker: worker that the task is placed on, or empty; kept until the run has
        certainly ended
    :param incarnation: incarnation of that worker
    :param failures: failed runs
    :param stall_count: runs that were stopped because they made no progress
    :param checkpoint: latest checkpoint, or empty
    :param percent: progress of this run
    :param progress_at: time at which ``percent`` last changed; 0 if it is unknown
    :param placed_at: time at which this planner ordered the run; 0 if an earlier
        planner did
    :param confirmed_at: time at which the worker confirmed the start
    :param expected_end: time at which this run is expected to end, as ``PlacedWork``
        rounds it
    :param has_unknown_outcome: whether an order for this run was not answered
    :param is_resumed: whether this run started from a checkpoint
    :param preemptions: runs that were stopped to make room for a gang
    :param is_isolated: whether it was placed where no other job starts tasks meanwhile
    :param is_speed_recorded: whether the progress of this run was used to measure the
        speed of its worker
    :param barred_at: time from which the worker can't start the run any more: if a
        later list lacks the run, it will never start
    :param failed_on: workers on which it has failed
    :param crashes: workers that were lost while they ran it; stored, so that later
        planners know them
    :param outlived_s: maximum seconds of a run that its worker was lost under, and had
        outlived; stored like ``crashes``
    :param lost_at: time at which the latest of ``crashes`` was recorded or loaded
    :param loss: loss of contact that the latest of ``crashes`` followed
    :param is_blamed: whether it is given up, unless the latest of ``crashes`` turns out
        to have a common cause with others
    """

    id: TaskId
    step: StepRun
    state: TaskState = TaskState.WAITING
    run: int = 0
    worker: str = ""
    incarnation: int = 0
    failures: int = 0
    stall_count: int = 0
    preemptions: int = 0
    checkpoint: str = ""
    percent: int = 0
    progress_at: float = 0.0
    placed_at: float = 0.0
    confirmed_at: float = 0.0
    expected_end: float = 0.0
    has_unknown_outcome: bool = False
    is_stopping: bool = False
    is_resumed: bool = False
    is_isolated: bool = False
    is_speed_recorded: bool = False
    barred_at: float = float("inf")
    retry_at: float = 0.0
    failed_on: set[str] = field(default_factory=set)
    crashes: list[Crash] = field(default_factory=list)
    outlived_s: float = 0.0
    lost_at: float = 0.0
    loss: WorkerLoss | None = None
    is_blamed: bool = False

    @property
    def failed_attempts(self) -> int:
        """Number of failed runs, which the members of a gang share."""
        return self.step.failures if self.step.spec.gang else self.failures

    @property
    def is_waiting(self) -> bool:
        """Whether the task may be placed."""
        return self.state is TaskState.WAITING and not self.worker


@dataclass(slots=True)
class StepRun:
    """State of one step of one occurrence.

    :param done: number of tasks that are done
    :param placed: number of tasks that are placed on a worker
    :param run: number of the latest run of a gang, which all its members share
    :param failures: failed runs of a gang
    :param failed_run: number of the latest failed run of a gang
    :param due_s: Unix time from which the objective is measured, in seconds
    :param objective_s: seconds that the objective allows; 0 until the first ranking
    :param estimated_ms: Unix time of that estimate, in milliseconds
    :param latest_start_s: Unix time of the latest start that meets the objective, in
        seconds
    :param past_use_shift_s: seconds by which the past usage of the client account
        delayed the step in the last ranking; negative if it is preferred
    :param is_shift_noted: whether the log has a line about the shift
    :param ratio_by_run: worker of each run that was observed from start to end, with
        the ratio of the run time to the declared one
    :param slack_s: seconds until the latest start, as of the latest scheduling pass
    :param shape: number that the steps of a job share which differ only in what they
        depend on
    """

    id: StepId
    spec: StepSpec
    occurrence: Occurrence
    tasks: list[Task] = field(default_factory=list)
    done: int = 0
    placed: int = 0
    run: int = 0
    failures: int = 0
    failed_run: int = 0
    due_s: float = 0.0
    objective_s: float = 0.0
    estimated_ms: int = 0
    latest_start_s: float = 0.0
    past_use_shift_s: float = 0.0
    is_shift_noted: bool = False
    ratio_by_run: list[tuple[str, float]] = field(default_factory=list)
    slack_s: float = 0.0
    shape: int = 0
    _prerequisites_done: int = 0

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return self.done >= self.spec.count

    @property
    def has_prerequisites_done(self) -> bool:
        """Whether the steps that must be done before this one are.

        Steps that are done stay so: each prerequisite is passed once.
        """
        after, steps = self.spec.after, self.occurrence.steps
        number = self._prerequisites_done
        while number < len(after) and steps[after[number]].is_done:
            number += 1
        self._prerequisites_done = number
        return number == len(after)

    def list_waiting(self) -> list[Task]:
        """Return the tasks that may be placed."""
        return [task for task in self.tasks if task.is_waiting]


@dataclass(slots=True)
class Occurrence:
    """State of one occurrence of a job."""

    job: Job
    index: int
    steps: list[StepRun] = field(default_factory=list)
    _leading_done: int = 0

    @property
    def is_done(self) -> bool:
        """Whether every step is done; each is passed once, as for prerequisites."""
        number, steps = self._leading_done, self.steps
        while number < len(steps) and steps[number].is_done:
            number += 1
        self._leading_done = number
        return number == len(steps)


@dataclass(slots=True)
class Job:
    """State of one accepted job.

    :param next_occurrence: lowest index that this planner has not yet opened: an
        occurrence has no record until a task of it is placed, so records of later
        occurrences say nothing about it
    :param outcome: final state, once decided
    :param is_stored: whether the record of the job is stored
    :param is_final_stored: whether the final state is stored
    :param has_started: whether a worker has confirmed or listed a run of any task
    :param final_at: time at which the final state was decided
    :param is_beyond_share: whether its client account submitted more jobs than it is
        entitled to when the fleet is full
    :param paths: latest estimate of the paths through its steps
    :param shapes: shape of each step, see :class:`StepRun`
    :param followers_by_step: numbers of the steps that depend on each step
    """

    spec: JobSpec
    occurrences: dict[int, Occurrence] = field(default_factory=dict)
    next_occurrence: int = 0
    outcome: JobState | None = None
    is_stored: bool = False
    is_final_stored: bool = False
    has_started: bool = False
    final_at: float = 0.0
    is_beyond_share: bool = False
    paths: JobPaths | None = None
    shapes: tuple[int, ...] = ()
    followers_by_step: dict[int, list[int]] = field(default_factory=dict)

    @property
    def is_over(self) -> bool:
        """Whether the final state is decided, so that no more tasks may start."""
        return self.outcome is not None

    @property
    def objective_s(self) -> float:
        """Seconds that the objective allows; 0 if no step was ranked yet."""
        steps = (s for o in self.occurrences.values() for s in o.steps)
        return max((step.objective_s for step in steps), default=0.0)

    @property
    def has_placements(self) -> bool:
        """Whether a worker may still run any of the job's tasks."""
        return any(task.worker for task in self.tasks())

    @property
    def visible_state(self) -> JobState:
        """State shown to callers: a final state appears only once it is stored."""
        if self.outcome is not None and self.is_final_stored:
            return self.outcome
        return JobState.RUNNING if self.has_started else JobState.QUEUED

    def add_occurrence(self, index: int) -> Occurrence:
        """Create an occurrence with its steps and tasks."""
        occurrence = Occurrence(self, index)
        if not self.shapes:
            self.shapes = number_shapes(self.spec.steps)
            for number, spec in enumerate(self.spec.steps):
                for earlier in dict.fromkeys(spec.after):
                    self.followers_by_step.setdefault(earlier, []).append(number)
        for number, spec in enumerate(self.spec.steps):
            step = StepRun(StepId(self.spec.id, index, number), spec, occurrence)
            step.shape = self.shapes[number]
            step.tasks = [
                Task(TaskId(self.spec.id, index, number, position), step)
                for position in range(spec.count)
            ]
            occurrence.steps.append(step)
        self.occurrences[index] = occurrence
        return occurrence

    def count_unfinished(self) -> int:
        """Return how many occurrences were created and are not done."""
        return sum(not occurrence.is_done for occurrence in self.occurrences.values())

    def clear(self) -> None:
        """Drop the occurrences, so that no reference cycle keeps their memory."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                step.tasks.clear()
            occurrence.steps.clear()
        self.occurrences.clear()

    def tasks(self) -> Iterator[Task]:
        """Yield the tasks of all occurrences."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                yield from step.tasks


def number_shapes(steps: tuple[StepSpec, ...]) -> tuple[int, ...]:
    """Return a number for each step, the same for steps that are alike."""
    number_by_shape: dict[tuple[object, ...], int] = {}
    shapes = []
    for step in steps:
        number = number_by_shape.setdefault(_get_shape(step), len(number_by_shape))
        shapes.append(number)
    return tuple(shapes)


def find_ready_steps(occurrence: Occurrence) -> list[StepRun]:
    """Return the unfinished steps whose prerequisites are all done."""
    return [
        step
        for step in occurrence.steps
        if not step.is_done and step.has_prerequisites_done
    ]


def find_steps_made_ready(step: StepRun) -> list[StepRun]:
    """Return the unfinished steps that only waited for a step which is done now."""
    occurrence = step.occurrence
    followers = occurrence.job.followers_by_step.get(step.id.step, ())
    later = (occurrence.steps[number] for number in followers)
    return [s for s in later if not s.is_done and s.has_prerequisites_done]
