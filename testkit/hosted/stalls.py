"""Times at which the process of a test did not run."""

from __future__ import annotations

import asyncio
import time

INTERVAL_S = 0.02

MIN_STALL_S = 0.1
"""Seconds from which a late wake-up counts as a stall."""


class StallMonitor:
    """Record when the event loop of this process stood still.

    After a stall, a test sees events later than they happened, and so takes a response
    or the end of a connection for late.
    """

    def __init__(self) -> None:
        self._stalls: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Watch the event loop until cancelled."""
        while True:
            due_at = time.monotonic() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self.add(due_at, time.monotonic())

    def add(self, began_at: float, ended_at: float) -> None:
        """Record that the loop did not run, unless this is too short to count."""
        if ended_at - began_at >= MIN_STALL_S:
            self._stalls.append((began_at, ended_at))

    def measure_s(self, since: float, until: float) -> float:
        """Return for how many seconds of a period the loop stood still."""
        return sum(
            max(0.0, min(until, ended_at) - max(since, began_at))
            for began_at, ended_at in self._stalls
        )
