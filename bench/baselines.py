"""Baseline schedulers: first come, first served and earliest deadline first."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from .traces import Arrival, Deployment

MINUTE_S = 60.0


@dataclass
class ScheduleOutcome:
    """Result of scheduling a trace.

    :param peak_millicores: mean millicores of the busiest minute
    :param late_jobs: batch jobs that ended after their deadline
    :param waits_by_class: seconds from arrival to the start of each task, by class
    """

    peak_millicores: float = 0.0
    late_jobs: int = 0
    batch_jobs: int = 0
    waits_by_class: dict[str, list[float]] = field(default_factory=dict)


class UsageByMinute:
    """Millicore-seconds used in each minute."""

    def __init__(self) -> None:
        self._millicore_s_by_minute: dict[int, float] = {}

    def add(self, begin: float, end: float, processors: float) -> None:
        """Add the use of processors over an interval.

        :param begin: seconds
        :param end: seconds
        :param processors: millicores
        """
        minute = int(begin // MINUTE_S)
        while minute * MINUTE_S < end:
            start = max(begin, minute * MINUTE_S)
            stop = min(end, (minute + 1) * MINUTE_S)
            self._millicore_s_by_minute[minute] = self._millicore_s_by_minute.get(
                minute, 0.0
            ) + processors * (stop - start)
            minute += 1

    def compute_peak(self) -> float:
        """Return the mean millicores of the busiest minute."""
        return max(self._millicore_s_by_minute.values(), default=0.0) / MINUTE_S


def run_first_come_first_served(deployment: Deployment) -> ScheduleOutcome:
    """Start tasks in order of arrival on the first worker with enough capacity."""
    return _simulate(deployment, lambda item: item.arrived_at)


def run_earliest_deadline_first(deployment: Deployment) -> ScheduleOutcome:
    """Start tasks in order of deadline on the first worker with enough capacity."""
    return _simulate(deployment, lambda item: item.deadline)


def _simulate(
    deployment: Deployment, order: Callable[[Arrival], float]
) -> ScheduleOutcome:
    free = [deployment.capacity.processors] * deployment.workers
    outcome = ScheduleOutcome()
    usage = UsageByMinute()
    pending: list[tuple[float, int, Arrival]] = []
    ends: list[tuple[float, int, int]] = []
    arrivals = list(deployment.arrivals)
    ended: dict[str, int] = {}
    position = 0
    sequence = 0
    while position < len(arrivals) or pending or ends:
        times = [arrivals[position].arrived_at] if position < len(arrivals) else []
        times += [ends[0][0]] if ends else []
        now = min(times)
        while ends and ends[0][0] <= now:
            _, worker, processors = heapq.heappop(ends)
            free[worker] += processors
        while position < len(arrivals) and arrivals[position].arrived_at <= now:
            for _ in range(arrivals[position].tasks):
                sequence += 1
                item = arrivals[position]
                heapq.heappush(pending, (order(item), sequence, item))
            position += 1
        while pending:
            item = pending[0][2]
            worker = next((w for w, f in enumerate(free) if f >= item.processors), -1)
            if worker < 0:
                break
            heapq.heappop(pending)
            free[worker] -= item.processors
            end = now + item.run_s
            heapq.heappush(ends, (end, worker, item.processors))
            usage.add(now, end, item.processors)
            outcome.waits_by_class.setdefault(item.work_class.name, []).append(
                now - item.arrived_at
            )
            ended[item.name] = ended.get(item.name, 0) + 1
            if item.work_class.kind == "batch" and ended[item.name] == item.tasks:
                outcome.batch_jobs += 1
                outcome.late_jobs += int(end > item.deadline)
    outcome.peak_millicores = usage.compute_peak()
    return outcome
