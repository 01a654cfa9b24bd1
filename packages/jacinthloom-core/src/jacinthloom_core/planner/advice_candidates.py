"""Which workers to ask the advice service about."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from .advice import MAX_CANDIDATES
from .placement import count_rooms

if TYPE_CHECKING:
    from .advice import StepAdvice
    from .fleet import Worker
    from .jobs import StepRun

MIN_UNKNOWN_CANDIDATES = 24
"""Workers without an answer yet that are asked about at least: an answer takes little
longer for them than for one."""

ASSUMED_GOOD_SHARE = 0.3
"""Share of workers that may run a step, while nothing is known: the lowest of the
users' sheets."""

ROOM_MARGIN = 1.5
"""Expected room as a multiple of what is needed: other steps take some of it while the
service decides."""

ANSWER_S = 1.0
"""Seconds for which a ticket must still be valid not to be asked for again: what the
slowest answers take."""


def choose_candidates(
    step: StepRun, workers: list[Worker], needed: int, advice: StepAdvice, now: float
) -> tuple[str, ...]:
    """Return the workers to ask about, so that enough of them likely have room.

    Workers known to be good come first. Among equals the order differs by step,
    so that steps which wait at the same time don't ask about the same workers.

    :param workers: workers that may run the step
    :param needed: tasks to be placed
    """
    known: list[tuple[int, int, Worker]] = []
    unknown: list[tuple[int, int, Worker]] = []
    seed = zlib.crc32(step.id.job.encode())
    expected = 0.0
    for worker, free in zip(workers, count_rooms(step, workers), strict=True):
        room = min(needed, free)
        if advice.find_ticket(worker, now + ANSWER_S):
            expected += room
            continue
        row = (-room, zlib.crc32(worker.id.encode(), seed), worker)
        (known if worker.id in advice.is_good_by_worker else unknown).append(row)
    target = needed * ROOM_MARGIN
    names: list[str] = []
    for room, _, worker in sorted(known, key=lambda row: row[:2]):
        if expected >= target or len(names) >= MAX_CANDIDATES:
            break
        names.append(worker.id)
        expected -= room
    fewest = len(names) + MIN_UNKNOWN_CANDIDATES if expected < target else 0
    for room, _, worker in sorted(unknown, key=lambda row: row[:2]):
        if len(names) >= MAX_CANDIDATES or (
            expected >= target and len(names) >= fewest
        ):
            break
        names.append(worker.id)
        expected -= room * ASSUMED_GOOD_SHARE
    return tuple(names)
