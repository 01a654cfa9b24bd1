"""The client of a worker tells whether the lists that it reads may be cut off."""

from __future__ import annotations

import json
import unittest

from jacinthloom_core.planner.effects import PollWorker
from jacinthloom_daemon.platform.worker_client import (
    MAX_LISTED_ENDS,
    HoldResponse,
    WorkerClient,
)
from jacinthloom_wire.http_server import HttpServer, Request, ServerResponse


class WorkerClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.body: dict[str, object] = {}
        self.server = HttpServer(self.respond)
        self.client = WorkerClient("w1", await self.server.start("127.0.0.1:0"))

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.server.close(0.1)

    async def respond(self, request: Request) -> ServerResponse:
        return ServerResponse(200, json.dumps(self.body).encode(), "application/json")

    async def hold(self, **lists: object) -> HoldResponse:
        self.body = {"clockMs": 7, "born": 3, **lists}
        poll = PollWorker("w1", self.client.address, 1, 0, 0.0, 0)
        return await self.client.hold(poll)

    # Guards against ends that are taken for all ends when more of them wait.
    async def test_list_of_the_largest_size_may_be_cut_off(self) -> None:
        rows = [
            [number, f"{'a' * 16}.0.0.{number}", 1, "done", ""]
            for number in range(1, MAX_LISTED_ENDS + 1)
        ]
        response = await self.hold(endedRuns=rows)
        self.assertEqual(len(response.ends), MAX_LISTED_ENDS)
        self.assertFalse(response.is_complete)
        response = await self.hold(endedRuns=rows[1:])
        self.assertTrue(response.is_complete)


if __name__ == "__main__":
    unittest.main()
