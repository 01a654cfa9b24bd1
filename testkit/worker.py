"""Stand-in for a worker: runs tasks under leases and reports their completions."""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from jacinthloom_wire.http_server import ServerResponse
from jacinthloom_wire.worker_client import OTHER_INCARNATION_STATUS

if TYPE_CHECKING:
    from jacinthloom_wire.http_server import Request

COMPLETION_RETENTION_S = 60.0
"""Seconds for which a completion can be read."""

MAX_COMPLETIONS = 1000

TICK_S = 0.02

SILENT_RESPONSE_DELAY_S = 60.0

DEFAULT_RUN_TIME_S = 0.02
"""Run time of a task if neither its payload nor its start declares one."""


@dataclass
class WorkerSwitches:
    """Fault switches of a worker.

    :param fail_all: whether every task that it starts fails
    :param late_s: seconds by which responses with completions are delayed
    :param shuffle: whether completions are returned in reverse order
    :param down: whether it delays every response by 60 s
    """

    fail_all: bool = False
    late_s: float = 0.0
    shuffle: bool = False
    down: bool = False


@dataclass
class _Task:
    """A task that runs under a lease.

    :param start: body of the request that started it
    """

    start: dict[str, Any]
    started_at: float
    ends_at: float
    lease_until: float
    fails: bool
    result: str
    used: dict[str, int]


@dataclass
class _CompletionRecord:
    """A completion and its cursor.

    :param body: completion as it is returned to readers
    """

    cursor: int
    ended_at: float
    body: dict[str, Any] = field(default_factory=dict)


