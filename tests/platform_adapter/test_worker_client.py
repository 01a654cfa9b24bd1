"""The client of a worker tells whether the lists that it reads may be cut off."""

from __future__ import annotations

import json
import unittest

from jacinthloom_core.planner.effects import PollWorker
from jacinthloom_core.planner.events import EndKind
from jacinthloom_daemon.platform.errors import UnavailableError
from jacinthloom_daemon.platform.worker_client import (
    MAX_LISTED_ENDS,
    HoldResponse,
    WorkerClient,
)
from jacinthloom_wire.http_server import HttpServer, Request, ServerResponse


class WorkerClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.text = ""
        self.server = HttpServer(self.respond)
        self.client = WorkerClient("w1", await self.server.start("127.0.0.1:0"))

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.server.close(0.1)

    async def respond(self, request: Request) -> ServerResponse:
        return ServerResponse(200, self.text.encode(), "application/json")

    async def hold(self, **lists: object) -> HoldResponse:
        body = json.dumps({"clockMs": 7, "born": 3, **lists})
        self.text = body.replace("Infinity", "1e400")
        poll = PollWorker("w1", self.client.address, 1, 0, 0, 0.0, 0)
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

    # Guards against one row that makes a whole list unreadable, and against runs that
    # count as gone because their row can't be read.
    async def test_rows_that_cannot_be_read_cost_only_themselves(self) -> None:
        task = f"{'a' * 16}.0.0.1"
        odd: list[object] = [
            None,
            7,
            [],
            ["x", 1, "", 0],
            [task, "1", "", 0],
            [task, 10**30, "", 0],
            [task, 1, None, 0],
            [task, 1, "", "much"],
            [7, 1, "", 0],
        ]
        response = await self.hold(running=[*odd, [task, 1, "", 41, 0.5, "new"]])
        self.assertEqual([row.percent for row in response.running], [41])
        self.assertFalse(response.is_complete)
        odd = [None, [1], [1, "x", 1, "done", ""], ["1", task, 1, "done", ""]]
        response = await self.hold(endedRuns=[*odd, [2, task, 1, "done", "", "new"]])
        self.assertEqual([end.number for end in response.ends], [2])
        self.assertFalse(response.is_complete)

    # Guards against a task that is never settled since its worker names a new reason.
    async def test_end_for_an_unknown_reason_is_an_end(self) -> None:
        row = [1, f"{'a' * 16}.0.0.1", 1, "evicted", ""]
        response = await self.hold(endedRuns=[row])
        self.assertEqual([end.kind for end in response.ends], [EndKind.OTHER])
        self.assertTrue(response.is_complete)

    # Guards against a response that raises something else than what callers expect.
    async def test_unreadable_responses_are_failed_polls(self) -> None:
        poll = PollWorker("w1", self.client.address, 1, 0, 0, 0.0, 0)
        for text in ("", "[", "[" * 100_000, '{"clockMs":1,"x":' + "[" * 100_000):
            self.text = text
            with self.assertRaises(UnavailableError):
                await self.client.hold(poll)
        for clock in ("-1", "1" + "0" * 30, "1e400", '"x"'):
            self.text = f'{{"clockMs":{clock}}}'
            with self.assertRaises(UnavailableError):
                await self.client.hold(poll)


if __name__ == "__main__":
    unittest.main()
