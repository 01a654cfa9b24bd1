"""The elected planner as a state machine: it takes events and returns effects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import events
from .admission import AdmissionPolicy
from .advice import Ticket
from .backlog import Backlog
from .intake import OK, Intake
from .jobs import TaskState
from .loading import RecordLoader
from .order import LatestStartOrder
from .order_responses import OrderResponseHandler
from .past_use import note_shifted_steps
from .reconciler import RunReconciler
from .records import QUEUE_PREFIX
from .run_times import RECORD_KEY as RUN_TIMES_KEY
from .scheduler import Scheduler
from .start_dispatcher import StartDispatcher
from .state import PlannerSettings, PlannerState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .batches import Batch
    from .effects import Effect
    from .events import Event
    from .order import OrderPolicy
    from .past_use import PastUse
    from .run_times import RunTimes

STATUS_RETENTION_MARGIN_S = 60.0
"""Seconds for which final states are kept beyond the promised time."""

PASS_INTERVAL_S = 0.02
"""Minimum seconds between scheduling passes. Passes go on while a batch is in flight,
so a slow store delays neither requests for advice nor the choice of workers."""

PASS_PER_STEP_S = 0.0005
"""Seconds added for each step that a pass considered: twice what a step takes with 176
workers, so that passes leave processor time to other events."""

PASS_PER_SKIPPED_STEP_S = 0.0002
"""The same for each step that it skipped."""

PASS_PER_READY_STEP_S = 0.00001
"""The same for each step that is ready, whatever the pass does with it."""

MAX_PASS_PAUSE_S = 0.5

EXPLAIN_INTERVAL_S = 2.0
"""Seconds between log entries that explain why steps wait."""

MAX_EXPLAINED_STEPS = 10
"""Maximum number of waiting steps that are explained at a time."""

RUN_TIMES_INTERVAL_S = 1.0
"""Minimum seconds between two records of learned run times, which are a few hundred
bytes in a batch that is stored anyway."""

TICK_S = 0.05
"""Seconds between two ticks, which bounds the delay of retries and scheduled times."""


class Planner:
    """Decides where and when every task runs.

    It performs no I/O: the hosting process reports events and carries out the effects.
    """

    def __init__(
        self,
        settings: PlannerSettings,
        make_order: Callable[[RunTimes, PastUse], OrderPolicy] = LatestStartOrder,
    ) -> None:
        state = PlannerState(settings)
        self.state = state
        order = make_order(state.run_times, state.past_use)
        self._admission = AdmissionPolicy(state, Backlog(state, order))
        self._intake = Intake(state, self._admission)
        self._reconciler = RunReconciler(state, self._intake)
        self._order_responses = OrderResponseHandler(state)
        self._scheduler = Scheduler(state, order)
        self._start_dispatcher = StartDispatcher(state)
        self._pass_due = 0.0
        self._last_cleanup_at = 0.0
        self._last_explained_at = 0.0
        self._run_times_stored_at = float("-inf")
        self._handler_by_event: dict[type[Event], Callable[..., None]] = {
            events.JobSubmitted: self._intake.on_submitted,
            events.CancelRequested: self._intake.on_cancel,
            events.BatchStored: self._on_batch_stored,
            events.BatchRefused: self._on_batch_refused,
            events.RulesChanged: self._on_rules,
            events.ZonesChanged: self._on_zones,
            events.WorkerListed: self._reconciler.on_listed,
            events.WorkerUnlisted: lambda e: self._reconciler.on_unlisted(e.worker),
            events.WorkerPolled: self._reconciler.on_worker_polled,
            events.WorkerPollFailed: self._reconciler.on_worker_poll_failed,
            events.StartAnswered: self._order_responses.on_start_answered,
            events.StopAnswered: self._order_responses.on_stop_answered,
            events.AdviceGiven: self._on_advice,
            events.AdviceFailed: self._on_advice_failed,
            events.MemberJoined: lambda e: state.advice_requests.add_member(
                e.member, e.now
            ),
            events.MemberLeft: lambda e: state.advice_requests.remove_member(
                e.member, e.now
            ),
            events.Tick: self._on_tick,
            events.FlushDue: lambda e: None,
        }

    def load(self, records: dict[str, bytes], now: float, wall_ms: int) -> None:
        """Restore the jobs that earlier planners stored, in one go."""
        for _ in self.load_in_parts(records, now, wall_ms):
            pass

    def load_in_parts(
        self, records: dict[str, bytes], now: float, wall_ms: int
    ) -> Iterator[None]:
        """Restore the jobs that earlier planners stored; yields between two parts.

        No event may be handled before the last part.

        :param records: newest value of each key
        :param wall_ms: Unix time in milliseconds
        """
        loader = RecordLoader(self.state, self._intake, self._admission)
        return loader.load(records, now, wall_ms)

    def _store_run_times(self, now: float) -> None:
        run_times = self.state.run_times
        if not run_times.is_changed:
            return
        if now - self._run_times_stored_at < RUN_TIMES_INTERVAL_S:
            return
        self._run_times_stored_at = now
        self.state.batches.pending.values[RUN_TIMES_KEY] = run_times.encode()

    def clear(self) -> None:
        """Drop the jobs and workers, so that no reference cycle keeps their memory."""
        for job in self.state.job_by_id.values():
            job.clear()
        self.state.job_by_id.clear()
        self.state.worker_by_id.clear()
        self.state.ready_by_id.clear()

    def handle(self, event: Event) -> list[Effect]:
        """Process one event and return the resulting effects."""
        self.state.now = event.now
        self._handler_by_event[type(event)](event)
        self._reconciler.send_polls(event.now, isinstance(event, events.Tick))
        self._flush(event.now)
        effects = self.state.effects
        self.state.effects = []
        return effects

    def find_job_state(self, job_id: str) -> str | None:
        """Return the state of a job that callers may see, or None if it is unknown."""
        job = self.state.job_by_id.get(job_id)
        if job is None or not job.is_stored:
            return None
        return job.visible_state.value

    def count_waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not started."""
        return self._intake.count_waiting(queue)

    @property
    def next_due(self) -> float | None:
        """Time of the next scheduling pass or batch, or None if neither is needed."""
        batches = self.state.batches
        times = []
        if self.state.needs_pass:
            times.append(self._pass_due)
        if batches.in_flight is not None:
            times.append(batches.in_flight.retry_at)
        elif not batches.pending.is_empty:
            times.append(batches.flush_due)
        times = [time for time in times if time < float("inf")]
        return min(times, default=None)

    def _flush(self, now: float) -> None:
        state = self.state
        if state.needs_pass and now >= self._pass_due:
            state.needs_pass = False
            state.worker_health.update(state.worker_by_id, now)
            self._scheduler.run_pass(now)
            note_shifted_steps(state, self._scheduler.reason_by_step)
            self._pass_due = now + self._compute_pause_s()
        state.effects.extend(state.advice_requests.dispatch(now))
        batches = state.batches
        if batches.may_flush(now):
            self._store_past_use(now)
            store = batches.flush(now)
        else:
            store = batches.retry(now)
        if store is not None:
            state.effects.append(store)

    def _compute_pause_s(self) -> float:
        """Return the seconds until the next pass, by the work of the last one."""
        scheduler = self._scheduler
        pause_s = PASS_PER_STEP_S * scheduler.considered_steps
        pause_s += PASS_PER_SKIPPED_STEP_S * scheduler.skipped_steps
        pause_s += PASS_PER_READY_STEP_S * len(self.state.ready_by_id)
        return PASS_INTERVAL_S + min(pause_s, MAX_PASS_PAUSE_S)

    def _store_past_use(self, now: float) -> None:
        """Add the record of past usage to the pending batch if it is due."""
        state, pending = self.state, self.state.batches.pending
        stored = state.past_use.take_record(now, state.wall_ms, not pending.is_empty)
        if stored is not None:
            pending.past_use = stored
            accounts = len(stored.usage_by_client_account)
            state.note("past_use_stored", accounts=accounts)

    def _on_batch_refused(self, event: events.BatchRefused) -> None:
        batches = self.state.batches
        batches.on_refused(event.number, event.now)
        if batches.in_flight is not None and batches.is_stalled(event.now):
            self._intake.refuse_unstored(batches.in_flight, event.now)

    def _on_batch_stored(self, event: events.BatchStored) -> None:
        batch = self.state.batches.on_stored(event.number)
        if batch is None:
            return
        for job in batch.jobs.values():
            job.is_stored = True
        for job in batch.encoded_final_jobs.values():
            job.is_final_stored = True
            self._intake.stop_tasks(job)
        self.state.effects.extend(batch.build_acceptances(OK))
        self.state.effects.extend(batch.replies)
        self._start_dispatcher.send_starts(batch.starts, event.now)
        self._advance_cursors(batch, event.now)

    def _advance_cursors(self, batch: Batch, now: float) -> None:
        for end in batch.ends:
            worker = self.state.mark_changed(end.worker)
            if worker.incarnation == end.incarnation:
                worker.cursor = max(worker.cursor, end.number)
                worker.poll_due = min(worker.poll_due, now)

    def _on_rules(self, event: events.RulesChanged) -> None:
        if not self.state.rules.version:
            loaded = list(self.state.job_by_id.values())
            self.state.shares.classify(loaded, event.rules)
        self.state.rules = event.rules
        self.state.add_queues(event.rules.queue_by_name)
        self.state.services |= event.rules.services
        self.state.needs_pass = True
        self.state.note("rules_changed", version=event.rules.version)

    def _on_zones(self, event: events.ZonesChanged) -> None:
        self.state.zones_out = event.out
        self.state.needs_pass = True
        self.state.note("zones_out", zones=sorted(event.out))

    def _on_advice(self, event: events.AdviceGiven) -> None:
        advice_requests = self.state.advice_requests
        job = self.state.job_by_id.get(event.step.job)
        queue = self.state.queue_by_name.get(job.spec.queue) if job else None
        valid_s = queue.advice.valid_s if queue and queue.advice else 0.0
        worker_by_id = self.state.worker_by_id
        tickets = {
            name: Ticket(worker_by_id[name].incarnation, text, event.now + valid_s)
            for name, text in event.good
            if name in worker_by_id
        }
        advice_requests.on_answered(event.member, event.step, event.asked, tickets)
        self.state.needs_pass = True

    def _on_advice_failed(self, event: events.AdviceFailed) -> None:
        self.state.advice_requests.on_failed(event.member, event.step, event.now)
        self.state.note("advice_failed", step=list(event.step), member=event.member)
        self.state.needs_pass = True

    def _on_tick(self, event: events.Tick) -> None:
        state = self.state
        state.wall_ms = event.wall_ms
        state.lease_authority_until = event.lease_authority_until
        state.needs_pass = True
        state.past_use.on_tick(state, event.now)
        if state.batches.is_stalled(event.now):
            self._intake.refuse_unstored(state.batches.pending, event.now)
        self._intake.open_all_due_occurrences(event.now)
        self._reconciler.expire_leases(event.now)
        for member in state.advice_requests.expire(event.now):
            state.note("advice_expired", member=member)
        self._retry_starts(event.now)
        self._start_dispatcher.retry_withheld(event.now)
        self._explain_waiting(event.now)
        self._store_run_times(event.now)
        self._drop_expired_jobs(event.now)

    def _explain_waiting(self, now: float) -> None:
        if now - self._last_explained_at < EXPLAIN_INTERVAL_S:
            return
        self._last_explained_at = now
        reasons = self._scheduler.reason_by_step
        for step_id, reason in list(reasons.items())[:MAX_EXPLAINED_STEPS]:
            self.state.note("step_waits", step=list(step_id), reason=reason)

    def _retry_starts(self, now: float) -> None:
        state = self.state
        for task in list(state.unknown_start_by_id.values()):
            if now < task.retry_at or task.state is not TaskState.STARTING:
                continue
            worker = state.worker_by_id[task.worker]
            if worker.failed_polls or worker.incarnation != task.incarnation:
                continue
            task.retry_at = now + 1.0
            is_unwanted = task.is_stopping or task.step.occurrence.job.is_over
            is_unfit = worker.is_overcommitted or not state.is_in_service(worker)
            if is_unwanted or is_unfit:
                state.stop(task)
            else:
                self._start_dispatcher.send_start(task, now)

    def _drop_expired_jobs(self, now: float) -> None:
        if now - self._last_cleanup_at < 1.0:
            return
        self._last_cleanup_at = now
        keep_s = self.state.settings.status_s + STATUS_RETENTION_MARGIN_S
        for job_id, job in list(self.state.job_by_id.items()):
            if not job.is_final_stored or now - job.final_at <= keep_s:
                continue
            if not job.has_placements:
                del self.state.job_by_id[job_id]
                job.clear()
                self.state.batches.pending.dropped.append(job_id)
        self._drop_queues()

    def _drop_queues(self) -> None:
        """Drop the records of removed queues that have no jobs.

        The queues stay in memory because hosts with an older configuration submit jobs
        to them.
        """
        state = self.state
        removed = state.stored_queue_by_name.keys() - state.rules.queue_by_name.keys()
        if not removed:
            return
        used = {job.spec.queue for job in state.job_by_id.values()}
        for name in removed - used:
            del state.stored_queue_by_name[name]
            state.batches.pending.dropped.append(QUEUE_PREFIX + name)
