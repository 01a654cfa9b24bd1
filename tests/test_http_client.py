"""The HTTP client on connections that fail in ways that only a timeout shows."""

from __future__ import annotations

import asyncio
import unittest

from jacinthloom_wire.errors import TransportError
from jacinthloom_wire.http_client import HttpClient
from jacinthloom_wire.http_server import HttpServer, Request, ServerResponse

from testkit.hosted.proxy import LinkProxy

CONNECTIONS = 4


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = HttpServer(self.respond)
        self.proxy = LinkProxy(await self.server.start("127.0.0.1:0"))
        self.client = HttpClient(await self.proxy.start())

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.proxy.close()
        await self.server.close(0.1)

    async def respond(self, request: Request) -> ServerResponse:
        await asyncio.sleep(0.02)
        return ServerResponse.from_json(200, {})

    async def call(self) -> int:
        return (await self.client.request("GET", "/", timeout=0.3)).status

    # Guards against calls that time out one after the other, each on another idle
    # connection, after all of them have fallen silent.
    async def test_one_timeout_ends_all_silent_connections(self) -> None:
        calls = [self.call() for _ in range(CONNECTIONS)]
        self.assertEqual(await asyncio.gather(*calls), [200] * CONNECTIONS)
        self.proxy.stall()
        with self.assertRaises(TransportError):
            await self.call()
        self.assertEqual(await self.call(), 200)

    # Guards against half an answer that is taken for a whole one.
    async def test_half_an_answer_is_no_answer(self) -> None:
        self.proxy.answers_to_cut = 1
        with self.assertRaises(TransportError) as caught:
            await self.call()
        self.assertTrue(caught.exception.sent)
        self.assertEqual(await self.call(), 200)


if __name__ == "__main__":
    unittest.main()
