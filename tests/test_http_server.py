"""The HTTP server while it stops."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from jacinthloom_wire import http_server
from jacinthloom_wire.http_server import HttpServer, Request, ServerResponse

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"

SMALL_BUFFER_BYTES = 4_096
LARGE_BODY = b"x" * 60_000
"""Body that fills small socket buffers, but no high-water mark of the transport."""


class RecordingServer(HttpServer):
    """A server that keeps the readers of its connections."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.readers: list[asyncio.StreamReader] = []

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.readers.append(reader)
        await super()._accept(reader, writer)


class HttpServerStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.received = 0
        self.body = b""
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.server = RecordingServer(self.respond)
        self.address = await self.server.start("127.0.0.1:0")
        self.addAsyncCleanup(self.server.close, 0.1)

    async def respond(self, request: Request) -> ServerResponse:
        self.received += 1
        await self.may_answer.wait()
        return ServerResponse(200, self.body)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def wait_until(self, received: int = 0, accepted: int = 0) -> None:
        async with asyncio.timeout(1):
            while self.received < received or len(self.server.readers) < accepted:
                await asyncio.sleep(0.005)

    async def read_status(self, reader: asyncio.StreamReader) -> bytes:
        async with asyncio.timeout(2):
            return (await reader.read())[:12]

    # Guards against a stop that cuts off requests while no log line tells of them.
    async def test_close_counts_requests_that_it_cuts_off(self) -> None:
        self.may_answer.clear()
        for _ in range(2):
            _, writer = await self.connect()
            writer.write(REQUEST)
        await self.connect()  # sends no request
        await self.wait_until(received=2)
        self.assertEqual(await self.server.close(0.1), 2)

    async def test_close_waits_for_responses(self) -> None:
        self.may_answer.clear()
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await self.wait_until(received=1)
        closed = asyncio.create_task(self.server.close(1.0))
        await asyncio.sleep(0.05)
        self.may_answer.set()
        self.assertEqual(await self.read_status(reader), b"HTTP/1.1 200")
        self.assertEqual(await closed, 0)

    # Guards against a request that is run without a response, since its connection was
    # closed as idle when the process had already received it.
    async def test_request_that_has_arrived_on_an_idle_connection_is_answered(
        self,
    ) -> None:
        reader, _ = await self.connect()
        await self.wait_until(accepted=1)
        self.server.readers[0].feed_data(REQUEST)
        self.server.drain()
        self.server.close_idle(0.0)
        self.assertEqual(await self.read_status(reader), b"HTTP/1.1 200")
        self.assertEqual(self.received, 1)

    async def test_idle_connections_are_closed(self) -> None:
        reader, _ = await self.connect()
        await self.wait_until(accepted=1)
        self.server.close_idle(0.0)
        self.assertEqual(await self.read_status(reader), b"")

    # Guards against a request that is reset, since the server was closed between the
    # opening of the connection and the request.
    async def test_request_on_a_new_connection_of_a_closing_server_is_answered(
        self,
    ) -> None:
        with mock.patch.object(http_server, "LAST_REQUEST_S", 1.0):
            reader, writer = await self.connect()
            await self.wait_until(accepted=1)
            closed = asyncio.create_task(self.server.close(2.0))
            await asyncio.sleep(0.02)
            writer.write(REQUEST)
            self.assertEqual(await self.read_status(reader), b"HTTP/1.1 200")
            self.assertEqual(await closed, 0)

    # Guards against a request that is read after the server was closed, as the process
    # exits: its connection had been accepted, but its task had not started.
    async def test_no_request_is_read_after_close(self) -> None:
        host, _, port = self.address.rpartition(":")
        for iterations in range(8):
            with self.subTest(iterations=iterations), socket.socket() as client:
                self.received = 0
                server = RecordingServer(self.respond)
                _, _, port = (await server.start("127.0.0.1:0")).rpartition(":")
                client.connect((host, int(port)))
                client.sendall(REQUEST)
                for _ in range(iterations):
                    await asyncio.sleep(0)
                self.assertEqual(await server.close(1.0), 0)
                received = self.received
                await asyncio.sleep(0.05)
                self.assertEqual(self.received, received)
                if received:
                    client.settimeout(1.0)
                    self.assertTrue(client.recv(100).startswith(b"HTTP/1.1 200"))

    # Guards against a response that is lost as the process ends before a slow client
    # has received it.
    async def test_close_waits_until_a_slow_client_has_received_its_response(
        self,
    ) -> None:
        self.body = LARGE_BODY
        self.server.drain()
        assert self.server._server is not None
        for listener in self.server._server.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        host, _, port = self.address.rpartition(":")
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(client, (host, int(port)))
            await loop.sock_sendall(client, REQUEST)
            await self.wait_until(received=1)
            closed = asyncio.create_task(self.server.close(2.0))
            await asyncio.sleep(0.1)
            self.assertFalse(closed.done())
            received = 0
            async with asyncio.timeout(2):
                while data := await loop.sock_recv(client, 4_096):
                    received += len(data)
            self.assertGreater(received, len(LARGE_BODY))
            self.assertEqual(await closed, 0)


if __name__ == "__main__":
    unittest.main()
