"""Appends of the planner's batches to the store, until their outcome is known."""

from __future__ import annotations

import asyncio
import time
from enum import Enum
from typing import TYPE_CHECKING

from ..platform import topics
from ..platform.errors import FencedError, SequenceError, UnavailableError
from ..platform.log_store import Producer, encode_keyed
from . import log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from jacinthloom_core.planner.records import Record

    from ..metrics import LatencyHistogram
    from ..platform.log_store import LogStore

RETRY_INTERVAL_S = 0.1
"""Seconds until a failed call to the store is retried."""

MAX_REQUEST_BYTES = 2_000_000
"""Maximum size of the records of one append, below the limit of the store."""

RECORD_OVERHEAD_BYTES = 4
"""Bytes that the store counts for each record beside its data."""


class AppendOutcome(Enum):
    """Outcome of appending a batch."""

    STORED = 1
    REFUSED = 2
    """It is certain that nothing was stored."""
    ENDED = 3
    """The term has ended."""


class BatchAppender:
    """Append the batches of one term in order, one at a time.

    :param has_ended: whether the term has ended
    :param end: ends the term, for a reason
    """

    def __init__(
        self,
        store: LogStore,
        term: int,
        latency: LatencyHistogram,
        has_ended: Callable[[], bool],
        end: Callable[[str], None],
    ) -> None:
        self._store = store
        self._term = term
        self._latency = latency
        self._has_ended = has_ended
        self._end = end
        self._last_sequence = 0
        """Sequence number of the last append of this term."""
        self._failures = 0
        """Appends that have failed since the last one that was stored."""

    async def append(self, records: tuple[Record, ...]) -> AppendOutcome:
        """Append a batch, in several calls if one can't take it."""
        began = time.perf_counter()
        for number, part in enumerate(_split(records)):
            outcome = await self._append_part(part, is_partly_stored=number > 0)
            if outcome is not AppendOutcome.STORED:
                return outcome
            self._latency.record(time.perf_counter() - began)
        return AppendOutcome.STORED

    async def _append_part(
        self, data: list[bytes], is_partly_stored: bool
    ) -> AppendOutcome:
        """Append records until it is certain whether they are stored.

        :param is_partly_stored: whether earlier records of the batch are stored: it
            can't count as refused any more
        """
        producer = Producer(topics.PRODUCER, self._term, self._last_sequence + 1)
        is_outcome_unknown = is_partly_stored
        while not self._has_ended():
            try:
                await self._store.append(topics.JOBS, data, producer=producer)
            except (FencedError, SequenceError) as error:
                self._end(f"append refused: {error}")
                return AppendOutcome.ENDED
            except UnavailableError as error:
                self._on_failure(str(error))
                is_outcome_unknown = is_outcome_unknown or error.is_outcome_unknown
                if not is_outcome_unknown:
                    return AppendOutcome.REFUSED
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                self._last_sequence = producer.sequence
                self._on_stored()
                return AppendOutcome.STORED
        return AppendOutcome.ENDED

    def _on_failure(self, reason: str) -> None:
        if not self._failures:
            log.write("append_failed", term=self._term, reason=reason)
        self._failures += 1

    def _on_stored(self) -> None:
        if self._failures:
            log.write("append_recovered", term=self._term, failures=self._failures)
        self._failures = 0


def _split(records: tuple[Record, ...]) -> Iterator[list[bytes]]:
    """Yield the encoded records in order, as many at a time as one append takes."""
    part: list[bytes] = []
    size = 0
    for record in records:
        data = encode_keyed(record)
        size += len(data) + RECORD_OVERHEAD_BYTES
        if part and size > MAX_REQUEST_BYTES:
            yield part
            part, size = [], len(data) + RECORD_OVERHEAD_BYTES
        part.append(data)
    if part:
        yield part
