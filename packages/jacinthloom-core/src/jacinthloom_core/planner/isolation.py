"""Isolation of tasks that may have crashed their worker.

Such a task is started again on a worker that starts nothing else meanwhile. If that
worker crashes too, the task is to blame; if not, the task was lost by chance, and goes
on like any other.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .crashes import (
    FORGET_CRASHES_S,
    SETTLE_S,
    compute_settle_s,
    has_settled,
    is_suspect,
)
from .jobs import TaskState
from .placement import count_fitting_tasks, place_tasks

if TYPE_CHECKING:
    from .fleet import Worker
    from .jobs import StepRun, Task
    from .state import PlannerState

MAX_ISOLATED_SHARE = 0.25
"""Maximum share of the workers of a service that are used for suspects at a time."""

MAX_IDLE_SHARE = 0.5
"""Maximum share of the workers that are used for suspects while workers are idle."""

MAX_RESERVED_S = 3.0
"""Seconds after which a worker that was reserved for suspects and not used is released,
beside those that its other tasks take to settle."""


@dataclass(slots=True)
class Isolation:
    """Reservation of a worker for the suspects of one job.

    :param since: time of the reservation
    :param settle_s: seconds that the starts of other jobs have to be past
    :param is_used: whether a suspect was placed on the worker
    """

    job: str
    since: float
    settle_s: float
    is_used: bool = False


class IsolationPolicy:
    """Chooses the workers on which suspects start, and keeps other tasks off them."""

    def __init__(self, state: PlannerState) -> None:
        self._state = state
        self._host_by_id: dict[str, Worker] = {}
        """Workers that are reserved for suspects."""
        self.total = 0
        """Number of such reservations so far."""

    def release_hosts(self, now: float) -> None:
        """Release the workers that have outlived the starts of their suspects."""
        for worker in list(self._host_by_id.values()):
            isolation = worker.isolation
            if isolation is None:
                continue
            suspects = [t for t in worker.task_by_id.values() if t.is_isolated]
            if any(not has_settled(task, worker.answered_at) for task in suspects):
                continue
            if isolation.is_used or now - isolation.since > MAX_RESERVED_S + (
                isolation.settle_s
            ):
                worker.isolation = None
                del self._host_by_id[worker.id]

    def find_suspects(self, step: StepRun) -> list[Task]:
        """Return the tasks of a step that are suspected, and have not settled since."""
        if not self._state.crashed_task_by_id:
            return []
        return [task for task in step.tasks if self._is_open_suspect(task)]

    def _is_open_suspect(self, task: Task) -> bool:
        if task.state is TaskState.DONE or not is_suspect(task):
            return False
        worker = self._state.worker_by_id.get(task.worker)
        return worker is None or not has_settled(task, worker.answered_at)

    def reserves_for(self, job: str) -> bool:
        """Whether workers are reserved for the suspects of a job."""
        hosts = self._host_by_id.values()
        return any(w.isolation and w.isolation.job == job for w in hosts)

    def may_start(self, step: StepRun, worker: Worker) -> bool:
        """Whether a worker is not reserved for the suspects of another job."""
        isolation = worker.isolation
        return isolation is None or isolation.job == step.id.job

    def select_hosts(
        self, step: StepRun, suspects: list[Task], workers: list[Worker]
    ) -> list[Worker]:
        """Return the workers whose crash could only be blamed on this step.

        The suspects of a job share one worker, so that they crash no more than that.
        """
        job = step.id.job
        hosts = [worker for worker in workers if _is_quiet(worker, job, suspects)]
        if step.spec.gang:
            return hosts
        in_use = [w for w in self._host_by_id.values() if _is_used_by(w, job)]
        return [w for w in hosts if w in in_use] if in_use else hosts

    def choose_host(self, step: StepRun, hosts: list[Worker]) -> Worker | None:
        """Return the host that would lose least by a crash; None if none has room."""
        counts = count_fitting_tasks(step, hosts)
        fitting = [w for w, count in zip(hosts, counts, strict=True) if count]
        return min(
            fitting,
            key=lambda w: (w.isolation is None, len(w.task_by_id)),
            default=None,
        )

    def place_gang(
        self,
        step: StepRun,
        waiting: list[Task],
        suspects: list[Task],
        workers: list[Worker],
    ) -> list[tuple[Task, Worker]]:
        """Choose workers for a gang with suspects, which are isolated from other jobs.

        :returns: all tasks with their workers, or an empty list if they don't fit
        """
        groups = [workers]
        if step.spec.same_rack:
            racks = sorted({worker.entry.rack for worker in workers if worker.entry})
            groups = [
                [w for w in workers if w.entry and w.entry.rack == rack]
                for rack in racks
            ] + groups
        others = [task for task in waiting if task not in suspects]
        for group in groups:
            isolated = place_tasks(
                step, suspects, self.select_hosts(step, suspects, group)
            )
            used = {worker.id for _, worker in isolated}
            rest = place_tasks(step, others, [w for w in group if w.id not in used])
            if len(isolated) + len(rest) == len(waiting):
                return isolated + rest
        return []

    def isolate(self, task: Task, worker: Worker, now: float) -> None:
        """Record that a suspect is placed on a worker."""
        task.is_isolated = True
        if worker.isolation is None:
            self._reserve(worker, Isolation(task.id.job, now, compute_settle_s(task)))
        assert worker.isolation is not None
        worker.isolation.is_used = True

    def reserve_idle(self, step: StepRun, workers: list[Worker], now: float) -> None:
        """Reserve a worker that a scheduling pass has left without any tasks."""
        spec = step.spec
        if len(self._host_by_id) >= len(workers) * MAX_IDLE_SHARE:
            return
        for worker in workers:
            is_idle = not worker.task_by_id and worker.isolation is None
            if is_idle and worker.has_capacity_for(spec.size, spec.fills):
                self._reserve(worker, Isolation(step.id.job, now, SETTLE_S))
                return

    def reserve(
        self, step: StepRun, suspects: list[Task], workers: list[Worker], now: float
    ) -> None:
        """Start nothing else on workers that will soon have room for the suspects.

        All suspects of a gang have to start at the same time.
        """
        spec, job = step.spec, step.id.job
        count = len(suspects) if spec.gang else 1
        settle_s = max(map(compute_settle_s, suspects))
        limit = max(1, int(len(workers) * MAX_ISOLATED_SHARE))

        def count_fitting(worker: Worker) -> int:
            return worker.count_fitting_when_drained(spec.size, spec.fills)

        for worker in self._host_by_id.values():
            if worker.isolation and worker.isolation.job == job and worker in workers:
                count -= count_fitting(worker)
        free = [worker for worker in workers if worker.isolation is None]
        for worker in sorted(free, key=lambda w: len(w.task_by_id)):
            if count <= 0 or len(self._host_by_id) >= limit:
                return
            if count_fitting(worker):
                count -= count_fitting(worker)
                self._reserve(worker, Isolation(job, now, settle_s))

    def _reserve(self, worker: Worker, isolation: Isolation) -> None:
        worker.isolation = isolation
        self._host_by_id[worker.id] = worker
        self.total += 1


def _is_quiet(worker: Worker, job: str, suspects: list[Task]) -> bool:
    """Whether a crash of a worker could only be blamed on the suspects of a job.

    The starts of the other tasks are past, and these are less suspected.
    """
    settle_s = max(map(compute_settle_s, suspects))
    crashes = min(len(task.crashes) for task in suspects)
    answered_at = worker.answered_at
    return all(
        task.id.job == job
        or (has_settled(task, answered_at, settle_s) and len(task.crashes) < crashes)
        or has_settled(task, answered_at, FORGET_CRASHES_S)
        for task in worker.task_by_id.values()
    )


def _is_used_by(worker: Worker, job: str) -> bool:
    isolation = worker.isolation
    return isolation is not None and isolation.is_used and isolation.job == job
