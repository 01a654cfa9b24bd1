"""A stand-in for the platform's log store, with one partition per topic."""

from __future__ import annotations

import asyncio
import base64
import struct
from collections import Counter
from dataclasses import dataclass, field

from jacinthloom_wire.http_server import HttpServer, Request, ServerResponse

PAGE_SIZE = 500
"""Largest number of records in a page of ``/log-newest``."""

REMEMBERED_APPENDS = 5
"""Appends of a producer whose repeats are recognised."""


@dataclass(slots=True)
class _Topic:
    records: list[bytes] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epoch: int = -1
    sequence: int = -1
    offset_by_sequence: dict[int, int] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class LogStoreStandIn:
    """Serve append, read and newest, with epochs, sequence numbers and conditions.

    :ivar is_down: whether to respond 503 to every request
    :ivar latency_s: seconds that every response takes
    :ivar responses_to_drop: number of appends to carry out while closing the
        connection instead of responding
    :ivar appends: number of append requests received
    :ivar served_by_key: number of times that the newest value of a key was read
    """

    def __init__(self) -> None:
        self._topic_by_name: dict[str, _Topic] = {}
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)
        self.is_down = False
        self.latency_s = 0.0
        self.responses_to_drop = 0
        self.appends = 0
        self.served_by_key: Counter[str] = Counter()

    async def start(self) -> str:
        """Start listening and return the address."""
        return await self._server.start("127.0.0.1:0")

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close(0.1)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as operators and workers do."""
        data = bytes([len(key)]) + key.encode() + value
        await self._append(topic, [data])

    def find_newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        newest = self._find(topic).newest
        return {key: value for key, (_, value) in newest.items()}

    async def truncate(self, topic: str) -> None:
        """Delete all records of a topic; the newest value of each key remains."""
        found = self._find(topic)
        found.first = found.end
        found.records.clear()

    def _find(self, name: str) -> _Topic:
        return self._topic_by_name.setdefault(name, _Topic())

    async def _append(self, name: str, records: list[bytes]) -> int:
        topic = self._find(name)
        offset = topic.end
        for data in records:
            topic.records.append(data)
            if name.startswith("keyed."):
                length = data[0]
                key, value = data[1 : 1 + length].decode(), data[1 + length :]
                if value:
                    topic.newest[key] = (topic.end - 1, value)
                else:
                    topic.newest.pop(key, None)
        async with self._changed:
            self._changed.notify_all()
        return offset

    async def _handle(self, request: Request) -> ServerResponse:
        if self.latency_s:
            await asyncio.sleep(self.latency_s)
        if self.is_down:
            return ServerResponse.from_json(503, {"error": "down"})
        if request.path == "/log-append":
            return await self._on_append(request)
        if request.path == "/log-read":
            return await self._on_read(request)
        if request.path == "/log-newest":
            return self._on_newest(request)
        return ServerResponse.from_json(404, {})

    async def _on_append(self, request: Request) -> ServerResponse:
        self.appends += 1
        topic = self._find(request.query["topic"])
        if "at" in request.query and int(request.query["at"]) != topic.end:
            return ServerResponse.from_json(412, {"end": topic.end})
        if "epoch" in request.query:
            refusal = self._check_epoch(topic, request)
            if refusal is not None:
                return refusal
        offset = await self._append(request.query["topic"], split_records(request.body))
        if "seq" in request.query:
            remembered = topic.offset_by_sequence
            remembered[int(request.query["seq"])] = offset
            for sequence in sorted(remembered)[:-REMEMBERED_APPENDS]:
                del remembered[sequence]
        if self.responses_to_drop:
            self.responses_to_drop -= 1
            raise ConnectionResetError
        return ServerResponse.from_json(200, {"offset": offset, "end": topic.end})

    def _check_epoch(self, topic: _Topic, request: Request) -> ServerResponse | None:
        epoch, sequence = int(request.query["epoch"]), int(request.query["seq"])
        if epoch < topic.epoch:
            return ServerResponse.from_json(409, {"reason": "fenced"})
        if epoch > topic.epoch:
            topic.epoch, topic.sequence = epoch, sequence
            topic.offset_by_sequence.clear()
            return None
        if sequence in topic.offset_by_sequence:
            offset = topic.offset_by_sequence[sequence]
            return ServerResponse.from_json(200, {"offset": offset, "end": topic.end})
        if sequence != topic.sequence + 1:
            expected = topic.sequence + 1
            return ServerResponse.from_json(409, {"reason": "seq", "seq": expected})
        topic.sequence = sequence
        return None

    async def _on_read(self, request: Request) -> ServerResponse:
        topic = self._find(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        if start < topic.first:
            return ServerResponse.from_json(410, {"first": topic.first})
        if start >= topic.end and wait_s:
            await self._wait(topic, start, wait_s)
        data = struct.pack(">QQ", topic.end, topic.first)
        for record in topic.records[max(0, start - topic.first) :]:
            data += struct.pack(">I", len(record)) + record
        return ServerResponse(200, data, "application/octet-stream")

    async def _wait(self, topic: _Topic, start: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: topic.end > start)
        except TimeoutError:
            return

    def _on_newest(self, request: Request) -> ServerResponse:
        topic = self._find(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE_SIZE]
        ]
        self.served_by_key.update(keys[:PAGE_SIZE])
        more = len(keys) > PAGE_SIZE
        body = {"items": items, "hasMore": more, "end": topic.end}
        return ServerResponse.from_json(200, body)


def split_records(body: bytes) -> list[bytes]:
    """Split a body into records, each of which is a length (4 bytes) and data."""
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records
