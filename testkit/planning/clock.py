"""Virtual time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """Run callbacks in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run a callback later."""
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._count, call))

    def run_until(self, end: float) -> None:
        """Run every callback that is due before a time."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end
