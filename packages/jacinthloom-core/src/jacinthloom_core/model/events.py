"""Events that a member processes."""

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
    """Base class of all events.

    :param now: monotonic clock of the process, in seconds
    :param wall: seconds since the epoch
    """

    now: float
    wall: float


@dataclass(frozen=True, slots=True)
class Ticked(Event):
    """A periodic timer tick."""


@dataclass(frozen=True, slots=True)
class LogRead(Event):
    """A read of the log has returned.

    :param asked: monotonic time at which the read was requested
    :param at_tail: whether the entries reach the end of the log
    :param first: earliest offset that the log still holds
    """

    asked: float
    entries: tuple[LogEntry, ...]
    at_tail: bool
    first: int = 0


@dataclass(frozen=True, slots=True)
class AppendFinished(Event):
    """An append has completed; a failed one may still have taken effect."""

    sequence: int
    succeeded: bool


@dataclass(frozen=True, slots=True)
class PeerConnected(Event):
    """The stream to a peer was opened again."""

    peer: str


@dataclass(frozen=True, slots=True)
class PacketReceived(Event):
    """A packet from a peer was received."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class HostsListed(Event):
    """The platform's host list was read."""

    hosts: tuple[HostInfo, ...]


@dataclass(frozen=True, slots=True)
class WorkerReported(Event):
    """A worker reported its capacity and running tasks.

    :param asked: monotonic time at which the report was requested
    """

    worker: str
    asked: float
    report: WorkerReport


@dataclass(frozen=True, slots=True)
class ExchangeAnswered(Event):
    """A worker responded to an exchange.

    :param missing: renewed attempts that the worker does not run
    """

    worker: str
    exchange: int
    results: tuple[StartResult, ...]
    uses: tuple[TaskUse, ...] = ()
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ExchangeFailed(Event):
    """An exchange got no response.

    :param sent: whether any byte of it may have left the process; false as well if
        another incarnation of the worker refused it
    """

    worker: str
    exchange: int
    sent: bool


@dataclass(frozen=True, slots=True)
class ReportFailed(Event):
    """A worker did not return the requested report."""

    worker: str


@dataclass(frozen=True, slots=True)
class CompletionsRead(Event):
    """Completions were read from a worker.

    :param cursor: number of the last completion
    :param incarnation: incarnation of the worker that the cursor belongs to
    """

    worker: str
    completions: tuple[Completion, ...]
    cursor: int
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class RequestReceived(Event):
    """A caller submitted work.

    :param call: id of the open HTTP request
    :param key: team key as presented; empty if there was none
    :param spec: the work; admission fills in its team and deadline
    """

    call: int
    key: str
    spec: WorkSpec


@dataclass(frozen=True, slots=True)
class CancelReceived(Event):
    """A caller requested the cancellation of a job."""

    call: int
    key: str
    job: str


@dataclass(frozen=True, slots=True)
class JobQueried(Event):
    """A caller queried the state of a job.

    :param explain: whether to include a human-readable reason
    """

    call: int
    key: str
    job: str
    explain: bool


@dataclass(frozen=True, slots=True)
class OperatorAsked(Event):
    """An operator requested a state report or a change."""

    call: int
    request: OperatorRequest


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """A stop of the process was requested."""
