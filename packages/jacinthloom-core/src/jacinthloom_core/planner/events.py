"""Events that the planner reduces; each says when it happened."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .fleet import WorkerEntry
    from .rules import Rules
    from .specs import JobSpec, StepId, TaskId


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


class StartOutcome(Enum):
    """How a worker answered a start."""

    STARTED = "started"
    FENCED = "fenced"
    STALE_RUN = "old"
    PAST_DEADLINE = "late"
    NO_CAPACITY = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_life"
    INVALID = "invalid"
    UNKNOWN = "unknown"
    """No answer: it may have been carried out, or may be later."""
    NOT_SENT = "not_sent"
    """Nothing of it has left."""


@dataclass(frozen=True, slots=True)
class RunProgress:
    """A run that a worker lists as running.

    :param checkpoint: latest saved progress, or empty
    :param measurement: tail latency in milliseconds, or processors in use
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    measurement: float = 0.0


@dataclass(frozen=True, slots=True)
class RunEnd:
    """A run that a worker lists as ended.

    :param number: its place in the worker's list of ends
    """

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened.

    :param now: steady time in seconds
    """

    now: float


@dataclass(frozen=True, slots=True)
class JobSubmitted(Event):
    """A caller hands in a job."""

    call: int
    job: JobSpec


@dataclass(frozen=True, slots=True)
class CancelRequested(Event):
    """A caller cancels a job."""

    call: int
    job: str


@dataclass(frozen=True, slots=True)
class BatchStored(Event):
    """The store has acknowledged a batch."""

    number: int


@dataclass(frozen=True, slots=True)
class BatchRefused(Event):
    """The store has refused a batch: for certain nothing of it was stored."""

    number: int


@dataclass(frozen=True, slots=True)
class RulesChanged(Event):
    """The operators' configuration has a new version."""

    rules: Rules


@dataclass(frozen=True, slots=True)
class ZonesChanged(Event):
    """The set of zones that operators took out has changed."""

    out: frozenset[str]


@dataclass(frozen=True, slots=True)
class WorkerListed(Event):
    """A worker's entry has appeared or changed."""

    entry: WorkerEntry


@dataclass(frozen=True, slots=True)
class WorkerUnlisted(Event):
    """A worker's entry was removed."""

    worker: str


@dataclass(frozen=True, slots=True)
class WorkerPolled(Event):
    """A worker has answered a hold.

    :param sent_at: steady time at which the hold left
    :param token: fencing token that it carried
    :param clock_ms: the worker's clock when it answered
    """

    worker: str
    sent_at: float
    token: int
    incarnation: int
    clock_ms: int
    running: tuple[RunProgress, ...]
    ends: tuple[RunEnd, ...]


@dataclass(frozen=True, slots=True)
class WorkerPollFailed(Event):
    """A hold went without an answer.

    :param fenced: whether the worker refused it for a newer token
    """

    worker: str
    fenced: bool = False


@dataclass(frozen=True, slots=True)
class StartAnswered(Event):
    """A start was answered, or given up."""

    worker: str
    task: TaskId
    run: int
    outcome: StartOutcome


@dataclass(frozen=True, slots=True)
class StopAnswered(Event):
    """A stop was answered, or given up."""

    worker: str
    task: TaskId
    run: int
    is_confirmed: bool


@dataclass(frozen=True, slots=True)
class AdviceGiven(Event):
    """The advice service has answered.

    :param good: worker and ticket, for the workers that may run the step
    """

    member: str
    step: StepId
    asked: tuple[str, ...]
    good: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class AdviceFailed(Event):
    """The advice service did not answer, or refused."""

    member: str
    step: StepId


@dataclass(frozen=True, slots=True)
class MemberJoined(Event):
    """A process that can ask for advice is connected."""

    member: str


@dataclass(frozen=True, slots=True)
class MemberLeft(Event):
    """A process that could ask for advice is gone."""

    member: str


@dataclass(frozen=True, slots=True)
class FlushDue(Event):
    """A batch may leave."""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed.

    :param wall_ms: Unix time in milliseconds
    """

    wall_ms: int
