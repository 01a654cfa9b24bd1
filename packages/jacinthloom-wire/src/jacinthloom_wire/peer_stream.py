"""Streams of packets between members.

Each member dials every peer and only sends on the streams it dialled. The acceptor
answers every packet with one byte, so a stream that has gone silent is found and
replaced.
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
"""Bytes read from a stream at a time."""

SILENCE_S = 1.0
"""Seconds without an acknowledgement after which a stream is replaced."""

REDIAL_S = 0.2
"""Seconds between two attempts to dial."""

CONNECT_TIMEOUT_S = 1.0
"""Seconds to open a stream."""

WAITING_PACKETS = 20_000
"""Most packets that wait for a stream; older ones are dropped."""

ACKNOWLEDGEMENT = b"\x01"


class PeerStream:
    """The stream that this member dialled to one peer."""

    def __init__(
        self, peer: str, address: str, on_connected: Callable[[str], None]
    ) -> None:
        self._peer = peer
        self._address = address
        self._on_connected = on_connected
        self._waiting: deque[bytes] = deque(maxlen=WAITING_PACKETS)
        self._news = asyncio.Event()
        self.sent_bytes = 0
        self._task = asyncio.create_task(self._run())

    def send(self, packet: Packet) -> None:
        """Queue a packet."""
        data = encode_packet(packet)
        self.sent_bytes += len(data)
        self._waiting.append(data)
        self._news.set()

    def close(self) -> None:
        """Drop the stream."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                await self._connect_and_send()
            await asyncio.sleep(REDIAL_S)

    async def _connect_and_send(self) -> None:
        host, _, port = self._address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            self._on_connected(self._peer)
            while True:
                await self._news.wait()
                self._news.clear()
                data = b"".join(self._waiting)
                self._waiting.clear()
                writer.write(data)
                async with asyncio.timeout(SILENCE_S):
                    await writer.drain()
                    if not await reader.read(READ_BYTES):
                        raise EOFError("the peer closed the stream")
        finally:
            writer.close()


class PeerServer:
    """Accept streams from peers and hand on their packets."""

    def __init__(self, on_packet: Callable[[Packet], None]) -> None:
        self._on_packet = on_packet
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> str:
        """Listen on ``host:port`` and return the address in use."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        bound = self._server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    def close(self) -> None:
        """Stop accepting and drop all streams."""
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
                for plain in unpacker:
                    self._on_packet(structure_packet(plain))
                writer.write(ACKNOWLEDGEMENT)
                await writer.drain()
        except (OSError, CodecError, ValueError) as error:
            _log.warning("a peer stream was dropped: %s", error)
        finally:
            self._writers.discard(writer)
            writer.close()
