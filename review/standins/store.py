"""The platform's log store."""

from __future__ import annotations

import asyncio
import base64
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from .http import Request, Response, Server

RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
PARTITION_BYTES = 200_000_000
APPEND_S = 0.004
ANSWER_S = 0.004
PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
REMEMBERED_APPENDS = 5
OPERATOR_TOPICS = ("keyed.op", "keyed.servers")


@dataclass
class _Topic:
    """One topic with its only partition."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    size: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epoch: int = -1
    sequence: int = -1
    offset_by_sequence: dict[int, int] = field(default_factory=dict)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def add(self, data: bytes) -> None:
        """Add a record; the oldest ones expire once the partition is full."""
        self.records.append(data)
        self.size += len(data)
        if self.size > PARTITION_BYTES:
            count = len(self.records) // 2
            self.size -= sum(map(len, self.records[:count]))
            del self.records[:count]
            self.first += count


class Store:
    """Append, read and newest, with producers, conditions and size limits.

    :ivar is_down: whether to answer 503 to the system's calls
    :ivar slowness: how many times its usual time an answer takes
    :ivar on_fenced: called when an append raises the epoch of a producer
    """

    def __init__(self) -> None:
        self._topic_by_name: dict[str, _Topic] = {}
        self._server = Server(self._handle)
        self.is_down = False
        self.slowness = 1.0
        self.on_fenced: Callable[[], Awaitable[None]] | None = None
        self.refused_for_size = 0
        self.largest_record = 0

    async def start(self) -> str:
        """Listen, and return the address."""
        return await self._server.start("127.0.0.1")

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as operators and workers do; an empty value drops the key."""
        data = bytes([len(key.encode())]) + key.encode() + value
        await self._add(topic, self._find(topic), [data])

    def _find(self, name: str) -> _Topic:
        return self._topic_by_name.setdefault(name, _Topic())

    async def _add(self, name: str, topic: _Topic, records: list[bytes]) -> int:
        offset = topic.end
        for data in records:
            topic.add(data)
            if name.startswith("keyed."):
                end = 1 + data[0]
                key, value = data[1:end].decode(), data[end:]
                if value:
                    topic.newest[key] = (topic.end - 1, value)
                else:
                    topic.newest.pop(key, None)
        async with topic.changed:
            topic.changed.notify_all()
        return offset

    async def _handle(self, request: Request) -> Response | None:
        if self.is_down:
            return Response.from_json(503, {"error": "try later"})
        if self.slowness > 1.0:
            await asyncio.sleep(ANSWER_S * self.slowness)
        if request.path == "/log-append":
            return await self._on_append(request)
        if request.path == "/log-read":
            return await self._on_read(request)
        if request.path == "/log-newest":
            return self._on_newest(request)
        return Response.from_json(404, {})

    async def _on_append(self, request: Request) -> Response:
        name = request.query["topic"]
        if name in OPERATOR_TOPICS:
            return Response.from_json(403, {})
        topic = self._find(name)
        records = _split(request.body)
        size = max(map(len, records), default=0)
        self.largest_record = max(self.largest_record, size)
        if size > RECORD_BYTES or sum(map(len, records)) > REQUEST_BYTES:
            self.refused_for_size += 1
            return Response.from_json(400, {"error": "too large"})
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            if self.is_down:
                return Response.from_json(503, {"error": "try later"})
            end = topic.end
            if "at" in request.query and int(request.query["at"]) != end:
                return Response.from_json(412, {"end": end})
            if "epoch" in request.query:
                before = topic.epoch
                early = _check_producer(topic, request)
                if topic.epoch > before and self.on_fenced is not None:
                    await self.on_fenced()
                if early is not None:
                    return early
            offset = await self._add(name, topic, records)
            if "seq" in request.query:
                seen = topic.offset_by_sequence
                seen[int(request.query["seq"])] = offset
                for old in sorted(seen)[:-REMEMBERED_APPENDS]:
                    del seen[old]
            end = topic.end
            return Response.from_json(200, {"offset": offset, "end": end})

    async def _on_read(self, request: Request) -> Response:
        topic = self._find(request.query["topic"])
        start = int(request.query["from"])
        wait_s = min(30.0, int(request.query.get("waitMs", "0")) / 1000)
        if start < topic.first:
            return Response.from_json(410, {"first": topic.first})
        limit = int(request.query.get("maxKb", "1024")) * 1024
        if start >= topic.end and wait_s:
            try:
                async with asyncio.timeout(wait_s), topic.changed:
                    await topic.changed.wait_for(lambda: topic.end > start)
            except TimeoutError:
                pass
            if self.is_down:
                return Response.from_json(503, {"error": "try later"})
        body = struct.pack(">QQ", topic.end, topic.first)
        for data in topic.records[max(0, start - topic.first) :]:
            body += struct.pack(">I", len(data)) + data
            if len(body) > limit:
                break
        return Response(200, body)

    def _on_newest(self, request: Request) -> Response:
        topic = self._find(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items: list[dict[str, object]] = []
        size = 0
        for key in keys:
            offset, value = topic.newest[key]
            text = base64.b64encode(value).decode()
            size += len(text)
            if len(items) == PAGE_RECORDS or (items and size > PAGE_BYTES):
                break
            items.append({"key": key, "value": text, "offset": offset})
        has_more = len(items) < len(keys)
        body = {"items": items, "hasMore": has_more, "end": topic.end}
        return Response.from_json(200, body)


def _check_producer(topic: _Topic, request: Request) -> Response | None:
    """Return the response to an append that stores nothing, or None."""
    epoch, sequence = int(request.query["epoch"]), int(request.query["seq"])
    if epoch < topic.epoch:
        return Response.from_json(409, {"reason": "fenced"})
    if epoch > topic.epoch:
        topic.epoch, topic.sequence = epoch, sequence
        topic.offset_by_sequence.clear()
        return None
    if sequence in topic.offset_by_sequence:
        offset = topic.offset_by_sequence[sequence]
        return Response.from_json(200, {"offset": offset, "end": topic.end})
    if sequence != topic.sequence + 1:
        refusal = {"reason": "seq", "seq": topic.sequence + 1}
        return Response.from_json(409, refusal)
    topic.sequence = sequence
    return None


def _split(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records
