"""This member's part of the level, and what it has used each minute."""

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

RECOMPUTE_S = 1.0
"""Seconds between two computations of the level."""

SECONDS_PER_MINUTE = 60

FULL = 0.95
"""Part of the fleet from which on the cell counts as full."""

TELL_INTERVAL_S = 5.0
"""Seconds between two messages about progress to each peer."""

TURN_S = 3.0
"""Seconds for which one member has a small headroom to itself."""

LAST_START = 1.1
"""Multiple of the run time before its deadline at which work must start."""


@dataclass(frozen=True, slots=True)
class _Told:
    """What a peer told of its progress, and when."""

    at: float
    items: tuple[JobProgress, ...]


class Pacer:
    """Hold deferrable starts to the level and account for minutes."""

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
        self._part = 0.0
        self._next = float("-inf")
        self._minute = -1
        self._area = 0.0
        self._area_from = 0.0
        self._late_noted: set[str] = set()
        self._told_by_peer: dict[str, _Told] = {}
        self._next_telling = float("-inf")
        self._told_any = False

    @property
    def used(self) -> int:
        """Millicores that leases take on this member's workers."""
        return self._owned_workers.committed.processors

    @property
    def is_cap_binding(self) -> bool:
        """Whether the level keeps work back that would have room."""
        return self.usage_cap.processors < FULL * self.fleet_processors

    def may_start(self, spec: WorkSpec) -> bool:
        """Return whether deferrable work may start now.

        Work that would otherwise miss its deadline may always start.
        """
        if not spec.is_deferrable:
            return True
        if self.used + spec.need.processors <= self._part:
            return True
        return self._context.wall + self._find_run_time(spec) >= spec.deadline

    def _find_run_time(self, spec: WorkSpec) -> float:
        """Return the seconds to allow for one task."""
        job = self._context.state.job_by_id.get(spec.job)
        known = job.mean_run_s if job is not None else 0.0
        run_time = known or self._context.state.estimates.estimate_run_time(spec)
        return run_time * LAST_START

    def allows_gang(self, spec: WorkSpec) -> bool:
        """Return whether all tasks of a gang may start at once in the fleet."""
        need = spec.need.processors * spec.tasks
        if (
            not spec.is_deferrable
            or self.fleet_used + need <= self.usage_cap.processors
        ):
            return True
        return self._context.wall + self._find_run_time(spec) >= spec.deadline

    def on_tick(self) -> None:
        """Recompute the level and close the minute."""
        self._account()
        self._tell_progress()
        if self._context.now < self._next:
            return
        self._next = self._context.now + RECOMPUTE_S
        self._recompute()

    def _recompute(self) -> None:
        context = self._context
        total = self._owned_workers.total_capacity.processors
        fleet = total
        fleet_used = self.used
        pressing = self.used - self.deferrable_processors
        for member, peer in self._membership.peer_by_id.items():
            if member in self._membership.view.members_by_id and peer.capacity:
                room = peer.capacity
                fleet += room.total.processors
                taken = room.total.processors - room.free.processors
                pressing += taken - room.deferrable
                fleet_used += taken
        self.fleet_processors = fleet
        self.fleet_used = fleet_used
        state = context.state
        backlog = list_backlog(
            state.job_by_id.values(), state.estimates, self._list_progress()
        )
        self.usage_cap = self.policy.compute(
            context.wall, backlog, state.peak.processors, pressing, fleet
        )
        lump = max((item.lump for item in backlog), default=0)
        self._part = self.used + self._compute_headroom(total, lump)
        self._note_late()

    def _compute_headroom(self, total: int, lump: int) -> float:
        """Return the millicores that this member may add to what it runs.

        The fleet's headroom is split by capacity; one too small to be split goes to
        one member at a time, in turns.
        """
        headroom = self.usage_cap.processors - self.fleet_used
        if self.fleet_processors == 0 or headroom <= 0:
            return min(0.0, headroom)
        part = headroom * total / self.fleet_processors
        if part >= lump:
            return part
        members = sorted(self._membership.view.members_by_id)
        turn = int(self._context.wall // TURN_S) % max(1, len(members))
        return headroom if members[turn : turn + 1] == [self._context.member] else 0.0

    def _list_progress(self) -> dict[str, Progress]:
        """Return what runs of each job, as far as all members told."""
        progress = self._list_own_progress()
        now = self._context.now
        for peer, told in self._told_by_peer.items():
            if peer not in self._membership.view.members_by_id:
                continue
            for item in told.items:
                since = (now - told.at) * item.running
                part = Progress(item.running, item.spent + since)
                progress[item.job] = progress.get(item.job, NO_PROGRESS) + part
        return progress

    def _list_own_progress(self) -> dict[str, Progress]:
        progress: dict[str, Progress] = {}
        for worker in self._owned_workers.worker_by_name.values():
            for attempt in worker.attempt_by_key.values():
                if attempt.deferrable and attempt.phase in ("starting", "running"):
                    job = attempt.key.partition("/")[0]
                    part = Progress(1, self._context.now - attempt.started)
                    progress[job] = progress.get(job, NO_PROGRESS) + part
        return progress

    def _tell_progress(self) -> None:
        """Tell peers what runs here, so that all know what has not started."""
        if self._context.now < self._next_telling:
            return
        self._next_telling = self._context.now + TELL_INTERVAL_S
        items = tuple(
            JobProgress(job, item.running, round(item.spent, 1))
            for job, item in self._list_own_progress().items()
        )
        if items or self._told_any:
            self._told_any = bool(items)
            for member, info in self._membership.view.members_by_id.items():
                if member != self._context.member:
                    self._membership.send_unordered(info, ProgressTold(items))

    def on_progress_told(self, sender: str, message: ProgressTold) -> None:
        """Remember what runs on a peer's workers."""
        self._told_by_peer[sender] = _Told(self._context.now, message.items)

    def _note_late(self) -> None:
        job = self.usage_cap.late_job
        if not job or job in self._late_noted:
            return
        self._late_noted.add(job)
        self._context.note(
            "target_at_risk",
            job,
            f"class {self.usage_cap.late_class} cannot meet its target: "
            "more work is due than the fleet can do in the time left",
        )

    def _account(self) -> None:
        now = self._context.now
        self._area += self.used * (now - self._area_from)
        self._area_from = now
        minute = int(self._context.wall // SECONDS_PER_MINUTE)
        if minute == self._minute:
            return
        if self._minute >= 0 and self._membership.is_member:
            mean = int(self._area / SECONDS_PER_MINUTE)
            self._writer.append(MinuteUsed(self._context.member, self._minute, mean))
        self._minute = minute
        self._area = 0.0
