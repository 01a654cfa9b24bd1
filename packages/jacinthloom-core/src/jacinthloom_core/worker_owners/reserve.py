"""Room that is kept free for requests whose answer is waited for."""

from __future__ import annotations

from ..model.resources import NO_RESOURCES, Resources

HALF_LIFE_S = 600.0
"""Seconds in which a peak of requests loses half its weight."""

HEADROOM = 2.0
"""Multiple of the recent peak that is kept."""

LEAST_PROCESSORS = 200
"""Millicores kept once any request was seen."""


class RequestReserve:
    """Follow what requests take and keep room for more of them."""

    def __init__(self) -> None:
        self._used = NO_RESOURCES
        self._peak_processors = 0.0
        self._peak_slots = 0.0
        self._at = 0.0

    def add(self, now: float, amount: Resources) -> None:
        """Count what a request takes, or gives back where negative."""
        self._decay(now)
        self._used = self._used + amount
        self._peak_processors = max(self._peak_processors, self._used.processors)
        self._peak_slots = max(self._peak_slots, self._used.slots)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        self._at = max(self._at, now)
        self._peak_processors *= factor
        self._peak_slots *= factor

    def compute(self) -> Resources:
        """Return what other work must leave free."""
        if self._peak_slots <= 0:
            return NO_RESOURCES
        wanted = Resources(
            max(LEAST_PROCESSORS, int(self._peak_processors * HEADROOM)),
            slots=max(1, round(self._peak_slots * HEADROOM)),
        )
        left = wanted - self._used
        return left.component_max(NO_RESOURCES)
