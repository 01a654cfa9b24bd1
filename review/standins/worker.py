"""A worker: fencing, leases, runs, ended runs and crashes."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from .http import Request, Response, Server

ENDS_PER_LIST = 500
LONGEST_LEASE_MS = 10_000
STOP_S = 0.05
CHECKPOINT_S = 1.0

RunTime = Callable[[str], float]
"""Returns how many seconds of work a task takes."""


@dataclass
class Run:
    """One run of a task, as the stand-in has seen it.

    :param how: how it ended; empty while it runs
    :param number: number of its end in the life of the worker
    :param noted_at: time at which the cursor reached its end; 0 if it has not
    """

    task: str
    run: int
    worker: str
    life: int
    began_at: float
    spec: str
    work_s: float
    checkpoint: str = ""
    how: str = ""
    ended_at: float = 0.0
    number: int = 0
    noted_at: float = 0.0
    timer: asyncio.TimerHandle | None = field(default=None, repr=False)


class Worker:
    """One worker, which starts whatever it is told to (``admissionCheck`` false).

    :ivar runs: all runs of all lives
    :ivar lapses: times at which its lease ended
    """

    def __init__(
        self,
        name: str,
        service: str,
        run_time: RunTime,
        zone: str = "z1",
        labels: tuple[str, ...] = ("a", "r1-1"),
        cpu: int = 64_000,
        saves: bool = False,
    ) -> None:
        self.id = name
        self.address = ""
        self.runs: list[Run] = []
        self.lapses: list[float] = []
        self._service = service
        self._run_time = run_time
        self.zone = zone
        self.labels = labels
        self._cpu = cpu
        self._saves = saves
        self._server: Server | None = None
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self._running: dict[str, Run] = {}
        self._barred: dict[str, int] = {}
        self._ends: list[Run] = []
        self._end_count = 0
        self._lapse_timer: asyncio.TimerHandle | None = None
        self._end_listed = asyncio.Event()

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Start listening."""
        host, _, port = address.rpartition(":")
        self._server = Server(self._handle)
        self.address = await self._server.start(host, int(port))

    async def crash(self) -> None:
        """End this life: everything that runs is lost, and calls are refused."""
        assert self._server is not None
        for run in list(self._running.values()):
            self._forget(run, "lost")
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        await self._server.stop()

    async def restart(self) -> None:
        """Begin a new life under the same id and address."""
        self._begin_life()
        await self.start(self.address)

    async def stop(self) -> None:
        """End the stand-in."""
        if self._server is not None:
            await self.crash()

    def describe(self, state: str = "ready") -> bytes:
        """Return the worker's entry in the store."""
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldLeftMs": 0,
            "capacity": {"cpu": self._cpu, "memMb": 131_072, "gpu": 0},
            "labels": list(self.labels),
            "clockMs": self._clock_ms,
            "seq": 1,
            "born": self.born,
        }
        return json.dumps(entry).encode()

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._started_at) * 1000)

    async def _handle(self, request: Request) -> Response | None:
        if request.path == "/health":
            return Response.from_json(200, {})
        if request.headers.get("x-jacinthloom-expect-instance") != self.id:
            return self._answer(421)
        body = json.loads(request.body)
        if body["fencingToken"] < self._token:
            return self._answer(409, reason="fence")
        self._token = body["fencingToken"]
        if request.path == "/run-start":
            return self._on_start(body)
        if request.path == "/run-stop":
            return self._on_stop(body)
        if request.path == "/hold":
            return await self._on_hold(body)
        return self._answer(200)

    def _answer(self, status: int, **fields: object) -> Response:
        head = {"clockMs": self._clock_ms, "born": self.born}
        return Response.from_json(status, head | fields)

    def _extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease of all runs; it never gets shorter."""
        latest = min(deadline_ms, self._clock_ms + LONGEST_LEASE_MS)
        if latest <= self._deadline_ms:
            return
        self._deadline_ms = latest
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        delay_s = (latest - self._clock_ms) / 1000
        loop = asyncio.get_running_loop()
        self._lapse_timer = loop.call_later(max(0.0, delay_s), self._lapse)

    def _lapse(self) -> None:
        self.lapses.append(time.monotonic())
        for run in list(self._running.values()):
            self._end(run, "lapsed")

    def _on_start(self, body: dict[str, object]) -> Response:
        task, number = str(body["task"]), int(str(body["run"]))
        present = self._running.get(task)
        if present is not None and present.run == number:
            self._extend_lease(int(str(body["deadlineMs"])))
            return self._answer(200)
        if present is not None or number <= self._barred.get(task, 0):
            self._extend_lease(int(str(body["deadlineMs"])))
            return self._answer(409, reason="old")
        if int(str(body["deadlineMs"])) <= self._clock_ms:
            return self._answer(409, reason="late")
        self._extend_lease(int(str(body["deadlineMs"])))
        run = Run(
            task,
            number,
            self.id,
            self.born,
            time.monotonic(),
            str(body["spec"]),
            self._run_time(task),
            str(body.get("checkpoint", "")),
        )
        self._running[task] = run
        self.runs.append(run)
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.work_s, self._end, run, "done")
        return self._answer(200)

    def _on_stop(self, body: dict[str, object]) -> Response:
        task, number = str(body["task"]), int(str(body["run"]))
        run = self._running.get(task)
        if run is not None and run.run <= number:
            if run.timer is not None:
                run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(STOP_S, self._end, run, "stopped")
        self._barred[task] = max(self._barred.get(task, 0), number)
        return self._answer(200)

    def _forget(self, run: Run, how: str) -> None:
        if run.timer is not None:
            run.timer.cancel()
        run.how = how
        run.ended_at = time.monotonic()
        self._running.pop(run.task, None)

    def _end(self, run: Run, how: str) -> None:
        if run.how:
            return
        self._forget(run, how)
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.run)
        self._end_count += 1
        run.number = self._end_count
        self._ends.append(run)
        self._end_listed.set()

    async def _on_hold(self, body: dict[str, object]) -> Response:
        cursor = int(str(body["ackCursor"]))
        for run in self._ends:
            if run.number <= cursor:
                run.noted_at = time.monotonic()
        self._ends = [run for run in self._ends if run.number > cursor]
        if body.get("deadlineMs"):
            self._extend_lease(int(str(body["deadlineMs"])))
        wait_s = min(2.0, int(str(body.get("waitMs", 0))) / 1000)
        if wait_s and not self._ends:
            self._end_listed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._end_listed.wait()
            except TimeoutError:
                pass
        running = [
            [r.task, r.run, self._checkpoint(r), self._percent(r)]
            for r in self._running.values()
        ]
        ends = [[r.number, r.task, r.run, r.how, ""] for r in self._ends]
        return self._answer(200, running=running, endedRuns=ends[:ENDS_PER_LIST])

    def _checkpoint(self, run: Run) -> str:
        """Return the newest checkpoint: 16 characters, new with each second of work."""
        worked_s = time.monotonic() - run.began_at
        if not self._saves or worked_s < CHECKPOINT_S:
            return run.checkpoint
        return f"{int(worked_s):08x}{abs(hash(run.task)) % 16**8:08x}"

    def _percent(self, run: Run) -> int:
        worked_s = time.monotonic() - run.began_at
        return min(99, int(100 * worked_s / max(0.01, run.work_s)))
