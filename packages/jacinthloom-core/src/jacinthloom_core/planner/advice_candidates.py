"""Choice of the workers to name in a request to the advice service."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from .advice import MAX_CANDIDATES
from .placement import count_fitting_tasks

if TYPE_CHECKING:
    from .advice import StepAdvice
    from .fleet import Worker
    from .jobs import StepRun

MIN_UNKNOWN_CANDIDATES = 24
"""Minimum number of workers without a known answer in a request: the service takes
little longer for them than for a single worker."""

ASSUMED_GOOD_SHARE = 0.3
"""Assumed share of workers that may run a step while no answer is known: the lowest
value in the users' specifications."""

CAPACITY_MARGIN = 1.5
"""Expected capacity as a multiple of what is needed: other steps take some of it while
the service decides."""

ANSWER_S = 1.0
"""Seconds that the slowest answers take. A ticket that is valid for less is requested
again."""


def choose_candidates(
    step: StepRun, workers: list[Worker], needed: int, advice: StepAdvice, now: float
) -> tuple[str, ...]:
    """Return enough workers for a request to expect sufficient capacity among them.

    Workers permitted before come first, and those with more free capacity. The order of
    equal workers depends on the step, so that steps which wait at the same time don't
    request the same workers.

    :param workers: workers that may run the step
    :param needed: number of tasks to place
    """
    known: list[tuple[int, int, Worker]] = []
    unknown: list[tuple[int, int, Worker]] = []
    seed = zlib.crc32(step.id.job.encode())
    expected = 0.0
    for worker, free in zip(workers, count_fitting_tasks(step, workers), strict=True):
        fitting = min(needed, free)
        if advice.find_ticket(worker, now + ANSWER_S):
            expected += fitting
            continue
        row = (-fitting, zlib.crc32(worker.id.encode(), seed), worker)
        (known if worker.id in advice.is_recommended_by_worker else unknown).append(row)
    target = needed * CAPACITY_MARGIN
    names: list[str] = []
    for negative_count, _, worker in sorted(known, key=lambda row: row[:2]):
        if expected >= target or len(names) >= MAX_CANDIDATES:
            break
        names.append(worker.id)
        expected -= negative_count
    minimum = len(names) + MIN_UNKNOWN_CANDIDATES if expected < target else 0
    for negative_count, _, worker in sorted(unknown, key=lambda row: row[:2]):
        if len(names) >= MAX_CANDIDATES or (
            expected >= target and len(names) >= minimum
        ):
            break
        names.append(worker.id)
        expected -= negative_count * ASSUMED_GOOD_SHARE
    return tuple(names)
