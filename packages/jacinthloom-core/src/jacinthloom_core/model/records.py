"""Records that members and operators append to the platform log."""

from __future__ import annotations

from dataclasses import dataclass

from .configuration import Change
from .resources import Resources
from .work import Outcome, WorkSpec


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """The identity and addresses of a member."""

    member: str
    address: str
    zone: str
    http_address: str


@dataclass(frozen=True, slots=True)
class ViewProposed:
    """Replace the view; valid if enough members of the current view voted for it.

    :param number: number of the new view
    :param votes: members of the current view that voted
    :param restart: whether the view starts over without votes of the current members,
        because an operator restarted the fleet or the fleet was empty
    """

    number: int
    members: tuple[MemberInfo, ...]
    votes: tuple[str, ...]
    author: str
    restart: bool = False


@dataclass(frozen=True, slots=True)
class WorkerReconciled:
    """The state of a worker as recorded by its new owner.

    :param worker: rack and name of the worker, as ``rack/name``
    :param held: names of the attempts that hold a task lease on the worker
    :param usage: resources that each team's attempts reserve there
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
    """An amount of resources for one team."""

    team: str
    amount: Resources


@dataclass(frozen=True, slots=True)
class AllotmentsMoved:
    """A transfer of allotments from one member to another."""

    donor: str
    recipient: str
    amounts: tuple[TeamAmount, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A configuration change by an operator, by compare-and-set on the version."""

    change_id: str
    base_version: int
    change: Change
    author: str
    wall: float


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job was accepted and must not be lost."""

    spec: WorkSpec
    wall: float


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller cancelled a job."""

    job: str


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task of a job reached its final state.

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
    """A job ended because it can never run.

    :param reason: human-readable reason for the submitter
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
    """A non-idempotent request has ended, with this outcome."""

    team: str
    idempotency_key: str
    request: str
    outcome: Outcome
    answer: str


@dataclass(frozen=True, slots=True)
class MinuteUsed:
    """The processor usage of one member's workers in one minute.

    :param minute: minutes since the epoch
    :param processors: mean usage, in millicores
    """

    member: str
    minute: int
    processors: int


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A chunk of a snapshot of the log state.

    :param offset: next log offset to apply to the snapshot's state
    :param index: number of this chunk, from 0
    :param count: number of chunks
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
"""Any record that a batch may hold."""


@dataclass(frozen=True, slots=True)
class Batch:
    """Records appended to the log together.

    :param writer: id of the writing member, unique to one incarnation of its process
    :param sequence: sequence number of the batch, from 1, without gaps
    :param clock: Lamport clock of the writer
    """

    writer: str
    sequence: int
    clock: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A batch at its log offset."""

    offset: int
    batch: Batch
