"""Records that members and operators append to the platform log."""

from __future__ import annotations

from dataclasses import dataclass

from .configuration import Change
from .resources import Resources
from .work import Outcome, WorkSpec


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """A member as the others know it."""

    member: str
    address: str
    zone: str
    http_address: str


@dataclass(frozen=True, slots=True)
class ViewProposed:
    """Replace the view; valid if enough members of the current one voted.

    :param number: number of the new view
    :param votes: members of the current view that voted
    :param restart: whether an operator or an empty fleet starts afresh, with none
        of the current members
    """

    number: int
    members: tuple[MemberInfo, ...]
    votes: tuple[str, ...]
    author: str
    restart: bool = False


@dataclass(frozen=True, slots=True)
class WorkerReconciled:
    """The new owner of a worker says what runs there.

    :param worker: rack and name of the worker, as ``rack/name``
    :param held: names of the attempts that hold a task lease on the worker
    :param usage: resources that each team's attempts take there
    :param retired: whether it is gone, with no lease left on it
    """

    worker: str
    owner: str
    view: int
    held: tuple[str, ...]
    usage: tuple[TeamAmount, ...]
    retired: bool = False


@dataclass(frozen=True, slots=True)
class TeamAmount:
    """An amount of resources of one team."""

    team: str
    amount: Resources


@dataclass(frozen=True, slots=True)
class AllotmentsMoved:
    """A member gives parts of its allotments to another."""

    donor: str
    recipient: str
    amounts: tuple[TeamAmount, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """An operator's change, by compare-and-set on the version."""

    change_id: str
    base_version: int
    change: Change
    author: str
    wall: float


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job is accepted and must not be lost."""

    spec: WorkSpec
    wall: float


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller cancels a job."""

    job: str


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task of a job ended for good.

    :param result: opaque text from the worker
    :param ran_s: seconds that its last attempt ran
    :param wall: wall-clock time of its end
    """

    job: str
    index: int
    outcome: Outcome
    result: str = ""
    ran_s: float = 0.0
    wall: float = 0.0


@dataclass(frozen=True, slots=True)
class JobRefused:
    """A job ends because it can never run.

    :param reason: a sentence for the submitter
    """

    job: str
    reason: str


@dataclass(frozen=True, slots=True)
class AttemptBegun:
    """A non-idempotent request is about to be started."""

    team: str
    idempotency_key: str
    request: str
    wall: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """A non-idempotent request has its outcome."""

    team: str
    idempotency_key: str
    request: str
    outcome: Outcome
    answer: str


@dataclass(frozen=True, slots=True)
class MinuteUsed:
    """What one member ran in one minute.

    :param minute: minutes since the epoch
    :param processors: mean processors, in millicores
    """

    member: str
    minute: int
    processors: int


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of the reduced state.

    :param offset: log offset that the state includes
    :param index: number of this part, from 0
    :param count: number of parts
    """

    offset: int
    index: int
    count: int
    data: bytes


Record = (
    ViewProposed
    | WorkerReconciled
    | AllotmentsMoved
    | ConfigurationChanged
    | JobAccepted
    | JobCancelled
    | JobRefused
    | TaskEnded
    | AttemptBegun
    | AttemptEnded
    | MinuteUsed
    | SnapshotChunk
)
"""Anything that a batch may hold."""


@dataclass(frozen=True, slots=True)
class Batch:
    """Records appended together.

    :param writer: id of the writing process, unique to its start
    :param sequence: number of the batch, from 1, without gaps
    :param clock: Lamport clock of the writer
    """

    writer: str
    sequence: int
    clock: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A batch at its offset."""

    offset: int
    batch: Batch
