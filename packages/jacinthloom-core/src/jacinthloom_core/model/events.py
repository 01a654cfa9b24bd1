"""Everything that can happen to a member."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .messages import Packet
    from .operations import OperatorRequest
    from .records import LogEntry
    from .reports import Completion, HostInfo, StartResult, TaskUse, WorkerReport
    from .work import WorkSpec


@dataclass(frozen=True, slots=True)
class Event:
    """Base of all events.

    :param now: monotonic clock of the process, in seconds
    :param wall: seconds since the epoch
    """

    now: float
    wall: float


@dataclass(frozen=True, slots=True)
class Ticked(Event):
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class LogRead(Event):
    """The log answered a read.

    :param asked: monotonic time at which the read was asked for
    :param at_tail: whether nothing followed the entries
    :param first: earliest offset that the log still has
    """

    asked: float
    entries: tuple[LogEntry, ...]
    at_tail: bool
    first: int = 0


@dataclass(frozen=True, slots=True)
class AppendFinished(Event):
    """An append ended; a failed one may have taken effect all the same."""

    sequence: int
    succeeded: bool


@dataclass(frozen=True, slots=True)
class PeerConnected(Event):
    """A stream to a peer is open again."""

    peer: str


@dataclass(frozen=True, slots=True)
class PacketReceived(Event):
    """A packet came from a peer."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class HostsListed(Event):
    """The platform's host list was read."""

    hosts: tuple[HostInfo, ...]


@dataclass(frozen=True, slots=True)
class WorkerReported(Event):
    """A worker said what it is and what it runs.

    :param asked: monotonic time at which the report was asked for
    """

    worker: str
    asked: float
    report: WorkerReport


@dataclass(frozen=True, slots=True)
class ExchangeAnswered(Event):
    """A worker answered an exchange.

    :param missing: renewed attempts that the worker does not run
    """

    worker: str
    exchange: int
    results: tuple[StartResult, ...]
    uses: tuple[TaskUse, ...] = ()
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ExchangeFailed(Event):
    """An exchange got no answer.

    :param sent: whether any byte of it may have left the process
    """

    worker: str
    exchange: int
    sent: bool


@dataclass(frozen=True, slots=True)
class ReportFailed(Event):
    """A worker did not say what it runs."""

    worker: str


@dataclass(frozen=True, slots=True)
class CompletionsRead(Event):
    """A worker told what ended on it.

    :param cursor: number of the last completion
    """

    worker: str
    completions: tuple[Completion, ...]
    cursor: int


@dataclass(frozen=True, slots=True)
class RequestReceived(Event):
    """A caller asks for work.

    :param call: id of the open HTTP request
    :param key: team key as presented; empty when there was none
    :param spec: the work; its team and deadline are filled in on admission
    """

    call: int
    key: str
    spec: WorkSpec


@dataclass(frozen=True, slots=True)
class CancelReceived(Event):
    """A caller cancels a job."""

    call: int
    key: str
    job: str


@dataclass(frozen=True, slots=True)
class JobQueried(Event):
    """A caller asks about a job.

    :param explain: whether a reason in a sentence is wanted
    """

    call: int
    key: str
    job: str
    explain: bool


@dataclass(frozen=True, slots=True)
class OperatorAsked(Event):
    """An operator asks for a state or a change."""

    call: int
    request: OperatorRequest


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """The process is asked to stop."""
