"""This member's part of the usage cap, and its usage per minute."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..model.messages import JobProgress, ProgressTold
from ..model.records import MinuteUsed
from .usage_cap import NO_PROGRESS, MinimumRatePolicy, Progress, UsageCap, list_backlog

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..model.work import WorkSpec
    from ..shared_log.log_writer import LogWriter
    from ..worker_owners.owned_workers import OwnedWorkers
    from .usage_cap import UsageCapPolicy

RECOMPUTE_INTERVAL_S = 1.0
"""Seconds between two computations of the usage cap."""

SECONDS_PER_MINUTE = 60

FULL_FLEET_FRACTION = 0.95
"""Fraction of the fleet's processors from which the fleet counts as full."""

PROGRESS_INTERVAL_S = 5.0
"""Seconds between two progress reports to each peer."""

HEADROOM_TURN_S = 3.0
"""Seconds for which one member gets all of a headroom too small to be split."""

LATEST_START_FACTOR = 1.1
"""Factor on the estimated run time that sets the latest start before a deadline."""


@dataclass(frozen=True, slots=True)
class _ProgressReport:
    """The last progress report of a peer.

    :param received_at: monotonic time at which it was received
    """

    received_at: float
    items: tuple[JobProgress, ...]


class Pacer:
    """Delays deferrable work to keep to the usage cap, and records usage per minute."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        writer: LogWriter,
        owned_workers: OwnedWorkers,
        policy: UsageCapPolicy | None = None,
    ) -> None:
        self._context = context
        self._membership = membership
        self._writer = writer
        self._owned_workers = owned_workers
        self.policy: UsageCapPolicy = policy or MinimumRatePolicy()
        self.usage_cap = UsageCap(0.0)
        self.deferrable_processors = 0
        self.fleet_processors = 0
        self.fleet_used = 0
        self._member_cap = 0.0
        self._next_recompute_at = float("-inf")
        self._current_minute = -1
        self._minute_millicore_seconds = 0.0
        self._accounted_until = 0.0
        self._noted_late_jobs: set[str] = set()
        self._report_by_peer: dict[str, _ProgressReport] = {}
        self._next_report_at = float("-inf")
        self._reported_any = False

    @property
    def used(self) -> int:
        """Millicores reserved by leases on this member's workers."""
        return self._owned_workers.committed.processors

    @property
    def is_cap_binding(self) -> bool:
        """Whether the cap delays work for which there is free capacity."""
        return self.usage_cap.processors < FULL_FLEET_FRACTION * self.fleet_processors

    def allows_start(self, spec: WorkSpec) -> bool:
        """Return whether the cap lets work start now.

        Work that would otherwise miss its deadline may always start.
        """
        if not spec.is_deferrable:
            return True
        if self.used + spec.need.processors <= self._member_cap:
            return True
        return self._context.wall + self._estimate_run_time(spec) >= spec.deadline

    def _estimate_run_time(self, spec: WorkSpec) -> float:
        """Return the seconds to reserve for one task before its deadline."""
        job = self._context.state.job_by_id.get(spec.job)
        known = job.mean_run_s if job is not None else 0.0
        run_time = known or self._context.state.estimates.estimate_run_time(spec)
        return run_time * LATEST_START_FACTOR

    def allows_gang_start(self, spec: WorkSpec) -> bool:
        """Return whether the cap lets all tasks of a gang start at once."""
        need = spec.need.processors * spec.tasks
        if (
            not spec.is_deferrable
            or self.fleet_used + need <= self.usage_cap.processors
        ):
            return True
        return self._context.wall + self._estimate_run_time(spec) >= spec.deadline

    def on_tick(self) -> None:
        """Recompute the usage cap and record the usage of a finished minute."""
        self._account_usage()
        self._report_progress()
        if self._context.now < self._next_recompute_at:
            return
        self._next_recompute_at = self._context.now + RECOMPUTE_INTERVAL_S
        self._recompute()

    def _recompute(self) -> None:
        context = self._context
        total = self._owned_workers.total_capacity.processors
        fleet = total
        fleet_used = self.used
        non_deferrable = self.used - self.deferrable_processors
        for member, peer in self._membership.peer_by_id.items():
            if member in self._membership.view.members_by_id and peer.capacity:
                capacity = peer.capacity
                fleet += capacity.total.processors
                peer_used = capacity.total.processors - capacity.free.processors
                non_deferrable += peer_used - capacity.deferrable
                fleet_used += peer_used
        self.fleet_processors = fleet
        self.fleet_used = fleet_used
        state = context.state
        backlog = list_backlog(
            state.job_by_id.values(), state.estimates, self._collect_progress()
        )
        self.usage_cap = self.policy.compute(
            context.wall, backlog, state.peak.processors, non_deferrable, fleet
        )
        concurrent_millicores = max(
            (item.concurrent_millicores for item in backlog), default=0
        )
        self._member_cap = self.used + self._compute_headroom(
            total, concurrent_millicores
        )
        self._note_late_job()

    def _compute_headroom(self, total: int, concurrent_millicores: int) -> float:
        """Return the millicores that this member may use on top of its current usage.

        The fleet's headroom is split in proportion to capacity. A headroom too small to
        be split goes to one member at a time, in turns.
        """
        headroom = self.usage_cap.processors - self.fleet_used
        if self.fleet_processors == 0 or headroom <= 0:
            return min(0.0, headroom)
        part = headroom * total / self.fleet_processors
        if part >= concurrent_millicores:
            return part
        members = sorted(self._membership.view.members_by_id)
        turn = int(self._context.wall // HEADROOM_TURN_S) % max(1, len(members))
        return headroom if members[turn : turn + 1] == [self._context.member] else 0.0

    def _collect_progress(self) -> dict[str, Progress]:
        """Return the running tasks of each job, as reported by all members."""
        progress = self._collect_own_progress()
        now = self._context.now
        for peer, report in self._report_by_peer.items():
            if peer not in self._membership.view.members_by_id:
                continue
            for item in report.items:
                elapsed = (now - report.received_at) * item.running
                part = Progress(item.running, item.spent + elapsed)
                progress[item.job] = progress.get(item.job, NO_PROGRESS) + part
        return progress

    def _collect_own_progress(self) -> dict[str, Progress]:
        progress: dict[str, Progress] = {}
        for worker in self._owned_workers.worker_by_name.values():
            for attempt in worker.attempt_by_key.values():
                if attempt.deferrable and attempt.phase in ("starting", "running"):
                    job = attempt.key.partition("/")[0]
                    part = Progress(1, self._context.now - attempt.started)
                    progress[job] = progress.get(job, NO_PROGRESS) + part
        return progress

    def _report_progress(self) -> None:
        """Report running tasks to peers, so that they know which have not started."""
        if self._context.now < self._next_report_at:
            return
        self._next_report_at = self._context.now + PROGRESS_INTERVAL_S
        items = tuple(
            JobProgress(job, item.running, round(item.spent, 1))
            for job, item in self._collect_own_progress().items()
        )
        if items or self._reported_any:
            self._reported_any = bool(items)
            for member, info in self._membership.view.members_by_id.items():
                if member != self._context.member:
                    self._membership.send_unordered(info, ProgressTold(items))

    def on_progress_told(self, sender: str, message: ProgressTold) -> None:
        """Store the progress report of a peer."""
        self._report_by_peer[sender] = _ProgressReport(self._context.now, message.items)

    def _note_late_job(self) -> None:
        job = self.usage_cap.late_job
        if not job or job in self._noted_late_jobs:
            return
        self._noted_late_jobs.add(job)
        self._context.note(
            "target_at_risk",
            job,
            f"class {self.usage_cap.late_class} cannot meet its target: "
            "more work is due than the fleet can do in the time left",
        )

    def _account_usage(self) -> None:
        now = self._context.now
        self._minute_millicore_seconds += self.used * (now - self._accounted_until)
        self._accounted_until = now
        minute = int(self._context.wall // SECONDS_PER_MINUTE)
        if minute == self._current_minute:
            return
        if self._current_minute >= 0 and self._membership.is_member:
            mean = int(self._minute_millicore_seconds / SECONDS_PER_MINUTE)
            self._writer.append(
                MinuteUsed(self._context.member, self._current_minute, mean)
            )
        self._current_minute = minute
        self._minute_millicore_seconds = 0.0
