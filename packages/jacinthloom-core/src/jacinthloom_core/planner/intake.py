"""Jobs handed in, cancelled and asked about."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .effects import Reply
from .fleet import fits_when_empty
from .jobs import FINAL_STATES, Job, JobState, TaskState
from .retry_after import compute_retry_after_s

if TYPE_CHECKING:
    from .batches import Batch
    from .events import CancelRequested, JobSubmitted
    from .specs import JobSpec
    from .state import PlannerState

OK = 200
BAD_REQUEST = 400
GONE = 410
UNAVAILABLE = 503


EARLY_S = 0.1
"""Seconds by which an occurrence may start before its time: well within the bound."""


class Intake:
    """Decides which jobs are accepted, and answers once that is stored."""

    def __init__(self, books: PlannerState) -> None:
        self._books = books

    def on_submitted(self, event: JobSubmitted) -> None:
        """Accept a job, or refuse it; a known id remains one job."""
        books = self._books
        spec = event.job
        if spec.id in books.job_by_id:
            books.note("job_repeated", job=spec.id)
            self._reply_stored(spec.id, event.call)
            return
        if books.batches.is_stalled(event.now):
            self._refuse(spec.id, [event.call], event.now)
            return
        if spec.queue not in books.queue_by_name:
            self._refuse_unknown_queue(event)
            return
        problem = self._find_misfit(spec)
        if problem:
            books.note("job_refused", job=spec.id, reason=problem)
            books.effects.append(Reply(event.call, BAD_REQUEST, problem))
            return
        job = Job(spec)
        books.job_by_id[spec.id] = job
        books.keep_queue(spec.queue)
        books.batches.pending.jobs[spec.id] = job
        books.batches.pending.calls_by_job[spec.id] = [event.call]
        books.note(
            "job_accepted", job=spec.id, queue=spec.queue, rules=books.rules.version
        )
        self.open(job)

    def _refuse(self, job_id: str, calls: list[int], now: float) -> None:
        """Tell callers that a job was not accepted since the store is out of reach."""
        books = self._books
        stalled_s = now - books.batches.stalled_since
        books.note(
            "job_refused",
            job=job_id,
            reason="store unreachable",
            stalled_s=round(stalled_s, 2),
        )
        reason = "the store can't be written; the job was not accepted"
        retry_s = compute_retry_after_s(stalled_s)
        books.effects += [Reply(call, UNAVAILABLE, reason, retry_s) for call in calls]

    def _refuse_unknown_queue(self, event: JobSubmitted) -> None:
        """Refuse a job for a queue of a configuration that is not known here.

        Its host may be ahead of this one, or behind its predecessor: the job would wait
        for a queue that may never come.
        """
        books, spec = self._books, event.job
        reason = "the planner does not know the queue; the job was not accepted"
        books.note(
            "job_refused",
            job=spec.id,
            reason="unknown queue",
            queue=spec.queue,
            rules=books.rules.version,
        )
        retry_s = compute_retry_after_s(0.0)
        books.effects.append(Reply(event.call, UNAVAILABLE, reason, retry_s))

    def refuse_unstored(self, batch: Batch, now: float) -> None:
        """Refuse the jobs of a batch of which for certain nothing was stored.

        Their callers would otherwise wait for a store that is out of reach.
        """
        for job in batch.unacknowledged_jobs:
            job_id = job.spec.id
            self._books.forget_job(job)
            self._books.batches.forget(job_id)
            self._refuse(job_id, batch.calls_by_job.pop(job_id, []), now)

    def _reply_stored(self, job_id: str, call: int) -> None:
        books = self._books
        if books.job_by_id[job_id].is_stored:
            books.effects.append(Reply(call, OK))
        else:
            batch = books.batches.find_batch(job_id)
            batch.calls_by_job.setdefault(job_id, []).append(call)

    def _find_misfit(self, spec: JobSpec) -> str:
        queue = self._books.queue_by_name.get(spec.queue)
        entries = [
            worker.entry
            for worker in self._books.worker_by_id.values()
            if worker.entry and queue and worker.entry.service == queue.service
        ]
        if not entries:
            return ""
        for number, step in enumerate(spec.steps):
            if not any(fits_when_empty(step.size, e, step.fills) for e in entries):
                return f"no worker is large enough for a task of step {number}"
        return ""

    def open(self, job: Job) -> None:
        """Create what may start now, or wait for the times of occurrences."""
        if job.spec.is_timed:
            self._books.timed_by_id[job.spec.id] = job
            self.open_due(job)
            return
        occurrence = job.occurrences.get(0) or job.add_occurrence(0)
        self._books.open_steps(occurrence)

    def open_due(self, job: Job) -> None:
        """Create the occurrences whose time has come."""
        spec = job.spec
        while job.created < spec.occurrences:
            due_ms = spec.first_due_ms + job.created * spec.period_ms
            if due_ms > self._books.wall_ms + EARLY_S * 1000:
                return
            self._books.open_steps(job.add_occurrence(job.created))

    def on_cancel(self, event: CancelRequested) -> None:
        """Cancel a job; what runs is stopped once that is stored."""
        books = self._books
        job = books.job_by_id.get(event.job)
        if job is None:
            books.effects.append(Reply(event.call, GONE))
            return
        books.note("job_cancelled", job=event.job, was=job.shown.value)
        if job.outcome in FINAL_STATES:
            if job.is_final_stored:
                books.effects.append(Reply(event.call, OK))
            else:
                books.batches.pending.replies.append(Reply(event.call, OK))
            return
        books.finish(job, JobState.CANCELLED, event.now)
        books.batches.pending.replies.append(Reply(event.call, OK))

    def count_waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            1
            for job in self._books.job_by_id.values()
            if job.spec.queue == queue and job.outcome is None and not job.has_started
        )

    def check_finished(self, job: Job, now: float) -> None:
        """Complete a job whose occurrences are all done."""
        times = max(1, job.spec.occurrences)
        if job.created < times:
            return
        if all(occurrence.is_done for occurrence in job.occurrences.values()):
            self._books.finish(job, JobState.COMPLETED, now)

    def stop_tasks(self, job: Job) -> None:
        """Stop every run of a job that is over."""
        for task in job.tasks():
            if task.worker and task.state is not TaskState.DONE:
                self._books.stop(task)
