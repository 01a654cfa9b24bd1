"""How long the planner works at one stretch.

Nothing else runs in the process meanwhile: neither the renewal of the claim nor the
pings of the members. A planner that works for too long at a stretch loses its term.
"""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from jacinthloom_core.planner.election import AUTHORITY_S

from ..metrics import LatencyHistograms
from . import log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

LONG_SHARE = 0.25
"""Share of the time for which a renewed claim gives authority, from which a stretch of
work is logged."""


class WorkTimes:
    """Records stretches of work by kind, and logs those that are long.

    :param describe: returns the amounts that the length of a stretch depends on
    """

    def __init__(self, describe: Callable[[], dict[str, int]]) -> None:
        self._describe = describe
        self.histograms = LatencyHistograms(
            "jacinthloom_planner_work_seconds",
            "Time that the planner works at one stretch.",
            "kind",
        )

    @contextmanager
    def measure(self, kind: str) -> Iterator[None]:
        """Measure one stretch of work."""
        began = time.perf_counter()
        try:
            yield
        finally:
            self.record(kind, time.perf_counter() - began)

    def record(self, kind: str, took_s: float) -> None:
        """Record a stretch of work."""
        self.histograms.record(kind, took_s)
        if took_s >= LONG_SHARE * AUTHORITY_S:
            amounts = self._describe()
            log.write("long_work", kind=kind, took_s=round(took_s, 3), **amounts)
