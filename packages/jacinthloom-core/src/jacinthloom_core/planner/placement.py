"""Choice of the workers for the tasks of a step."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import TYPE_CHECKING

from .sharing import is_assigned_to_other_kind
from .speed import SLOW_THRESHOLD
from .worker_health import (
    choose_speed_rank,
    classify_slack,
    has_doubts,
    has_speed_groups,
    select_gang_workers,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .fleet import Worker
    from .jobs import StepRun, Task
    from .specs import StepSpec


_Candidate = tuple[tuple[float, ...], int, int, "Worker"]
"""Score, position in the list, number of tasks that fit, worker."""

SHORT_TASK_S = 2.0
"""Estimate below which a task goes to the fastest worker rather than the fullest: a
tenth of its run time is a large part of the wait that its objective allows."""


def place_tasks(
    step: StepRun, tasks: list[Task], workers: list[Worker]
) -> list[tuple[Task, Worker]]:
    """Choose workers for as many tasks as fit; the caller reserves the resources.

    :param workers: workers that may run the step
    :returns: the tasks that fit, each with its worker
    """
    return FreeCapacity(step, workers).place(tasks)


def place_gang(
    step: StepRun, tasks: list[Task], workers: list[Worker]
) -> list[tuple[Task, Worker]]:
    """Choose workers for all tasks or none, if possible in one rack where required.

    :returns: the tasks, each with its worker; empty if they don't all fit
    """
    groups = [workers]
    if step.spec.same_rack:
        by_rack: dict[str, list[Worker]] = {}
        for worker in workers:
            by_rack.setdefault(_rack(worker), []).append(worker)
        racks = [by_rack[rack] for rack in sorted(by_rack)]
        trusted = []
        if has_doubts(workers):
            trusted = [[w for w in rack if not w.doubt] for rack in racks]
        groups = [*trusted, *racks, workers]
    for group in groups:
        placed = place_tasks(step, tasks, _select_alike(step, len(tasks), group))
        if len(placed) == len(tasks):
            return placed
    return []


def _select_alike(step: StepRun, needed: int, workers: list[Worker]) -> list[Worker]:
    """Return the workers for the members of a gang: all of them if they are alike."""
    if not has_doubts(workers) and not has_speed_groups(workers):
        return workers
    counts = count_fitting_tasks(step, workers)
    return select_gang_workers(classify_slack(step), workers, counts, needed)


def _rack(worker: Worker) -> str:
    return worker.entry.rack if worker.entry else ""


def count_fitting_tasks(step: StepRun, workers: list[Worker]) -> list[int]:
    """Return for each worker how many more tasks of a step it may take now."""
    spec = step.spec
    counts = [worker.count_fitting(spec.size, spec.fills) for worker in workers]
    if not spec.most_per_worker:
        return counts
    present = Counter(task.worker for task in step.tasks if task.worker)
    return [
        max(0, min(count, spec.most_per_worker - present[worker.id]))
        for worker, count in zip(workers, counts, strict=True)
    ]


def _find_preferred_rack(step: StepRun, workers: list[Worker]) -> str:
    """Return the rack in which the tasks of a step should run; empty for any rack."""
    spec = step.spec
    if spec.data_rack or not spec.same_rack:
        return spec.data_rack
    present = {task.worker for task in step.tasks if task.worker}
    count_by_rack: Counter[str] = Counter()
    for worker in workers:
        if worker.id in present:
            return _rack(worker)
        count_by_rack[_rack(worker)] += worker.count_fitting(spec.size, spec.fills)
    return max(sorted(count_by_rack), key=lambda rack: count_by_rack[rack], default="")


class FreeCapacity:
    """Free capacity of workers while steps of one kind are placed, by preference.

    :param step: the first of these steps
    """

    def __init__(self, step: StepRun, workers: Iterable[Worker]) -> None:
        workers = list(workers)
        self._step = step
        self._preferred_rack = _find_preferred_rack(step, workers)
        self._urgency = classify_slack(step)
        self._is_short = self.is_for_short_tasks(step.spec)
        self._uses_speed_groups = not step.spec.lasting and has_speed_groups(workers)
        candidates: list[_Candidate] = []
        counts = count_fitting_tasks(step, workers)
        for number, (worker, count) in enumerate(zip(workers, counts, strict=True)):
            if count > 0:
                candidates.append((self._score(worker, count), number, count, worker))
        heapq.heapify(candidates)
        self._candidates = candidates

    @staticmethod
    def is_for_short_tasks(spec: StepSpec) -> bool:
        """Whether the tasks of a step are short enough to prefer fast workers."""
        return spec.estimate_s < SHORT_TASK_S

    @property
    def is_used_up(self) -> bool:
        """Whether no worker has room for one more task."""
        return not self._candidates

    def place(self, tasks: list[Task]) -> list[tuple[Task, Worker]]:
        """Choose workers for as many tasks as fit; the caller reserves the resources.

        :returns: the tasks that fit, each with its worker
        """
        placed = []
        for task in tasks:
            worker = self.take(task)
            if worker is None:
                break
            placed.append((task, worker))
        return placed

    def take(self, task: Task) -> Worker | None:
        """Take the best worker, preferring those on which the task has not failed."""
        skipped: list[_Candidate] = []
        while self._candidates and self._candidates[0][3].id in task.failed_on:
            skipped.append(heapq.heappop(self._candidates))
        if self._candidates:
            chosen = heapq.heappop(self._candidates)
        elif skipped:
            chosen = skipped.pop(0)
        else:
            return None
        for candidate in skipped:
            heapq.heappush(self._candidates, candidate)
        _, number, count, worker = chosen
        if count > 1:
            score = self._score(worker, count - 1)
            heapq.heappush(self._candidates, (score, number, count - 1, worker))
        return worker

    def _score(self, worker: Worker, count: int) -> tuple[float, ...]:
        """Return the sort key of a worker that can take ``count`` more tasks."""
        spec = self._step.spec
        is_in_other_rack = int(
            bool(self._preferred_rack) and _rack(worker) != self._preferred_rack
        )
        fill = -count if spec.lasting else count
        is_slow = worker.slowness >= SLOW_THRESHOLD
        slowness, later_slowness = 0.0, 0
        if self._uses_speed_groups:
            slowness, later_slowness = choose_speed_rank(
                self._urgency, self._is_short, worker
            )
        elif self._is_short:
            slowness = round(worker.slowness, 1)
        is_for_other_kind = is_assigned_to_other_kind(self._step, worker)
        return (
            is_slow,
            worker.doubt,
            is_in_other_rack,
            is_for_other_kind,
            worker.consecutive_failures,
            slowness,
            fill,
            later_slowness,
        )
