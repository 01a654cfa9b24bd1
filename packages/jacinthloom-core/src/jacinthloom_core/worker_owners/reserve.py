"""Capacity kept free for requests, whose callers wait for the answer."""

from __future__ import annotations

from ..model.resources import NO_RESOURCES, Resources

HALF_LIFE_S = 600.0
"""Seconds in which the recorded peak of requests halves."""

PEAK_MULTIPLE = 2.0
"""Multiple of the recent peak that is reserved."""

MIN_RESERVED_PROCESSORS = 200
"""Minimum millicores reserved once any request was started."""


class RequestReserve:
    """Track what requests use, and compute the reserve for more of them."""

    def __init__(self) -> None:
        self._used = NO_RESOURCES
        self._peak_processors = 0.0
        self._peak_slots = 0.0
        self._decayed_at = 0.0

    def add(self, now: float, amount: Resources) -> None:
        """Count resources that a request takes, or returns if negative."""
        self._decay(now)
        self._used = self._used + amount
        self._peak_processors = max(self._peak_processors, self._used.processors)
        self._peak_slots = max(self._peak_slots, self._used.slots)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._decayed_at) / HALF_LIFE_S)
        self._decayed_at = max(self._decayed_at, now)
        self._peak_processors *= factor
        self._peak_slots *= factor

    def compute(self) -> Resources:
        """Return the resources that other work must leave free."""
        if self._peak_slots <= 0:
            return NO_RESOURCES
        wanted = Resources(
            max(MIN_RESERVED_PROCESSORS, int(self._peak_processors * PEAK_MULTIPLE)),
            slots=max(1, round(self._peak_slots * PEAK_MULTIPLE)),
        )
        left = wanted - self._used
        return left.component_max(NO_RESOURCES)
