"""HTTP/1.1 server with limits on connections, body size and timeouts."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast
from urllib.parse import parse_qs, urlsplit

import h11

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

READ_BYTES = 64 * 1024
"""Maximum bytes per read from a socket."""

IDLE_CHECK_INTERVAL_S = 0.05
"""Seconds between two checks for idle connections while a server waits for the last."""

ACCEPT_ITERATIONS = 8
"""Iterations of the event loop after which the task of an accepted connection has
started; asyncio takes four."""

LAST_REQUEST_S = 0.05
"""Seconds that a connection of a closing server may stay idle: a request may be on its
way, over a connection that was just opened or used."""


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on clients of the server.

    :param header_timeout_s: seconds to receive the complete request head
    :param body_timeout_s: seconds to receive the complete request body
    :param idle_timeout_s: seconds that a connection may stay idle between requests, or
        that a client may take to receive a response
    """

    max_connections: int = 512
    max_body_bytes: int = 256 * 1024
    header_timeout_s: float = 10.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@dataclass(frozen=True, slots=True)
class Request:
    """A complete HTTP request.

    :param query: last value of each query parameter
    :param headers: values by lower-case name
    :param peer: ``address:port`` of the client
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    peer: str = ""


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """An HTTP response.

    :param closes_connection: whether to close the connection after the response, so
        that the client moves to another host
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = field(default=())
    closes_connection: bool = False

    @classmethod
    def from_json(cls, status: int, value: object) -> ServerResponse:
        """Build a response with a JSON body."""
        return cls(status, json.dumps(value, separators=(",", ":")).encode())


class _BadRequestError(Exception):
    """The request is invalid or too slow.

    :param status: HTTP status of the response
    :param code: error code in the response body
    """

    def __init__(self, status: int, code: str, sentence: str) -> None:
        super().__init__(sentence)
        self.status = status
        self.code = code


