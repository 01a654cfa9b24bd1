"""A proxy on the path to a stand-in, which disturbs its connections."""

from __future__ import annotations

import asyncio
import contextlib

from .relay_server import RelayServer, has_ended, read_chunk, reset

CONNECT_TIMEOUT_S = 2.0


class _Connection:
    """One forwarded connection."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]):
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

    :ivar answers_to_cut: number of chunks from the target that are cut in half, and
        their connections closed
    :ivar answers_to_drop: number of chunks from the target that are dropped; nothing
        more is forwarded on their connections
    """

    def __init__(self, target: str) -> None:
        self._target = target
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
        host, _, port = self._target.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                remote = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            await self._is_open.wait()
            reset(writer)
            return
        connection = _Connection((writer, remote[1]))
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
