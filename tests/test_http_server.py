"""The HTTP server while it stops."""

from __future__ import annotations

import asyncio
import unittest

from jacinthloom_wire.http_server import HttpServer, Request, ServerResponse

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class HttpServerStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.received = 0
        self.may_answer = asyncio.Event()
        self.server = HttpServer(self.respond)
        self.address = await self.server.start("127.0.0.1:0")
        self.addAsyncCleanup(self.server.close, 0.1)

    async def respond(self, request: Request) -> ServerResponse:
        self.received += 1
        await self.may_answer.wait()
        return ServerResponse.from_json(200, {})

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def wait_until_received(self, count: int) -> None:
        async with asyncio.timeout(1):
            while self.received < count:
                await asyncio.sleep(0.005)

    # Guards against a stop that cuts off requests while no log line tells of them.
    async def test_close_counts_requests_that_it_cuts_off(self) -> None:
        for _ in range(2):
            _, writer = await self.connect()
            writer.write(REQUEST)
        await self.connect()  # sends no request
        await self.wait_until_received(2)
        self.assertEqual(await self.server.close(0.05), 2)

    async def test_close_waits_for_responses(self) -> None:
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await self.wait_until_received(1)
        closed = asyncio.create_task(self.server.close(1.0))
        await asyncio.sleep(0.05)
        self.may_answer.set()
        async with asyncio.timeout(1):
            self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 200"))
        self.assertEqual(await closed, 0)


if __name__ == "__main__":
    unittest.main()
