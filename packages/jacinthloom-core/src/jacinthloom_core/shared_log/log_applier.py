"""Application of log entries, with dispatch of each record to the components."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model import messages, records

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..context import Context
    from ..model import events
    from ..model.records import LogEntry, MemberInfo
    from ..reducer import Member
    from .log_state import AppliedRecord

ENTRIES_KEPT = 512
"""Number of recent log entries kept for peers that can't read the log."""


class LogApplier:
    """Apply entries in order, read from the log or received from a peer."""

    def __init__(self, member: Member, context: Context) -> None:
        self._member = member
        self._context = context
        self._entry_by_offset: dict[int, LogEntry] = {}
        self._handler_by_record = self._list_record_handlers()

    def on_log_read(self, event: events.LogRead) -> None:
        """Apply the entries read, or start from a snapshot if earlier ones are gone."""
        if event.first > self._context.state.offset:
            self._start_from_snapshot(event)
        else:
            self.apply_entries(event.entries)
        if event.at_tail and event.first <= self._context.state.offset:
            self._member.membership.on_tail_read(event.asked)

    def _start_from_snapshot(self, event: events.LogRead) -> None:
        """Load a snapshot, as the log no longer has the entries that are needed."""
        if self._member.membership.is_member:
            self._member.leave_view()
            return
        entries = self._member.snapshots.buffer(event.entries)
        state = self._context.state
        if event.first > state.offset:
            return
        self._context.note("snapshot_loaded", str(state.snapshot_offset))
        self._member.membership.adopt(state.view)
        teams = state.configuration.teams_by_name
        self._member.fairness.set_shares(
            {name: team.share for name, team in teams.items()}
        )
        self.apply_entries(entries)

    def apply_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Apply the entries that come next; skip known ones and those after a gap."""
        for entry in entries:
            if entry.offset != self._context.state.offset or self._member.has_exited:
                continue
            self._keep_entry(entry)
            self._context.clock = max(self._context.clock, entry.batch.clock) + 1
            self._member.writer.on_entry(entry)
            for item in self._context.state.apply(entry):
                if self._member.has_exited:
                    return
                handler = self._handler_by_record.get(type(item.record))
                if handler is not None:
                    handler(item)

    def _keep_entry(self, entry: LogEntry) -> None:
        self._entry_by_offset[entry.offset] = entry
        self._entry_by_offset.pop(entry.offset - ENTRIES_KEPT, None)

    def fetch_entries(self) -> None:
        """Request entries from a peer while this member can't read the log."""
        if self._member.membership.is_log_available:
            return
        peer = self._member.membership.find_peer_ahead()
        if peer is not None:
            info = self._member.membership.view.members_by_id[peer]
            message = messages.EntriesAsked(self._context.state.offset)
            self._member.channels.send_unordered(info, message)

    def on_entries_asked(
        self, sender: MemberInfo, message: messages.EntriesAsked
    ) -> None:
        """Send a peer the entries that it lacks, as far as they are kept."""
        entries = []
        offset = message.offset
        while offset in self._entry_by_offset:
            entries.append(self._entry_by_offset[offset])
            offset += 1
        if entries:
            self._member.channels.send_unordered(
                sender, messages.EntriesTold(tuple(entries))
            )

    def _list_record_handlers(self) -> dict[type, Callable[[AppliedRecord], None]]:
        return {
            records.ViewProposed: self._after_view,
            records.WorkerReconciled: self._after_reconciled,
            records.AllotmentsMoved: self._after_moved,
            records.ConfigurationChanged: self._after_configuration,
            records.JobAccepted: self._after_accepted,
            records.JobCancelled: self._after_job_record,
            records.JobRefused: self._after_job_record,
            records.TaskEnded: self._after_job_record,
            records.AttemptBegun: self._after_begun,
            records.AttemptEnded: self._after_ended,
        }

    def _after_view(self, applied: AppliedRecord) -> None:
        if not applied.accepted:
            return
        view = self._context.state.view
        was_member = self._member.membership.is_member
        departed = set(self._member.membership.view.members_by_id) - set(
            view.members_by_id
        )
        self._member.membership.adopt(view)
        self._member.proposals.on_view()
        self._context.note("view", str(view.number), ", ".join(view.members_by_id))
        for member in departed:
            self._member.fairness.remove_peer(member)
        if was_member and not self._member.membership.is_member:
            self._member.leave_view()
            return
        self._member.grant_dispatcher.on_view()
        self._member.owned_workers.on_view()
        self._member.deliver_inbox()
        self._member.job_coordinator.on_view()
        self._member.request_coordinator.on_view()
        self._member.owned_workers.changed_teams.update(
            self._member.owned_workers.used_by_team
        )

    def _after_reconciled(self, applied: AppliedRecord) -> None:
        record = applied.record
        assert isinstance(record, records.WorkerReconciled)
        self._member.owned_workers.on_reconciled(applied, record)
        if applied.accepted:
            self._member.job_coordinator.recovery.on_worker_reconciled(record)
            self._member.evictor.stop_ended_jobs(record.worker)
            self._member.grant_dispatcher.schedule()

    def _after_moved(self, applied: AppliedRecord) -> None:
        record = applied.record
        assert isinstance(record, records.AllotmentsMoved)
        self._member.quotas.on_allotments_moved(applied, record)
        self._member.grant_dispatcher.schedule()

    def _after_configuration(self, applied: AppliedRecord) -> None:
        record = applied.record
        assert isinstance(record, records.ConfigurationChanged)
        self._member.operator_api.on_configuration_changed(applied, record)
        if applied.accepted:
            teams = self._context.state.configuration.teams_by_name
            self._member.fairness.set_shares(
                {name: team.share for name, team in teams.items()}
            )
            self._member.job_coordinator.on_configuration()
            self._member.evictor.on_configuration()

    def _after_accepted(self, applied: AppliedRecord) -> None:
        record = applied.record
        assert isinstance(record, records.JobAccepted)
        job = self._context.state.job_by_id.get(record.spec.job)
        if applied.accepted and job is not None:
            self._context.note("job_accepted", record.spec.job, team=record.spec.team)
            self._member.job_coordinator.on_job_accepted(job)
        self._member.job_api.on_job_accepted(record.spec.job)

    def _after_job_record(self, applied: AppliedRecord) -> None:
        job = getattr(applied.record, "job", "")
        if job in self._context.state.job_by_id:
            return
        summary = self._context.state.summary_by_job.get(job)
        if applied.accepted and summary is not None:
            self._context.note("job_ended", job, summary.state, summary.team)
        self._member.job_coordinator.on_job_ended(job)
        self._member.job_api.on_job_ended(job)

    def _after_begun(self, applied: AppliedRecord) -> None:
        record = applied.record
        assert isinstance(record, records.AttemptBegun)
        self._member.request_coordinator.on_attempt_begun(applied, record)

    def _after_ended(self, applied: AppliedRecord) -> None:
        record = applied.record
        assert isinstance(record, records.AttemptEnded)
        self._member.request_coordinator.on_attempt_ended(applied, record)
