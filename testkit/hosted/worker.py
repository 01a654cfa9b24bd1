"""A stand-in for a worker of the platform: fencing, runs, ended runs and cursors."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from jacinthloom_wire.http_server import HttpServer, Request, ServerResponse

RUN_S = 0.3
"""Duration of each run, in seconds."""


class WorkerStandIn:
    """One worker, which accepts every valid start regardless of its capacity.

    :ivar started: task and run number of every start that was carried out
    """

    def __init__(self, name: str, run_s: float = RUN_S) -> None:
        self.id = name
        self.run_s = run_s
        self.started: list[tuple[str, int]] = []
        self._born = int(time.time() * 1000)
        self._token = 0
        self._run_by_task: dict[str, int] = {}
        self._began_at_by_task: dict[str, float] = {}
        self._highest_run_by_task: dict[str, int] = {}
        self._ended_runs: list[list[Any]] = []
        self._ended_count = 0
        self._has_ended = asyncio.Event()
        self._server = HttpServer(self._handle)
        self.address = ""

    async def start(self) -> None:
        """Start listening."""
        self.address = await self._server.start("127.0.0.1:0")

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close(0.1)

    def describe(self, service: str) -> bytes:
        """Return the worker's entry in the store."""
        entry = {
            "service": service,
            "address": self.address,
            "zone": "z",
            "state": "ready",
            "capacity": {"cpu": 8000, "memMb": 8000, "gpu": 0},
            "labels": ["a", "r1-1"],
            "born": self._born,
        }
        return json.dumps(entry).encode()

    @property
    def _clock_ms(self) -> int:
        return int(time.time() * 1000) - self._born

    async def _handle(self, request: Request) -> ServerResponse:
        body = json.loads(request.body)
        if request.headers.get("x-jacinthloom-expect-instance") != self.id:
            return ServerResponse.from_json(421, {"clockMs": self._clock_ms})
        if body["fencingToken"] < self._token:
            return self._refuse("fence")
        self._token = body["fencingToken"]
        if request.path == "/run-start":
            return self._on_start(body)
        if request.path == "/run-stop":
            return self._on_stop(body)
        return await self._on_hold(body)

    def _refuse(self, reason: str) -> ServerResponse:
        return ServerResponse.from_json(
            409, {"clockMs": self._clock_ms, "reason": reason}
        )

    def _on_start(self, body: dict[str, Any]) -> ServerResponse:
        task, run = body["task"], body["run"]
        if self._run_by_task.get(task) != run:
            if task in self._run_by_task or run <= self._highest_run_by_task.get(
                task, 0
            ):
                return self._refuse("old")
            self._run_by_task[task] = self._highest_run_by_task[task] = run
            self._began_at_by_task[task] = time.monotonic()
            self.started.append((task, run))
            loop = asyncio.get_running_loop()
            loop.call_later(self.run_s, self._end, task, run, "done")
        return ServerResponse.from_json(200, {"clockMs": self._clock_ms})

    def _on_stop(self, body: dict[str, Any]) -> ServerResponse:
        task, run = body["task"], body["run"]
        if self._run_by_task.get(task) == run:
            self._end(task, run, "stopped")
        self._highest_run_by_task[task] = max(
            self._highest_run_by_task.get(task, 0), run
        )
        return ServerResponse.from_json(200, {"clockMs": self._clock_ms})

    def _end(self, task: str, run: int, kind: str) -> None:
        if self._run_by_task.get(task) != run:
            return
        del self._run_by_task[task]
        self._ended_count += 1
        self._ended_runs.append([self._ended_count, task, run, kind, ""])
        self._has_ended.set()

    def _compute_percent(self, task: str) -> int:
        worked_s = time.monotonic() - self._began_at_by_task[task]
        return min(99, int(100 * worked_s / self.run_s))

    async def _on_hold(self, body: dict[str, Any]) -> ServerResponse:
        self._ended_runs = [
            row for row in self._ended_runs if row[0] > body["ackCursor"]
        ]
        if not self._ended_runs and body.get("waitMs"):
            self._has_ended.clear()
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await self._has_ended.wait()
            except TimeoutError:
                pass
        running = [
            [task, run, "", self._compute_percent(task)]
            for task, run in self._run_by_task.items()
        ]
        lists = {
            "clockMs": self._clock_ms,
            "born": self._born,
            "running": running,
            "endedRuns": self._ended_runs,
        }
        return ServerResponse.from_json(200, lists)
