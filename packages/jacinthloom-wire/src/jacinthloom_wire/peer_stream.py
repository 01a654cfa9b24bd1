"""Streams of packets between members.

Each member connects to every peer and sends only on the streams that it opened. The
accepting side acknowledges each chunk of packets that it reads with one byte, so that
the sender detects an unresponsive stream and reconnects.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from typing import TYPE_CHECKING

from jacinthloom_core.shared_log.codec import CodecError

from .packets import encode_packet, make_unpacker, structure_packet

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.model.messages import Packet

_log = logging.getLogger(__name__)

READ_BYTES = 256 * 1024
"""Maximum bytes per read from a stream."""

ACKNOWLEDGEMENT_TIMEOUT_S = 1.0
"""Seconds without an acknowledgement after which the sender reconnects."""

RECONNECT_DELAY_S = 0.2
"""Seconds before the next attempt to connect."""

CONNECT_TIMEOUT_S = 1.0
"""Timeout for opening a stream, in seconds."""

MAX_QUEUED_PACKETS = 20_000
"""Maximum packets queued for a stream; when it is full, the oldest are dropped."""

ACKNOWLEDGEMENT = b"\x01"


class PeerStream:
    """The stream that this member opens to one peer and sends on.

    :param on_connected: called with the peer's name after each connect
    """

    def __init__(
        self, peer: str, address: str, on_connected: Callable[[str], None]
    ) -> None:
        self._peer = peer
        self._address = address
        self._on_connected = on_connected
        self._queue: deque[bytes] = deque(maxlen=MAX_QUEUED_PACKETS)
        self._packets_queued = asyncio.Event()
        self.sent_bytes = 0
        self._task = asyncio.create_task(self._run())

    def send(self, packet: Packet) -> None:
        """Queue a packet for sending."""
        data = encode_packet(packet)
        self.sent_bytes += len(data)
        self._queue.append(data)
        self._packets_queued.set()

    def close(self) -> None:
        """Close the stream and stop reconnecting."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                await self._connect_and_send()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _connect_and_send(self) -> None:
        host, _, port = self._address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            self._on_connected(self._peer)
            while True:
                await self._packets_queued.wait()
                self._packets_queued.clear()
                data = b"".join(self._queue)
                self._queue.clear()
                writer.write(data)
                async with asyncio.timeout(ACKNOWLEDGEMENT_TIMEOUT_S):
                    await writer.drain()
                    if not await reader.read(READ_BYTES):
                        raise EOFError("the peer closed the stream")
        finally:
            writer.close()


class PeerServer:
    """Accepts streams from peers and passes their packets to a callback."""

    def __init__(self, on_packet: Callable[[Packet], None]) -> None:
        self._on_packet = on_packet
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> str:
        """Listen on ``host:port`` and return the bound address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        bound = self._server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    def close(self) -> None:
        """Stop accepting and close all streams."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        unpacker = make_unpacker()
        try:
            while data := await reader.read(READ_BYTES):
                unpacker.feed(data)
                for unpacked in unpacker:
                    self._on_packet(structure_packet(unpacked))
                writer.write(ACKNOWLEDGEMENT)
                await writer.drain()
        except (OSError, CodecError, ValueError) as error:
            _log.warning("a peer stream was dropped: %s", error)
        finally:
            self._writers.discard(writer)
            writer.close()
