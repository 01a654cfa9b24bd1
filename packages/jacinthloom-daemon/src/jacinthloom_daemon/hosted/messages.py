"""Messages between entry processes, and their frames.

A member sends calls to the planner and answers its requests for advice.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import msgspec
from jacinthloom_core.planner.specs import JobSpec, StepId

if TYPE_CHECKING:
    import asyncio

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest frame: a job of the largest body, with room."""


class FrameError(Exception):
    """A frame can't be read."""


class Message(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Base of all messages."""


class Hello(Message, frozen=True):
    """The member on the other end, where it takes streams, and its processors."""

    member: str
    address: str
    processors: float = 1.0


class Members(Message, frozen=True):
    """Where the members that the planner knows take streams.

    The last field tells the processors of the largest of them that reaches the store.
    """

    addresses: tuple[str, ...]
    largest_processors: float = 0.0


class AskTerm(Message, frozen=True):
    """Tell the newest term that you know."""


class TermTold(Message, frozen=True):
    """The newest term that a member knows; number 0 for none."""

    number: int
    member: str
    address: str


class Submit(Message, frozen=True):
    """Accept a job."""

    call: int
    job: JobSpec


class Cancel(Message, frozen=True):
    """Cancel a job."""

    call: int
    job: str


class Show(Message, frozen=True):
    """Tell the state of a job."""

    call: int
    job: str


class Count(Message, frozen=True):
    """Tell how many jobs of a queue wait."""

    call: int
    queue: str


class Answer(Message, frozen=True):
    """Answer to a call.

    :param status: HTTP status
    :param state: state of the job, if it was asked for
    :param waiting: waiting jobs, if they were asked for
    """

    call: int
    status: int
    reason: str = ""
    retry_after_s: int = 0
    state: str = ""
    waiting: int = 0


class AdviceOrder(Message, frozen=True):
    """Ask the advice service about a step."""

    step: StepId
    workers: tuple[str, ...]
    timeout_s: float


class Advised(Message, frozen=True):
    """What the advice service has answered; None if it has not."""

    step: StepId
    workers: tuple[str, ...]
    good: tuple[tuple[str, str], ...] | None


class Abdicated(Message, frozen=True):
    """The planner of a term can't write to the store; others may claim."""

    term: int


class Ping(Message, frozen=True):
    """Shows that the stream is alive, and whether its sender reaches the store."""

    reaches_store: bool = True


PlannerCall = Submit | Cancel | Show | Count
AnyMessage = (
    PlannerCall
    | Hello
    | Members
    | AskTerm
    | TermTold
    | Answer
    | AdviceOrder
    | Advised
    | Abdicated
    | Ping
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Return the frame of a message: its length, and msgpack."""
    data = _encoder.encode(message)
    return struct.pack(">I", len(data)) + data


async def read_message(reader: asyncio.StreamReader) -> AnyMessage:
    """Read the next message.

    :raises FrameError: if it can't be read
    :raises EOFError: if the stream has ended
    """
    (length,) = struct.unpack(">I", await reader.readexactly(4))
    if length > MAX_FRAME_BYTES:
        raise FrameError(f"a frame of {length} bytes")
    data = await reader.readexactly(length)
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise FrameError(str(error)) from error
