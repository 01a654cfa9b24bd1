"""Writing of snapshots to the log, and start from the latest one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.records import SnapshotChunk
from . import codec
from .state_snapshot import StateSnapshot, load_snapshot, make_snapshot

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..model.records import LogEntry
    from .log_writer import LogWriter

SNAPSHOT_ENTRIES = 2_000
"""Log entries after which a new snapshot is due."""

RETRY_ENTRIES = 500
"""Further log entries after which another member writes an overdue snapshot."""

COMPLETE_MARKER = -1
"""Chunk index that marks a complete snapshot."""

CHUNK_BYTES = 48 * 1024
"""Maximum number of bytes of a snapshot in one record."""


class Snapshots:
    """Append a snapshot in chunks when one is due; assemble one to start from.

    A process that starts on a log whose first entries are gone buffers what it reads
    until a snapshot is complete, loads it, and applies the entries that follow.
    """

    def __init__(
        self, context: Context, membership: Membership, writer: LogWriter
    ) -> None:
        self._context = context
        self._membership = membership
        self._writer = writer
        self._written_offset = -1
        self._buffered: list[LogEntry] = []
        self._chunks_by_offset: dict[int, dict[int, bytes]] = {}

    @property
    def read_offset(self) -> int:
        """Next log offset to read."""
        if self._buffered:
            return self._buffered[-1].offset + 1
        return self._context.state.offset

    # Writing

    def on_tick(self) -> None:
        """Write a snapshot if one is due and it is this member's turn."""
        state = self._context.state
        entries_since = state.offset - state.snapshot_offset
        if entries_since < SNAPSHOT_ENTRIES or not self._membership.is_member:
            return
        turn = (entries_since - SNAPSHOT_ENTRIES) // RETRY_ENTRIES
        writer = self._membership.view.choose_member(f"snapshot {turn}")
        if (
            writer == self._context.member
            and self._written_offset < state.snapshot_offset
        ):
            self._written_offset = state.offset
            self._write()

    def _write(self) -> None:
        state = self._context.state
        data = codec.encode(make_snapshot(state), StateSnapshot)
        count = -(-len(data) // CHUNK_BYTES)
        for index in range(count):
            part = data[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
            self._writer.append(SnapshotChunk(state.offset, index, count, part))
        self._context.note("snapshot_written", str(state.offset), f"{len(data)} bytes")

    # Loading

    def buffer(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        """Buffer entries that can't be applied yet.

        :returns: entries to apply, once a snapshot before them was loaded
        """
        for entry in entries:
            if entry.offset == self.read_offset or not self._buffered:
                self._buffered.append(entry)
                self._collect_chunks(entry)
        snapshot = self._decode_latest()
        if snapshot is None:
            return ()
        load_snapshot(self._context.state, snapshot)
        buffered = self._buffered
        self._buffered = []
        self._chunks_by_offset.clear()
        return tuple(entry for entry in buffered if entry.offset >= snapshot.offset)

    def _collect_chunks(self, entry: LogEntry) -> None:
        for record in entry.batch.records:
            if isinstance(record, SnapshotChunk):
                chunks = self._chunks_by_offset.setdefault(record.offset, {})
                chunks[record.index] = record.data
                if len(chunks) == record.count:
                    chunks[COMPLETE_MARKER] = b""

    def _decode_latest(self) -> StateSnapshot | None:
        first = self._buffered[0].offset if self._buffered else 0
        for offset, chunks in sorted(self._chunks_by_offset.items(), reverse=True):
            if COMPLETE_MARKER not in chunks or offset < first:
                continue
            data = b"".join(chunks[i] for i in range(len(chunks) - 1))
            return codec.decode(data, StateSnapshot)
        return None
