"""Worker processes that are killed and started again at their address."""

from __future__ import annotations

import asyncio
import time
import unittest

from testkit.cluster import Cluster, Shape
from tests.test_thin_path import KEY, configure, wait_for_workers

REQUESTS = 30

TARGET_S = 5.0
"""Target of the class of the requests, in seconds."""


class WorkerProcessRestartsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = Cluster(Shape(entries=3))
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        await configure(self.cluster)
        await wait_for_workers(self.cluster)

    async def ask_once(self, key: str) -> object:
        """Send a request until it is started; return its outcome."""
        body = {"class": "lookup", "idempotent": False, "idempotency_key": key}
        while True:
            _, response = await self.cluster.http(
                "e1", "POST", "/v1/requests", body, KEY
            )
            error = response.get("error", {})
            if error.get("code") != "not_started" or not error["not_run"]:
                return response.get("outcome", response)

    async def ask_all(self, prefix: str) -> list[object]:
        keys = [f"{prefix}-{number}" for number in range(REQUESTS)]
        return list(await asyncio.gather(*map(self.ask_once, keys)))

    # Guards against answers that are lost after a restart, since the cursor of the
    # former process covers their numbers. A request may be refused as not started, as
    # its entry host offers it to a few owners that have not noticed the restart.
    async def test_requests_are_answered_after_workers_restarted(self) -> None:
        self.assertEqual(await self.ask_all("before"), ["answered"] * REQUESTS)
        await self.cluster.restart_workers()
        began = time.monotonic()
        self.assertEqual(await self.ask_all("after"), ["answered"] * REQUESTS)
        self.assertLess(time.monotonic() - began, TARGET_S)
        history = await self.cluster.worker_history()
        started = [key for item in history.values() for key in item["started"]]
        requests = {key.partition("/")[0] for key in started}
        self.assertEqual((len(started), len(requests)), (REQUESTS, REQUESTS))
