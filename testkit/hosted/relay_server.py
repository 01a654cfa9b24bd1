"""A server for stand-ins that forward connections, each in a task of its own."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BACKLOG = 1024
READ_BYTES = 64 * 1024


class RelayServer:
    """Accept connections and handle each of them until :meth:`close`.

    The streams of asyncio take a cancelled handler for an error, so the tasks are
    started here. Other exceptions of a handler go to the event loop's handler.
    """

    def __init__(
        self,
        handle: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    ) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listen at a free port and return the address."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, backlog=BACKLOG
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening and cancel the handlers."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._run(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._handle(reader, writer)
        finally:
            writer.transport.abort()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            context = {"message": "a relay has failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset in place of an end of the stream."""
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, linger
        )
    writer.transport.abort()


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next bytes; none if the stream has ended or was reset."""
    try:
        return await reader.read(READ_BYTES)
    except OSError:
        return b""


def has_ended(reader: asyncio.StreamReader) -> bool:
    """Whether the other end of a connection has closed or reset it."""
    return reader.at_eof() or reader.exception() is not None
