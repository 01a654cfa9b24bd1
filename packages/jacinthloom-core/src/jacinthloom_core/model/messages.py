"""Messages between members."""

from __future__ import annotations

from dataclasses import dataclass

from .answers import JobAnswer
from .records import LogEntry, MemberInfo, TeamAmount
from .resources import Resources
from .work import Grant, Outcome


@dataclass(frozen=True, slots=True)
class Room:
    """What an owner can still start.

    :param free: free resources on its open workers
    :param total: capacity of its open workers
    :param queued: granted attempts that wait for room
    :param deferrable: millicores taken by work that could have waited
    :param shapes: the different capacities of its open workers
    """

    free: Resources
    total: Resources
    queued: int
    deferrable: int = 0
    shapes: tuple[Resources, ...] = ()


@dataclass(frozen=True, slots=True)
class AssuranceAsked:
    """Ask a peer for an assurance, and tell it this member's state.

    :param asked: monotonic clock of the asker, echoed in the reply
    """

    view: int
    asked: float
    offset: int
    room: Room
    leaving: bool


@dataclass(frozen=True, slots=True)
class Assurance:
    """The sender's view is ``view`` and it voted for no later one.

    :param offset: the next log offset that the sender will apply
    :param standing: whether it holds until the sender is out of the view
    """

    view: int
    asked: float
    offset: int
    standing: bool = False


@dataclass(frozen=True, slots=True)
class VoteAsked:
    """Ask for a vote on a next view."""

    number: int
    members: tuple[MemberInfo, ...]


@dataclass(frozen=True, slots=True)
class Vote:
    """The sender votes for a next view with these members."""

    number: int
    member_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class JoinAsked:
    """A newcomer asks to be in the next view.

    :param succeeds: member of the view on whose host the newcomer started, and
        which is therefore dead; empty if there is none
    """

    member: MemberInfo
    succeeds: str = ""


@dataclass(frozen=True, slots=True)
class EntriesAsked:
    """Ask for log entries from an offset on."""

    offset: int


@dataclass(frozen=True, slots=True)
class EntriesTold:
    """Log entries that a peer has read."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class TasksGranted:
    """A home grants attempts to a rack owner."""

    grants: tuple[Grant, ...]


@dataclass(frozen=True, slots=True)
class GrantReturned:
    """An owner gives a grant back: it never ran and never will."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class AttemptHeld:
    """An owner has reserved room for a task of a gang."""

    key: str


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An owner has sent the start of an attempt, or had it accepted."""

    key: str
    worker: str
    running: bool


@dataclass(frozen=True, slots=True)
class AttemptOver:
    """An attempt ended, or its lease lapsed.

    :param blame_worker: whether the worker is to blame rather than the task
    """

    key: str
    outcome: Outcome
    result: str
    ran_s: float
    worker: str
    blame_worker: bool = False


@dataclass(frozen=True, slots=True)
class AttemptStopAsked:
    """A home asks an owner to stop an attempt or forget its grant."""

    key: str


@dataclass(frozen=True, slots=True)
class GangReleased:
    """A home tells an owner to start the held tasks of a gang."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HoldingsAsked:
    """A home asks what an owner holds of its jobs under a view."""

    view: int


@dataclass(frozen=True, slots=True)
class HoldingsTold:
    """Attempts of the asker's jobs that the sender holds under a view.

    :param workers: worker of each
    """

    view: int
    keys: tuple[str, ...]
    workers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UsageChanged:
    """Teams whose use of the sender's workers changed."""

    amounts: tuple[TeamAmount, ...]


@dataclass(frozen=True, slots=True)
class AllotmentAsked:
    """A member lacks allotment for these teams."""

    amounts: tuple[TeamAmount, ...]


@dataclass(frozen=True, slots=True)
class JobAsked:
    """Ask a job's home about it.

    :param query: id of the question at the asker
    """

    query: int
    job: str
    explain: bool


@dataclass(frozen=True, slots=True)
class JobTold:
    """What a job's home says of it."""

    query: int
    answer: JobAnswer


@dataclass(frozen=True, slots=True)
class JobProgress:
    """What runs of a deferrable job on the sender's workers.

    :param spent: seconds that these tasks have run so far, added up
    """

    job: str
    running: int
    spent: float


@dataclass(frozen=True, slots=True)
class ProgressTold:
    """What runs on the sender's workers of all deferrable jobs."""

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
"""Anything that a packet may carry."""


@dataclass(frozen=True, slots=True)
class Packet:
    """A message on its way between two members.

    :param clock: Lamport clock of the sender
    :param sequence: number in the ordered channel, from 1; 0 outside of it
    :param acknowledged: last number received in order the other way
    """

    sender: str
    recipient: str
    clock: int
    sequence: int
    acknowledged: int
    message: Message
