"""Messages between entry processes, and their framing.

A member sends calls to the planner and responds to its requests for advice.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import msgspec
from jacinthloom_core.planner.specs import JobSpec, StepId

if TYPE_CHECKING:
    import asyncio

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest frame: fits a job submitted in a body of the largest size, with a margin."""


class FrameError(Exception):
    """A frame is too large or can't be decoded."""


class Message(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Base class of all messages."""


class Hello(Message, frozen=True):
    """Opens a stream; tells the sender's address for streams and its processors."""

    member: str
    address: str
    processors: float = 1.0


class Members(Message, frozen=True):
    """Addresses at which the members that the planner knows accept streams.

    :param largest_processors: processors of the largest of them that reaches the store
    """

    addresses: tuple[str, ...]
    largest_processors: float = 0.0


class TermRequest(Message, frozen=True, tag="AskTerm"):
    """Request for the newest term that the recipient knows."""


class KnownTerm(Message, frozen=True, tag="TermTold"):
    """Response with the newest term that a member knows; number 0 if none."""

    number: int
    member: str
    address: str


class Submit(Message, frozen=True):
    """Call to submit a job."""

    call: int
    job: JobSpec


class Cancel(Message, frozen=True):
    """Call to cancel a job."""

    call: int
    job: str


class Show(Message, frozen=True):
    """Call for the state of a job."""

    call: int
    job: str


class Count(Message, frozen=True):
    """Call for the number of waiting jobs of a queue."""

    call: int
    queue: str


class Answer(Message, frozen=True):
    """Response to a call.

    :param status: HTTP status
    :param retry_after_s: seconds after which to retry; 0 for none
    :param state: state of the job, in response to ``Show``
    :param waiting: number of waiting jobs, in response to ``Count``
    """

    call: int
    status: int
    reason: str = ""
    retry_after_s: int = 0
    state: str = ""
    waiting: int = 0


class AdviceOrder(Message, frozen=True):
    """Request to query the advice service about a step.

    :param timeout_s: seconds to wait for the service
    """

    step: StepId
    workers: tuple[str, ...]
    timeout_s: float


class Advised(Message, frozen=True):
    """Response of the advice service.

    :param good: worker and ticket for each worker that may run the step, or None if the
        service did not respond
    """

    step: StepId
    workers: tuple[str, ...]
    good: tuple[tuple[str, str], ...] | None


class Abdicated(Message, frozen=True):
    """The planner of a term can't write to the store; other members may claim."""

    term: int


class Ping(Message, frozen=True):
    """Heartbeat of a stream.

    :param reaches_store: whether the member that sends it reaches the store
    :param number: number of the planner's ping; from a member, that of the newest ping
        that it has received
    :param without_authority_s: seconds for which the planner has had no authority over
        leases, as another one may have taken over
    :param is_stopping: whether the member that sends it is stopping, and claims no term
    """

    reaches_store: bool = True
    number: int = 0
    without_authority_s: float = 0.0
    is_stopping: bool = False


PlannerCall = Submit | Cancel | Show | Count
AnyMessage = (
    PlannerCall
    | Hello
    | Members
    | TermRequest
    | KnownTerm
    | Answer
    | AdviceOrder
    | Advised
    | Abdicated
    | Ping
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Return the frame of a message: its length (4 bytes, big-endian), then msgpack."""
    data = _encoder.encode(message)
    return struct.pack(">I", len(data)) + data


async def read_message(reader: asyncio.StreamReader) -> AnyMessage:
    """Read the next message.

    :raises FrameError: if the frame is too large or can't be decoded
    :raises EOFError: if the stream has ended
    """
    (length,) = struct.unpack(">I", await reader.readexactly(4))
    if length > MAX_FRAME_BYTES:
        raise FrameError(
            f"the frame has {length} bytes; at most {MAX_FRAME_BYTES} are allowed"
        )
    data = await reader.readexactly(length)
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise FrameError(str(error)) from error
