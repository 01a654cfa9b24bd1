"""Retry delay for callers whose jobs were refused."""

from __future__ import annotations

MIN_RETRY_AFTER_S = 1
"""Minimum retry delay; the ``Retry-After`` header counts whole seconds."""

MAX_RETRY_AFTER_S = 4
"""Maximum retry delay: a caller with four attempts outlasts an outage of ten seconds,
and succeeds within seconds of its end."""


def compute_retry_after_s(outage_s: float) -> int:
    """Return the delay before a caller should retry, in whole seconds.

    An outage is likely to last about as long again as it has lasted so far. The delay
    equals that time within bounds, so callers spread their few attempts over it.

    :param outage_s: seconds since the outage began
    """
    return int(max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, round(outage_s))))
