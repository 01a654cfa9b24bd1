"""Batches of records: what may happen once the store has them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .effects import Reply, Store
from .records import drop, encode_job, encode_occurrence, encode_queue

if TYPE_CHECKING:
    from .jobs import Job, Occurrence, Task
    from .records import Record
    from .rules import Queue

FLUSH_INTERVAL_S = 0.02
"""Seconds between two batches: groups the records of a few events."""

REFUSED_RETRY_S = 0.1
"""Seconds until a batch that the store has refused is appended again."""

STALL_S = 1.0
"""Seconds without an acknowledgement after which the store counts as unreachable."""


@dataclass(frozen=True, slots=True)
class StoredEnd:
    """An end whose effect is in a batch."""

    worker: str
    incarnation: int
    number: int


@dataclass(slots=True)
class Batch:
    """Changes that are stored together, and what follows from them.

    :param retry_at: time at which it is appended again; infinite while an append of
        it is under way
    :param calls_by_job: calls that handed in a job of this batch
    """

    number: int
    sent_at: float = 0.0
    retry_at: float = float("inf")
    queues: dict[str, Queue] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    occurrences: dict[tuple[str, int], Occurrence] = field(default_factory=dict)
    dropped: list[str] = field(default_factory=list)
    starts: list[tuple[Task, int]] = field(default_factory=list)
    replies: list[Reply] = field(default_factory=list)
    calls_by_job: dict[str, list[int]] = field(default_factory=dict)
    ends: list[StoredEnd] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether nothing needs to be stored or told."""
        return not (
            self.queues
            or self.jobs
            or self.occurrences
            or self.dropped
            or self.starts
            or self.replies
            or self.calls_by_job
            or self.ends
        )

    @property
    def unacknowledged_jobs(self) -> list[Job]:
        """Jobs that are handed in with it, and that may still be refused."""
        return [
            job
            for job in self.jobs.values()
            if job.outcome is None and not job.is_stored
        ]

    def accept(self, status: int) -> list[Reply]:
        """Return the answers to the calls that handed its jobs in."""
        calls = [call for found in self.calls_by_job.values() for call in found]
        return [Reply(call, status) for call in calls]

    def encode(self) -> tuple[Record, ...]:
        """Return the records of everything that changed."""
        records = [encode_queue(queue) for queue in self.queues.values()]
        records += [encode_job(job) for job in self.jobs.values()]
        for (job_id, index), occurrence in self.occurrences.items():
            if occurrence.job.is_over and not occurrence.job.has_placements:
                self.dropped.append(f"{job_id}.{index}")
            else:
                records.append(encode_occurrence(occurrence))
        records += [drop(key) for key in dict.fromkeys(self.dropped)]
        return tuple(records)


class BatchQueue:
    """One batch in flight, and one that grows."""

    def __init__(self) -> None:
        self.pending = Batch(1)
        self.in_flight: Batch | None = None
        self.flush_due = 0.0

    def is_stalled(self, now: float) -> bool:
        """Whether the store has left a batch unanswered for long."""
        return self.in_flight is not None and now - self.in_flight.sent_at > STALL_S

    @property
    def stalled_since(self) -> float:
        """Time since which the batch in flight waits; infinite if there is none."""
        return self.in_flight.sent_at if self.in_flight else float("inf")

    def find_batch(self, job: str) -> Batch:
        """Return the batch that stores a job, or else the one that grows."""
        if self.in_flight is not None and job in self.in_flight.jobs:
            return self.in_flight
        return self.pending

    def forget(self, job: str) -> None:
        """Store nothing of a job that was not accepted."""
        for batch in (self.in_flight, self.pending):
            if batch is None:
                continue
            batch.jobs.pop(job, None)
            for key in [key for key in batch.occurrences if key[0] == job]:
                del batch.occurrences[key]

    def on_refused(self, number: int, now: float) -> None:
        """Let the batch in flight be appended again after a while."""
        if self.in_flight is not None and self.in_flight.number == number:
            self.in_flight.retry_at = now + REFUSED_RETRY_S

    def repeat(self, now: float) -> Store | None:
        """Append a batch again that was refused, once it is time."""
        batch = self.in_flight
        if batch is None or now < batch.retry_at:
            return None
        batch.retry_at = float("inf")
        return Store(batch.number, batch.encode())

    def may_flush(self, now: float) -> bool:
        """Whether a batch may leave."""
        return self.in_flight is None and now >= self.flush_due

    def flush(self, now: float) -> Store | None:
        """Send the pending batch, if it holds anything."""
        if self.pending.is_empty:
            return None
        batch = self.pending
        batch.sent_at = now
        self.in_flight = batch
        self.pending = Batch(batch.number + 1)
        self.flush_due = now + FLUSH_INTERVAL_S
        return Store(batch.number, batch.encode())

    def on_stored(self, number: int) -> Batch | None:
        """Return the batch in flight if it is the one acknowledged."""
        batch = self.in_flight
        if batch is None or batch.number != number:
            return None
        self.in_flight = None
        return batch
