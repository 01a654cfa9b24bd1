"""Batches of records to store, and the effects that wait until they are stored."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .effects import Reply, Store
from .records import (
    Record,
    encode_job,
    encode_occurrence,
    encode_past_use,
    encode_queue,
    encode_removal,
)

if TYPE_CHECKING:
    from .jobs import Job, Occurrence, Task
    from .past_use import StoredPastUse
    from .rules import Queue

FLUSH_INTERVAL_S = 0.02
"""Seconds between two batches, so that a batch groups the records of several events."""

REFUSED_RETRY_S = 0.1
"""Seconds until a batch that the store refused is appended again."""

STALL_S = 1.0
"""Seconds without an acknowledgement after which the store counts as unreachable."""


@dataclass(frozen=True, slots=True)
class StoredEnd:
    """End of a run whose consequences are recorded in a batch.

    :param worker: worker that reported it
    :param number: sequence number of the end on that incarnation of the worker
    """

    worker: str
    incarnation: int
    number: int


@dataclass(slots=True)
class Batch:
    """Changes that are stored together, and the effects that wait for them.

    :param number: sequence number of the batch
    :param retry_at: time at which the batch is appended again; infinite while an
        append is in progress
    :param values: newest values of other keys, which cause no batch by themselves
    :param dropped: keys to remove
    :param starts: tasks to start once the batch is stored, with the number of the run
    :param replies: replies to send once the batch is stored
    :param calls_by_job: calls that submitted a job of this batch
    :param ends: ends of runs that workers may drop once the batch is stored
    :param past_use: past usage of the client accounts, if it is stored in this batch
    :param encoded_final_jobs: jobs whose final state is in the latest encoding, by id
    """

    number: int
    sent_at: float = 0.0
    retry_at: float = float("inf")
    queues: dict[str, Queue] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    occurrences: dict[tuple[str, int], Occurrence] = field(default_factory=dict)
    values: dict[str, bytes] = field(default_factory=dict)
    dropped: list[str] = field(default_factory=list)
    starts: list[tuple[Task, int]] = field(default_factory=list)
    replies: list[Reply] = field(default_factory=list)
    calls_by_job: dict[str, list[int]] = field(default_factory=dict)
    ends: list[StoredEnd] = field(default_factory=list)
    past_use: StoredPastUse | None = None
    encoded_final_jobs: dict[str, Job] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to store and no effect to release."""
        return not (
            self.queues
            or self.jobs
            or self.occurrences
            or self.dropped
            or self.starts
            or self.replies
            or self.calls_by_job
            or self.ends
            or self.past_use
        )

    @property
    def unacknowledged_jobs(self) -> list[Job]:
        """Jobs submitted in this batch that may still be refused."""
        return [
            job
            for job in self.jobs.values()
            if job.outcome is None and not job.is_stored
        ]

    def build_acceptances(self, status: int) -> list[Reply]:
        """Return the replies to the calls that submitted the jobs of this batch."""
        calls = [call for group in self.calls_by_job.values() for call in group]
        return [Reply(call, status) for call in calls]

    def encode(self) -> tuple[Record, ...]:
        """Return the records of all changes, as of now.

        A job may end while the batch is in flight; its final state is in the next one.
        """
        self.encoded_final_jobs = {
            job_id: job for job_id, job in self.jobs.items() if job.is_over
        }
        records = [encode_queue(queue) for queue in self.queues.values()]
        records += [encode_job(job) for job in self.jobs.values()]
        for (job_id, index), occurrence in self.occurrences.items():
            if self._may_drop(occurrence.job):
                self.dropped.append(f"{job_id}.{index}")
            else:
                records.append(encode_occurrence(occurrence))
        records += [Record(key, value) for key, value in self.values.items()]
        records += [encode_removal(key) for key in dict.fromkeys(self.dropped)]
        if self.past_use is not None:
            records.append(encode_past_use(self.past_use))
        return tuple(records)

    def _may_drop(self, job: Job) -> bool:
        """Whether a job's final state is stored no later than this batch.

        A refused batch is encoded again, and its jobs may have ended meanwhile: their
        final state is then in the next batch.
        """
        is_final_kept = job.is_final_stored or job.spec.id in self.jobs
        return job.is_over and is_final_kept and not job.has_placements


class BatchQueue:
    """Queue of batches to append to the store.

    At most one batch is in flight, while a pending one collects further changes.
    """

    def __init__(self) -> None:
        self.pending = Batch(1)
        self.in_flight: Batch | None = None
        self.flush_due = 0.0

    def is_stalled(self, now: float) -> bool:
        """Whether the batch in flight was sent more than ``STALL_S`` seconds ago."""
        return self.in_flight is not None and now - self.in_flight.sent_at > STALL_S

    @property
    def stalled_since(self) -> float:
        """Time at which the batch in flight was sent; infinite if there is none."""
        return self.in_flight.sent_at if self.in_flight else float("inf")

    def find_batch(self, job: str) -> Batch:
        """Return the batch in flight if it stores a job, or else the pending batch."""
        if self.in_flight is not None and job in self.in_flight.jobs:
            return self.in_flight
        return self.pending

    def discard_job(self, job: str) -> None:
        """Remove a job that was not accepted from both batches."""
        for batch in (self.in_flight, self.pending):
            if batch is None:
                continue
            batch.jobs.pop(job, None)
            for key in [key for key in batch.occurrences if key[0] == job]:
                del batch.occurrences[key]

    def on_refused(self, number: int, now: float) -> None:
        """Schedule another append of the batch in flight."""
        if self.in_flight is not None and self.in_flight.number == number:
            self.in_flight.retry_at = now + REFUSED_RETRY_S

    def retry(self, now: float) -> Store | None:
        """Append the batch in flight again if it was refused and its delay is over."""
        batch = self.in_flight
        if batch is None or now < batch.retry_at:
            return None
        batch.retry_at = float("inf")
        return Store(batch.number, batch.encode())

    def may_flush(self, now: float) -> bool:
        """Whether the pending batch may be sent now."""
        return self.in_flight is None and now >= self.flush_due

    def flush(self, now: float) -> Store | None:
        """Send the pending batch, unless it is empty."""
        if self.pending.is_empty:
            return None
        batch = self.pending
        batch.sent_at = now
        self.in_flight = batch
        self.pending = Batch(batch.number + 1)
        self.flush_due = now + FLUSH_INTERVAL_S
        return Store(batch.number, batch.encode())

    def on_stored(self, number: int) -> Batch | None:
        """Return the acknowledged batch, or None if it is not the one in flight."""
        batch = self.in_flight
        if batch is None or batch.number != number:
            return None
        self.in_flight = None
        return batch
