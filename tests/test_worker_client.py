"""The client of workers: which incarnation takes a request, and old workers."""

from __future__ import annotations

import json
import time
import unittest
from typing import TYPE_CHECKING

from jacinthloom_core.model.effects import Exchange
from jacinthloom_core.model.resources import Resources
from jacinthloom_core.model.work import Grant, WorkSpec
from jacinthloom_wire.errors import FormatError, OtherRecipientError, StatusError
from jacinthloom_wire.http_server import HttpServer, ServerLimits, ServerResponse
from jacinthloom_wire.worker_client import OTHER_INCARNATION_STATUS, WorkerClient

from testkit.worker import Worker

if TYPE_CHECKING:
    from jacinthloom_wire.http_server import Request

CAPACITY = {"processors": 8000, "memory": 8192, "accelerators": 1, "slots": 8}


def make_exchange(incarnation: str) -> Exchange:
    spec = WorkSpec(
        "j-1", "team", "rebuild", "batch", 1, Resources(1000, 0, 0, 1), 1.0, 0.0
    )
    now = time.monotonic()
    starts = (Grant(spec, 0, 1, "e1.1", 1),)
    until = time.time() + 5.0
    return Exchange("r/w", "", 1, 1, now + 5.0, until, starts, incarnation=incarnation)


class WorkerClientTest(unittest.IsolatedAsyncioTestCase):
    """The server is the stand-in for a worker, or responds with a recorded body."""

    async def asyncSetUp(self) -> None:
        self.worker = Worker("r/w", CAPACITY, False)
        self.body: object = None
        self.status = 200
        self.requests: list[Request] = []
        self.server = HttpServer(self.handle, ServerLimits(10, 1 << 20))
        self.client = WorkerClient(await self.server.start("127.0.0.1:0"))
        self.addAsyncCleanup(self.server.close, 0.0)
        self.addCleanup(self.client.close)

    async def handle(self, request: Request) -> ServerResponse:
        self.requests.append(request)
        if self.body is not None:
            return ServerResponse.from_json(self.status, self.body)
        return await self.worker.handle(request.path, request)

    # Guards against a start that runs on an incarnation that it was not meant for.
    async def test_exchange_for_a_former_incarnation_starts_nothing(self) -> None:
        with self.assertRaises(OtherRecipientError) as caught:
            await self.client.exchange(make_exchange("former"), lambda: True)
        self.assertFalse(caught.exception.sent)
        self.assertEqual(self.worker.started, [])
        report = await self.client.report(1)
        result = await self.client.exchange(
            make_exchange(report.incarnation), lambda: True
        )
        self.assertTrue(result.results[0].accepted)
        self.assertEqual(self.worker.started, ["j-1/0#1"])

    # Guards against a cursor that hides the completions of the next incarnation.
    async def test_cursor_of_a_former_incarnation_is_refused(self) -> None:
        with self.assertRaises(OtherRecipientError):
            await self.client.read_completions(7, "former & gone")
        self.assertEqual(self.requests[-1].query["incarnation"], "former & gone")

    # Guards against the same where a worker identifies itself, but refuses nothing.
    async def test_completions_of_another_incarnation_are_not_used(self) -> None:
        self.body = {"completions": [], "cursor": 2, "incarnation": "next"}
        for expected in ("former", ""):
            with self.assertRaises(OtherRecipientError):
                await self.client.read_completions(7, expected)

    # Guards against requests that workers without incarnations can't read.
    async def test_worker_without_incarnation_is_asked_as_before(self) -> None:
        self.body = {"capacity": CAPACITY, "running": [], "fence": -1, "cursor": 3}
        self.assertEqual((await self.client.report(1)).incarnation, "")
        self.body = {"completions": [], "cursor": 3}
        self.assertEqual((await self.client.read_completions(3)).cursor, 3)
        self.assertEqual(set(self.requests[-1].query), {"after", "wait"})
        self.body = {"results": [], "uses": [], "missing": []}
        await self.client.exchange(make_exchange(""), lambda: True)
        self.assertNotIn("incarnation", json.loads(self.requests[-1].body))

    # Guards against an incarnation that is unequal to itself when it is sent back.
    async def test_incarnation_that_is_not_a_text_is_rejected(self) -> None:
        self.body = {"completions": [], "cursor": 3, "incarnation": 5}
        with self.assertRaises(FormatError):
            await self.client.read_completions(3, "5")

    # Guards against a watch that ends with an unexpected error, and is not begun again.
    async def test_completions_that_are_not_an_object_are_rejected(self) -> None:
        self.body = []
        with self.assertRaises(FormatError):
            await self.client.read_completions(3)

    # Guards against a refusal of a proxy that counts as one of another incarnation.
    async def test_misdirected_request_without_incarnation_may_have_run(self) -> None:
        self.status = OTHER_INCARNATION_STATUS
        self.body = {}
        with self.assertRaises(StatusError):
            await self.client.exchange(make_exchange(""), lambda: True)
