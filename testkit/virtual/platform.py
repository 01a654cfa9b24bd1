"""Simulated log and workers of the platform."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from jacinthloom_core.model.records import LogEntry
from jacinthloom_core.model.reports import (
    Completion,
    HostInfo,
    RunningTask,
    StartResult,
    TaskUse,
    WorkerReport,
)
from jacinthloom_core.model.resources import NO_RESOURCES, Resources
from jacinthloom_core.model.settings import lease_duration_s

if TYPE_CHECKING:
    from jacinthloom_core.model.effects import Exchange
    from jacinthloom_core.model.records import Batch
    from jacinthloom_core.model.work import Grant


class VirtualLog:
    """Append-only log held in memory; it can be taken down."""

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.first = 0
        self.is_up = True

    def append(self, batch: Batch) -> int:
        """Append a batch and return its offset."""
        offset = self.first + len(self.entries)
        self.entries.append(LogEntry(offset, batch))
        return offset

    def read(self, offset: int) -> tuple[LogEntry, ...]:
        """Return the entries at an offset and after it."""
        return tuple(self.entries[max(0, offset - self.first) :])

    def trim(self, before: int) -> None:
        """Drop the entries before an offset."""
        dropped = max(0, before - self.first)
        del self.entries[:dropped]
        self.first += dropped


@dataclass
class VirtualTask:
    """A task that runs under a lease; times are on the worker's clock."""

    grant: Grant
    began: float
    ends: float
    lease_until: float
    used: Resources


@dataclass
class VirtualWorker:
    """A worker that runs tasks under leases.

    :param fences: whether it rejects exchanges of a view older than its fencing token
    :param clock_rate: rate of its clock relative to the simulated time
    :param down: whether it is unreachable; its tasks run on until their leases expire
    :param fail_all: whether every task fails
    :param fence: latest view seen, the fencing token
    :param life: number of its incarnation
    :param identifies: whether it tells its incarnation
    """

    info: HostInfo
    capacity: Resources
    fences: bool = False
    clock_rate: float = 1.0
    down: bool = False
    fail_all: bool = False
    fence: int = 0
    task_by_key: dict[str, VirtualTask] = field(default_factory=dict)
    completions: list[Completion] = field(default_factory=list)
    life: int = 1
    identifies: bool = True

    @property
    def incarnation(self) -> str:
        """Identity of its incarnation; empty if it does not tell it."""
        return f"life-{self.life}" if self.identifies else ""

    def restart(self) -> None:
        """Begin a new incarnation, without the tasks and completions of this one."""
        self.life += 1
        self.fence = 0
        self.task_by_key.clear()
        self.completions.clear()

    @property
    def committed_resources(self) -> Resources:
        """Resources committed to the tasks that hold a lease."""
        return sum((t.grant.spec.need for t in self.task_by_key.values()), NO_RESOURCES)

    def local_time(self, now: float) -> float:
        """Return the worker's clock at a simulated time."""
        return now * self.clock_rate

    def advance(self, now: float) -> bool:
        """Complete tasks whose run time has passed and drop those whose lease expired.

        :return: whether any task completed
        """
        local_time = self.local_time(now)
        has_completed = False
        for key, task in list(self.task_by_key.items()):
            if local_time >= task.lease_until:
                del self.task_by_key[key]
            elif local_time >= task.ends:
                outcome = "failed" if self._must_fail(task) else "answered"
                self._complete_task(
                    key, outcome, f"{key} on {self.info.name}", local_time
                )
                has_completed = True
        return has_completed

    def _must_fail(self, task: VirtualTask) -> bool:
        return self.fail_all or "fail" in task.grant.spec.payload

    def _complete_task(
        self, key: str, outcome: str, result: str, local_time: float
    ) -> None:
        task = self.task_by_key.pop(key)
        self.completions.append(
            Completion(
                key,
                task.grant.home,
                outcome,  # type: ignore[arg-type]
                result,
                local_time - task.began,
                task.used,
            )
        )

    def exchange(
        self, commands: Exchange, now: float, run_time_s_by_job: dict[str, float]
    ) -> tuple[list[StartResult], list[TaskUse], list[str]]:
        """Execute the commands of an exchange that arrived before its deadline.

        :param run_time_s_by_job: actual run times that differ from the declared ones
        :return: results of the starts, measured usage, and renewals of unknown tasks
        """
        local_time = self.local_time(now)
        missing = []
        for key in commands.renewals:
            task = self.task_by_key.get(key)
            if task is None:
                missing.append(key)
            else:
                task.lease_until = local_time + lease_duration_s(task.grant.spec.kind)
        results = []
        for grant in commands.starts:
            self._start_task(grant, local_time, run_time_s_by_job)
            results.append(StartResult(grant.key, True))
        for key in commands.stops:
            if key in self.task_by_key:
                self._complete_task(key, "cancelled", "", local_time)
        for key in commands.checkpoints:
            if key in self.task_by_key:
                task = self.task_by_key[key]
                progress_s = float(task.grant.checkpoint or 0) + local_time - task.began
                self._complete_task(key, "checkpointed", repr(progress_s), local_time)
        for key in commands.throttles:
            if key in self.task_by_key:
                throttled = self.task_by_key[key]
                throttled.used = throttled.grant.spec.need
        uses = [TaskUse(key, t.used) for key, t in self.task_by_key.items()]
        return results, uses, missing

    def _start_task(
        self, grant: Grant, local_time: float, run_time_s_by_job: dict[str, float]
    ) -> None:
        if grant.key in self.task_by_key:
            return
        spec = grant.spec
        total_s = run_time_s_by_job.get(spec.job, spec.run_time_s or 0.05)
        remaining_s = max(0.01, total_s - float(grant.checkpoint or 0))
        self.task_by_key[grant.key] = VirtualTask(
            grant,
            local_time,
            local_time + remaining_s,
            local_time + lease_duration_s(spec.kind),
            spec.need,
        )

    def report(self, view: int) -> WorkerReport:
        """Return the capacity and running tasks; a fencing worker records the view."""
        if self.fences:
            self.fence = max(self.fence, view)
        running = tuple(
            RunningTask(
                key,
                task.grant.spec.team,
                task.grant.spec.work_class,
                task.grant.spec.kind,
                task.grant.home,
                task.grant.spec.need,
                task.used,
            )
            for key, task in self.task_by_key.items()
        )
        fence = self.fence if self.fences else -1
        return WorkerReport(
            self.capacity, running, fence, len(self.completions), self.incarnation
        )

    def refuses(self, incarnation: str) -> bool:
        """Return whether it refuses a request for an incarnation, or for any."""
        return bool(incarnation) and incarnation != self.incarnation
