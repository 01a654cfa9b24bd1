"""Times of the streams between entry processes, and one question without a stream."""

from __future__ import annotations

import asyncio

from . import messages

CONNECT_TIMEOUT_S = 0.5
"""Seconds to open a stream between hosts that are milliseconds apart."""

PING_INTERVAL_S = 0.5
"""Seconds between two signs of life."""

SILENCE_TIMEOUT_S = 1.6
"""Seconds without a sign of life after which a stream is replaced: three pings."""


async def request_term(address: str) -> messages.TermTold:
    """Ask a member for the newest term that it knows."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(messages.encode(messages.AskTerm()))
        message = await messages.read_message(reader)
    finally:
        writer.close()
    if not isinstance(message, messages.TermTold):
        raise messages.FrameError(f"an unexpected {type(message).__name__}")
    return message
