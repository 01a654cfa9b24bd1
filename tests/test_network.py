"""The network stand-in, and the connections of processes that use it."""

from __future__ import annotations

import asyncio
import os
import threading
import unittest
from collections.abc import Coroutine
from typing import Any
from unittest import mock

from jacinthloom_wire.errors import TransportError
from jacinthloom_wire.http_client import HttpClient
from jacinthloom_wire.http_server import HttpServer, Request, ServerResponse

from testkit.hosted.launcher import NETWORK_VARIABLE, NetworkEventLoop
from testkit.hosted.network import Cut, CutMode, NetworkStandIn

SOURCE = "127.0.0.2"
PLACE = "target"


class NetworkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.received = 0
        self.server = HttpServer(self.respond)
        self.network = NetworkStandIn()
        self.target = await self.server.start("127.0.0.1:0")
        self.network.place_by_address[self.target] = PLACE
        value = f"{await self.network.start()},{SOURCE}"
        variables = mock.patch.dict(os.environ, {NETWORK_VARIABLE: value})
        variables.start()
        self.addCleanup(variables.stop)
        self.loop = NetworkEventLoop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()

    async def asyncTearDown(self) -> None:
        await self.network.close()
        self.loop.call_soon_threadsafe(self.loop.stop)
        await asyncio.to_thread(self.thread.join)
        self.loop.close()
        await self.server.close(0.1)

    async def respond(self, request: Request) -> ServerResponse:
        self.received += 1
        return ServerResponse.from_json(200, {})

    async def run_in_process(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine as a process does that uses the network."""
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        return await asyncio.wrap_future(future)

    async def call(self, client: HttpClient, timeout: float = 1.0) -> int:
        work = client.request("GET", "/", timeout=timeout)
        return (await self.run_in_process(work)).status

    async def connect(self) -> None:
        host, _, port = self.target.rpartition(":")
        async with asyncio.timeout(0.2):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            await reader.readexactly(1)

    # Guards against a cut that reaches open connections only, or new ones only, and
    # against a refusal that a process can't tell from a lost response.
    async def test_cut_breaks_open_and_new_connections_as_its_mode_says(self) -> None:
        for mode, error in (
            (CutMode.SILENT, TimeoutError),
            (CutMode.REFUSED, ConnectionRefusedError),
            (CutMode.RESET, ConnectionResetError),
        ):
            with self.subTest(mode=mode):
                client = HttpClient(self.target)
                self.assertEqual(await self.call(client), 200)
                cut = Cut(frozenset({SOURCE}), frozenset({PLACE}), mode)
                self.network.cut(cut)
                with self.assertRaises(TransportError):
                    await self.call(client, 0.2)
                with self.assertRaises(error):
                    await self.run_in_process(self.connect())
                self.network.heal(cut)
                self.assertEqual(await self.call(HttpClient(self.target)), 200)

    # Guards against a one-way cut that loses orders too: those are carried out, though
    # their responses don't arrive until it heals.
    async def test_one_way_cut_holds_back_responses_only(self) -> None:
        client = HttpClient(self.target)
        self.assertEqual(await self.call(client), 200)
        cut = Cut(frozenset({PLACE}), frozenset({SOURCE}), is_one_way=True)
        self.network.cut(cut)
        call = asyncio.create_task(self.call(client, 2.0))
        await asyncio.sleep(0.2)
        self.assertEqual(self.received, 2)
        self.assertFalse(call.done())
        self.network.heal(cut)
        self.assertEqual(await call, 200)


if __name__ == "__main__":
    unittest.main()
