"""Side effects that a member requests from the process that hosts it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .answers import Answer
    from .messages import Packet
    from .records import Batch
    from .work import Grant


@dataclass(frozen=True, slots=True)
class Effect:
    """Base of all effects."""


@dataclass(frozen=True, slots=True)
class AppendBatch(Effect):
    """Append a batch to the log."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class SendPacket(Effect):
    """Send a packet to a peer, or drop it if there is no stream."""

    peer: str
    address: str
    packet: Packet


@dataclass(frozen=True, slots=True)
class Exchange(Effect):
    """Send commands to a worker.

    :param valid_until: monotonic time after which nothing may be sent
    :param act_before: wall-clock time after which the worker must ignore the commands
    :param checkpoints: attempts to checkpoint and stop
    :param incarnation: incarnation of the worker that the commands are meant for; empty
        if it does not identify itself
    """

    worker: str
    address: str
    exchange: int
    view: int
    valid_until: float
    act_before: float
    starts: tuple[Grant, ...] = ()
    renewals: tuple[str, ...] = ()
    stops: tuple[str, ...] = ()
    checkpoints: tuple[str, ...] = ()
    throttles: tuple[str, ...] = ()
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class AskReport(Effect):
    """Request a worker's report of its running tasks, over a new connection."""

    worker: str
    address: str
    view: int


@dataclass(frozen=True, slots=True)
class WatchWorker(Effect):
    """Stream the completions of a worker, starting after a cursor.

    :param incarnation: incarnation of the worker that the cursor is meant for
    """

    worker: str
    address: str
    cursor: int
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class UnwatchWorker(Effect):
    """Stop streaming a worker's completions and close its connections."""

    worker: str


@dataclass(frozen=True, slots=True)
class Reply(Effect):
    """Respond to an open HTTP request."""

    call: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class Note(Effect):
    """Add an entry to the timeline.

    :param kind: stable identifier of the kind of occurrence
    :param subject: job, attempt, worker, member or team concerned
    :param detail: human-readable details
    :param clock: Lamport clock of the member
    """

    kind: str
    subject: str
    detail: str = ""
    team: str = ""
    clock: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class Rejoin(Effect):
    """Restart as a new member, because this one is no longer in the view."""


@dataclass(frozen=True, slots=True)
class Exit(Effect):
    """Exit the process, because all of its work is handed over."""
