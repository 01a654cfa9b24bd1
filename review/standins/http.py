"""A small HTTP/1.1 server and client."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

HEAD_LIMIT = 1 << 20


@dataclass(frozen=True)
class Request:
    """A complete request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Response:
    """A complete response."""

    status: int
    body: bytes = b""

    @classmethod
    def from_json(cls, status: int, value: object) -> Response:
        """Build a response with a JSON body."""
        return cls(status, json.dumps(value).encode())

    def parse_json(self) -> dict[str, object]:
        """Return the JSON body, or an empty dictionary if there is none."""
        return dict(json.loads(self.body)) if self.body else {}


Handler = Callable[[Request], Awaitable["Response | None"]]
"""Handles a request; None closes the connection without a response."""


class Server:
    """Serves HTTP/1.1 on persistent connections, one request at a time on each."""

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int = 0) -> str:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=HEAD_LIMIT, backlog=1024
        )
        bound = self._server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop listening, and drop all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                request = await _read_request(reader)
                response = await self._handle(request)
                if response is None:
                    return
                head = (
                    f"HTTP/1.1 {response.status} X\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(response.body)}\r\n\r\n"
                )
                writer.write(head.encode() + response.body)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    url = urlsplit(target)
    return Request(method, url.path, dict(parse_qsl(url.query)), headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> Response:
    """Send one request over a connection of its own.

    :raises OSError: if the connection fails or is cut
    :raises TimeoutError: if there is no complete response in time
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {"Host": address, "Content-Length": str(len(body))}
            fields |= headers or {}
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            await writer.drain()
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status = int(head.split(" ", 2)[1])
                length = 0
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    if name.strip().lower() == "content-length":
                        length = int(value)
                return Response(status, await reader.readexactly(length))
            except EOFError as error:
                raise ConnectionResetError("cut before a response") from error
        finally:
            writer.close()
