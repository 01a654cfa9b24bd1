"""Which workers take the tasks of a step."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import TYPE_CHECKING

from .sharing import is_misplaced
from .speed import SLOW_THRESHOLD

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .fleet import Worker
    from .jobs import StepRun, Task


_Row = tuple[tuple[float, ...], int, int, "Worker"]
"""Score, place in the list, room for tasks, worker."""

SHORT_S = 2.0
"""Estimate below which a task goes to the fastest worker rather than the fullest: a
tenth of its run time is much of what its caller allows for waiting."""


def place_tasks(
    step: StepRun, tasks: list[Task], workers: list[Worker]
) -> list[tuple[Task, Worker]]:
    """Place as many tasks as fit; the caller reserves what it takes.

    :param workers: those that may run the step
    """
    free = _FreeRoom(step, workers)
    placed = []
    for task in tasks:
        worker = free.take(task)
        if worker is not None:
            placed.append((task, worker))
    return placed


def place_gang(
    step: StepRun, tasks: list[Task], workers: list[Worker]
) -> list[tuple[Task, Worker]]:
    """Place all tasks or none."""
    if step.spec.same_rack:
        for rack in sorted({_rack(worker) for worker in workers}):
            near = [worker for worker in workers if _rack(worker) == rack]
            placed = place_tasks(step, tasks, near)
            if len(placed) == len(tasks):
                return placed
    placed = place_tasks(step, tasks, workers)
    return placed if len(placed) == len(tasks) else []


def _rack(worker: Worker) -> str:
    return worker.entry.rack if worker.entry else ""


def count_rooms(step: StepRun, workers: list[Worker]) -> list[int]:
    """Return how many more tasks of a step each worker may take now."""
    spec = step.spec
    rooms = [worker.count_room(spec.size, spec.fills) for worker in workers]
    if not spec.most_per_worker:
        return rooms
    present = Counter(task.worker for task in step.tasks if task.worker)
    return [
        max(0, min(room, spec.most_per_worker - present[worker.id]))
        for worker, room in zip(workers, rooms, strict=True)
    ]


def _find_home_rack(step: StepRun, workers: list[Worker]) -> str:
    """Return the rack that tasks of a step should run on; empty if any will do."""
    spec = step.spec
    if spec.data_rack or not spec.same_rack:
        return spec.data_rack
    present = {task.worker for task in step.tasks if task.worker}
    room_by_rack: Counter[str] = Counter()
    for worker in workers:
        if worker.id in present:
            return _rack(worker)
        room_by_rack[_rack(worker)] += worker.count_room(spec.size, spec.fills)
    return max(sorted(room_by_rack), key=lambda rack: room_by_rack[rack], default="")


class _FreeRoom:
    """Room of workers while one step is placed; the best worker comes first."""

    def __init__(self, step: StepRun, workers: Iterable[Worker]) -> None:
        workers = list(workers)
        self._step = step
        self._home_rack = _find_home_rack(step, workers)
        rows: list[_Row] = []
        rooms = count_rooms(step, workers)
        for number, (worker, room) in enumerate(zip(workers, rooms, strict=True)):
            if room > 0:
                rows.append((self._score(worker, room), number, room, worker))
        heapq.heapify(rows)
        self._rows = rows

    def take(self, task: Task) -> Worker | None:
        """Take the best worker, rather one on which the task has not failed."""
        passed: list[_Row] = []
        while self._rows and self._rows[0][3].id in task.failed_on:
            passed.append(heapq.heappop(self._rows))
        if self._rows:
            chosen = heapq.heappop(self._rows)
        elif passed:
            chosen = passed.pop(0)
        else:
            return None
        for row in passed:
            heapq.heappush(self._rows, row)
        _, number, room, worker = chosen
        if room > 1:
            score = self._score(worker, room - 1)
            heapq.heappush(self._rows, (score, number, room - 1, worker))
        return worker

    def _score(self, worker: Worker, room: int) -> tuple[float, ...]:
        spec = self._step.spec
        is_far = int(bool(self._home_rack) and _rack(worker) != self._home_rack)
        spread = -room if spec.lasting else room
        is_slow = worker.slowness >= SLOW_THRESHOLD
        pace = round(worker.slowness, 1) if spec.estimate_s < SHORT_S else 0.0
        is_shared = is_misplaced(self._step, worker)
        return (is_slow, is_far, is_shared, worker.fail_streak, pace, spread)
