"""Stand-in for the platform's append-only log."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgpack
from jacinthloom_wire.http_server import ServerResponse

if TYPE_CHECKING:
    from jacinthloom_wire.http_server import Request

MAX_ENTRIES_PER_READ = 500
"""Maximum number of entries in a response."""

SILENT_RESPONSE_DELAY_S = 30.0
"""Seconds for which a silent log delays its response."""


@dataclass
class LogSwitches:
    """Fault switches of the log.

    :param down: whether it rejects every request with status 503
    :param silent: whether it delays every response by 30 s
    :param read_delay_s: seconds added to each read
    :param append_delay_s: seconds added to each append
    :param lose_replies: further appends that are written but get no response in time
    :param appends_per_s: maximum appends per second; 0 for no limit
    """

    down: bool = False
    silent: bool = False
    read_delay_s: float = 0.0
    append_delay_s: float = 0.0
    lose_replies: int = 0
    appends_per_s: int = 400


class LogStore:
    """Log of appended byte strings, which can be trimmed from the front."""

    def __init__(self) -> None:
        self.switches = LogSwitches()
        self.first = 0
        self._entries: list[bytes] = []
        self._appended = asyncio.Condition()
        self._rate_window = 0
        self._appends_in_window = 0
        self.appended_bytes = 0

    @property
    def end(self) -> int:
        """Offset of the next append."""
        return self.first + len(self._entries)

    async def handle(self, request: Request) -> ServerResponse:
        """Handle a request."""
        if request.path == "/switch":
            self._switch(json.loads(request.body))
            return ServerResponse.from_json(200, {})
        if request.path == "/stats":
            stats = {"end": self.end, "first": self.first, "bytes": self.appended_bytes}
            return ServerResponse.from_json(200, stats)
        if self.switches.silent:
            await asyncio.sleep(SILENT_RESPONSE_DELAY_S)
        if self.switches.down:
            return ServerResponse.from_json(503, {"error": "down"})
        if request.path == "/append":
            return await self._append(request)
        if request.path == "/read":
            return await self._read(request)
        if request.path == "/trim":
            self.trim(int(request.query["before"]))
            return ServerResponse.from_json(200, {"first": self.first})
        return ServerResponse.from_json(404, {})

    def _switch(self, values: dict[str, Any]) -> None:
        for name, value in values.items():
            if not hasattr(self.switches, name):
                raise KeyError(name)
            setattr(self.switches, name, value)

    def trim(self, before: int) -> None:
        """Drop the entries before an offset."""
        dropped = max(0, min(before, self.end) - self.first)
        del self._entries[:dropped]
        self.first += dropped

    async def _append(self, request: Request) -> ServerResponse:
        switches = self.switches
        if not self._admit_append():
            return ServerResponse.from_json(429, {"error": "too many appends"})
        if switches.append_delay_s:
            await asyncio.sleep(switches.append_delay_s)
        offset = self.end
        self._entries.append(request.body)
        self.appended_bytes += len(request.body)
        async with self._appended:
            self._appended.notify_all()
        if switches.lose_replies > 0:
            switches.lose_replies -= 1
            await asyncio.sleep(SILENT_RESPONSE_DELAY_S)
        return ServerResponse.from_json(200, {"offset": offset})

    def _admit_append(self) -> bool:
        second = int(time.monotonic())
        if second != self._rate_window:
            self._rate_window = second
            self._appends_in_window = 0
        self._appends_in_window += 1
        limit = self.switches.appends_per_s
        return limit == 0 or self._appends_in_window <= limit

    async def _read(self, request: Request) -> ServerResponse:
        offset = int(request.query["offset"])
        wait = float(request.query.get("wait", "0"))
        if self.switches.read_delay_s:
            await asyncio.sleep(self.switches.read_delay_s)
        if offset >= self.end and wait > 0:
            await self._wait_for_append(offset, wait)
        if self.switches.down:
            return ServerResponse.from_json(503, {"error": "down"})
        begin = max(offset, self.first) - self.first
        rows = [
            (self.first + begin + index, data)
            for index, data in enumerate(
                self._entries[begin : begin + MAX_ENTRIES_PER_READ]
            )
        ]
        body = msgpack.packb((self.first, self.end, rows))
        return ServerResponse(200, body, "application/msgpack")

    async def _wait_for_append(self, offset: int, wait: float) -> None:
        try:
            async with asyncio.timeout(wait), self._appended:
                await self._appended.wait_for(lambda: offset < self.end)
        except TimeoutError:
            return
