"""Callers' jobs: acceptance, cancellation, questions."""

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
"""Seconds until a submitter is told that acceptance is unknown."""

QUERY_TIMEOUT_S = 1.0
"""Seconds that a job's home has to answer a question."""


@dataclass(slots=True)
class _PendingCall:
    """A caller that waits for a record to be read back or a peer to answer."""

    call: int
    until: float
    job: str = ""


class JobApi:
    """Answer callers about jobs once the log or the job's home has spoken."""

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
        self._accepting_by_job: dict[str, list[_PendingCall]] = {}
        self._cancelling_by_job: dict[str, list[_PendingCall]] = {}
        self._query_by_id: dict[int, _PendingCall] = {}
        self._last_query = 0

    @property
    def is_idle(self) -> bool:
        """Whether no caller waits."""
        waiting = self._accepting_by_job or self._cancelling_by_job
        return not (waiting or self._query_by_id)

    def on_job_submitted(self, event: RequestReceived) -> None:
        """Admit a job and append it."""
        context = self._context
        admitted = self._admission.admit(event.key, event.spec, self._count_waiting)
        if isinstance(admitted, Refusal):
            context.emit(Reply(event.call, admitted))
            return
        if not self._membership.log_is_up:
            sentence = "the platform log can't be read now"
            context.emit(Reply(event.call, Refusal("log_unavailable", sentence)))
            return
        if admitted.job in context.state.summary_by_job:
            self._reply_job(event.call, self._describe_job(admitted.job, False))
            return
        pending = _PendingCall(event.call, context.now + ACCEPT_TIMEOUT_S, admitted.job)
        self._accepting_by_job.setdefault(admitted.job, []).append(pending)
        if admitted.job in context.state.job_by_id:
            self.on_job_accepted(admitted.job)
            return
        self._writer.append(JobAccepted(admitted, context.wall))

    def _count_waiting(self, team: str) -> int:
        """Return the tasks of a team that have not ended, in the whole fleet."""
        jobs = self._context.state.job_by_id.values()
        return sum(job.tasks_left for job in jobs if job.spec.team == team)

    def on_job_accepted(self, job: str) -> None:
        """Tell submitters that a job was read back."""
        for pending in self._accepting_by_job.pop(job, []):
            self._reply_job(pending.call, self._describe_job(job, False))

    def on_cancel_received(self, event: CancelReceived) -> None:
        """Append a cancellation."""
        refusal = self._find_refusal(event.key, event.job)
        if refusal is not None:
            self._context.emit(Reply(event.call, refusal))
            return
        if event.job not in self._context.state.job_by_id:
            self._reply_job(event.call, self._describe_job(event.job, False))
            return
        pending = _PendingCall(
            event.call, self._context.now + ACCEPT_TIMEOUT_S, event.job
        )
        self._cancelling_by_job.setdefault(event.job, []).append(pending)
        self._writer.append(JobCancelled(event.job))

    def on_job_ended(self, job: str) -> None:
        """Tell cancellers that the job has ended."""
        for pending in self._cancelling_by_job.pop(job, []):
            self._reply_job(pending.call, self._describe_job(job, False))

    def _find_refusal(self, key: str, job: str) -> Refusal | None:
        team = self._admission.identify(key)
        if isinstance(team, Refusal):
            return team
        state = self._context.state
        live = state.job_by_id.get(job)
        summary = state.summary_by_job.get(job)
        owner = live.spec.team if live else summary.team if summary else None
        if owner != team:
            return Refusal("not_found", f"team {team} has no job {job}")
        return None

    def on_job_queried(self, event: JobQueried) -> None:
        """Answer about a job, asking its home if that is another member."""
        refusal = self._find_refusal(event.key, event.job)
        if refusal is not None:
            self._context.emit(Reply(event.call, refusal))
            return
        home = self._membership.home_of(event.job)
        live = event.job in self._context.state.job_by_id
        if not live or home == self._context.member:
            self._reply_job(event.call, self._describe_job(event.job, event.explain))
            return
        self._last_query += 1
        self._query_by_id[self._last_query] = _PendingCall(
            event.call, self._context.now + QUERY_TIMEOUT_S, event.job
        )
        info = self._membership.view.members_by_id[home]
        message = JobAsked(self._last_query, event.job, event.explain)
        self._membership.send_unordered(info, message)

    def on_job_asked(self, sender: MemberInfo, message: JobAsked) -> None:
        """Answer another member about a job whose home is here."""
        answer = self._describe_job(message.job, message.explain)
        self._membership.send_unordered(sender, JobTold(message.query, answer))

    def on_job_told(self, message: JobTold) -> None:
        """Pass on what a job's home said."""
        pending = self._query_by_id.pop(message.query, None)
        if pending is not None:
            self._reply_job(pending.call, message.answer)

    def _reply_job(self, call: int, answer: JobAnswer) -> None:
        self._context.emit(Reply(call, answer))

    def _describe_job(self, job: str, explain: bool) -> JobAnswer:
        state = self._context.state
        summary = state.summary_by_job.get(job)
        if summary is not None:
            return _describe_ended(summary, explain)
        live = state.job_by_id.get(job)
        if live is None:
            return JobAnswer(job, "unknown", 0, 0, 0, 0)
        home = self._job_coordinator.job_by_id.get(job)
        running = 0
        if home is not None:
            placed = home.placed_by_index.values()
            running = sum(item.phase == "running" for item in placed)
        return JobAnswer(
            job,
            "running" if running else "waiting",
            live.spec.tasks,
            running,
            len(live.ended),
            live.failed,
            explanation=self._explain(job) if explain else "",
        )

    def _explain(self, job: str) -> str:
        return explain_job(
            self._context, self._membership, self._job_coordinator, self._pacer, job
        )

    def on_tick(self) -> None:
        """Answer those who have waited too long."""
        now = self._context.now
        self._expire_accepting()
        for job, calls in list(self._cancelling_by_job.items()):
            if now >= calls[0].until:
                self.on_job_ended(job)
        for query, asked in list(self._query_by_id.items()):
            if now >= asked.until:
                del self._query_by_id[query]
                self._reply_job(asked.call, self._describe_job(asked.job, False))

    def _expire_accepting(self) -> None:
        for job, calls in list(self._accepting_by_job.items()):
            if self._context.now < calls[0].until:
                continue
            del self._accepting_by_job[job]
            sentence = f"whether job {job} was accepted is not known yet; ask for it"
            for pending in calls:
                refusal = Refusal("log_unavailable", sentence, not_run=False)
                self._context.emit(Reply(pending.call, refusal))


def _describe_ended(summary: JobSummary, explain: bool) -> JobAnswer:
    because = f": {summary.reason}" if summary.reason else ""
    if summary.state == "finished":
        because = ", in time" if summary.met_deadline else ", after its deadline"
    return JobAnswer(
        summary.job,
        summary.state,
        summary.tasks,
        0,
        summary.ended,
        summary.failed,
        summary.results,
        f"The job ended as {summary.state}{because}." if explain else "",
    )