class HttpServer:
    """Serves HTTP/1.1 requests, one at a time per connection."""

    def __init__(
        self,
        handle: Callable[[Request], Awaitable[ServerResponse]],
        limits: ServerLimits | None = None,
    ) -> None:
        self._handle = handle
        self._limits = limits or ServerLimits()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle_since_by_timeout: dict[asyncio.Timeout, float] = {}
        self._closing = False
        self._draining = False
        self._unanswered = 0
        self.open_connections = 0
        self.refused_count = 0

    async def start(self, address: str) -> str:
        """Listen on ``host:port`` and return the bound address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        bound = self._server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    def drain(self) -> None:
        """Keep serving, but close each connection after its next response."""
        self._draining = True

    def close_idle(self, idle_s: float) -> None:
        """Close connections that have waited ``idle_s`` seconds for a request.

        A request that has arrived meanwhile is still served.
        """
        now = asyncio.get_running_loop().time()
        for timeout, since in self._idle_since_by_timeout.items():
            if now - since >= idle_s and not timeout.expired():
                timeout.reschedule(now)

    async def wait_until_left(self, idle_s: float) -> None:
        """Wait until no connection is open, and close those that become idle.

        :param idle_s: seconds without a request after which a connection is idle
        """
        while self.open_connections:
            self.close_idle(idle_s)
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)

    async def close(self, grace_s: float = 5.0) -> int:
        """Stop accepting, let requests in flight end, then close connections.

        :param grace_s: seconds that requests in flight may take
        :returns: number of requests that were read, and whose responses were cut off
        """
        self._closing = True
        await self._stop_accepting()
        for timeout, since in self._idle_since_by_timeout.items():
            if not timeout.expired():
                timeout.reschedule(since + LAST_REQUEST_S)
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=grace_s)
        for task in self._tasks:
            task.cancel()
        return self._unanswered

    async def _stop_accepting(self) -> None:
        """Stop listening, once every connection that was accepted has its task."""
        if self._server is None:
            return
        for listener in self._server.sockets:
            asyncio.get_running_loop().remove_reader(listener.fileno())
        for _ in range(ACCEPT_ITERATIONS):
            await asyncio.sleep(0)
        self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.open_connections += 1
        # With these limits, drain() waits until the whole response has been sent.
        writer.transport.set_write_buffer_limits(0)
        try:
            await self._serve(reader, writer)
        except (OSError, EOFError, h11.ProtocolError, TimeoutError):
            pass
        except asyncio.CancelledError:
            if not self._closing:
                raise
        finally:
            self.open_connections -= 1
            self._tasks.discard(task)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        state = h11.Connection(our_role=h11.SERVER)
        if self.open_connections > self._limits.max_connections:
            self.refused_count += 1
            await _send(
                state,
                writer,
                _build_refusal(503, "too_many_connections", "busy"),
            )
            return
        while True:
            try:
                request = await self._read_request(state, reader, writer)
            except _BadRequestError as error:
                self.refused_count += 1
                await _send(
                    state, writer, _build_refusal(error.status, error.code, str(error))
                )
                return
            except h11.RemoteProtocolError as error:
                self.refused_count += 1
                status = error.error_status_hint
                refusal = _build_refusal(status, "malformed_http", str(error))
                await _send(state, writer, refusal)
                return
            if request is None:
                return
            self._unanswered += 1
            try:
                response = await self._handle(request)
                closes_connection = (
                    self._closing or self._draining or response.closes_connection
                )
                await self._send_in_time(state, writer, response, closes_connection)
            finally:
                self._unanswered -= 1
            if state.our_state is not h11.DONE:
                return
            if state.their_state is not h11.DONE:
                return
            state.start_next_cycle()

    async def _send_in_time(
        self,
        state: h11.Connection,
        writer: asyncio.StreamWriter,
        response: ServerResponse,
        closes_connection: bool,
    ) -> None:
        """Send a response; abort the connection if the client does not receive it."""
        try:
            async with asyncio.timeout(self._limits.idle_timeout_s):
                await _send(state, writer, response, closes_connection)
        except TimeoutError:
            writer.transport.abort()
            raise

    async def _read_request(
        self,
        state: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Request | None:
        if not await self._wait_for_request(state, reader, writer):
            return None
        try:
            async with asyncio.timeout(self._limits.header_timeout_s):
                head = await _next_event(state, reader)
            if not isinstance(head, h11.Request):
                return None
            async with asyncio.timeout(self._limits.body_timeout_s):
                body = await self._read_body(state, reader, writer)
        except TimeoutError as error:
            raise _BadRequestError(
                408, "slow_client", "the request was not received in time"
            ) from error
        try:
            return _build_request(head, body, writer)
        except ValueError as error:
            raise _BadRequestError(
                400, "malformed_request", f"the request can't be read: {error}"
            ) from error

    async def _wait_for_request(
        self,
        state: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Wait for the first bytes of a request; return false if none come in time.

        What the process has read by then counts, so that no request is dropped unseen.
        """
        idle_s = LAST_REQUEST_S if self._closing else self._limits.idle_timeout_s
        timeout = asyncio.timeout(idle_s)
        self._idle_since_by_timeout[timeout] = asyncio.get_running_loop().time()
        try:
            async with timeout:
                return await _wait_for_data(state, reader)
        except TimeoutError:
            return await _read_received_data(state, reader, writer)
        finally:
            del self._idle_since_by_timeout[timeout]

    async def _read_body(
        self,
        state: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        if state.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            writer.write(state.send(continue_response) or b"")
        parts: list[bytes] = []
        size = 0
        while True:
            event = await _next_event(state, reader)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise EOFError("connection closed before the complete request")
            size += len(event.data)
            if size > self._limits.max_body_bytes:
                raise _BadRequestError(
                    413,
                    "body_too_large",
                    f"the body exceeds {self._limits.max_body_bytes} bytes",
                )
            parts.append(bytes(event.data))


async def _wait_for_data(state: h11.Connection, reader: asyncio.StreamReader) -> bool:
    """Wait for the first bytes of a request; return false at end of stream."""
    if state.trailing_data[0]:
        return True
    data = await reader.read(READ_BYTES)
    if not data:
        return False
    state.receive_data(data)
    return True


async def _read_received_data(
    state: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Take the bytes that the transport has received; return whether there are any."""
    transport = cast("asyncio.Transport", writer.transport)
    transport.pause_reading()
    try:
        async with asyncio.timeout(0):
            return await _wait_for_data(state, reader)
    except TimeoutError:
        return False
    finally:
        transport.resume_reading()


async def _next_event(state: h11.Connection, reader: asyncio.StreamReader) -> object:
    while True:
        event = state.next_event()
        if event is not h11.NEED_DATA:
            return event
        state.receive_data(await reader.read(READ_BYTES))


def _build_request(
    head: h11.Request, body: bytes, writer: asyncio.StreamWriter
) -> Request:
    target = urlsplit(head.target.decode("ascii", "replace"))
    query = {name: values[-1] for name, values in parse_qs(target.query).items()}
    headers = {
        name.decode("ascii").lower(): value.decode("latin-1")
        for name, value in head.headers
    }
    host, port, *_ = writer.get_extra_info("peername") or ("", 0)
    method = head.method.decode("ascii")
    return Request(method, target.path, query, headers, body, f"{host}:{port}")


def _build_refusal(status: int, code: str, sentence: str) -> ServerResponse:
    error = {"code": code, "sentence": sentence, "not_run": True}
    return ServerResponse.from_json(status, {"error": error})


async def _send(
    state: h11.Connection,
    writer: asyncio.StreamWriter,
    response: ServerResponse,
    closes_connection: bool = False,
) -> None:
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        *response.headers,
    ]
    if closes_connection or state.their_state is h11.ERROR:
        headers.append(("Connection", "close"))
    data = state.send(h11.Response(status_code=response.status, headers=headers)) or b""
    data += state.send(h11.Data(data=response.body)) or b""
    data += state.send(h11.EndOfMessage()) or b""
    writer.write(data)
    await writer.drain()
