"""Submission, cancellation and completion of jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .effects import Reply
from .fleet import fits_when_empty
from .jobs import FINAL_STATES, Job, JobState, TaskState
from .records import MAX_VALUE_BYTES, encode_job
from .retry_after import compute_retry_after_s

if TYPE_CHECKING:
    from .admission import AdmissionPolicy, Refusal
    from .batches import Batch
    from .events import CancelRequested, JobSubmitted
    from .specs import JobSpec
    from .state import PlannerState

OK = 200
BAD_REQUEST = 400
GONE = 410
UNAVAILABLE = 503


MAX_OPEN_OCCURRENCES = 200
"""Maximum number of unfinished occurrences of a job: further ones are opened as earlier
ones end, however many are due."""

MAX_OPENED_TASKS = 2_000
"""Number of tasks after which the opening of due occurrences goes on with the next
tick: the planner has to renew its claim meanwhile."""

EARLY_START_S = 0.1
"""Seconds by which an occurrence may start early, well within the permitted bound."""


class Intake:
    """Accepts, refuses, cancels and completes jobs.

    An acceptance or cancellation is reported to callers once it is stored.
    """

    def __init__(self, state: PlannerState, admission: AdmissionPolicy) -> None:
        self._state = state
        self._admission = admission
        self._opened_tasks = 0
        """Tasks of the occurrences that were opened since the last tick."""

    def on_submitted(self, event: JobSubmitted) -> None:
        """Accept or refuse a job; submitting a known id again is idempotent."""
        state = self._state
        spec = event.job
        if spec.id in state.job_by_id:
            state.note("job_repeated", job=spec.id)
            self._reply_stored(spec.id, event.call)
            return
        if state.batches.is_stalled(event.now):
            self._refuse(spec.id, [event.call], event.now)
            return
        if spec.queue not in state.queue_by_name:
            self._refuse_unknown_queue(event)
            return
        job = Job(spec)
        problem = self._find_oversized_task(spec)
        if not problem and len(encode_job(job).value) > MAX_VALUE_BYTES:
            problem = "the job is too large to be stored"
        if problem:
            state.note("job_refused", job=spec.id, reason=problem)
            state.effects.append(Reply(event.call, BAD_REQUEST, problem))
            return
        promised = self._admission.take_return(spec.id, event.now)
        # A job that was refused within its share is not counted twice against it.
        was_within_share = promised is not None and not promised.is_beyond_share
        job.is_beyond_share = not was_within_share and state.shares.is_beyond(
            spec.tenant, spec.received_ms, state.rules
        )
        refusal = self._admission.check(job, promised, event.now)
        if refusal is not None:
            self._refuse_for_shortage(job, refusal, event.call)
            return
        state.job_by_id[spec.id] = job
        state.store_queue(spec.queue)
        state.batches.pending.jobs[spec.id] = job
        state.batches.pending.calls_by_job[spec.id] = [event.call]
        state.note(
            "job_accepted",
            job=spec.id,
            queue=spec.queue,
            client_account=spec.tenant,
            beyond_share=job.is_beyond_share,
            is_return=promised is not None,
            rules=state.rules.version,
        )
        self.open_job(job, event.now)

    def _refuse(self, job_id: str, calls: list[int], now: float) -> None:
        """Reply to callers that a job was refused as the store accepts no writes."""
        state = self._state
        stalled_s = now - state.batches.stalled_since
        state.note(
            "job_refused",
            job=job_id,
            reason="store accepts no writes",
            stalled_s=round(stalled_s, 2),
        )
        reason = "the store accepts no writes; the job was not accepted"
        retry_s = compute_retry_after_s(stalled_s)
        state.effects += [Reply(call, UNAVAILABLE, reason, retry_s) for call in calls]

    def _refuse_for_shortage(self, job: Job, refusal: Refusal, call: int) -> None:
        """Refuse a job that would complete too late to be of use.

        Nothing of it is stored or scheduled, so it never runs by this submission.
        """
        state, spec, forecast = self._state, job.spec, refusal.forecast
        state.counters["job_refused_for_shortage"] += 1
        state.note(
            "job_refused",
            job=spec.id,
            reason="shortage",
            queue=spec.queue,
            client_account=spec.tenant,
            beyond_share=job.is_beyond_share,
            forecast_s=round(forecast.completion_s, 2),
            limit_s=round(refusal.limit_s, 2),
            objective_s=round(forecast.objective_s, 2),
            placed_s=round(forecast.placed_s, 2),
            ahead_s=round(forecast.ahead_s, 2),
            path_s=round(forecast.path_s, 2),
            free_share=round(forecast.free_share, 2),
            is_return=refusal.is_return,
            outstanding_returns=refusal.outstanding,
            retry_after_s=refusal.retry_after_s,
        )
        reason = "the work ahead would take too long; the job was not accepted"
        state.effects.append(Reply(call, UNAVAILABLE, reason, refusal.retry_after_s))

    def _refuse_unknown_queue(self, event: JobSubmitted) -> None:
        """Refuse a job whose queue is not in any known configuration.

        The host that received the call may have a newer configuration than this
        planner, or one that only an earlier planner knew. The job would wait for a
        queue that may never be configured here.
        """
        state, spec = self._state, event.job
        reason = "the planner does not know the queue; the job was not accepted"
        state.note(
            "job_refused",
            job=spec.id,
            reason="unknown queue",
            queue=spec.queue,
            rules=state.rules.version,
        )
        retry_s = compute_retry_after_s(0.0)
        state.effects.append(Reply(event.call, UNAVAILABLE, reason, retry_s))

    def refuse_unstored(self, batch: Batch, now: float) -> None:
        """Refuse the jobs of a batch of which certainly nothing was stored.

        Their callers would otherwise wait for an unreachable store.
        """
        for job in batch.unacknowledged_jobs:
            job_id = job.spec.id
            self._state.remove_job(job)
            self._state.batches.discard_job(job_id)
            self._refuse(job_id, batch.calls_by_job.pop(job_id, []), now)

    def _reply_stored(self, job_id: str, call: int) -> None:
        """Acknowledge a known job, at once or when it is stored."""
        state = self._state
        if state.job_by_id[job_id].is_stored:
            state.effects.append(Reply(call, OK))
        else:
            batch = state.batches.find_batch(job_id)
            batch.calls_by_job.setdefault(job_id, []).append(call)

    def _find_oversized_task(self, spec: JobSpec) -> str:
        """Return why no worker is large enough for a task, or an empty string."""
        queue = self._state.queue_by_name.get(spec.queue)
        # A capacity that has shrunk may grow again, so the largest one counts.
        capacities = [
            worker.largest_capacity
            for worker in self._state.worker_by_id.values()
            if worker.entry and queue and worker.entry.service == queue.service
        ]
        if not capacities:
            return ""
        for number, step in enumerate(spec.steps):
            if not any(fits_when_empty(step.size, c, step.fills) for c in capacities):
                return f"no worker is large enough for a task of step {number}"
        return ""

    def open_job(self, job: Job, now: float) -> None:
        """Open the occurrences that are due, and schedule the others."""
        if job.spec.is_timed:
            self._state.timed_by_id[job.spec.id] = job
            self.open_due_occurrences(job, now)
            return
        self._open_next_occurrence(job)

    def open_all_due_occurrences(self, now: float) -> None:
        """Open the occurrences of all jobs that are due, in parts if there are many.

        Which job comes first changes, so that none takes all parts.
        """
        self._opened_tasks = 0
        timed = self._state.timed_by_id
        for job in list(timed.values()):
            if self._opened_tasks >= MAX_OPENED_TASKS:
                return
            if self._is_next_due(job):
                timed[job.spec.id] = timed.pop(job.spec.id)
                self.open_due_occurrences(job, now)

    def open_due_occurrences(self, job: Job, now: float) -> None:
        """Open the occurrences of a job that are due, as far as one tick may."""
        if not self._is_next_due(job):
            return
        tasks = sum(step.count for step in job.spec.steps)
        room = MAX_OPEN_OCCURRENCES - job.count_unfinished()
        while room > 0 and self._is_next_due(job):
            if self._opened_tasks >= MAX_OPENED_TASKS:
                break
            self._open_next_occurrence(job)
            self._opened_tasks += tasks
            room -= 1
        # Loaded occurrences may be done before they are due by this host's clock.
        self.check_finished(job, now)

    def _is_next_due(self, job: Job) -> bool:
        spec, index = job.spec, job.next_occurrence
        due_ms = spec.first_due_ms + index * spec.period_ms
        latest_ms = self._state.wall_ms + EARLY_START_S * 1000
        return index < spec.occurrences and due_ms <= latest_ms

    def _open_next_occurrence(self, job: Job) -> None:
        """Open the steps of the next occurrence, which may have been loaded."""
        index = job.next_occurrence
        occurrence = job.occurrences.get(index) or job.add_occurrence(index)
        job.next_occurrence += 1
        self._state.open_steps(occurrence)

    def on_cancel(self, event: CancelRequested) -> None:
        """Cancel a job; its tasks are stopped once the cancellation is stored."""
        state = self._state
        job = state.job_by_id.get(event.job)
        if job is None:
            state.effects.append(Reply(event.call, GONE))
            return
        state.note("job_cancelled", job=event.job, was=job.visible_state.value)
        if job.outcome in FINAL_STATES:
            if job.is_final_stored:
                state.effects.append(Reply(event.call, OK))
            else:
                state.batches.pending.replies.append(Reply(event.call, OK))
            return
        state.finish(job, JobState.CANCELLED, event.now)
        state.batches.pending.replies.append(Reply(event.call, OK))

    def count_waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not started."""
        return sum(
            1
            for job in self._state.job_by_id.values()
            if job.spec.queue == queue and job.outcome is None and not job.has_started
        )

    def check_finished(self, job: Job, now: float) -> None:
        """Complete a job if all its occurrences are done."""
        times = max(1, job.spec.occurrences)
        if job.next_occurrence < times:
            return
        if all(occurrence.is_done for occurrence in job.occurrences.values()):
            self._state.finish(job, JobState.COMPLETED, now)

    def stop_tasks(self, job: Job) -> None:
        """Stop the tasks of a job that is over."""
        for task in job.tasks():
            if task.worker and task.state is not TaskState.DONE:
                self._state.stop(task)
