"""A proxy to the store whose calls take longer while it is slow."""

from __future__ import annotations

import asyncio
import contextlib

READ_BYTES = 64 * 1024


class SlowLink:
    """Passes connections on, and delays what callers send.

    What is still delayed when the caller is gone is dropped.

    :ivar delay_s: seconds by which data of callers is delayed
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self._target = ("", 0)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, target: str) -> str:
        """Listen for connections to a target, and return the address."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        address = self._server.sockets[0].getsockname()
        return f"{address[0]}:{address[1]}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        other: asyncio.StreamWriter | None = None
        try:
            answers, other = await asyncio.open_connection(*self._target)
            back = asyncio.create_task(_pass_on(answers, writer))
            try:
                while data := await reader.read(READ_BYTES):
                    if self.delay_s:
                        await asyncio.sleep(self.delay_s)
                        if reader.at_eof():
                            break
                    other.write(data)
                    await other.drain()
            finally:
                back.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            for end in (writer, other):
                if end is not None:
                    end.close()

    async def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


async def _pass_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    writer.close()
