"""Clock of everything that bounds authority: terms, leases, promises and silence."""

from __future__ import annotations

import time


def now() -> float:
    """Return the seconds since the start of the machine.

    Unlike ``time.monotonic``, this counts the time for which the machine is suspended,
    in which other members may have taken over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
