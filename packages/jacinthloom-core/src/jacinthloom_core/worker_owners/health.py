"""Workers that fail what they start are set aside, probed and brought back."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..context import Context

FAILING_JOBS = 3
"""Different jobs that must fail in a row before a worker is set aside."""

FIRST_PROBE_S = 10.0
"""Seconds until a worker that was set aside is probed."""

LONGEST_PROBE_S = 600.0
"""Most seconds between two probes."""


@dataclass(slots=True)
class _Record:
    """What a worker did since it last ended something well."""

    failing_jobs: set[str] = field(default_factory=set)
    probe_at: float = 0.0
    wait_s: float = 0.0
    probing: str = ""


class Health:
    """Tell a bad worker from a bad job by how many jobs fail on it."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._record_by_worker: dict[str, _Record] = {}

    def is_quarantined(self, worker: str) -> bool:
        """Return whether a worker gets no ordinary work."""
        record = self._record_by_worker.get(worker)
        return record is not None and record.wait_s > 0

    def may_probe(self, worker: str) -> bool:
        """Return whether one attempt may be started to probe the worker."""
        record = self._record_by_worker.get(worker)
        if record is None:
            return False
        return not record.probing and self._context.now >= record.probe_at

    def note_start(self, worker: str, key: str) -> None:
        """Remember which attempt probes a worker that was set aside."""
        record = self._record_by_worker.get(worker)
        if record is not None and record.wait_s > 0:
            record.probing = key

    def note_success(self, worker: str) -> None:
        """Bring a worker back: it ended something well."""
        record = self._record_by_worker.pop(worker, None)
        if record is not None and record.wait_s > 0:
            self._context.note("worker_returned", worker)

    def note_failure(self, worker: str, job: str) -> bool:
        """Count a failure; return whether the worker is to blame."""
        record = self._record_by_worker.setdefault(worker, _Record())
        record.failing_jobs.add(job)
        if len(record.failing_jobs) < FAILING_JOBS:
            return False
        if record.wait_s == 0:
            self._context.note(
                "worker_quarantined",
                worker,
                f"{len(record.failing_jobs)} different jobs failed on it in a row",
            )
        if record.wait_s == 0 or record.probing:
            record.wait_s = min(LONGEST_PROBE_S, max(FIRST_PROBE_S, record.wait_s * 2))
            record.probe_at = self._context.now + record.wait_s
            record.probing = ""
        return True

    def note_gone(self, worker: str, key: str) -> None:
        """Free the probe of an attempt that ended without a verdict."""
        record = self._record_by_worker.get(worker)
        if record is not None and record.probing == key:
            record.probing = ""

    def forget(self, worker: str) -> None:
        """Drop what is known of a worker that this member lost."""
        self._record_by_worker.pop(worker, None)
