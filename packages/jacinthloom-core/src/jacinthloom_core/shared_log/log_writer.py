"""Appending to the log, confirmed only by reading back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.effects import AppendBatch
from ..model.records import Batch, SnapshotChunk
from ..model.settings import LOG_BATCH_INTERVAL_S

if TYPE_CHECKING:
    from ..context import Context
    from ..model.records import LogEntry, Record

RECORDS_PER_BATCH = 400
"""Maximum number of records in one batch."""

APPEND_RETRY_S = 0.5
"""Seconds before a failed append is retried."""

READ_BACK_TIMEOUT_S = 5.0
"""Seconds to wait for a batch to be read back before its append is retried."""


class LogWriter:
    """Keep one batch in flight and repeat it until it is read back.

    The reducer ignores a repeated batch by its writer and sequence number, so an
    append whose response was lost takes effect once.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._pending: list[Record] = []
        self._in_flight: Batch | None = None
        self._sequence = 0
        self._next_try = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether every record was read back."""
        return self._in_flight is None and not self._pending

    @property
    def backlog(self) -> int:
        """Number of records that were not read back yet."""
        in_flight = len(self._in_flight.records) if self._in_flight else 0
        return in_flight + len(self._pending)

    def append(self, record: Record) -> None:
        """Queue a record for the next batch."""
        self._pending.append(record)

    def flush(self) -> None:
        """Append the next batch, or retry the one in flight, if it is time."""
        context = self._context
        if context.now < self._next_try:
            return
        if self._in_flight is None:
            if not self._pending:
                return
            self._sequence += 1
            records = self._take_pending()
            self._in_flight = Batch(
                context.member, self._sequence, context.clock, records
            )
        else:
            context.counters["append_retried"] += 1
        self._next_try = context.now + READ_BACK_TIMEOUT_S
        context.counters["append"] += 1
        context.emit(AppendBatch(self._in_flight))

    def _take_pending(self) -> tuple[Record, ...]:
        """Take the records of one batch, with no more than one snapshot chunk."""
        count = 0
        for record in self._pending[:RECORDS_PER_BATCH]:
            count += 1
            if isinstance(record, SnapshotChunk):
                break
        taken = tuple(self._pending[:count])
        del self._pending[:count]
        return taken

    def on_append_finished(self, sequence: int, succeeded: bool) -> None:
        """Schedule a retry of a failed append, whose effect is unknown."""
        if self._in_flight is None or sequence != self._in_flight.sequence:
            return
        if not succeeded:
            self._context.counters["append_failed"] += 1
            self._next_try = self._context.now + APPEND_RETRY_S

    def on_entry(self, entry: LogEntry) -> None:
        """Complete the batch in flight once it is read back."""
        batch = self._in_flight
        if batch is None or entry.batch.writer != self._context.member:
            return
        if entry.batch.sequence == batch.sequence:
            self._in_flight = None
            self._next_try = self._context.now + LOG_BATCH_INTERVAL_S
