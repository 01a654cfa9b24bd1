"""The reducer of the elected planner: events in, effects out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import events
from .advice import Ticket
from .fleet import CLOCK_RATE_ERROR
from .intake import OK, Intake
from .jobs import TaskState
from .order import LatestStartOrder
from .reconciler import RunReconciler
from .records import QUEUE_PREFIX, load_jobs, load_queues
from .scheduler import Scheduler
from .state import PlannerSettings, PlannerState

if TYPE_CHECKING:
    from collections.abc import Callable

    from .batches import Batch
    from .effects import Effect
    from .events import Event
    from .jobs import Task
    from .order import OrderPolicy
    from .run_times import RunTimes

STATUS_MARGIN_S = 60.0
"""Seconds beyond the promised time for which final states are kept."""

FENCE_DELAY_S = 2.5
"""Seconds for which an earlier planner may renew leases before a fence stops it."""

PASS_INTERVAL_S = 0.02
"""Seconds between two passes over the steps that wait: they go on while a batch is in
flight, so a slow store delays neither advice nor the choice of workers."""

PASS_PER_STEP_S = 0.0005
"""Seconds added for each step that a pass looked at: twice what that takes with 176
workers, so that passes leave the processor to other events."""

EXPLAIN_INTERVAL_S = 2.0
"""Seconds between two logs of what waits and why."""

EXPLAINED_STEPS = 10
"""Waiting steps that are explained each time."""

TICK_S = 0.05
"""Seconds between two ticks: bounds the delay of retries and due times."""


class Planner:
    """Decides where and when every task runs."""

    def __init__(
        self,
        settings: PlannerSettings,
        make_order: Callable[[RunTimes], OrderPolicy] = LatestStartOrder,
    ) -> None:
        books = PlannerState(settings)
        self.state = books
        self._intake = Intake(books)
        self._reconciler = RunReconciler(books, self._intake)
        self._scheduler = Scheduler(books, make_order(books.run_times))
        self._pass_due = 0.0
        self._dropped_at = 0.0
        self._explained_at = 0.0
        self._handler_by_event: dict[type[Event], Callable[..., None]] = {
            events.JobSubmitted: self._intake.on_submitted,
            events.CancelRequested: self._intake.on_cancel,
            events.BatchStored: self._on_stored,
            events.BatchRefused: self._on_refused,
            events.RulesChanged: self._on_rules,
            events.ZonesChanged: self._on_zones,
            events.WorkerListed: self._reconciler.on_listed,
            events.WorkerUnlisted: lambda e: self._reconciler.on_unlisted(e.worker),
            events.WorkerPolled: self._reconciler.on_worker_polled,
            events.WorkerPollFailed: self._reconciler.on_worker_poll_failed,
            events.StartAnswered: self._reconciler.on_start_answered,
            events.StopAnswered: self._reconciler.on_stop_answered,
            events.AdviceGiven: self._on_advice,
            events.AdviceFailed: self._on_advice_failed,
            events.MemberJoined: lambda e: books.advice_requests.add_member(
                e.member, e.now
            ),
            events.MemberLeft: lambda e: books.advice_requests.remove_member(
                e.member, e.now
            ),
            events.Tick: self._on_tick,
            events.FlushDue: lambda e: None,
        }

    def load(self, records: dict[str, bytes], now: float, wall_ms: int) -> None:
        """Rebuild the jobs that earlier planners stored.

        :param records: newest value of each key
        """
        books = self.state
        books.wall_ms = wall_ms
        books.job_by_id, unreadable = load_jobs(records, now)
        queues, unreadable_queues = load_queues(records)
        books.queue_by_name.update(queues)
        books.stored_queue_by_name.update(queues)
        for job in books.job_by_id.values():
            for task in job.tasks():
                if task.worker:
                    self._load_placement(task, now)
            if job.is_over:
                continue
            self._intake.open(job)
            for occurrence in job.occurrences.values():
                books.open_steps(occurrence)
            self._intake.check_finished(job, now)
        books.note(
            "jobs_loaded",
            jobs=len(books.job_by_id),
            unreadable_records=unreadable + unreadable_queues,
        )

    def _load_placement(self, task: Task, now: float) -> None:
        """Count a task that an earlier planner placed, until its worker says more."""
        books = self.state
        longest_lease = books.settings.lease_s / (1 - CLOCK_RATE_ERROR)
        worker = books.get_or_add_worker(task.worker)
        worker.lease_until = now + FENCE_DELAY_S + longest_lease
        life = task.incarnation
        books.place(task, worker)
        task.incarnation = life
        task.barred_at = float("-inf")  # the new token bars older orders

    def handle(self, event: Event) -> list[Effect]:
        """Reduce one event and return what is to be done."""
        self._handler_by_event[type(event)](event)
        self._reconciler.send_polls(event.now, isinstance(event, events.Tick))
        self._flush(event.now)
        effects = self.state.effects
        self.state.effects = []
        return effects

    def find_job_state(self, job_id: str) -> str | None:
        """Return the state of a job that may be told, or None if it is unknown."""
        job = self.state.job_by_id.get(job_id)
        if job is None or not job.is_stored:
            return None
        return job.shown.value

    def count_waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return self._intake.count_waiting(queue)

    @property
    def next_due(self) -> float | None:
        """Time of the next pass or batch, or None if there is nothing to do."""
        ledger = self.state.batches
        times = []
        if self.state.needs_pass:
            times.append(self._pass_due)
        if ledger.in_flight is not None:
            times.append(ledger.in_flight.retry_at)
        elif not ledger.pending.is_empty:
            times.append(ledger.flush_due)
        times = [time for time in times if time < float("inf")]
        return min(times, default=None)

    def _flush(self, now: float) -> None:
        books = self.state
        if books.needs_pass and now >= self._pass_due:
            books.needs_pass = False
            self._scheduler.run(now)
            pause_s = PASS_INTERVAL_S + PASS_PER_STEP_S * self._scheduler.served
            self._pass_due = now + pause_s
        books.effects.extend(books.advice_requests.dispatch(now))
        ledger = books.batches
        store = ledger.flush(now) if ledger.may_flush(now) else ledger.repeat(now)
        if store is not None:
            books.effects.append(store)

    def _on_refused(self, event: events.BatchRefused) -> None:
        ledger = self.state.batches
        ledger.on_refused(event.number, event.now)
        if ledger.in_flight is not None and ledger.is_stalled(event.now):
            self._intake.refuse_unstored(ledger.in_flight, event.now)

    def _on_stored(self, event: events.BatchStored) -> None:
        batch = self.state.batches.on_stored(event.number)
        if batch is None:
            return
        for job in batch.jobs.values():
            job.is_stored = True
            if job.is_over:
                job.is_final_stored = True
                self._intake.stop_tasks(job)
        self.state.effects.extend(batch.accept(OK))
        self.state.effects.extend(batch.replies)
        self._scheduler.send_starts(batch.starts, event.now)
        self._forget_ends(batch, event.now)

    def _forget_ends(self, batch: Batch, now: float) -> None:
        for end in batch.ends:
            worker = self.state.mark_changed(end.worker)
            if worker.incarnation == end.incarnation:
                worker.cursor = max(worker.cursor, end.number)
                worker.poll_due = min(worker.poll_due, now)

    def _on_rules(self, event: events.RulesChanged) -> None:
        self.state.rules = event.rules
        self.state.queue_by_name.update(event.rules.queue_by_name)
        self.state.needs_pass = True
        self.state.note("rules_changed", version=event.rules.version)

    def _on_zones(self, event: events.ZonesChanged) -> None:
        self.state.zones_out = event.out
        self.state.needs_pass = True
        self.state.note("zones_out", zones=sorted(event.out))

    def _on_advice(self, event: events.AdviceGiven) -> None:
        desk = self.state.advice_requests
        job = self.state.job_by_id.get(event.step.job)
        queue = self.state.queue_by_name.get(job.spec.queue) if job else None
        valid_s = queue.advice.valid_s if queue and queue.advice else 0.0
        tickets = {
            name: Ticket(
                self.state.get_or_add_worker(name).incarnation,
                text,
                event.now + valid_s,
            )
            for name, text in event.good
        }
        desk.on_given(event.member, event.step, event.asked, tickets)
        self.state.needs_pass = True

    def _on_advice_failed(self, event: events.AdviceFailed) -> None:
        self.state.advice_requests.on_failed(event.member, event.step, event.now)
        self.state.note("advice_failed", step=list(event.step), member=event.member)
        self.state.needs_pass = True

    def _on_tick(self, event: events.Tick) -> None:
        books = self.state
        books.wall_ms = event.wall_ms
        books.needs_pass = True
        if books.batches.is_stalled(event.now):
            self._intake.refuse_unstored(books.batches.pending, event.now)
        for job in list(books.timed_by_id.values()):
            self._intake.open_due(job)
        self._reconciler.expire_leases(event.now)
        for member in books.advice_requests.expire(event.now):
            books.note("advice_expired", member=member)
        self._repeat_starts(event.now)
        self._explain_waiting(event.now)
        self._drop_old(event.now)

    def _explain_waiting(self, now: float) -> None:
        if now - self._explained_at < EXPLAIN_INTERVAL_S:
            return
        self._explained_at = now
        reasons = self._scheduler.reason_by_step
        for step_id, reason in list(reasons.items())[:EXPLAINED_STEPS]:
            self.state.note("step_waits", step=list(step_id), reason=reason)

    def _repeat_starts(self, now: float) -> None:
        for task in list(self.state.unsure.values()):
            if now < task.retry_at or task.state is not TaskState.STARTING:
                continue
            worker = self.state.worker_by_id[task.worker]
            if worker.failed_polls or worker.incarnation != task.incarnation:
                continue
            task.retry_at = now + 1.0
            if task.is_stopping or task.step.occurrence.job.is_over:
                self.state.stop(task)
            else:
                self._scheduler.order_start(task, now)

    def _drop_old(self, now: float) -> None:
        if now - self._dropped_at < 1.0:
            return
        self._dropped_at = now
        keep_s = self.state.settings.status_s + STATUS_MARGIN_S
        for job_id, job in list(self.state.job_by_id.items()):
            if not job.is_final_stored or now - job.final_at <= keep_s:
                continue
            if not job.has_placements:
                del self.state.job_by_id[job_id]
                self.state.batches.pending.dropped.append(job_id)
        self._drop_queues()

    def _drop_queues(self) -> None:
        """Drop the records of queues that are not configured any more and have no jobs.

        They stay in memory: hosts that are behind still submit to them.
        """
        books = self.state
        gone = books.stored_queue_by_name.keys() - books.rules.queue_by_name.keys()
        if not gone:
            return
        used = {job.spec.queue for job in books.job_by_id.values()}
        for name in gone - used:
            del books.stored_queue_by_name[name]
            books.batches.pending.dropped.append(QUEUE_PREFIX + name)
