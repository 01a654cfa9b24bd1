"""The platform's append-only log over HTTP."""

from __future__ import annotations

from dataclasses import dataclass

import msgpack
from jacinthloom_core.model.records import Batch, LogEntry
from jacinthloom_core.shared_log.codec import CodecError

from .errors import FormatError, StatusError
from .http_client import HttpClient
from .packets import decode_batch, encode_batch

APPEND_TIMEOUT_S = 3.0
"""Seconds for an append."""

READ_MARGIN_S = 2.0
"""Seconds that a read may take beyond the wait that it asks for."""


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Entries read from the log.

    :param first: earliest offset that the log still has
    :param end: offset that the next append will get
    """

    entries: tuple[LogEntry, ...]
    first: int
    end: int


class LogClient:
    """Append batches and read entries from an offset on."""

    def __init__(self, address: str) -> None:
        self._appends = HttpClient(address)
        self._reads = HttpClient(address)

    async def append(self, batch: Batch) -> None:
        """Append a batch.

        :raises WireError: if no success was told; it may have taken effect
        """
        response = await self._appends.request(
            "POST", "/append", encode_batch(batch), timeout=APPEND_TIMEOUT_S
        )
        response.parse_json()

    async def read(self, offset: int, wait_s: float) -> ReadResult:
        """Read from an offset on, waiting for news if there is none.

        :raises WireError: if the log did not answer as agreed
        """
        path = f"/read?offset={offset}&wait={wait_s}"
        response = await self._reads.request(
            "GET", path, timeout=wait_s + READ_MARGIN_S
        )
        if response.status != 200:
            raise StatusError(response.status, response.body[:200].decode())
        try:
            first, end, rows = msgpack.unpackb(response.body)
            entries = tuple(LogEntry(at, decode_batch(data)) for at, data in rows)
        except (ValueError, CodecError) as error:
            raise FormatError(f"the log sent something else: {error}") from error
        return ReadResult(entries, first, end)
