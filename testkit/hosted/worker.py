"""A stand-in for a worker of the platform: fencing, leases, runs and ended runs."""

from __future__ import annotations

import asyncio
import json
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from jacinthloom_wire.http_server import HttpServer, Request, ServerResponse

RUN_S = 0.3
"""Default duration of each run, in seconds."""

MAX_LISTED_ENDS = 500
"""Ended runs that are listed at a time."""

MAX_LEASE_MS = 10_000
"""Longest lease, in milliseconds."""

STOP_S = 0.05
"""Seconds from a stop to the end of the run."""

CHECKPOINT_S = 0.2
"""Seconds of work between two checkpoints."""

RESTORE_S = 0.05
"""Seconds that a resumed run takes to reach its checkpoint."""

GANG_TIMEOUT_S = 3.0
"""Seconds that a member of a gang waits for the other members."""


FIRST_AGE_S = 60.0
"""Age of a worker when it is first started, in seconds: its clock is ahead of that of
its next life."""


@dataclass(slots=True)
class Run:
    """One run of a task, as the worker has seen it.

    Times are monotonic seconds; 0 if it has not come to that.

    :param term: fencing token of its start
    :param is_late: whether its order was carried out long after it was sent
    :param kind: how it ended; empty while it runs
    :param number: number of its end in this incarnation
    :param noted_at: time at which a cursor reached its end
    :param resumed_s: seconds of work that its first checkpoint holds
    :param work_began_at: time at which its work began; members of a gang wait for all
    :param checkpoint: latest checkpoint when it ended: seconds of work; may be empty
    """

    task: str
    run: int
    worker: WorkerStandIn
    payload: str
    began_at: float
    term: int = 0
    is_late: bool = False
    kind: str = ""
    ended_at: float = 0.0
    number: int = 0
    noted_at: float = 0.0
    resumed_s: float = 0.0
    work_began_at: float = 0.0
    checkpoint: str = ""
    timer: asyncio.TimerHandle | None = field(default=None, repr=False)

    @property
    def done_s(self) -> float:
        """Seconds of work that are done, those before a checkpoint included."""
        if not self.work_began_at:
            return self.resumed_s
        restore_s = RESTORE_S if self.resumed_s else 0.0
        worked_s = time.monotonic() - self.work_began_at - restore_s
        return self.resumed_s + max(0.0, worked_s)


class GangRegistry:
    """Members of gangs on all workers, which begin and end together.

    :param find_size: number of members by the payload of a task; 0 if it has no gang
    """

    def __init__(self, find_size: Callable[[str], int] = lambda payload: 0) -> None:
        self._find_size = find_size
        self._present_by_gang: dict[tuple[str, int], list[Run]] = defaultdict(list)

    @staticmethod
    def _get_key(run: Run) -> tuple[str, int]:
        return run.task.rpartition(".")[0], run.run

    def join(self, run: Run) -> list[Run]:
        """Add a run; return the runs that begin to work now."""
        size = self._find_size(run.payload)
        if not size:
            return [run]
        present = self._present_by_gang[self._get_key(run)]
        present.append(run)
        return present if len(present) == size else []

    def leave(self, run: Run) -> list[Run]:
        """Remove the gang of a run that has ended; return its members."""
        return self._present_by_gang.pop(self._get_key(run), [])


