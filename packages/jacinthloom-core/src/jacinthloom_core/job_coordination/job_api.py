"""Callers' requests about jobs: submission, cancellation and queries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..model.answers import JobAnswer, Refusal
from ..model.effects import Reply
from ..model.messages import JobAsked, JobTold
from ..model.records import JobAccepted, JobCancelled
from .explanation import explain_job

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..model.events import CancelReceived, JobQueried, RequestReceived
    from ..model.records import MemberInfo
    from ..policy.pacer import Pacer
    from ..shared_log.jobs import JobSummary
    from ..shared_log.log_writer import LogWriter
    from .admission import Admission
    from .job_coordinator import JobCoordinator

ACCEPT_TIMEOUT_S = 10.0
"""Seconds after which a submitter gets the response that acceptance is unknown."""

QUERY_TIMEOUT_S = 1.0
"""Seconds within which a job's coordinator must respond to a query."""


@dataclass(slots=True)
class _PendingCall:
    """A caller that waits until a record is read back or a peer responds.

    :param call: id of the open HTTP request
    :param expires_at: monotonic time at which it times out
    """

    call: int
    expires_at: float
    job: str = ""


class JobApi:
    """Responds to callers about jobs, from the log or from the job's coordinator."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        writer: LogWriter,
        admission: Admission,
        job_coordinator: JobCoordinator,
        pacer: Pacer,
    ) -> None:
        self._context = context
        self._membership = membership
        self._writer = writer
        self._admission = admission
        self._job_coordinator = job_coordinator
        self._pacer = pacer
        self._submit_calls_by_job: dict[str, list[_PendingCall]] = {}
        self._cancel_calls_by_job: dict[str, list[_PendingCall]] = {}
        self._query_call_by_id: dict[int, _PendingCall] = {}
        self._last_query = 0

    @property
    def is_idle(self) -> bool:
        """Whether no caller waits for a response."""
        waiting = self._submit_calls_by_job or self._cancel_calls_by_job
        return not (waiting or self._query_call_by_id)

    def on_job_submitted(self, event: RequestReceived) -> None:
        """Admit a submitted job and append it to the log."""
        context = self._context
        admitted = self._admission.admit(event.key, event.spec, self._count_open_tasks)
        if isinstance(admitted, Refusal):
            context.emit(Reply(event.call, admitted))
            return
        if not self._membership.is_log_available:
            sentence = "the platform log is unavailable"
            context.emit(Reply(event.call, Refusal("log_unavailable", sentence)))
            return
        if admitted.job in context.state.summary_by_job:
            self._reply_job(event.call, self._describe_job(admitted.job, False))
            return
        pending = _PendingCall(event.call, context.now + ACCEPT_TIMEOUT_S, admitted.job)
        self._submit_calls_by_job.setdefault(admitted.job, []).append(pending)
        if admitted.job in context.state.job_by_id:
            self.on_job_accepted(admitted.job)
            return
        self._writer.append(JobAccepted(admitted, context.wall))

    def _count_open_tasks(self, team: str) -> int:
        """Return the number of a team's tasks in the fleet that have not ended."""
        jobs = self._context.state.job_by_id.values()
        return sum(job.tasks_left for job in jobs if job.spec.team == team)

    def on_job_accepted(self, job: str) -> None:
        """Respond to the submitters of a job whose record was read back."""
        for pending in self._submit_calls_by_job.pop(job, []):
            self._reply_job(pending.call, self._describe_job(job, False))

    def on_cancel_received(self, event: CancelReceived) -> None:
        """Append the cancellation of a job to the log."""
        refusal = self._check_access(event.key, event.job)
        if refusal is not None:
            self._context.emit(Reply(event.call, refusal))
            return
        if event.job not in self._context.state.job_by_id:
            self._reply_job(event.call, self._describe_job(event.job, False))
            return
        pending = _PendingCall(
            event.call, self._context.now + ACCEPT_TIMEOUT_S, event.job
        )
        self._cancel_calls_by_job.setdefault(event.job, []).append(pending)
        self._writer.append(JobCancelled(event.job))

    def on_job_ended(self, job: str) -> None:
        """Respond to callers that cancelled a job, once it has ended."""
        for pending in self._cancel_calls_by_job.pop(job, []):
            self._reply_job(pending.call, self._describe_job(job, False))

    def _check_access(self, key: str, job: str) -> Refusal | None:
        team = self._admission.identify_team(key)
        if isinstance(team, Refusal):
            return team
        state = self._context.state
        job_state = state.job_by_id.get(job)
        summary = state.summary_by_job.get(job)
        owner = job_state.spec.team if job_state else summary.team if summary else None
        if owner != team:
            return Refusal("not_found", f"team {team} has no job {job}")
        return None

    def on_job_queried(self, event: JobQueried) -> None:
        """Return the state of a job, from its coordinator if that is another member."""
        refusal = self._check_access(event.key, event.job)
        if refusal is not None:
            self._context.emit(Reply(event.call, refusal))
            return
        coordinator = self._membership.coordinator_of(event.job)
        is_live = event.job in self._context.state.job_by_id
        if not is_live or coordinator == self._context.member:
            self._reply_job(event.call, self._describe_job(event.job, event.explain))
            return
        self._last_query += 1
        self._query_call_by_id[self._last_query] = _PendingCall(
            event.call, self._context.now + QUERY_TIMEOUT_S, event.job
        )
        info = self._membership.view.members_by_id[coordinator]
        message = JobAsked(self._last_query, event.job, event.explain)
        self._membership.send_unordered(info, message)

    def on_job_asked(self, sender: MemberInfo, message: JobAsked) -> None:
        """Respond to another member's query about a job coordinated here."""
        answer = self._describe_job(message.job, message.explain)
        self._membership.send_unordered(sender, JobTold(message.query, answer))

    def on_job_told(self, message: JobTold) -> None:
        """Forward the response of a job's coordinator to the caller."""
        pending = self._query_call_by_id.pop(message.query, None)
        if pending is not None:
            self._reply_job(pending.call, message.answer)

    def _reply_job(self, call: int, answer: JobAnswer) -> None:
        self._context.emit(Reply(call, answer))

    def _describe_job(self, job: str, explain: bool) -> JobAnswer:
        state = self._context.state
        summary = state.summary_by_job.get(job)
        if summary is not None:
            return _describe_ended(summary, explain)
        job_state = state.job_by_id.get(job)
        if job_state is None:
            return JobAnswer(job, "unknown", 0, 0, 0, 0)
        execution = self._job_coordinator.job_by_id.get(job)
        running = 0
        if execution is not None:
            attempts = execution.attempt_by_index.values()
            running = sum(item.phase == "running" for item in attempts)
        return JobAnswer(
            job,
            "running" if running else "waiting",
            job_state.spec.tasks,
            running,
            len(job_state.ended),
            job_state.failed,
            explanation=self._explain(job) if explain else "",
        )

    def _explain(self, job: str) -> str:
        return explain_job(
            self._context, self._membership, self._job_coordinator, self._pacer, job
        )

    def on_tick(self) -> None:
        """Respond to callers whose wait has timed out."""
        now = self._context.now
        self._expire_submit_calls()
        for job, calls in list(self._cancel_calls_by_job.items()):
            if now >= calls[0].expires_at:
                self.on_job_ended(job)
        for query, pending in list(self._query_call_by_id.items()):
            if now >= pending.expires_at:
                del self._query_call_by_id[query]
                self._reply_job(pending.call, self._describe_job(pending.job, False))

    def _expire_submit_calls(self) -> None:
        for job, calls in list(self._submit_calls_by_job.items()):
            if self._context.now < calls[0].expires_at:
                continue
            del self._submit_calls_by_job[job]
            sentence = f"it is unknown whether job {job} was accepted; query its state"
            for pending in calls:
                refusal = Refusal("log_unavailable", sentence, not_run=False)
                self._context.emit(Reply(pending.call, refusal))


def _describe_ended(summary: JobSummary, explain: bool) -> JobAnswer:
    detail = f": {summary.reason}" if summary.reason else ""
    if summary.state == "finished":
        detail = ", in time" if summary.met_deadline else ", after its deadline"
    return JobAnswer(
        summary.job,
        summary.state,
        summary.tasks,
        0,
        summary.ended,
        summary.failed,
        summary.results,
        f"The job ended as {summary.state}{detail}." if explain else "",
    )
