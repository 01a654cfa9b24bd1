"""The state that every member reduces from the platform log."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from ..members.view import View
from ..model.configuration import (
    ClassesAndTeams,
    Configuration,
    apply_change,
    describe_change,
)
from ..model.records import (
    AllotmentsMoved,
    AttemptBegun,
    AttemptEnded,
    ConfigurationChanged,
    JobAccepted,
    JobCancelled,
    JobRefused,
    MinuteUsed,
    SnapshotChunk,
    TaskEnded,
    ViewProposed,
    WorkerReconciled,
)
from ..model.reports import rack_of
from ..policy.allotments import POOL, Allotments
from ..policy.estimates import RunTimeEstimator
from .jobs import Job, JobSummary, KeyedRequest, MonthlyPeak

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..model.records import LogEntry, Record

SUMMARIES_KEPT = 4_000
"""Maximum number of ended jobs whose summary is kept."""

HISTORY_KEPT = 64
"""Maximum number of configuration changes whose summary and result are kept."""

WRITERS_KEPT = 512
"""Maximum number of writers whose last sequence number is kept."""

MINUTES_KEPT = 10
"""Number of recent minutes whose usage is still summed."""

IDEMPOTENCY_KEY_TTL_S = 86_400.0
"""Seconds for which the outcome of an idempotency key is kept."""

IDEMPOTENCY_KEYS_KEPT = 20_000
"""Maximum number of idempotency keys kept."""

SECONDS_PER_MINUTE = 60


@dataclass(frozen=True, slots=True)
class AppliedRecord:
    """The result of applying a record.

    :param accepted: whether it changed the state
    :param reason: why it was refused; empty if it was accepted
    """

    record: Record
    writer: str
    offset: int
    accepted: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ChangeSummary:
    """An accepted configuration change."""

    version: int
    author: str
    wall: float
    text: str


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The result of an operator's change.

    :param version: version that it created, or that it conflicted with
    """

    accepted: bool
    version: int
    reason: str
    offset: int