class WorkerStandIn:
    """One worker, which accepts every valid start regardless of its capacity.

    :ivar runs: every run that was started, in all incarnations
    :ivar lapsed_at: times at which its lease expired
    :ivar renewals: time and fencing token of each extension of its lease
    :ivar hold_count: number of holds that it has answered, in all incarnations
    :ivar orders_to_delay: number of starts and stops that are not answered, and carried
        out after ``delay_s``
    :ivar mute_until: monotonic time until which calls are dropped
    """

    def __init__(
        self,
        name: str,
        run_s: float = RUN_S,
        zone: str = "z",
        labels: tuple[str, ...] = ("a", "r1-1"),
        choose_run_s: Callable[[Run], float] | None = None,
        saves_checkpoints: Callable[[str], bool] = lambda payload: False,
        gangs: GangRegistry | None = None,
    ) -> None:
        """Create a worker.

        :param saves_checkpoints: whether a task saves checkpoints, by its payload
        :param gangs: members of gangs on all workers; none if there are no gangs
        """
        self.id = name
        self.run_s = run_s
        self.zone = zone
        self.state = "ready"
        self.is_up = False
        self._labels = labels
        self._choose_run_s = choose_run_s or (lambda run: self.run_s)
        self._saves_checkpoints = saves_checkpoints
        self._gangs = gangs or GangRegistry()
        self.runs: list[Run] = []
        self.lapsed_at: list[float] = []
        self.renewals: list[tuple[float, int]] = []
        self.hold_count = 0
        self.orders_to_delay = 0
        self.delay_s = 2.0
        self.mute_until = 0.0
        self.capacity = {"cpu": 8000, "memMb": 8000, "gpu": 0}
        self.address = ""
        self.listed_address = ""
        """Address in the worker's entry, if it is reached through another one."""
        self._life = 0
        self._begin_incarnation(FIRST_AGE_S)

    def _begin_incarnation(self, age_s: float = 0.0) -> None:
        self.born = int((time.time() - age_s) * 1000)
        self._began_at = time.monotonic() - age_s
        self._token = 0
        self._deadline_ms = 0
        self._run_by_task: dict[str, Run] = {}
        self._highest_run_by_task: dict[str, int] = {}
        self._ends: list[Run] = []
        self._ended_count = 0
        self._lapse_timer: asyncio.TimerHandle | None = None
        self._has_ended = asyncio.Event()
        life = self._life
        self._server = HttpServer(lambda request: self._handle(life, request))

    @property
    def started(self) -> list[tuple[str, int]]:
        """Task and run number of every start that was carried out."""
        return [(run.task, run.run) for run in self.runs]

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Start listening."""
        self.address = await self._server.start(address)
        self.listed_address = self.listed_address or self.address
        self.is_up = True

    async def close(self) -> None:
        """Stop listening."""
        if self.is_up:
            await self.crash()

    async def crash(self) -> None:
        """End this incarnation with its runs and calls; further calls are refused."""
        self.is_up = False
        self._life += 1
        for run in list(self._run_by_task.values()):
            if not run.kind:  # the loss of another member may have ended it
                self._forget(run, "lost")
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        await self._server.close(0.0)

    async def restart(self) -> None:
        """Begin a new incarnation under the same id and address."""
        self._begin_incarnation()
        await self.start(self.address)

    def describe(self, service: str) -> bytes:
        """Return the worker's entry in the store."""
        entry = {
            "service": service,
            "address": self.listed_address,
            "zone": self.zone,
            "state": self.state,
            "capacity": self.capacity,
            "labels": list(self._labels),
            "born": self.born,
        }
        return json.dumps(entry).encode()

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._began_at) * 1000)

    def _respond(self, status: int, **fields: object) -> ServerResponse:
        head = {"clockMs": self._clock_ms, "born": self.born}
        return ServerResponse.from_json(status, head | fields)

    def _check_life(self, life: int) -> None:
        """Raise an error if the incarnation that received a call has ended."""
        if life != self._life:
            raise ConnectionResetError

    async def _handle(self, life: int, request: Request) -> ServerResponse:
        self._check_life(life)
        if time.monotonic() < self.mute_until:
            await asyncio.sleep(max(0.0, self.mute_until - time.monotonic()))
            raise ConnectionResetError
        body = json.loads(request.body)
        if request.headers.get("x-jacinthloom-expect-instance") != self.id:
            return self._respond(421)
        if request.path == "/hold":
            response = await self._on_hold(body)
            self._check_life(life)
            return response
        execute = self._on_start if request.path == "/run-start" else self._on_stop
        if self.orders_to_delay:
            self.orders_to_delay -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_s, self._execute_late, execute, body, life)
            await asyncio.sleep(self.delay_s + 1)
            self._check_life(life)
        return execute(body, False)

    def _execute_late(
        self,
        execute: Callable[[dict[str, Any], bool], ServerResponse],
        body: dict[str, Any],
        life: int,
    ) -> None:
        if life == self._life:
            execute(body, True)

    def _is_fenced(self, body: dict[str, Any]) -> bool:
        if body["fencingToken"] < self._token:
            return True
        self._token = body["fencingToken"]
        return False

    def _extend_lease(self, deadline_ms: int) -> None:
        latest_ms = min(deadline_ms, self._clock_ms + MAX_LEASE_MS)
        if latest_ms <= self._deadline_ms:
            return
        self._deadline_ms = latest_ms
        self.renewals.append((time.monotonic(), self._token))
        if self._lapse_timer is not None:
            self._lapse_timer.cancel()
        delay_s = max(0.0, (latest_ms - self._clock_ms) / 1000)
        loop = asyncio.get_running_loop()
        self._lapse_timer = loop.call_later(delay_s, self._lapse)

    def _lapse(self) -> None:
        self.lapsed_at.append(time.monotonic())
        for run in list(self._run_by_task.values()):
            self._end(run, "lapsed")

    def _on_start(self, body: dict[str, Any], is_late: bool) -> ServerResponse:
        if self._is_fenced(body):
            return self._respond(409, reason="fence")
        task, number = body["task"], body["run"]
        self._extend_lease(body["deadlineMs"])
        present = self._run_by_task.get(task)
        if present is not None and present.run == number:
            return self._respond(200)
        if present is not None or number <= self._highest_run_by_task.get(task, 0):
            return self._respond(409, reason="old")
        if body["deadlineMs"] <= self._clock_ms:
            return self._respond(409, reason="late")
        token = body["fencingToken"]
        run = Run(task, number, self, body["spec"], time.monotonic(), token, is_late)
        self._run_by_task[task] = run
        self._highest_run_by_task[task] = number
        run.resumed_s = float(body.get("checkpoint") or 0.0)
        self.runs.append(run)
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(GANG_TIMEOUT_S, self._end, run, "alone")
        for member in self._gangs.join(run):
            member.worker.begin_work(member)
        return self._respond(200)

    def begin_work(self, run: Run) -> None:
        """Begin the work of a run, which may be resumed from a checkpoint."""
        if run.timer is not None:
            run.timer.cancel()
        run.work_began_at = time.monotonic()
        left_s = max(0.0, self._choose_run_s(run) - run.resumed_s)
        left_s += RESTORE_S if run.resumed_s else 0.0
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(left_s, self._end, run, "done")

    def _get_checkpoint(self, run: Run) -> str:
        if not self._saves_checkpoints(run.payload) or run.done_s < CHECKPOINT_S:
            return ""
        return f"{int(run.done_s / CHECKPOINT_S) * CHECKPOINT_S:.1f}"

    def _on_stop(self, body: dict[str, Any], is_late: bool) -> ServerResponse:
        if self._is_fenced(body):
            return self._respond(409, reason="fence")
        task, number = body["task"], body["run"]
        run = self._run_by_task.get(task)
        if run is not None and run.run == number:
            if run.timer is not None:
                run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(STOP_S, self._end, run, "stopped")
        highest = self._highest_run_by_task.get(task, 0)
        self._highest_run_by_task[task] = max(highest, number)
        return self._respond(200)

    def _forget(self, run: Run, kind: str) -> None:
        if run.timer is not None:
            run.timer.cancel()
        run.kind = kind
        run.ended_at = time.monotonic()
        run.checkpoint = self._get_checkpoint(run)
        del self._run_by_task[run.task]
        for member in self._gangs.leave(run):
            member.worker._end(member, "done" if kind == "done" else "broken")

    def _end(self, run: Run, kind: str) -> None:
        if run.kind:
            return
        self._forget(run, kind)
        self._ended_count += 1
        run.number = self._ended_count
        self._ends.append(run)
        self._has_ended.set()

    def finish(self, task: str) -> None:
        """End a running task as done."""
        self._end(self._run_by_task[task], "done")

    def _compute_percent(self, run: Run) -> int:
        return min(99, int(100 * run.done_s / max(0.01, self._choose_run_s(run))))

    async def _on_hold(self, body: dict[str, Any]) -> ServerResponse:
        self.hold_count += 1
        if self._is_fenced(body):
            return self._respond(409, reason="fence")
        for run in self._ends:
            if run.number <= body["ackCursor"]:
                run.noted_at = time.monotonic()
        self._ends = [run for run in self._ends if run.number > body["ackCursor"]]
        self._extend_lease(body.get("deadlineMs", 0))
        if not self._ends and body.get("waitMs"):
            self._has_ended.clear()
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await self._has_ended.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.run, self._get_checkpoint(run), self._compute_percent(run)]
            for run in self._run_by_task.values()
        ]
        ends = [
            [run.number, run.task, run.run, run.kind, run.checkpoint]
            for run in self._ends
        ]
        return self._respond(200, running=running, endedRuns=ends[:MAX_LISTED_ENDS])
