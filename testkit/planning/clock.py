"""A clock that runs callbacks in virtual time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """Runs callbacks in the order in which they are due.

    :ivar now: virtual time in seconds
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._count, callback))

    def run_until(self, end: float) -> None:
        """Run every callback that is due at or before a time."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end
