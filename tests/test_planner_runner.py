"""A planner whose call raises an exception ends its term instead of waiting for it."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any, cast

from jacinthloom_core.planner import effects
from jacinthloom_core.planner.specs import TaskId
from jacinthloom_core.planner.state import PlannerSettings
from jacinthloom_daemon.hosted.planner_runner import PlannerRunner


class BrokenWorkerClient:
    """A client whose calls raise an unexpected exception."""

    address = "1:1"

    async def start(self, start: effects.Start) -> None:
        raise ValueError("unexpected")

    def close(self) -> None:
        """Do nothing."""


class PlannerRunnerTest(unittest.IsolatedAsyncioTestCase):
    async def test_term_ends_when_a_call_raises(self) -> None:
        runner = PlannerRunner(
            cast("Any", None),
            PlannerSettings(1, 6.0, 120.0),
            lambda request: None,
            lambda: True,
            cast("Any", None),
            lambda: None,
        )
        runner._client_by_worker["w1"] = cast("Any", BrokenWorkerClient())
        task = TaskId("a" * 16, 0, 0, 0)
        start = effects.Start("w1", "1:1", 1, task, 1, "text", "", "", 1000)
        with self.assertLogs("jacinthloom", "ERROR"):
            runner._handler_by_type[effects.Start](start)
            async with asyncio.timeout(1):
                await runner.ended.wait()
        runner.close()
