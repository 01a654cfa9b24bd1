"""A wave of cancellations, and what it costs urgent work."""

from __future__ import annotations

import time

from jacinthloom_core.model import events
from jacinthloom_core.model.records import (
    Batch,
    JobAccepted,
    JobCancelled,
    LogEntry,
    Record,
)
from jacinthloom_core.model.resources import Resources
from jacinthloom_core.model.work import WorkSpec

from .decisions import WALL, DirectShell
from .result import Result

JOBS = 10_000
RECORDS_PER_BATCH = 400
DELAY_BOUND_MS = 50.0


def measure_wave() -> list[Result]:
    """Return the longest time for which a wave keeps urgent work waiting."""
    shell = DirectShell(24, 12)
    specs = [
        WorkSpec(
            f"j-{number}",
            f"team-{number % 12}",
            "check",
            "batch",
            1,
            Resources(1000, 0, 0, 1),
            60.0,
            WALL + 86_400.0,
        )
        for number in range(JOBS)
    ]
    _append(shell, [JobAccepted(spec, WALL) for spec in specs], 1)
    seconds = _append(shell, [JobCancelled(spec.job) for spec in specs], 1000)
    longest = max(seconds) * 1000
    return [
        Result("cancel_10000_delay", longest, "ms", DELAY_BOUND_MS, "lower"),
        Result("cancel_10000_total", sum(seconds) * 1000, "ms", None, "lower"),
    ]


def _append(shell: DirectShell, records: list[Record], first: int) -> list[float]:
    """Feed records as another member would write them; return seconds a batch."""
    seconds = []
    for begin in range(0, len(records), RECORDS_PER_BATCH):
        part = tuple(records[begin : begin + RECORDS_PER_BATCH])
        batch = Batch("other", first + begin, 0, part)
        entry = LogEntry(shell.member.context.state.offset, batch)
        shell._entries += 1
        began = time.perf_counter()
        shell.apply(events.LogRead, shell.now, (entry,), True)
        seconds.append(time.perf_counter() - began)
    return seconds
