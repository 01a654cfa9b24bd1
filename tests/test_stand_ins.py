"""The stand-ins for paths and workers end what they hold as real ones do."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from testkit.hosted.network import OPENED, Cut, NetworkStandIn
from testkit.hosted.proxy import LinkProxy
from testkit.hosted.relay_server import reset
from testkit.hosted.worker import WorkerStandIn

CONNECTIONS = 3
SILENCE_S = 0.2
"""Seconds for which a cut path must show nothing."""

SOURCE = "127.0.0.2"
TARGET = "target"
TASK = "a" * 16 + ".0.0.0"


async def open_connection(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an address."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def make_start(deadline_ms: int) -> bytes:
    """Return the request to start a task on the worker w1."""
    fields = {"task": TASK, "run": 1, "spec": "", "fencingToken": 1}
    body = json.dumps(fields | {"deadlineMs": deadline_ms}).encode()
    head = (
        "POST /run-start HTTP/1.1",
        "Host: w1",
        "X-Jacinthloom-Expect-Instance: w1",
        f"Content-Length: {len(body)}",
    )
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


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
        greeting = f"{SOURCE} {self.worker.address}\n".encode()
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


class CutPathsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.worker = WorkerStandIn("w1")
        await self.worker.start()
        self.proxy = LinkProxy(self.worker.address)
        self.network = NetworkStandIn()
        self.network.place_by_address[self.worker.address] = TARGET
        self.network_address = await self.network.start()
        self.proxy_address = await self.proxy.start()
        self.network_cut = Cut(frozenset({SOURCE}), frozenset({TARGET}))

    async def asyncTearDown(self) -> None:
        await self.proxy.close()
        await self.network.close()
        await self.worker.close()

    async def connect(self, address: str) -> asyncio.StreamReader:
        reader, self.writer = await open_connection(address)
        self.addCleanup(self.writer.close)
        if address == self.network_address:
            self.writer.write(f"{SOURCE} {self.worker.address}\n".encode())
            self.assertEqual(await reader.readexactly(1), OPENED)
        else:
            await asyncio.sleep(0.1)
        return reader

    def list_paths(self) -> list[tuple[str, Callable[[], None], Callable[[], None]]]:
        network, cut = self.network, self.network_cut
        return [
            (self.proxy_address, self.proxy.cut, self.proxy.heal),
            (
                self.network_address,
                lambda: network.cut(cut),
                lambda: network.heal(cut),
            ),
        ]

    async def check_silence(self, reader: asyncio.StreamReader) -> None:
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(SILENCE_S):
                await reader.read(1)

    async def check_reset(self, reader: asyncio.StreamReader) -> None:
        with self.assertRaises(ConnectionResetError):
            async with asyncio.timeout(1.0):
                await reader.read(1)

    # Guards against an order that a cut path holds until the next life of a worker is
    # up, and against a sender that learns of the end of the former life too early, or
    # takes the loss of what it has sent for an orderly end.
    async def test_bytes_held_for_an_ended_process_are_reset(self) -> None:
        for address, cut, heal in self.list_paths():
            with self.subTest(address=address):
                reader = await self.connect(address)
                cut()
                self.writer.write(make_start(90_000))
                await asyncio.sleep(0.1)
                await self.worker.crash()
                await self.worker.restart()
                await self.check_silence(reader)
                heal()
                await self.check_reset(reader)
                self.assertEqual(self.worker.started, [])

    # Guards against the same where nothing is held and the target resets.
    async def test_reset_passes_a_cut_path_only_once_it_has_healed(self) -> None:
        for address, cut, heal in self.list_paths():
            with self.subTest(address=address):
                await self.worker.crash()
                accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
                host, _, port = self.worker.address.rpartition(":")
                server = await asyncio.start_server(
                    lambda _, writer, queue=accepted: queue.put_nowait(writer),
                    host,
                    int(port),
                )
                reader = await self.connect(address)
                cut()
                reset(await accepted.get())
                server.close()
                await self.check_silence(reader)
                heal()
                await self.check_reset(reader)
                await self.worker.restart()

    # Guards against a connection to a worker that is down which ends although the path
    # to it is cut.
    async def test_refusal_passes_a_cut_proxy_only_once_it_has_healed(self) -> None:
        await self.worker.crash()
        self.proxy.cut()
        reader = await self.connect(self.proxy_address)
        self.writer.write(make_start(90_000))
        await self.check_silence(reader)
        await self.worker.restart()
        self.proxy.heal()
        await self.check_reset(reader)
        self.assertEqual(self.worker.started, [])


class RestartedWorkerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.worker = WorkerStandIn("w1", run_s=5.0)
        await self.worker.start()
        _, self.writer = await open_connection(self.worker.address)
        await asyncio.sleep(0.1)

    async def asyncTearDown(self) -> None:
        self.writer.close()
        await self.worker.close()

    async def check_next_life(self) -> None:
        await self.worker.restart()
        await asyncio.sleep(1.6)
        self.assertEqual(self.worker.started, [])
        self.assertEqual(self.worker.renewals, [])

    # Guards against a call that arrives while its life ends and sets runs, timers and
    # ends that the next life shows as its own.
    async def test_call_that_arrives_at_the_end_of_a_life_does_nothing(self) -> None:
        request = make_start(90_000)
        self.writer.write(request[:-9])
        await asyncio.sleep(0.1)
        self.writer.write(request[-9:])
        await self.worker.crash()
        await self.check_next_life()

    async def test_late_call_dies_with_its_life(self) -> None:
        self.worker.orders_to_delay = 1
        self.worker.delay_s = 0.3
        self.writer.write(make_start(90_000))
        await asyncio.sleep(0.1)
        self.assertEqual(self.worker.orders_to_delay, 0)
        await self.worker.crash()
        await self.check_next_life()

    async def test_dropped_call_dies_with_its_life(self) -> None:
        self.worker.mute_until = asyncio.get_running_loop().time() + 0.5
        self.writer.write(make_start(90_000))
        await asyncio.sleep(0.1)
        await self.worker.crash()
        await self.check_next_life()


if __name__ == "__main__":
    unittest.main()
