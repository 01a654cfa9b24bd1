"""Client of the platform's log store."""

from __future__ import annotations

import base64
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import urlencode

import msgspec
from jacinthloom_wire.errors import TransportError
from jacinthloom_wire.http_client import HttpClient

from .errors import (
    ConflictError,
    FencedError,
    InvalidDataError,
    SequenceError,
    TruncatedError,
    UnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jacinthloom_core.planner.records import Record
    from jacinthloom_wire.http_client import Response

CALL_TIMEOUT_S = 0.9
"""Timeout of one call, in seconds: a slow store takes somewhat more than 60 times its
usual 4 ms, and calls to one that does not respond are retried soon after its return."""

LONG_POLL_MARGIN_S = 0.6
"""Seconds that the timeout of a long-poll read exceeds its wait time."""

UNKNOWN_OUTCOME_STATUSES = frozenset({500, 502, 504})
"""Statuses with which a call may have been carried out; with others it was not."""

MAX_KEY_BYTES = 255


@dataclass(frozen=True, slots=True)
class Producer:
    """A writer whose appends are ordered and fenced.

    :param epoch: increases with each writer; appends of a lower one are rejected
    :param sequence: increases by one with each append of an epoch
    """

    name: str
    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True)
class ReadRecords:
    """Result of a read.

    :param first_offset: offset of the first record in ``records``
    :param end_offset: offset after the last record of the log
    """

    first_offset: int
    records: tuple[bytes, ...]
    end_offset: int

    @property
    def next_offset(self) -> int:
        """Offset of the next read."""
        return self.first_offset + len(self.records)


@dataclass(frozen=True, slots=True)
class NewestRecords:
    """The newest value of each key, and the offset at which later changes begin."""

    value_by_key: dict[str, bytes]
    end_offset: int


class _AppendBody(msgspec.Struct):
    offset: int = 0
    end: int = 0
    reason: str = ""
    seq: int = 0
    expected: int = 0


class _NewestItem(msgspec.Struct):
    key: str
    value: str = ""
    offset: int = 0


class _NewestBody(msgspec.Struct):
    items: list[msgspec.Raw]
    end: int
    hasMore: bool = False  # noqa: N815


class _TruncatedBody(msgspec.Struct):
    first: int = 0


class LogStore:
    """Append to logs, read them, and read the newest record of each key."""

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def append(
        self,
        topic: str,
        records: Iterable[bytes],
        expected_end: int | None = None,
        producer: Producer | None = None,
    ) -> int:
        """Append records atomically and return the offset of the first.

        :param expected_end: offset at which the log must end (compare-and-set)
        :raises ConflictError: if it ends at another offset
        :raises FencedError: if a producer with a higher epoch has appended
        :raises SequenceError: if the sequence number does not follow the last one
        :raises UnavailableError: if the append failed or its outcome is unknown
        """
        query: dict[str, str | int] = {"topic": topic, "part": 0}
        if expected_end is not None:
            query["at"] = expected_end
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["seq"] = producer.sequence
        body = b"".join(struct.pack(">I", len(data)) + data for data in records)
        response = await self._call("POST", "/log-append", query, body)
        if response.status == 412:
            raise ConflictError(_decode_body(response, _AppendBody).end)
        if response.status == 409:
            refusal = _decode_body(response, _AppendBody)
            if refusal.reason == "fenced":
                raise FencedError("a producer with a higher epoch has appended")
            raise SequenceError(max(refusal.seq, refusal.expected))
        _require_ok(response)
        return _decode_body(response, _AppendBody).offset

    async def read(self, topic: str, start: int, wait_s: float = 0.0) -> ReadRecords:
        """Read records from an offset on; if there are none, wait for one (long poll).

        :param wait_s: longest wait for a record, in seconds
        :raises TruncatedError: if the record at ``start`` has been deleted
        :raises UnavailableError: if there was no valid response
        """
        query: dict[str, str | int] = {"topic": topic, "part": 0, "from": start}
        if wait_s:
            query["waitMs"] = int(wait_s * 1000)
        timeout = CALL_TIMEOUT_S + wait_s if not wait_s else wait_s + LONG_POLL_MARGIN_S
        response = await self._call("GET", "/log-read", query, timeout=timeout)
        if response.status == 410:
            raise TruncatedError(_decode_body(response, _TruncatedBody).first)
        _require_ok(response)
        return _split_records(response.body, start)

    async def read_newest(self, topic: str) -> NewestRecords:
        """Read the newest record of each key.

        The pages are not a consistent snapshot: replay the log from ``end`` to obtain a
        consistent state.

        :raises UnavailableError: if there was no valid response
        """
        value_by_key: dict[str, bytes] = {}
        end: int | None = None
        query: dict[str, str | int] = {"topic": topic, "part": 0}
        while True:
            response = await self._call("GET", "/log-newest", query)
            _require_ok(response)
            page = _decode_body(response, _NewestBody)
            end = page.end if end is None else end
            items = [_decode_item(raw) for raw in page.items]
            values = {key: value for key, value in items if value is not None}
            value_by_key.update(values)
            if not page.hasMore or not items:
                return NewestRecords(value_by_key, end)
            query["after"] = items[-1][0]

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes = b"",
        timeout: float = CALL_TIMEOUT_S,
    ) -> Response:
        try:
            return await self._client.request(
                method, f"{path}?{urlencode(query)}", body, timeout=timeout
            )
        except TransportError as error:
            raise UnavailableError(str(error), error.sent) from error

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()


