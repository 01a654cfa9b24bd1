"""Input events of the planner, each with the time at which it happened."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .fleet import WorkerEntry
    from .rules import Rules
    from .specs import JobSpec, StepId, TaskId


class EndKind(Enum):
    """How a run ended, as its worker reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The lease expired."""
    GANG_BROKEN = "broken"
    """Another member of the gang ended."""
    GANG_INCOMPLETE = "alone"
    """The worker stopped waiting for the other members of the gang to start."""
    OTHER = "other"
    """The worker gave a reason that is not known here."""


class StartOutcome(Enum):
    """Outcome of a request to start a task."""

    STARTED = "started"
    FENCED = "fenced"
    STALE_RUN = "old"
    PAST_DEADLINE = "late"
    NO_CAPACITY = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_life"
    ANSWERED_BY_OTHER = "answered_by_other_life"
    """Another incarnation than the intended one responded: it may have carried out the
    start, and grants its longest lease by a deadline on another clock."""
    INVALID = "invalid"
    UNKNOWN = "unknown"
    """No response: the start may have taken effect, or may still do so."""
    NOT_SENT = "not_sent"
    """No part of the request was sent, as the worker can't be reached."""
    WITHHELD = "withheld"
    """Nothing was sent, as another member may have become the planner meanwhile."""


@dataclass(frozen=True, slots=True)
class RunProgress:
    """A run that a worker reports as running.

    :param checkpoint: latest checkpoint, or empty
    :param percent: progress of the run
    :param measurement: tail latency in milliseconds, or processors in use
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    measurement: float = 0.0


@dataclass(frozen=True, slots=True)
class RunEnd:
    """A run that a worker reports as ended.

    :param number: sequence number of the end on this incarnation of the worker
    :param checkpoint: latest checkpoint, or empty
    """

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Event:
    """Base class of all events.

    :param now: monotonic time of the event, in seconds
    """

    now: float


@dataclass(frozen=True, slots=True)
class JobSubmitted(Event):
    """A caller submitted a job.

    :param call: number that identifies the call in its ``Reply``
    """

    call: int
    job: JobSpec


@dataclass(frozen=True, slots=True)
class CancelRequested(Event):
    """A caller requested the cancellation of a job.

    :param call: number that identifies the call in its ``Reply``
    :param job: id of the job
    """

    call: int
    job: str


@dataclass(frozen=True, slots=True)
class BatchStored(Event):
    """The store acknowledged a batch."""

    number: int


@dataclass(frozen=True, slots=True)
class BatchRefused(Event):
    """The store refused a batch, and certainly stored nothing of it."""

    number: int


@dataclass(frozen=True, slots=True)
class RulesChanged(Event):
    """A new version of the operators' configuration took effect."""

    rules: Rules


@dataclass(frozen=True, slots=True)
class ZonesChanged(Event):
    """The set of availability zones that operators took out of service changed."""

    out: frozenset[str]


@dataclass(frozen=True, slots=True)
class WorkerListed(Event):
    """A worker's entry was added to the list of workers, or changed there."""

    entry: WorkerEntry


@dataclass(frozen=True, slots=True)
class WorkerUnlisted(Event):
    """A worker's entry was removed from the list of workers."""

    worker: str


@dataclass(frozen=True, slots=True)
class WorkerPolled(Event):
    """A worker answered a poll with its lists of running and ended runs.

    :param sent_at: monotonic time at which the poll was sent, in seconds
    :param token: fencing token that the poll carried
    :param incarnation: start of the worker's incarnation, Unix time in milliseconds
    :param clock_ms: the worker's clock when it answered, in milliseconds
    :param is_complete: whether the lists are whole, so that a run which they lack is
        neither running nor waiting for its end to be listed
    """

    worker: str
    sent_at: float
    token: int
    incarnation: int
    clock_ms: int
    running: tuple[RunProgress, ...]
    ends: tuple[RunEnd, ...]
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class WorkerPollFailed(Event):
    """A poll was refused, or not answered in time.

    :param fenced: whether the worker refused it because it has seen a newer token
    """

    worker: str
    fenced: bool = False


@dataclass(frozen=True, slots=True)
class StartAnswered(Event):
    """A request to start a task was answered, refused or abandoned."""

    worker: str
    task: TaskId
    run: int
    outcome: StartOutcome


@dataclass(frozen=True, slots=True)
class StopAnswered(Event):
    """A request to stop a run was answered or abandoned.

    :param is_confirmed: whether the worker confirmed it
    """

    worker: str
    task: TaskId
    run: int
    is_confirmed: bool


@dataclass(frozen=True, slots=True)
class AdviceGiven(Event):
    """The advice service answered a request.

    :param member: process that sent the request
    :param asked: workers that the request named
    :param good: worker and ticket, for each worker that may run the step
    """

    member: str
    step: StepId
    asked: tuple[str, ...]
    good: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class AdviceFailed(Event):
    """The advice service refused a request, or did not answer it."""

    member: str
    step: StepId


@dataclass(frozen=True, slots=True)
class MemberJoined(Event):
    """A process that can forward requests for advice connected."""

    member: str


@dataclass(frozen=True, slots=True)
class MemberLeft(Event):
    """A process that could forward requests for advice disconnected."""

    member: str


@dataclass(frozen=True, slots=True)
class FlushDue(Event):
    """The time of the next scheduling pass or batch has come."""


@dataclass(frozen=True, slots=True)
class Tick(Event):
    """Periodic timer event.

    :param wall_ms: Unix time in milliseconds
    :param lease_authority_until: time until which the planner may renew leases
    """

    wall_ms: int
    lease_authority_until: float = float("inf")
