"""The log and the workers of a virtual world."""

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
    """Entries in order, with outages."""

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
        """Return the entries from an offset on."""
        return tuple(self.entries[max(0, offset - self.first) :])

    def trim(self, before: int) -> None:
        """Forget the entries before an offset."""
        dropped = max(0, before - self.first)
        del self.entries[:dropped]
        self.first += dropped


@dataclass
class VirtualTask:
    """A task under a lease; times are those of the worker's clock."""

    grant: Grant
    began: float
    ends: float
    lease_until: float
    used: Resources


@dataclass
class VirtualWorker:
    """A worker that runs tasks under leases.

    :param rate: speed of its clock against the true time
    :param down: whether it can't be reached; its tasks go on until leases lapse
    """

    info: HostInfo
    capacity: Resources
    fences: bool = False
    rate: float = 1.0
    down: bool = False
    fail_all: bool = False
    fence: int = 0
    task_by_key: dict[str, VirtualTask] = field(default_factory=dict)
    completions: list[Completion] = field(default_factory=list)

    @property
    def committed(self) -> Resources:
        """Resources that leases take."""
        return sum((t.grant.spec.need for t in self.task_by_key.values()), NO_RESOURCES)

    def local(self, now: float) -> float:
        """Return the worker's clock at a true time."""
        return now * self.rate

    def advance(self, now: float) -> bool:
        """End tasks whose time or lease is over; return whether any ended well."""
        local = self.local(now)
        ended = False
        for key, task in list(self.task_by_key.items()):
            if local >= task.lease_until:
                del self.task_by_key[key]
            elif local >= task.ends:
                outcome = "failed" if self._fails(task) else "answered"
                self._end(key, outcome, f"{key} on {self.info.name}", local)
                ended = True
        return ended

    def _fails(self, task: VirtualTask) -> bool:
        return self.fail_all or "fail" in task.grant.spec.payload

    def _end(self, key: str, outcome: str, result: str, local: float) -> None:
        task = self.task_by_key.pop(key)
        self.completions.append(
            Completion(
                key,
                task.grant.home,
                outcome,  # type: ignore[arg-type]
                result,
                local - task.began,
                task.used,
            )
        )

    def exchange(
        self, commands: Exchange, now: float, run_time_s: dict[str, float]
    ) -> tuple[list[StartResult], list[TaskUse], list[str]]:
        """Carry out commands that came in time."""
        local = self.local(now)
        missing = []
        for key in commands.renewals:
            task = self.task_by_key.get(key)
            if task is None:
                missing.append(key)
            else:
                task.lease_until = local + lease_duration_s(task.grant.spec.kind)
        results = []
        for grant in commands.starts:
            self._start(grant, local, run_time_s)
            results.append(StartResult(grant.key, True))
        for key in commands.stops:
            if key in self.task_by_key:
                self._end(key, "cancelled", "", local)
        for key in commands.checkpoints:
            if key in self.task_by_key:
                task = self.task_by_key[key]
                done = float(task.grant.checkpoint or 0) + local - task.began
                self._end(key, "checkpointed", repr(done), local)
        for key in commands.throttles:
            if key in self.task_by_key:
                throttled = self.task_by_key[key]
                throttled.used = throttled.grant.spec.need
        uses = [TaskUse(key, t.used) for key, t in self.task_by_key.items()]
        return results, uses, missing

    def _start(self, grant: Grant, local: float, run_time_s: dict[str, float]) -> None:
        if grant.key in self.task_by_key:
            return
        spec = grant.spec
        total = run_time_s.get(spec.job, spec.run_time_s or 0.05)
        left = max(0.01, total - float(grant.checkpoint or 0))
        self.task_by_key[grant.key] = VirtualTask(
            grant, local, local + left, local + lease_duration_s(spec.kind), spec.need
        )

    def report(self, view: int) -> WorkerReport:
        """Return what runs here; a fencing worker takes note of the view."""
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
        return WorkerReport(self.capacity, running, fence, len(self.completions))
