"""Timing of the streams between entry processes, and a one-off request for a term."""

from __future__ import annotations

import asyncio

from jacinthloom_wire.addresses import AddressError, split_address

from . import messages

CONNECT_TIMEOUT_S = 0.5
"""Timeout to open a stream, in seconds: hosts are milliseconds apart."""

PING_INTERVAL_S = 0.5
"""Seconds between two heartbeats (pings) on a stream."""

SILENCE_TIMEOUT_S = 1.6
"""Seconds without a message after which a stream is closed: three ping intervals and a
margin."""


async def open_stream(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to a member.

    :raises OSError: if it can't be reached, or the address is malformed
    """
    try:
        host, port = split_address(address)
        return await asyncio.open_connection(host, port)
    except (AddressError, UnicodeError) as error:
        raise ConnectionError(str(error)) from error


async def request_term(address: str) -> messages.KnownTerm:
    """Request the newest term that a member knows, over a connection of its own.

    :raises OSError: if the member can't be reached
    :raises FrameError: if the response can't be decoded or is of another type
    """
    reader, writer = await open_stream(address)
    try:
        writer.write(messages.encode(messages.TermRequest()))
        message = await messages.read_message(reader)
    finally:
        writer.close()
    if not isinstance(message, messages.KnownTerm):
        raise messages.FrameError(
            f"expected KnownTerm, received {type(message).__name__}"
        )
    return message
