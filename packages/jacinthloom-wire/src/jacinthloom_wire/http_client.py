"""HTTP/1.1 client with persistent connections."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import h11

from .addresses import split_address
from .errors import FormatError, OtherRecipientError, StatusError, TransportError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Headers = tuple[tuple[str, str], ...]
    Exchange = Callable[[str, str, bytes, Headers], Awaitable["Response"]]
    """Sends a request (method, path, body, headers) and returns its response."""

READ_BYTES = 64 * 1024
"""Maximum bytes per read from a socket."""

MAX_BODY_BYTES = 32 * 1024 * 1024
"""Maximum size of a response body."""

CONNECT_TIMEOUT_S = 1.0
"""Timeout for opening a connection, in seconds."""

MAX_IDLE_CONNECTIONS = 4
"""Default number of idle connections kept open per address."""


@dataclass(frozen=True, slots=True)
class Response:
    """The response to an HTTP request."""

    status: int
    body: bytes

    def parse_json(self) -> Any:
        """Return the decoded JSON body.

        :raises StatusError: if the status is an error (400 or above)
        :raises FormatError: if the body isn't valid JSON
        """
        if self.status >= 400:
            raise StatusError(self.status, self.body[:200].decode(errors="replace"))
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise FormatError(f"response is not JSON: {error}") from error


@dataclass(frozen=True, slots=True)
class Recipient:
    """The process that a request is meant for, and no later one at its address.

    A connection ends at one process, so a request that is sent on a connection whose
    other end has identified itself reaches no other process.

    :param identity: identity of the process; not 0
    :param identify: asks the process at the other end of a connection for its
        identity; takes a function that sends requests on that connection
    """

    identity: int
    identify: Callable[[Exchange], Awaitable[int]]


class _Connection:
    """An open connection and its HTTP state.

    :ivar identity: identity of the process at the other end; 0 if it is not known
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.state = h11.Connection(our_role=h11.CLIENT)
        self.identity = 0

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return bool(
            self.state.our_state is h11.DONE
            and self.state.their_state is h11.DONE
            and not self.reader.at_eof()
        )

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class HttpClient:
    """Sends requests to one address over a pool of persistent connections.

    A connection without a response is closed when its request times out.

    :param address: ``host:port``, optionally followed by a path prefix
    :param max_idle: maximum number of idle connections kept open
    :param host_name: value of the Host header, if it is not the address
    :raises AddressError: if the address is malformed
    """

    def __init__(
        self,
        address: str,
        max_idle: int = MAX_IDLE_CONNECTIONS,
        host_name: str = "",
    ) -> None:
        self._max_idle = max_idle
        authority, slash, prefix = address.partition("/")
        self._host, self._port = split_address(authority)
        self._host_name = host_name or f"{self._host}:{self._port}"
        self._path_prefix = slash + prefix
        self._idle: list[_Connection] = []

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Headers = (),
        timeout: float = 5.0,
        may_send: Callable[[], bool] | None = None,
        new_connection: bool = False,
        recipient: Recipient | None = None,
        read_identity: Callable[[Response], int] | None = None,
    ) -> Response:
        """Send a request and return the complete response.

        :param timeout: seconds for connecting, sending and receiving together
        :param may_send: called immediately before the first byte is written; the
            request is not sent if it returns false
        :param new_connection: whether to open a new connection instead of reusing one
        :param recipient: process that the request is meant for; None for any
        :param read_identity: reads the identity of the process at the other end from
            the response, 0 if it is not there; spares the connection to be asked for
            it, and shows if it leads to another process than before
        :raises OtherRecipientError: if another process is at the address
        :raises TransportError: if no complete response was received; ``sent`` says
            whether the request may have been sent
        """
        sent = False
        is_reused = bool(self._idle) and not new_connection
        connection: _Connection | None = None
        try:
            async with asyncio.timeout(timeout):
                connection = await self._acquire(new_connection, recipient)
                if recipient is not None:
                    await self._check_recipient(connection, recipient)
                data = self._encode(connection, method, path, body, headers)
                if may_send is not None and not may_send():
                    raise TransportError("request expired before it was sent", False)
                sent = True
                connection.writer.write(data)
                await connection.writer.drain()
                response = await _read_response(connection)
                if read_identity is not None:
                    self._note_identity(connection, read_identity(response))
        except (OSError, EOFError, h11.ProtocolError, TimeoutError) as error:
            if connection is not None:
                connection.close()
            if is_reused and isinstance(error, TimeoutError):
                # The other idle connections may have fallen silent as well.
                self.close()
            reason = str(error) or type(error).__name__
            raise TransportError(
                f"{self._host}:{self._port}: {reason}", sent
            ) from error
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        self._release(connection)
        return response

    async def _acquire(self, fresh: bool, recipient: Recipient | None) -> _Connection:
        while self._idle and not fresh:
            connection = self._idle.pop()
            is_to_another = (
                recipient is not None
                and connection.identity != 0
                and connection.identity != recipient.identity
            )
            if connection.is_reusable and not is_to_another:
                connection.state.start_next_cycle()
                return connection
            connection.close()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(self._host, self._port)
        except UnicodeError as error:
            # The resolver rejects some host names in this way.
            raise ConnectionError(f"the host can't be resolved: {error}") from error
        return _Connection(reader, writer)

    def _note_identity(self, connection: _Connection, identity: int) -> None:
        if identity == 0:
            return
        if connection.identity not in (0, identity):
            # The path has joined this connection to the next process, and perhaps
            # the idle ones too.
            self.close()
        connection.identity = identity

    async def _check_recipient(
        self, connection: _Connection, recipient: Recipient
    ) -> None:
        """Check that the intended process is at the other end of a connection.

        :raises OtherRecipientError: if another one is
        """
        if connection.identity == 0:
            exchange = partial(self._exchange, connection)
            connection.identity = await recipient.identify(exchange)
        if connection.identity != recipient.identity:
            raise OtherRecipientError(
                f"{self._host}:{self._port}: process {connection.identity} has "
                f"taken the place of {recipient.identity}"
            )

    async def _exchange(
        self,
        connection: _Connection,
        method: str,
        path: str,
        body: bytes,
        headers: Headers,
    ) -> Response:
        """Send a request on a connection that is to carry another one afterwards."""
        connection.writer.write(self._encode(connection, method, path, body, headers))
        await connection.writer.drain()
        response = await _read_response(connection)
        if not connection.is_reusable:
            raise EOFError("connection closed after the first response")
        connection.state.start_next_cycle()
        return response

    def _encode(
        self,
        connection: _Connection,
        method: str,
        path: str,
        body: bytes,
        headers: Headers,
    ) -> bytes:
        request = h11.Request(
            method=method,
            target=self._path_prefix + path,
            headers=[
                ("Host", self._host_name),
                ("Content-Length", str(len(body))),
                *headers,
            ],
        )
        state = connection.state
        data = state.send(request) or b""
        if body:
            data += state.send(h11.Data(data=body)) or b""
        return data + (state.send(h11.EndOfMessage()) or b"")

    def _release(self, connection: _Connection) -> None:
        if connection.is_reusable and len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close idle connections."""
        while self._idle:
            self._idle.pop().close()


async def _read_response(connection: _Connection) -> Response:
    status = 0
    parts: list[bytes] = []
    size = 0
    while True:
        event = connection.state.next_event()
        if event is h11.NEED_DATA:
            data = await connection.reader.read(READ_BYTES)
            connection.state.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > MAX_BODY_BYTES:
                raise EOFError(f"response body exceeds {MAX_BODY_BYTES} bytes")
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return Response(status, b"".join(parts))
        elif isinstance(event, h11.ConnectionClosed):
            raise EOFError("connection closed before the complete response")