def encode_keyed(record: Record) -> bytes:
    """Return a keyed record as it is stored in the log.

    :raises InvalidDataError: if the key is longer than ``MAX_KEY_BYTES``
    """
    key = record.key.encode()
    if len(key) > MAX_KEY_BYTES:
        raise InvalidDataError(
            f"the key has {len(key)} bytes; at most {MAX_KEY_BYTES} are allowed"
        )
    return bytes([len(key)]) + key + record.value


def decode_keyed(data: bytes) -> tuple[str, bytes]:
    """Return key and value of a keyed record.

    :raises InvalidDataError: if the key is missing, truncated or not UTF-8
    """
    if not data or len(data) < 1 + data[0]:
        raise InvalidDataError(
            f"a record of {len(data)} bytes is too short for its key"
        )
    length = 1 + data[0]
    try:
        return data[1:length].decode(), data[length:]
    except UnicodeDecodeError as error:
        raise InvalidDataError("the key of a record is not UTF-8") from error


_Body = TypeVar("_Body")


def _require_ok(response: Response) -> None:
    if response.status != 200:
        message = f"status {response.status}: {response.body[:100]!r}"
        raise UnavailableError(message, response.status in UNKNOWN_OUTCOME_STATUSES)


def _decode_item(raw: msgspec.Raw) -> tuple[str, bytes | None]:
    """Return key and value of a row of the newest records.

    The value is None if it can't be read.

    :raises UnavailableError: if the key can't be read either, without which there is no
        next page
    """
    try:
        item = msgspec.json.decode(raw, type=_NewestItem)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UnavailableError(f"unreadable record: {error}", False) from error
    try:
        return item.key, base64.b64decode(item.value, validate=True)
    except ValueError:
        return item.key, None


def _decode_body(response: Response, kind: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UnavailableError(
            f"unreadable response: {error}", is_outcome_unknown=True
        ) from error


def _split_records(body: bytes, start: int) -> ReadRecords:
    if len(body) < 16:
        raise UnavailableError(
            f"a read response of {len(body)} bytes lacks its offsets (16 bytes)",
            is_outcome_unknown=False,
        )
    end, first = struct.unpack_from(">QQ", body)
    if first > start:
        # Deleted while the read waited for a record: what is missing can't be read.
        raise TruncatedError(first)
    records = []
    position = 16
    while position < len(body):
        length = int.from_bytes(body[position : position + 4], "big")
        following = position + 4 + length
        if following > len(body):
            break  # the rest is missing, and is read again
        records.append(body[position + 4 : following])
        position = following
    if position < len(body) and not records:
        raise UnavailableError(
            "a read response ends within its first record", is_outcome_unknown=False
        )
    return ReadRecords(start, tuple(records), end)
