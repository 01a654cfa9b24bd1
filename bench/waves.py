"""Measure how long the cancellation of many jobs delays urgent work."""

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

from .decisions import WALL_CLOCK_S, MemberHarness
from .result import Result

JOB_COUNT = 10_000
RECORDS_PER_BATCH = 400
MAX_DELAY_MS = 50.0


def measure_mass_cancellation() -> list[Result]:
    """Measure the longest delay of urgent work while many jobs are cancelled."""
    harness = MemberHarness(24, 12)
    specs = [
        WorkSpec(
            f"j-{number}",
            f"team-{number % 12}",
            "check",
            "batch",
            1,
            Resources(1000, 0, 0, 1),
            60.0,
            WALL_CLOCK_S + 86_400.0,
        )
        for number in range(JOB_COUNT)
    ]
    _apply_records(harness, [JobAccepted(spec, WALL_CLOCK_S) for spec in specs], 1)
    seconds = _apply_records(harness, [JobCancelled(spec.job) for spec in specs], 1000)
    longest = max(seconds) * 1000
    return [
        Result("cancel_10000_delay", longest, "ms", MAX_DELAY_MS, "lower"),
        Result("cancel_10000_total", sum(seconds) * 1000, "ms", None, "lower"),
    ]


def _apply_records(
    harness: MemberHarness, records: list[Record], first: int
) -> list[float]:
    """Apply records as if another member had written them.

    :returns: seconds of each batch
    """
    seconds = []
    for begin in range(0, len(records), RECORDS_PER_BATCH):
        part = tuple(records[begin : begin + RECORDS_PER_BATCH])
        batch = Batch("other", first + begin, 0, part)
        entry = LogEntry(harness.member.context.state.offset, batch)
        harness.next_offset += 1
        began = time.perf_counter()
        harness.apply(events.LogRead, harness.now, (entry,), True)
        seconds.append(time.perf_counter() - began)
    return seconds
