"""A proxy on the path to a stand-in, which disturbs its connections."""

from __future__ import annotations

import asyncio
import contextlib

from .relay_server import RelayServer, has_ended, read_chunk, reset

CONNECT_TIMEOUT_S = 2.0

RECONNECT_S = 0.02
"""Seconds between the attempts of a joining proxy to reach the next process."""


class _Connection:
    """One forwarded connection."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.writers = writers
        self.is_stalled = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()

    def reset(self) -> None:
        for writer in self.writers:
            reset(writer)


class LinkProxy:
    """Forward connections to an address.

    :param joins_lives: whether to keep a client's connection when the process behind
        it ends, and to connect it to the next one, as a careless port forwarder does;
        its answers are neither cut nor dropped

    :ivar answers_to_cut: number of chunks from the target that are cut in half, and
        their connections closed
    :ivar answers_to_drop: number of chunks from the target that are dropped; nothing
        more is forwarded on their connections
    """

    def __init__(self, target: str, joins_lives: bool = False) -> None:
        self._target = target
        self._joins_lives = joins_lives
        self._server = RelayServer(self._handle)
        self._connections: set[_Connection] = set()
        self._is_open = asyncio.Event()
        self._is_open.set()
        self.answers_to_cut = 0
        self.answers_to_drop = 0

    async def start(self) -> str:
        """Listen at a free port and return the address."""
        return await self._server.start()

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        self.reset()
        await self._server.close()

    def cut(self) -> None:
        """Hold back all bytes, also those of new connections, until :meth:`heal`."""
        self._is_open.clear()

    def heal(self) -> None:
        """Forward what was held back, and go on."""
        self._is_open.set()

    def stall(self) -> None:
        """Let the open connections fall silent for good; new ones work."""
        for connection in self._connections:
            connection.is_stalled = True

    def reset(self) -> None:
        """Abort all open connections."""
        for connection in list(self._connections):
            connection.abort()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._joins_lives:
            await self._join_lives(reader, writer)
            return
        try:
            remote = await self._connect()
        except (OSError, TimeoutError):
            await self._is_open.wait()
            reset(writer)
            return
        connection = _Connection(writer, remote[1])
        self._connections.add(connection)
        client = (reader, writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(connection, reader, remote, False))
                group.create_task(self._pump(connection, remote[0], client, True))
        except* (OSError, TimeoutError, EOFError):
            pass
        finally:
            self._connections.discard(connection)
            connection.abort()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self._target.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(host, int(port))

    async def _join_lives(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect a client to one process after the other, until the client ends."""
        connection = _Connection(writer)
        self._connections.add(connection)
        requests: asyncio.Queue[bytes] = asyncio.Queue()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read_requests(reader, requests))
                while True:
                    await self._serve_life(connection, requests, writer)
                    await asyncio.sleep(RECONNECT_S)
        except* (OSError, EOFError):
            pass
        finally:
            self._connections.discard(connection)

    async def _read_requests(
        self, reader: asyncio.StreamReader, requests: asyncio.Queue[bytes]
    ) -> None:
        while data := await read_chunk(reader):
            requests.put_nowait(data)
        raise EOFError

    async def _serve_life(
        self,
        connection: _Connection,
        requests: asyncio.Queue[bytes],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward between a client and one process until the process ends."""
        try:
            remote = await self._connect()
        except (OSError, TimeoutError):
            return
        sender = asyncio.create_task(
            self._send_requests(connection, requests, remote[1])
        )
        try:
            while data := await read_chunk(remote[0]):
                await self._wait_for_way(connection)
                writer.write(data)
                await writer.drain()
        finally:
            sender.cancel()
            remote[1].transport.abort()

    async def _send_requests(
        self,
        connection: _Connection,
        requests: asyncio.Queue[bytes],
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            data = await requests.get()
            await self._wait_for_way(connection)
            writer.write(data)

    async def _wait_for_way(self, connection: _Connection) -> None:
        await self._is_open.wait()
        if connection.is_stalled:
            await asyncio.Event().wait()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        receiver: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        is_answer: bool,
    ) -> None:
        writer = receiver[1]
        while True:
            data = await read_chunk(reader)
            await self._is_open.wait()
            if is_answer and data and self.answers_to_drop:
                self.answers_to_drop -= 1
                connection.is_stalled = True
            if connection.is_stalled:
                await asyncio.Event().wait()
            if reader.exception() or (data and has_ended(receiver[0])):
                connection.reset()
            if not data or has_ended(receiver[0]):
                raise EOFError
            if is_answer and self.answers_to_cut:
                self.answers_to_cut -= 1
                writer.write(data[: len(data) // 2])
                with contextlib.suppress(OSError):
                    await writer.drain()
                writer.close()
                raise EOFError
            writer.write(data)
            await writer.drain()
