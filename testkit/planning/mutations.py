"""Mutants of the planner, each with one fault that the rule checker must detect."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.events import StartOutcome
from jacinthloom_core.planner.jobs import TaskState
from jacinthloom_core.planner.planner import TICK_S, Planner

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.state import PlannerSettings

UNLIMITED = 1 << 30
"""Processors or memory beyond what any scenario uses."""


def _starts_sent_before_stored(planner: Any) -> None:
    """Send a start together with the batch that records it, not once it is stored."""
    flush = planner.state.batches.flush

    def flush_and_start(now: float) -> Any:
        starts = list(planner.state.batches.pending.starts)
        batch = flush(now)
        planner._start_dispatcher.send_starts(starts, now)
        return batch

    planner.state.batches.flush = flush_and_start


def _reservations_not_counted(planner: Any) -> None:
    """Place tasks as if no worker had any capacity in use."""
    get_or_add = planner.state.get_or_add_worker

    def get_empty(name: str) -> Any:
        worker = get_or_add(name)
        worker.free_processors = UNLIMITED
        worker.free_memory = UNLIMITED
        return worker

    planner.state.get_or_add_worker = get_empty


def _limit_not_counted(planner: Any) -> None:
    """Ignore the limits of client accounts."""
    planner.state.count_allowed = lambda client_account, size: UNLIMITED


def _lease_expiry_not_awaited(planner: Any) -> None:
    """Place the tasks of a silent worker again before its lease has expired."""
    send_polls = planner._reconciler.send_polls

    def expire_leases_and_send(now: float, looks_at_all: bool) -> None:
        for worker in planner.state.worker_by_id.values():
            worker.lease_until = 0.0
        send_polls(now, looks_at_all)

    planner._reconciler.send_polls = expire_leases_and_send


def _placements_not_loaded(planner: Any) -> None:
    """Load every task that an earlier planner placed as one that is waiting."""
    load = planner.load

    def load_waiting(records: dict[str, bytes], now: float, wall_ms: int) -> None:
        load(records, now, wall_ms)
        for job in planner.state.job_by_id.values():
            for task in job.tasks():
                if task.worker and not job.is_over:
                    planner.state.requeue(task)

    planner.load = load_waiting


def _ends_acknowledged_before_stored(planner: Any) -> None:
    """Acknowledge ends of runs to workers before they are stored."""
    reduce_ends = planner._reconciler._reduce_ends

    def reduce_and_acknowledge(worker: Any, event: Any) -> None:
        reduce_ends(worker, event)
        worker.cursor = worker.seen_end

    planner._reconciler._reduce_ends = reduce_and_acknowledge


def _unknown_start_placed_again(planner: Any) -> None:
    """Treat a start whose outcome is unknown as one that was refused."""
    on_start_answered = planner._order_responses.on_start_answered

    def handle_as_refused(event: Any) -> None:
        worker = planner.state.worker_by_id[event.worker]
        task = worker.task_by_id.get(event.task)
        is_current = task is not None and task.run == event.run
        if is_current and event.outcome is StartOutcome.UNKNOWN:
            planner.state.requeue(task)
        else:
            on_start_answered(event)

    planner._handler_by_event[events.StartAnswered] = handle_as_refused


def _step_dependencies_ignored(planner: Any) -> None:
    """Make every step of an occurrence ready at once."""

    def open_all_steps(occurrence: Any) -> None:
        for step in occurrence.steps:
            if not step.is_done:
                planner.state.ready_by_id.setdefault(step.id, step)

    planner.state.open_steps = open_all_steps


def _failures_not_counted(planner: Any) -> None:
    """Start a task again regardless of how often it has failed."""
    planner._reconciler._run_end_handler._count_failure = lambda task, worker, now: None


def _cancel_ignored(planner: Any) -> None:
    """Acknowledge a cancel request without cancelling the job."""

    def acknowledge(event: Any) -> None:
        planner.state.effects.append(effects.Reply(event.call, 200))

    planner._handler_by_event[events.CancelRequested] = acknowledge


def _accepted_before_stored(planner: Any) -> None:
    """Acknowledge a job before it is stored."""
    on_submitted = planner._intake.on_submitted

    def acknowledge(event: Any) -> None:
        on_submitted(event)
        planner.state.effects.append(effects.Reply(event.call, 200))

    planner._handler_by_event[events.JobSubmitted] = acknowledge


def _done_tasks_not_loaded(planner: Any) -> None:
    """Load tasks that are done as tasks that are waiting."""
    load = planner.load

    def load_done_as_waiting(
        records: dict[str, bytes], now: float, wall_ms: int
    ) -> None:
        load(records, now, wall_ms)
        for job in planner.state.job_by_id.values():
            for task in job.tasks():
                if task.state is TaskState.DONE and not job.is_over:
                    task.state = TaskState.WAITING
                    task.step.done -= 1

    planner.load = load_done_as_waiting


def _spread_ignored(planner: Any) -> None:
    """Ignore the limit on tasks of a step per worker."""
    open_steps = planner.state.open_steps

    def remove_limit_and_open(occurrence: Any) -> None:
        for step in occurrence.steps:
            step.spec = replace(step.spec, most_per_worker=0)
        open_steps(occurrence)

    planner.state.open_steps = remove_limit_and_open


def _refused_jobs_stored(planner: Any) -> None:
    """Refuse the jobs of a batch, but keep their records in it."""
    intake = planner._intake

    def refuse(batch: Any, now: float) -> None:
        for job in batch.unacknowledged_jobs:
            calls = batch.calls_by_job.pop(job.spec.id, [])
            intake._refuse(job.spec.id, calls, now)

    intake.refuse_unstored = refuse


def _withheld_starts_placed_again(planner: Any) -> None:
    """Send withheld starts, and place their tasks again as well."""

    def send_and_requeue(now: float) -> None:
        for task in list(planner.state.withheld_start_by_id.values()):
            planner._start_dispatcher.send_start(task, now)
            planner.state.requeue(task)

    planner._start_dispatcher.retry_withheld = send_and_requeue


def _run_numbers_not_increased(planner: Any) -> None:
    """Give each run of a task the number 1."""
    record_placement = planner._scheduler._record_placement
    planner._scheduler._record_placement = lambda task, worker, run: record_placement(
        task, worker, 1
    )


def _leases_renewed_without_authority(planner: Any) -> None:
    """Renew leases for as long as the planner lives."""

    def tick_with_authority(event: Any) -> None:
        planner._on_tick(replace(event, lease_authority_until=float("inf")))

    planner._handler_by_event[events.Tick] = tick_with_authority


def _predecessor_not_awaited(planner: Any) -> None:
    """Count on the earlier planner to renew no leases once this one is elected."""
    planner.state.settings = replace(planner.state.settings, predecessor_s=0.0)


def _authority_measured_by_ticks(planner: Any) -> None:
    """Let the authority over leases stand still while the planner is frozen."""
    last_tick_at = float("inf")
    frozen_s = 0.0

    def tick_by_frozen_clock(event: Any) -> None:
        nonlocal last_tick_at, frozen_s
        frozen_s += max(0.0, event.now - last_tick_at - 2 * TICK_S)
        last_tick_at = event.now
        until = event.lease_authority_until + frozen_s
        planner._on_tick(replace(event, lease_authority_until=until))

    planner._handler_by_event[events.Tick] = tick_by_frozen_clock


def _orders_for_any_incarnation(planner: Any) -> None:
    """Send orders without the incarnation that they are meant for."""
    handle = planner.handle

    def handle_and_unbind(event: Any) -> Any:
        return [
            replace(effect, incarnation=0)
            if isinstance(effect, effects.Start | effects.PollWorker)
            else effect
            for effect in handle(event)
        ]

    planner.handle = handle_and_unbind


def _final_states_taken_as_stored(planner: Any) -> None:
    """Take the final state of a job as stored with any batch that has the job.

    The batch may have been encoded before the job ended.
    """
    on_stored = planner.state.batches.on_stored

    def take_all_as_encoded(number: int) -> Any:
        batch = on_stored(number)
        if batch is not None:
            batch.encoded_final_jobs = {
                job_id: job for job_id, job in batch.jobs.items() if job.is_over
            }
        return batch

    planner.state.batches.on_stored = take_all_as_encoded


def _cancels_answered_at_once(planner: Any) -> None:
    """Acknowledge a cancel before the final state of the job is stored."""
    on_cancel = planner._intake.on_cancel

    def acknowledge(event: Any) -> None:
        on_cancel(event)
        planner.state.effects.append(effects.Reply(event.call, 200))

    planner._handler_by_event[events.CancelRequested] = acknowledge


MUTATION_BY_NAME: dict[str, Callable[[Any], None]] = {
    mutation.__name__.removeprefix("_"): mutation
    for mutation in (
        _starts_sent_before_stored,
        _reservations_not_counted,
        _limit_not_counted,
        _lease_expiry_not_awaited,
        _placements_not_loaded,
        _ends_acknowledged_before_stored,
        _unknown_start_placed_again,
        _step_dependencies_ignored,
        _failures_not_counted,
        _cancel_ignored,
        _accepted_before_stored,
        _done_tasks_not_loaded,
        _spread_ignored,
        _refused_jobs_stored,
        _run_numbers_not_increased,
        _withheld_starts_placed_again,
    )
}
"""Functions that put one fault into a planner, by name."""

AUTHORITY_MUTATION_BY_NAME: dict[str, Callable[[Any], None]] = {
    mutation.__name__.removeprefix("_"): mutation
    for mutation in (
        _leases_renewed_without_authority,
        _predecessor_not_awaited,
        _authority_measured_by_ticks,
    )
}
"""Like ``MUTATION_BY_NAME``: faults that show only while two planners are alive."""

RECIPIENT_MUTATION_BY_NAME: dict[str, Callable[[Any], None]] = {
    "orders_for_any_incarnation": _orders_for_any_incarnation
}
"""Like ``MUTATION_BY_NAME``: faults that show only where workers restart."""


ACKNOWLEDGEMENT_MUTATION_BY_NAME: dict[str, Callable[[Any], None]] = {
    mutation.__name__.removeprefix("_"): mutation
    for mutation in (
        _final_states_taken_as_stored,
        _cancels_answered_at_once,
        _accepted_before_stored,
        _ends_acknowledged_before_stored,
        _starts_sent_before_stored,
    )
}
"""Faults by which callers or workers are told what is not stored."""


def make_mutant(name: str) -> Callable[[PlannerSettings], Planner]:
    """Return a factory of planners with the named fault."""
    mutation_by_name = (
        MUTATION_BY_NAME
        | AUTHORITY_MUTATION_BY_NAME
        | RECIPIENT_MUTATION_BY_NAME
        | ACKNOWLEDGEMENT_MUTATION_BY_NAME
    )
    mutate = mutation_by_name[name]

    def make(settings: PlannerSettings) -> Planner:
        planner = Planner(settings)
        mutate(planner)
        return planner

    return make
