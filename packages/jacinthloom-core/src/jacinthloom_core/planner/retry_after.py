"""When a caller whose job was refused should come back."""

from __future__ import annotations

MIN_RETRY_AFTER_S = 1
"""Shortest time to come back after; the header counts whole seconds."""

MAX_RETRY_AFTER_S = 4
"""Longest time: a caller with four tries then outlasts an outage of ten seconds, and
finds the system within seconds of its return."""


def compute_retry_after_s(outage_s: float) -> int:
    """Return when to come back, in whole seconds.

    An outage that has lasted a while is likely to last about as long again, so callers
    spread their few tries over it.

    :param outage_s: seconds since the outage began
    """
    return int(max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, round(outage_s))))