class Worker:
    """State and HTTP interface of a worker.

    :param fences: whether it rejects exchanges of a view older than its fencing token
    """

    def __init__(self, name: str, capacity: dict[str, int], fences: bool) -> None:
        self.name = name
        self.capacity = capacity
        self.incarnation = secrets.token_hex(8)
        self.switches = WorkerSwitches()
        self.fence = 0 if fences else -1
        self.task_by_key: dict[str, _Task] = {}
        self.started: list[str] = []
        self.overcommitted = 0
        self._cursor = 0
        self._recent_completions: list[_CompletionRecord] = []
        self._completions_changed = asyncio.Condition()

    async def run(self) -> None:
        """Complete tasks that are due and drop those whose lease expired."""
        while True:
            now = time.monotonic()
            has_completed = False
            for key, task in list(self.task_by_key.items()):
                if now >= task.lease_until:
                    del self.task_by_key[key]
                elif now >= task.ends_at:
                    self._complete_task(
                        key, "failed" if task.fails else "answered", task.result
                    )
                    has_completed = True
            if has_completed:
                await self._notify()
            await asyncio.sleep(TICK_S)

    def _complete_task(self, key: str, outcome: str, result: str) -> None:
        task = self.task_by_key.pop(key)
        now = time.monotonic()
        self._cursor += 1
        body = {
            "key": key,
            "home": task.start["home"],
            "outcome": outcome,
            "result": result,
            "length": len(result),
            "ran_s": round(now - task.started_at, 3),
            "used": task.used,
        }
        self._recent_completions.append(_CompletionRecord(self._cursor, now, body))
        kept_from = now - COMPLETION_RETENTION_S
        self._recent_completions = [
            completion
            for completion in self._recent_completions
            if completion.ended_at >= kept_from
        ]
        del self._recent_completions[:-MAX_COMPLETIONS]

    async def _notify(self) -> None:
        async with self._completions_changed:
            self._completions_changed.notify_all()

    async def handle(self, path: str, request: Request) -> ServerResponse:
        """Handle a request."""
        if path == "/switch":
            for name, value in json.loads(request.body).items():
                setattr(self.switches, name, value)
            return ServerResponse.from_json(200, {})
        if path == "/started":
            return ServerResponse.from_json(200, self._describe_history())
        if self.switches.down:
            await asyncio.sleep(SILENT_RESPONSE_DELAY_S)
        if path == "/exchange":
            return await self._exchange(json.loads(request.body))
        if path == "/report":
            return self._report(int(request.query["view"]))
        if path == "/completions":
            return await self._read_completions(request)
        return ServerResponse.from_json(404, {})

    def _describe_history(self) -> dict[str, object]:
        return {
            "started": self.started,
            "running": list(self.task_by_key),
            "overcommitted": self.overcommitted,
        }

    def _report(self, view: int) -> ServerResponse:
        if self.fence >= 0:
            self.fence = max(self.fence, view)
        running = [
            {
                "key": key,
                "team": task.start["team"],
                "work_class": task.start["work_class"],
                "kind": task.start["kind"],
                "home": task.start["home"],
                "need": task.start["need"],
                "used": task.used,
            }
            for key, task in self.task_by_key.items()
        ]
        body = {
            "capacity": self.capacity,
            "running": running,
            "fence": self.fence,
            "cursor": self._cursor,
            "incarnation": self.incarnation,
        }
        return ServerResponse.from_json(200, body)

    def _refuse_other(self, incarnation: str) -> ServerResponse | None:
        """Return a refusal of a request for another incarnation, or None."""
        if incarnation == self.incarnation:
            return None
        body = {"error": f"this is incarnation {self.incarnation}"}
        return ServerResponse.from_json(OTHER_INCARNATION_STATUS, body)

    async def _exchange(self, body: dict[str, Any]) -> ServerResponse:
        refusal = self._refuse_other(body.get("incarnation", self.incarnation))
        if refusal is not None:
            return refusal
        if time.time() >= body["act_before"]:
            return ServerResponse.from_json(410, {"error": "too late"})
        if self.fence > body["view"]:
            return ServerResponse.from_json(409, {"error": "an older view"})
        if self.fence >= 0:
            self.fence = body["view"]
        now = time.monotonic()
        missing = []
        for key in body["renewals"]:
            task = self.task_by_key.get(key)
            if task is None:
                missing.append(key)
            else:
                task.lease_until = now + task.start["lease_s"]
        results = [self._start_task(start, now) for start in body["starts"]]
        self._stop_and_throttle(body)
        uses = [
            {"key": key, "used": task.used} for key, task in self.task_by_key.items()
        ]
        if body["stops"] or body["checkpoints"]:
            await self._notify()
        answer = {"results": results, "uses": uses, "missing": missing}
        return ServerResponse.from_json(200, answer)

    def _stop_and_throttle(self, body: dict[str, Any]) -> None:
        now = time.monotonic()
        for key in body["stops"]:
            if key in self.task_by_key:
                self._complete_task(key, "cancelled", "")
        for key in body["checkpoints"]:
            if key in self.task_by_key:
                task = self.task_by_key[key]
                progress_s = (
                    float(task.start["checkpoint"] or 0) + now - task.started_at
                )
                self._complete_task(key, "checkpointed", f"{progress_s:.3f}")
        for key in body["throttles"]:
            throttled = self.task_by_key.get(key)
            if throttled is not None:
                throttled.used = dict(throttled.start["need"])

    def _start_task(self, start: dict[str, Any], now: float) -> dict[str, object]:
        key = start["key"]
        if key in self.task_by_key:
            return {"key": key, "accepted": True}
        if not self._has_capacity(start["need"]):
            self.overcommitted += 1
            return {
                "key": key,
                "accepted": False,
                "reason": "the worker is full",
            }
        options = _parse_payload(start["payload"])
        default = start["run_time_s"] or DEFAULT_RUN_TIME_S
        run_s = float(options.get("run_s", default)) - float(start["checkpoint"] or 0)
        fails = bool(options.get("fail", False)) or self.switches.fail_all
        result = str(options.get("answer", f"{key} on {self.name}"))
        used = start["need"] | options.get("used", {})
        self.task_by_key[key] = _Task(
            start, now, now + run_s, now + start["lease_s"], fails, result, used
        )
        self.started.append(key)
        return {"key": key, "accepted": True}

    def _has_capacity(self, need: dict[str, int]) -> bool:
        for name, capacity in self.capacity.items():
            committed = sum(t.start["need"][name] for t in self.task_by_key.values())
            if committed + need[name] > capacity:
                return False
        return True

    async def _read_completions(self, request: Request) -> ServerResponse:
        refusal = self._refuse_other(request.query.get("incarnation", self.incarnation))
        if refusal is not None:
            return refusal
        after = int(request.query["after"])
        wait = float(request.query["wait"])
        if after >= self._cursor and wait > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait), self._completions_changed:
                    await self._completions_changed.wait_for(
                        lambda: after < self._cursor
                    )
        if self.switches.late_s:
            await asyncio.sleep(self.switches.late_s)
        completions = [
            completion.body
            for completion in self._recent_completions
            if completion.cursor > after
        ]
        if self.switches.shuffle:
            completions.reverse()
        body = {
            "cursor": self._cursor,
            "completions": completions,
            "incarnation": self.incarnation,
        }
        return ServerResponse.from_json(200, body)


def _parse_payload(payload: str) -> dict[str, Any]:
    try:
        options = json.loads(payload)
    except ValueError:
        return {}
    return options if isinstance(options, dict) else {}
