"""Messages between members."""

from __future__ import annotations

from dataclasses import dataclass

from .answers import JobAnswer
from .records import LogEntry, MemberInfo, TeamAmount
from .resources import Resources
from .work import Grant, Outcome


@dataclass(frozen=True, slots=True)
class Room:
    """The capacity of an owner's workers and its current load.

    :param free: free resources on its open workers
    :param total: total capacity of its open workers
    :param queued: granted attempts that wait for free capacity
    :param deferrable: millicores used by deferrable work
    :param shapes: the distinct capacities of its open workers
    """

    free: Resources
    total: Resources
    queued: int
    deferrable: int = 0
    shapes: tuple[Resources, ...] = ()


@dataclass(frozen=True, slots=True)
class AssuranceAsked:
    """Request an assurance from a peer, and report this member's state to it.

    :param asked: monotonic clock of the requester, echoed in the response
    :param offset: the next log offset that the sender will apply
    :param leaving: whether the sender is shutting down
    """

    view: int
    asked: float
    offset: int
    room: Room
    leaving: bool


@dataclass(frozen=True, slots=True)
class Assurance:
    """A promise that the sender's view is ``view`` and that it voted for no later one.

    :param asked: the requester's monotonic clock, echoed from the request
    :param offset: the next log offset that the sender will apply
    :param standing: whether it holds until the sender is out of the view
    """

    view: int
    asked: float
    offset: int
    standing: bool = False


@dataclass(frozen=True, slots=True)
class VoteAsked:
    """Request a vote for a proposed next view."""

    number: int
    members: tuple[MemberInfo, ...]


@dataclass(frozen=True, slots=True)
class Vote:
    """A vote for a next view with these members."""

    number: int
    member_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class JoinAsked:
    """A new member's request to be in the next view.

    :param succeeds: member of the view on whose host the new member started, and
        which is therefore dead; empty if there is none
    """

    member: MemberInfo
    succeeds: str = ""


@dataclass(frozen=True, slots=True)
class EntriesAsked:
    """Request log entries, starting at an offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class EntriesTold:
    """Log entries that the sender has read."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class TasksGranted:
    """Grant attempts to a rack owner; sent by the coordinator of their jobs."""

    grants: tuple[Grant, ...]


@dataclass(frozen=True, slots=True)
class GrantReturned:
    """Return a grant to the coordinator: the attempt never ran and never will."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class AttemptHeld:
    """An owner has reserved capacity for a task of a gang."""

    key: str


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An owner has sent the start of an attempt, or its worker has accepted it.

    :param running: whether the worker has accepted the start
    """

    key: str
    worker: str
    running: bool


@dataclass(frozen=True, slots=True)
class AttemptOver:
    """An attempt ended, or its lease expired.

    :param ran_s: seconds that it ran
    :param blame_worker: whether the failure is attributed to the worker, not the task
    """

    key: str
    outcome: Outcome
    result: str
    ran_s: float
    worker: str
    blame_worker: bool = False


@dataclass(frozen=True, slots=True)
class AttemptStopAsked:
    """Request that an owner stop an attempt or discard its grant."""

    key: str


@dataclass(frozen=True, slots=True)
class GangReleased:
    """Request that an owner start the held tasks of a gang."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HoldingsAsked:
    """Request the attempts of the sender's jobs that an owner holds under a view."""

    view: int


@dataclass(frozen=True, slots=True)
class HoldingsTold:
    """Attempts of the requester's jobs that the sender holds under a view.

    :param workers: worker of each attempt, in the order of ``keys``
    """

    view: int
    keys: tuple[str, ...]
    workers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UsageChanged:
    """New resource usage of teams on the sender's workers, where it changed."""

    amounts: tuple[TeamAmount, ...]


@dataclass(frozen=True, slots=True)
class AllotmentAsked:
    """Request more allotment for teams."""

    amounts: tuple[TeamAmount, ...]


@dataclass(frozen=True, slots=True)
class JobAsked:
    """Request the state of a job from its coordinator.

    :param query: id of the query at the requester
    :param explain: whether to include a human-readable reason
    """

    query: int
    job: str
    explain: bool


@dataclass(frozen=True, slots=True)
class JobTold:
    """The state of a job, from its coordinator.

    :param query: id of the query, echoed from the request
    """

    query: int
    answer: JobAnswer


@dataclass(frozen=True, slots=True)
class JobProgress:
    """The running tasks of a deferrable job on the sender's workers.

    :param running: number of running tasks
    :param spent: total seconds that these tasks have run so far
    """

    job: str
    running: int
    spent: float


@dataclass(frozen=True, slots=True)
class ProgressTold:
    """The running tasks of all deferrable jobs on the sender's workers."""

    items: tuple[JobProgress, ...]


Message = (
    AssuranceAsked
    | Assurance
    | VoteAsked
    | Vote
    | JoinAsked
    | EntriesAsked
    | EntriesTold
    | TasksGranted
    | GrantReturned
    | AttemptHeld
    | AttemptStarted
    | AttemptOver
    | AttemptStopAsked
    | GangReleased
    | HoldingsAsked
    | HoldingsTold
    | UsageChanged
    | AllotmentAsked
    | JobAsked
    | JobTold
    | ProgressTold
)
"""Any message that a packet may carry."""


@dataclass(frozen=True, slots=True)
class Packet:
    """The envelope of a message between two members.

    :param clock: Lamport clock of the sender
    :param sequence: sequence number in the ordered channel, from 1; 0 for messages
        sent outside the channel
    :param acknowledged: last sequence number that the sender received in order from
        the recipient
    """

    sender: str
    recipient: str
    clock: int
    sequence: int
    acknowledged: int
    message: Message
