"""Which workers take the tasks of a step."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .speed import SLOW

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .fleet import Worker
    from .jobs import StepRun, Task


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


class _FreeRoom:
    """Room of workers while one step is placed."""

    def __init__(self, step: StepRun, workers: Iterable[Worker]) -> None:
        self._step = step
        self._workers = list(workers)
        spec = step.spec
        self._room_by_worker = {
            worker.id: worker.count_room(spec.size, spec.fills)
            for worker in self._workers
        }
        if spec.most_per_worker:
            present = Counter(task.worker for task in step.tasks if task.worker)
            for worker in self._workers:
                most = max(0, spec.most_per_worker - present[worker.id])
                room = self._room_by_worker[worker.id]
                self._room_by_worker[worker.id] = min(room, most)

    def take(self, task: Task) -> Worker | None:
        best: Worker | None = None
        best_key: tuple[float, ...] | None = None
        for worker in self._workers:
            if self._room_by_worker[worker.id] < 1:
                continue
            key = self._score(task, worker)
            if best_key is None or key < best_key:
                best, best_key = worker, key
        if best is not None:
            self._room_by_worker[best.id] -= 1
        return best

    def _score(self, task: Task, worker: Worker) -> tuple[float, ...]:
        spec = self._step.spec
        has_failed = int(worker.id in task.failed_on)
        is_far = int(bool(spec.data_rack) and _rack(worker) != spec.data_rack)
        room = self._room_by_worker[worker.id]
        spread = -room if spec.lasting else room
        is_slow = worker.slowness >= SLOW
        pace = round(worker.slowness, 1) if spec.estimate_s < SHORT_S else 0.0
        return (has_failed, is_slow, is_far, worker.fail_streak, pace, spread)
