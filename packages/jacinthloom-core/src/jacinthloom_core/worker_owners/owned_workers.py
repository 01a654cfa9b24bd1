"""Takeover of workers, and accounting of the attempts on them.

A new owner waits until no earlier owner can act on a worker, requests a report of what
it runs, records that in the log, and then uses the worker.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.effects import AskReport, UnwatchWorker, WatchWorker
from ..model.records import TeamAmount, WorkerReconciled
from ..model.reports import HostInfo, rack_of
from ..model.resources import NO_RESOURCES, Resources
from ..model.settings import (
    LONGEST_LEASE_S,
    MAX_CLOCK_RATE_RATIO,
    MAX_WALL_CLOCK_SKEW_S,
    lease_duration_s,
)
from .workers import Attempt, Worker, WorkerIndex

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..model.events import HostsListed, ReportFailed, WorkerReported
    from ..model.reports import RunningTask, WorkerReport
    from ..policy.fairness import FairShareTracker
    from ..policy.quotas import Quotas
    from ..shared_log.log_state import AppliedRecord
    from ..shared_log.log_writer import LogWriter
    from .health import Health

REPORT_INTERVAL_S = 1.0
"""Seconds between report requests to a worker that is not open."""

LOST_WORKER_S = LONGEST_LEASE_S * MAX_CLOCK_RATE_RATIO + MAX_WALL_CLOCK_SKEW_S
"""Seconds after which every lease on a worker that never answered has expired."""


class OwnedWorkers:
    """Workers that this member owns, with their capacity and attempts."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        writer: LogWriter,
        quotas: Quotas,
        fairness: FairShareTracker,
        health: Health,
    ) -> None:
        self._context = context
        self._membership = membership
        self._writer = writer
        self._quotas = quotas
        self._fairness = fairness
        self._health = health
        self.worker_by_name: dict[str, Worker] = {}
        self.index = WorkerIndex()
        self.host_by_name: dict[str, HostInfo] = {}
        self.changed_teams: set[str] = set()
        self.used_by_team: dict[str, Resources] = {}
        self.total_capacity = NO_RESOURCES
        self.committed = NO_RESOURCES
        self._attempts_in_transfer: dict[str, list[Attempt]] = {}

    # Ownership

    def on_hosts(self, event: HostsListed) -> None:
        """Apply the platform's host list."""
        self.host_by_name = {host.name: host for host in event.hosts}
        for name, worker in self.worker_by_name.items():
            if name in self.host_by_name:
                worker.info = self.host_by_name[name]
        self.reassign()

    def reassign(self) -> None:
        """Take over and release workers according to the view."""
        view = self._membership.view
        if not self._membership.is_member:
            return
        known = {*self.host_by_name, *self._context.state.recorded_owner_by_worker}
        owner_by_rack = {rack: view.choose_member(rack) for rack in map(rack_of, known)}
        for name in sorted(known):
            mine = owner_by_rack[rack_of(name)] == self._context.member
            if mine and name not in self.worker_by_name:
                self._take_over(name)
            elif not mine and name in self.worker_by_name:
                self._release_worker(self.worker_by_name[name])

    def _take_over(self, name: str) -> None:
        info = self.host_by_name.get(name) or HostInfo(name, "", "", "leaving")
        worker = Worker(info)
        worker.ready_at = self._membership.compute_ready_at(rack_of(name))
        worker.unreachable_since = self._context.now
        self.worker_by_name[name] = worker

    def _release_worker(self, worker: Worker) -> None:
        """Release a worker; its attempts count until the new owner counts them."""
        del self.worker_by_name[worker.name]
        self._remove_from_capacity(worker)
        self._health.remove_worker(worker.name)
        for attempt in worker.attempt_by_key.values():
            self._count_used(attempt.team, NO_RESOURCES - attempt.need)
        recorded_owner = self._context.state.recorded_owner_by_worker.get(worker.name)
        if recorded_owner == self._context.member:
            earlier = self._attempts_in_transfer.setdefault(worker.name, [])
            earlier.extend(worker.attempt_by_key.values())
        else:
            for attempt in worker.attempt_by_key.values():
                self._quotas.add_usage(attempt.team, NO_RESOURCES - attempt.need)
        self._context.emit(UnwatchWorker(worker.name))
        self._context.note("worker_given_up", worker.name)

    def on_view(self) -> None:
        """Restart reconciliations that began under an earlier view."""
        self.reassign()
        for worker in self.worker_by_name.values():
            if worker.phase == "reconciling":
                worker.phase = "waiting"
                worker.next_report = self._context.now

    # Takeover

    def on_tick(self) -> None:
        """Request reports from workers that are not open."""
        now = self._context.now
        for worker in self.worker_by_name.values():
            if worker.phase in ("open", "reconciling"):
                continue
            if worker.phase == "waiting":
                self._update_wait(worker)
            if now < worker.next_report:
                continue
            worker.next_report = now + REPORT_INTERVAL_S
            if worker.info.address:
                view = self._membership.view.number
                self._context.emit(AskReport(worker.name, worker.info.address, view))
            elif worker.phase == "waiting":
                self._retire_if_lost(worker)

    def _update_wait(self, worker: Worker) -> None:
        """Request the report early once an earlier owner is known to have stopped."""
        ready_at = self._membership.compute_ready_at(worker.info.rack)
        if ready_at < worker.ready_at:
            worker.next_report = min(worker.next_report, ready_at)
        worker.ready_at = ready_at

    def on_waiting_reported(self, worker: Worker, event: WorkerReported) -> None:
        """Reconcile a worker once no earlier owner can act on it."""
        report = event.report
        worker.fences = report.fence >= 0
        fenced = worker.fences and report.fence == self._membership.view.number
        if not fenced and event.asked < worker.ready_at:
            worker.next_report = max(self._context.now, worker.ready_at)
            return
        self._adopt_report(worker, report)
        self._append_reconciled(worker)

    def _adopt_report(self, worker: Worker, report: WorkerReport) -> None:
        for attempt in list(worker.attempt_by_key.values()):
            self.drop_attempt(worker, attempt)
        self.adopt_incarnation(worker, report.incarnation)
        worker.capacity = report.capacity
        for task in report.running:
            self.add_attempt(worker, self._make_found_attempt(worker, task))

    def adopt_incarnation(self, worker: Worker, incarnation: str) -> bool:
        """Note which incarnation a worker reports; return whether it is another one.

        An incarnation numbers its completions from 1.
        """
        if incarnation == worker.incarnation:
            return False
        worker.incarnation = incarnation
        worker.cursor = 0
        return True

    def _make_found_attempt(self, worker: Worker, task: RunningTask) -> Attempt:
        now = self._context.now
        lease = lease_duration_s(task.kind) * MAX_CLOCK_RATE_RATIO
        return Attempt(
            task.key,
            task.team,
            task.work_class,
            task.kind,
            self._membership.coordinator_of(task.key, task.home),
            task.need,
            worker.name,
            "running",
            now + lease,
            now,
            deferrable=task.kind in ("batch", "gang"),
        )

    def retire(self, worker: Worker) -> None:
        """Record in the log that a worker is gone, with no lease left on it."""
        if worker.name not in self._context.state.recorded_owner_by_worker:
            return
        worker.phase = "reconciling"
        self._writer.append(
            WorkerReconciled(
                worker.name,
                self._context.member,
                self._membership.view.number,
                (),
                (),
                retired=True,
            )
        )

    def _append_reconciled(self, worker: Worker) -> None:
        amounts: dict[str, Resources] = {}
        for attempt in worker.attempt_by_key.values():
            amounts[attempt.team] = (
                amounts.get(attempt.team, NO_RESOURCES) + attempt.need
            )
        worker.phase = "reconciling"
        self._writer.append(
            WorkerReconciled(
                worker.name,
                self._context.member,
                self._membership.view.number,
                tuple(sorted(worker.attempt_by_key)),
                tuple(TeamAmount(team, amounts[team]) for team in sorted(amounts)),
            )
        )

    def on_report_failed(self, worker: Worker, event: ReportFailed) -> None:
        """Retire a waiting worker once every lease on it has expired."""
        if worker.phase == "waiting":
            self._retire_if_lost(worker)

    def _retire_if_lost(self, worker: Worker) -> None:
        recorded_owner = self._context.state.recorded_owner_by_worker.get(worker.name)
        if recorded_owner is None:
            return
        began = max(worker.ready_at, worker.unreachable_since)
        if self._context.now < began + LOST_WORKER_S:
            return
        for attempt in list(worker.attempt_by_key.values()):
            self.drop_attempt(worker, attempt)
        self.retire(worker)

    def on_reconciled(self, applied: AppliedRecord, record: WorkerReconciled) -> None:
        """Open a worker, or stop counting one that another member took over."""
        if not applied.accepted:
            worker = self.worker_by_name.get(record.worker)
            if record.owner == self._context.member and worker is not None:
                worker.phase = "waiting"
                worker.next_report = self._context.now
            return
        for attempt in self._attempts_in_transfer.pop(record.worker, []):
            self._quotas.add_usage(attempt.team, NO_RESOURCES - attempt.need)
        worker = self.worker_by_name.get(record.worker)
        if record.owner != self._context.member or worker is None:
            return
        if worker.phase != "reconciling":
            return
        if record.retired:
            worker.phase = "waiting"
            worker.next_report = self._context.now
            return
        self._open(worker)

    def _open(self, worker: Worker) -> None:
        self._use(worker)
        self._context.note(
            "worker_opened", worker.name, f"{len(worker.attempt_by_key)} attempts run"
        )

    def reopen(self, worker: Worker) -> None:
        """Open a worker that answers again."""
        self._use(worker)
        self._context.note("worker_reachable", worker.name)

    def _use(self, worker: Worker) -> None:
        worker.phase = "open"
        worker.next_renewal = 0.0
        self._add_to_capacity(worker)
        self._context.emit(
            WatchWorker(
                worker.name, worker.info.address, worker.cursor, worker.incarnation
            )
        )

    def mark_unreachable(self, worker: Worker) -> None:
        """Stop using a worker until it answers on a new connection."""
        if worker.phase != "open":
            return
        worker.phase = "unreachable"
        worker.exchange = 0
        worker.next_report = self._context.now
        worker.unreachable_since = self._context.now
        self._remove_from_capacity(worker)
        self._context.emit(UnwatchWorker(worker.name))
        self._context.note("worker_unreachable", worker.name)

    # Accounting

    def _add_to_capacity(self, worker: Worker) -> None:
        """Count a worker's capacity and make it available for placement."""
        self.index.update(worker)
        self.total_capacity = self.total_capacity + worker.capacity
        self.committed = self.committed + worker.committed

    def _remove_from_capacity(self, worker: Worker) -> None:
        """Exclude a worker from the capacity and from placement."""
        if worker.name in self.index:
            self.index.remove(worker.name)
            self.total_capacity = self.total_capacity - worker.capacity
            self.committed = self.committed - worker.committed

    def add_attempt(self, worker: Worker, attempt: Attempt) -> None:
        """Count an attempt that may hold a lease."""
        worker.attempt_by_key[attempt.key] = attempt
        worker.committed = worker.committed + attempt.need
        self._update_index(worker, attempt.need)
        self._quotas.add_usage(attempt.team, attempt.need)
        self._count_used(attempt.team, attempt.need)

    def drop_attempt(self, worker: Worker, attempt: Attempt) -> None:
        """Stop counting an attempt that no longer holds a lease."""
        del worker.attempt_by_key[attempt.key]
        worker.committed = worker.committed - attempt.need
        self._update_index(worker, NO_RESOURCES - attempt.need)
        self._quotas.add_usage(attempt.team, NO_RESOURCES - attempt.need)
        self._count_used(attempt.team, NO_RESOURCES - attempt.need)

    def resize_attempt(self, worker: Worker, attempt: Attempt, need: Resources) -> None:
        """Count an attempt at its measured use."""
        change = need - attempt.need
        attempt.need = need
        worker.committed = worker.committed + change
        self._update_index(worker, change)
        self._quotas.add_usage(attempt.team, change)
        self._count_used(attempt.team, change)

    def _update_index(self, worker: Worker, change: Resources) -> None:
        if worker.name in self.index:
            self.committed = self.committed + change
            self.index.update(worker)

    def _count_used(self, team: str, amount: Resources) -> None:
        used = self.used_by_team.get(team, NO_RESOURCES) + amount
        if used == NO_RESOURCES:
            self.used_by_team.pop(team, None)
        else:
            self.used_by_team[team] = used
        self._fairness.add_used(team, amount)
        self.changed_teams.add(team)

    def compute_deferrable_processors(self) -> int:
        """Return the millicores that deferrable attempts take."""
        total = NO_RESOURCES
        for worker in self.worker_by_name.values():
            for attempt in worker.attempt_by_key.values():
                if attempt.deferrable:
                    total = total + attempt.need
        return total.processors
