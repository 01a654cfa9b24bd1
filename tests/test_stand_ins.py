"""The stand-ins for paths and workers end what they hold as real ones do."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from testkit.hosted.network import NetworkStandIn
from testkit.hosted.proxy import LinkProxy
from testkit.hosted.worker import WorkerStandIn

CONNECTIONS = 3


async def open_connection(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an address."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


class ClosedRelaysTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.reported: list[dict[str, Any]] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.reported.append(context))
        self.worker = WorkerStandIn("w1")
        await self.worker.start()

    async def asyncTearDown(self) -> None:
        await self.worker.close()

    async def hold_connections(self, address: str, greeting: bytes) -> None:
        for _ in range(CONNECTIONS):
            _, writer = await open_connection(address)
            writer.write(greeting)
            self.addCleanup(writer.close)
        await asyncio.sleep(0.1)

    # Guards against thousands of tracebacks of cancelled handlers on Python 3.11, among
    # which a real one is not seen.
    async def test_closed_relay_reports_no_cancelled_handlers(self) -> None:
        proxy = LinkProxy(self.worker.address)
        await self.hold_connections(await proxy.start(), b"")
        await proxy.close()
        network = NetworkStandIn()
        greeting = f"127.0.0.2 {self.worker.address}\n".encode()
        await self.hold_connections(await network.start(), greeting)
        await network.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.reported, [])

    # Guards against the opposite: an error of a relay that nobody sees.
    async def test_error_of_a_relay_is_reported(self) -> None:
        error = RuntimeError("a fault in the relay")
        proxy = LinkProxy(self.worker.address)
        with mock.patch.object(proxy, "_pump", side_effect=error):
            await self.hold_connections(await proxy.start(), b"")
        await proxy.close()
        errors = [context["exception"] for context in self.reported]
        self.assertEqual(len(errors), CONNECTIONS)
        self.assertIn("a fault in the relay", repr(errors[0]))


if __name__ == "__main__":
    unittest.main()
