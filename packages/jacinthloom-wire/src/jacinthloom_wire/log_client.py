"""HTTP client for the platform's append-only log."""

from __future__ import annotations

from dataclasses import dataclass

import msgpack
from jacinthloom_core.model.records import Batch, LogEntry
from jacinthloom_core.shared_log.codec import CodecError

from .errors import FormatError, StatusError
from .http_client import HttpClient
from .packets import decode_batch, encode_batch

APPEND_TIMEOUT_S = 3.0
"""Timeout of an append, in seconds."""

READ_MARGIN_S = 2.0
"""Seconds that a read may take beyond its requested wait."""


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Entries read from the log.

    :param first_offset: earliest offset that the log still retains
    :param next_offset: offset of the next append
    """

    entries: tuple[LogEntry, ...]
    first_offset: int
    next_offset: int


class LogClient:
    """Appends batches to the log and reads entries from it."""

    def __init__(self, address: str) -> None:
        self._appends = HttpClient(address)
        self._reads = HttpClient(address)

    async def append(self, batch: Batch) -> None:
        """Append a batch.

        :raises WireError: if the log did not confirm the append, which may still have
            taken effect
        """
        response = await self._appends.request(
            "POST", "/append", encode_batch(batch), timeout=APPEND_TIMEOUT_S
        )
        response.parse_json()

    async def read(self, offset: int, wait_s: float) -> ReadResult:
        """Read entries from an offset on (long poll).

        :param wait_s: seconds that the log may wait for new entries if it has none
        :raises WireError: if there was no valid response
        """
        path = f"/read?offset={offset}&wait={wait_s}"
        response = await self._reads.request(
            "GET", path, timeout=wait_s + READ_MARGIN_S
        )
        if response.status != 200:
            raise StatusError(response.status, response.body[:200].decode())
        try:
            first_offset, next_offset, rows = msgpack.unpackb(response.body)
            entries = tuple(
                LogEntry(entry_offset, decode_batch(data))
                for entry_offset, data in rows
            )
        except (ValueError, CodecError) as error:
            raise FormatError(
                f"unexpected format of the log's response: {error}"
            ) from error
        return ReadResult(entries, first_offset, next_offset)