class LogState:
    """Reduce records in log order; refuse those whose preconditions don't hold."""

    def __init__(self) -> None:
        self.offset = 0
        self.configuration = Configuration()
        self.view = View(0)
        self.recorded_owner_by_worker: dict[str, str] = {}
        self.unreconciled_workers: set[str] = set()
        self.allotments = Allotments()
        self.job_by_id: dict[str, Job] = {}
        self.summary_by_job: OrderedDict[str, JobSummary] = OrderedDict()
        self.request_by_idempotency_key: OrderedDict[tuple[str, str], KeyedRequest] = (
            OrderedDict()
        )
        self.peak = MonthlyPeak()
        self.estimates = RunTimeEstimator()
        self.sequence_by_writer: OrderedDict[str, int] = OrderedDict()
        self.result_by_change: OrderedDict[str, ChangeResult] = OrderedDict()
        self.history: deque[ChangeSummary] = deque(maxlen=HISTORY_KEPT)
        self.snapshot_offset = 0
        self._chunks_left: dict[int, set[int]] = {}
        self._handlers: dict[type, Callable[..., str]] = {
            ViewProposed: self._apply_view,
            WorkerReconciled: self._apply_reconciled,
            AllotmentsMoved: self._apply_moved,
            ConfigurationChanged: self._apply_configuration,
            JobAccepted: self._apply_accepted,
            JobCancelled: self._apply_cancelled,
            JobRefused: self._apply_refused,
            TaskEnded: self._apply_task_ended,
            AttemptBegun: self._apply_attempt_begun,
            AttemptEnded: self._apply_attempt_ended,
            MinuteUsed: self._apply_minute,
            SnapshotChunk: self._apply_chunk,
        }

    def apply(self, entry: LogEntry) -> Iterator[AppliedRecord]:
        """Apply the next entry; yield the result of each record as it is applied."""
        self.offset = entry.offset + 1
        batch = entry.batch
        if batch.sequence <= self.sequence_by_writer.get(batch.writer, 0):
            return
        self.sequence_by_writer[batch.writer] = batch.sequence
        self.sequence_by_writer.move_to_end(batch.writer)
        if len(self.sequence_by_writer) > WRITERS_KEPT:
            self.sequence_by_writer.popitem(last=False)
        for item in batch.records:
            yield self._apply_record(item, batch.writer)

    def _apply_record(self, record: Record, writer: str) -> AppliedRecord:
        reason = self._handlers[type(record)](record)
        return AppliedRecord(record, writer, self.offset - 1, not reason, reason)

    # Membership

    def _apply_view(self, record: ViewProposed) -> str:
        if record.number != self.view.number + 1:
            return f"view {self.view.number} is current"
        if not record.members:
            return "the view has no members"
        current = self.view.members_by_id
        votes = {vote for vote in record.votes if vote in current}
        if current and not record.restart and len(votes) < self.view.votes_needed:
            return f"{len(votes)} of {self.view.votes_needed} required votes"
        self.view = View(record.number, {item.member: item for item in record.members})
        for member in current:
            if member not in self.view.members_by_id:
                self.allotments.return_to_pool(member)
        for worker, recorded_owner in self.recorded_owner_by_worker.items():
            if self.view.choose_member(rack_of(worker)) != recorded_owner:
                self.unreconciled_workers.add(worker)
        self._distribute_pool()
        return ""

    def _apply_reconciled(self, record: WorkerReconciled) -> str:
        if record.view != self.view.number:
            return f"view {self.view.number} is current"
        recorded_owner = self.recorded_owner_by_worker.get(record.worker)
        if recorded_owner is not None:
            donor = (
                recorded_owner if recorded_owner in self.view.members_by_id else POOL
            )
            for item in record.usage:
                self.allotments.move(item.team, donor, record.owner, item.amount)
        self.unreconciled_workers.discard(record.worker)
        if record.retired:
            self.recorded_owner_by_worker.pop(record.worker, None)
        else:
            self.recorded_owner_by_worker[record.worker] = record.owner
        self._distribute_pool()
        return ""

    def _distribute_pool(self) -> None:
        members = self.view.members_by_id
        if not members:
            return
        if all(
            recorded_owner in members
            for recorded_owner in self.recorded_owner_by_worker.values()
        ):
            self.allotments.distribute_pool(sorted(members), self.view.choose_member)

    def _apply_moved(self, record: AllotmentsMoved) -> str:
        members = self.view.members_by_id
        if record.donor not in members or record.recipient not in members:
            return "donor or recipient has left the view"
        for item in record.amounts:
            self.allotments.move(item.team, record.donor, record.recipient, item.amount)
        return ""

    # Configuration

    def _apply_configuration(self, record: ConfigurationChanged) -> str:
        version = self.configuration.version
        if record.change_id in self.result_by_change:
            return "the change was already decided"
        reason = ""
        if record.base_version != version:
            last = self.history[-1] if self.history else None
            by = f" by {last.author}: {last.text}" if last else ""
            reason = f"version {version} came first{by}"
        else:
            self.configuration = apply_change(self.configuration, record.change)
            self.history.append(
                ChangeSummary(
                    version + 1,
                    record.author,
                    record.wall,
                    describe_change(record.change),
                )
            )
            if isinstance(record.change, ClassesAndTeams):
                self.allotments.set_limits(self.configuration.teams_by_name)
                self._distribute_pool()
        self.result_by_change[record.change_id] = ChangeResult(
            not reason, self.configuration.version, reason, self.offset - 1
        )
        if len(self.result_by_change) > HISTORY_KEPT:
            self.result_by_change.popitem(last=False)
        return reason

    # Jobs

    def _apply_accepted(self, record: JobAccepted) -> str:
        job = record.spec.job
        if job in self.job_by_id or job in self.summary_by_job:
            return "the job was already accepted"
        self.job_by_id[job] = Job(record.spec, record.wall)
        return ""

    def _apply_cancelled(self, record: JobCancelled) -> str:
        job = self.job_by_id.get(record.job)
        if job is None:
            return "the job has ended"
        self._end_job(job, "cancelled", "its submitter cancelled it", 0.0)
        return ""

    def _apply_refused(self, record: JobRefused) -> str:
        job = self.job_by_id.get(record.job)
        if job is None:
            return "the job has ended"
        self._end_job(job, "refused", record.reason, 0.0)
        return ""

    def _apply_task_ended(self, record: TaskEnded) -> str:
        job = self.job_by_id.get(record.job)
        if job is None or not job.end_task(record):
            return "the task has already ended"
        if record.outcome == "answered":
            self.estimates.observe(job.spec, record.ran_s)
        if job.tasks_left == 0:
            state = "failed" if job.failed else "finished"
            reason = f"{job.failed} of its tasks failed" if job.failed else ""
            self._end_job(job, state, reason, record.wall)
        return ""

    def _end_job(self, job: Job, state: str, reason: str, wall: float) -> None:
        spec = job.spec
        del self.job_by_id[spec.job]
        self.summary_by_job[spec.job] = JobSummary(
            spec.job,
            spec.team,
            state,
            spec.tasks,
            len(job.ended),
            job.failed,
            tuple(job.result_by_index[index] for index in sorted(job.result_by_index)),
            reason,
            wall <= spec.deadline,
        )
        if len(self.summary_by_job) > SUMMARIES_KEPT:
            self.summary_by_job.popitem(last=False)

    # Non-idempotent requests

    def _apply_attempt_begun(self, record: AttemptBegun) -> str:
        key = (record.team, record.idempotency_key)
        known = self.request_by_idempotency_key.get(key)
        if known is not None and record.wall < known.begun + IDEMPOTENCY_KEY_TTL_S:
            return f"request {known.request} came first"
        self.request_by_idempotency_key[key] = KeyedRequest(record.request, record.wall)
        self.request_by_idempotency_key.move_to_end(key)
        if len(self.request_by_idempotency_key) > IDEMPOTENCY_KEYS_KEPT:
            self.request_by_idempotency_key.popitem(last=False)
        return ""

    def _apply_attempt_ended(self, record: AttemptEnded) -> str:
        known = self.request_by_idempotency_key.get(
            (record.team, record.idempotency_key)
        )
        if known is None or known.request != record.request or known.outcome:
            return "the attempt is not open"
        if record.outcome == "not_run":
            del self.request_by_idempotency_key[record.team, record.idempotency_key]
            return ""
        known.outcome = record.outcome
        known.answer = record.answer
        return ""

    # Usage peak

    def _apply_minute(self, record: MinuteUsed) -> str:
        peak = self.peak
        started = datetime.fromtimestamp(record.minute * SECONDS_PER_MINUTE, UTC)
        month = f"{started.year:04}-{started.month:02}"
        if month < peak.month:
            return "the month is over"
        if month > peak.month:
            self.peak = peak = MonthlyPeak(month)
        used = peak.used_by_minute.setdefault(record.minute, {})
        used[record.member] = record.processors
        peak.processors = max(peak.processors, sum(used.values()))
        for minute in [
            m for m in peak.used_by_minute if m < record.minute - MINUTES_KEPT
        ]:
            del peak.used_by_minute[minute]
        return ""

    def _apply_chunk(self, record: SnapshotChunk) -> str:
        left = self._chunks_left.setdefault(record.offset, set(range(record.count)))
        left.discard(record.index)
        if not left:
            del self._chunks_left[record.offset]
            self.snapshot_offset = max(self.snapshot_offset, record.offset)
        return ""
