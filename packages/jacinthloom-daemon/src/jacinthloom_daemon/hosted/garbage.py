"""Garbage collection in short steps.

A full collection looks at every object of the process, which takes a large part of the
time that a planner's claim lasts, however little there is to collect. The planner's
state is freed by its reference counts: it breaks the cycles of jobs that it drops.
"""

from __future__ import annotations

import asyncio
import gc
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

COLLECTION_INTERVAL_S = 20.0
"""Seconds between two collections of the objects that are new since the last one."""

NEVER = 1 << 30
"""Threshold that the number of collections of younger objects never reaches."""


def disable_full_collections() -> None:
    """Collect only young objects from now on, but for :func:`collect_recent`."""
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, NEVER)
    gc.freeze()


def collect_recent() -> None:
    """Collect the objects that are new since the last call, and then leave them out."""
    gc.collect()
    gc.freeze()


async def collect_regularly(record: Callable[[float], None]) -> None:
    """Collect recent objects for as long as the process runs.

    :param record: called with the seconds that each collection took
    """
    while True:
        await asyncio.sleep(COLLECTION_INTERVAL_S)
        began = time.perf_counter()
        collect_recent()
        record(time.perf_counter() - began)
