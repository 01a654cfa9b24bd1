"""Quarantine of workers on which many jobs fail, and probes that end it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..context import Context

FAILING_JOBS = 3
"""Different jobs that must fail in a row before a worker is quarantined."""

FIRST_PROBE_INTERVAL_S = 10.0
"""Seconds until a quarantined worker is first probed."""

MAX_PROBE_INTERVAL_S = 600.0
"""Maximum seconds between two probes of a worker."""


@dataclass(slots=True)
class _FailureRecord:
    """Failures of a worker since its last success.

    :param failing_jobs: jobs that failed on it
    :param backoff_s: seconds between two probes; 0 if it is not quarantined
    :param probe_key: key of the attempt that probes it; empty if there is none
    """

    failing_jobs: set[str] = field(default_factory=set)
    probe_at: float = 0.0
    backoff_s: float = 0.0
    probe_key: str = ""


class Health:
    """Distinguish a bad worker from a bad job by how many jobs fail on it."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._record_by_worker: dict[str, _FailureRecord] = {}

    def is_quarantined(self, worker: str) -> bool:
        """Return whether a worker gets no work but probes."""
        record = self._record_by_worker.get(worker)
        return record is not None and record.backoff_s > 0

    def may_probe(self, worker: str) -> bool:
        """Return whether one attempt may be started to probe the worker."""
        record = self._record_by_worker.get(worker)
        if record is None:
            return False
        return not record.probe_key and self._context.now >= record.probe_at

    def note_start(self, worker: str, key: str) -> None:
        """Record which attempt probes a quarantined worker."""
        record = self._record_by_worker.get(worker)
        if record is not None and record.backoff_s > 0:
            record.probe_key = key

    def note_success(self, worker: str) -> None:
        """End the quarantine of a worker on which an attempt succeeded."""
        record = self._record_by_worker.pop(worker, None)
        if record is not None and record.backoff_s > 0:
            self._context.note("worker_returned", worker)

    def note_failure(self, worker: str, job: str) -> bool:
        """Count a failure; return whether the worker is to blame."""
        record = self._record_by_worker.setdefault(worker, _FailureRecord())
        record.failing_jobs.add(job)
        if len(record.failing_jobs) < FAILING_JOBS:
            return False
        if record.backoff_s == 0:
            self._context.note(
                "worker_quarantined",
                worker,
                f"{len(record.failing_jobs)} different jobs failed on it in a row",
            )
        if record.backoff_s == 0 or record.probe_key:
            record.backoff_s = min(
                MAX_PROBE_INTERVAL_S, max(FIRST_PROBE_INTERVAL_S, record.backoff_s * 2)
            )
            record.probe_at = self._context.now + record.backoff_s
            record.probe_key = ""
        return True

    def release_probe(self, worker: str, key: str) -> None:
        """Allow another probe if the probing attempt ended without a result."""
        record = self._record_by_worker.get(worker)
        if record is not None and record.probe_key == key:
            record.probe_key = ""

    def remove_worker(self, worker: str) -> None:
        """Remove the record of a worker that this member no longer owns."""
        self._record_by_worker.pop(worker, None)
