"""A stand-in for a worker, which carries out the orders that the users' pages name.

What a task does is told by its payload: ``serve`` and ``fill`` run until they are
stopped, ``work SECONDS`` ends as done after that time.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from jacinthloom_wire.http_server import HttpServer, Request, ServerResponse

LONGEST_LEASE_MS = 10_000
"""``holdMaxMs`` of the small deployments."""

STARTUP_S = 0.3
"""Seconds after which a task that lasts is at work."""

STOP_S = 0.1
"""Seconds that a stop takes."""

MAX_LISTED_ENDS = 500
"""Ended runs that are listed at a time."""

Report = Callable[[str], None]


@dataclass(eq=False)
class Run:
    """One run of a task.

    :param seconds: seconds of work; 0 if the task lasts
    """

    task: str
    number: int
    payload: str
    seconds: float
    began_at: float
    end_number: int = 0
    how: str = ""
    timer: asyncio.TimerHandle | None = None

    @property
    def percent(self) -> int:
        """Progress; a task that lasts is at work when it is 100."""
        passed_s = time.monotonic() - self.began_at
        whole_s = self.seconds or STARTUP_S
        most = 99 if self.seconds else 100
        return min(most, int(100 * passed_s / whole_s))


class Worker:
    """A worker that starts whatever it is told to, and keeps its fence and lease.

    :ivar is_up: whether its process runs
    """

    def __init__(self, name: str, labels: list[str], report: Report) -> None:
        self.name = name
        self.labels = labels
        self.capacity = {"cpu": 16000, "memMb": 32768, "gpu": 0}
        self.address = ""
        self.is_up = False
        self.sequence = 0
        self._report = report
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._born_at = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self.run_by_task: dict[str, Run] = {}
        self._highest_by_task: dict[str, int] = {}
        self._ends: list[Run] = []
        self._end_count = 0
        self._lapse_timer: asyncio.TimerHandle | None = None
        self._has_end = asyncio.Event()
        self._server = HttpServer(self._handle)

    async def start(self) -> None:
        """Start the process, at the address that it had before if any."""
        self.address = await self._server.start(self.address or "127.0.0.1:0")
        self.is_up = True
        self._report(f"{self.name} is up, born {self.born}")

    async def crash(self) -> None:
        """End the process with all that it runs; nothing is told to anybody."""
        self.is_up = False
        for run in self.run_by_task.values():
            self._cancel_timer(run)
            self._report(f"{self.name} crashes under {run.task} run {run.number}")
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        self.run_by_task = {}
        await self._server.close(0.0)
        self._report(f"{self.name} is down")

    async def restart(self) -> None:
        """Begin the next life under the same id."""
        self._begin_life()
        await self.start()

    def describe(self, service: str) -> bytes:
        """Return the worker's next entry in the store."""
        self.sequence += 1
        entry = {
            "service": service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": self._clock_ms,
            "born": self.born,
            "seq": self.sequence,
        }
        return json.dumps(entry).encode()

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_at) * 1000) + 1

    def _respond(self, status: int, **fields: object) -> ServerResponse:
        head = {"clockMs": self._clock_ms, "born": self.born}
        return ServerResponse.from_json(status, head | fields)

    async def _handle(self, request: Request) -> ServerResponse:
        if request.method == "GET":
            return ServerResponse.from_json(200, {})
        if request.headers.get("x-jacinthloom-expect-instance") != self.name:
            return self._respond(421)
        body = json.loads(request.body)
        if body.get("fencingToken", 0) < self._token:
            return self._respond(409, reason="fence")
        self._token = body.get("fencingToken", 0)
        if request.path == "/hold":
            return await self._hold(body)
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        return self._respond(200 if request.path == "/pace" else 404)

    def _extend_lease(self, deadline_ms: int) -> None:
        latest_ms = min(deadline_ms, self._clock_ms + LONGEST_LEASE_MS)
        if latest_ms <= self._deadline_ms:
            return
        self._deadline_ms = latest_ms
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        delay_s = max(0.0, (latest_ms - self._clock_ms) / 1000)
        self._lapse_timer = asyncio.get_running_loop().call_later(delay_s, self._lapse)

    def _lapse(self) -> None:
        for run in list(self.run_by_task.values()):
            self._end(run, "lapsed")

    def _start(self, body: dict[str, Any]) -> ServerResponse:
        task, number = body["task"], body["run"]
        self._extend_lease(body["deadlineMs"])
        present = self.run_by_task.get(task)
        if present is not None and present.number == number:
            return self._respond(200)
        if present is not None or number <= self._highest_by_task.get(task, 0):
            return self._respond(409, reason="old")
        if body["deadlineMs"] <= self._clock_ms:
            return self._respond(409, reason="late")
        kind, _, seconds = body["spec"].partition(" ")
        length_s = float(seconds) if kind == "work" else 0.0
        run = Run(task, number, body["spec"], length_s, time.monotonic())
        self.run_by_task[task] = run
        self._highest_by_task[task] = number
        self._report(f"{self.name} starts {task} run {number} ({run.payload})")
        if length_s:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(length_s, self._end, run, "done")
        return self._respond(200)

    def _stop(self, body: dict[str, Any]) -> ServerResponse:
        task, number = body["task"], body["run"]
        highest = self._highest_by_task.get(task, 0)
        self._highest_by_task[task] = max(highest, number)
        run = self.run_by_task.get(task)
        if run is not None and run.number == number:
            self._cancel_timer(run)
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(STOP_S, self._end, run, "stopped")
        return self._respond(200)

    @staticmethod
    def _cancel_timer(run: Run) -> None:
        if run.timer is not None:
            run.timer.cancel()

    def _end(self, run: Run, how: str) -> None:
        if run.how or not self.is_up:
            return
        self._cancel_timer(run)
        self._end_count += 1
        run.how, run.end_number = how, self._end_count
        del self.run_by_task[run.task]
        self._ends.append(run)
        self._has_end.set()
        self._report(f"{self.name} ends {run.task} run {run.number} as {how}")

    async def _hold(self, body: dict[str, Any]) -> ServerResponse:
        cursor = body.get("ackCursor", 0)
        self._ends = [run for run in self._ends if run.end_number > cursor]
        self._extend_lease(body.get("deadlineMs", 0))
        if not self._ends and body.get("waitMs"):
            self._has_end.clear()
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await self._has_end.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", run.percent, 10]
            for run in self.run_by_task.values()
        ]
        ends = [
            [run.end_number, run.task, run.number, run.how, ""]
            for run in self._ends[:MAX_LISTED_ENDS]
        ]
        return self._respond(200, running=running, endedRuns=ends)
