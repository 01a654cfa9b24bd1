"""Copies of the planner with one rule broken, to show that the judge can fail."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.events import StartOutcome
from jacinthloom_core.planner.jobs import TaskState
from jacinthloom_core.planner.planner import Planner

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.state import PlannerSettings

PLENTY = 1 << 30


def _starts_before_stored(planner: Any) -> None:
    """Order a start with the batch that records it, not after it."""
    flush = planner.state.batches.flush

    def early(now: float) -> Any:
        starts = list(planner.state.batches.pending.starts)
        store = flush(now)
        planner._scheduler.send_starts(starts, now)
        return store

    planner.state.batches.flush = early


def _room_not_counted(planner: Any) -> None:
    """Place tasks as if workers were empty."""
    find = planner.state.get_or_add_worker

    def find_empty(name: str) -> Any:
        worker = find(name)
        worker.free_processors = PLENTY
        worker.free_memory = PLENTY
        return worker

    planner.state.get_or_add_worker = find_empty


def _limit_not_counted(planner: Any) -> None:
    """Let client accounts run what they like."""
    planner.state.count_allowed = lambda tenant, size: PLENTY


def _lease_not_awaited(planner: Any) -> None:
    """Place the tasks of a silent worker anew at once."""
    send = planner._reconciler.send_polls

    def forget(now: float, looks_at_all: bool) -> None:
        for worker in planner.state.worker_by_id.values():
            worker.lease_until = 0.0
        send(now, looks_at_all)

    planner._reconciler.send_polls = forget


def _placements_not_loaded(planner: Any) -> None:
    """Take every task that a predecessor placed for one that waits."""
    load = planner.load

    def load_waiting(records: dict[str, bytes], now: float, wall_ms: int) -> None:
        load(records, now, wall_ms)
        for job in planner.state.job_by_id.values():
            for task in job.tasks():
                if task.worker and not job.is_over:
                    planner.state.requeue(task)

    planner.load = load_waiting


def _ends_forgotten_early(planner: Any) -> None:
    """Let workers forget ends that are not stored yet."""
    reduce = planner._reconciler._reduce_ends

    def forget(worker: Any, event: Any) -> None:
        reduce(worker, event)
        worker.cursor = worker.seen_end

    planner._reconciler._reduce_ends = forget


def _unknown_start_placed_anew(planner: Any) -> None:
    """Take a start without an answer for one that was refused."""
    reduce = planner._reconciler.on_start_answered

    def assume(event: Any) -> None:
        worker = planner.state.worker_by_id[event.worker]
        task = worker.task_by_id.get(event.task)
        is_current = task is not None and task.run == event.run
        if is_current and event.outcome is StartOutcome.UNKNOWN:
            planner.state.requeue(task)
        else:
            reduce(event)

    planner._handler_by_event[events.StartAnswered] = assume


def _order_ignored(planner: Any) -> None:
    """Open every step of an occurrence at once."""

    def open_all(occurrence: Any) -> None:
        for step in occurrence.steps:
            if not step.is_done:
                planner.state.ready_by_id.setdefault(step.id, step)

    planner.state.open_steps = open_all


def _failures_not_counted(planner: Any) -> None:
    """Start a task again however often it has failed."""
    planner._reconciler._run_end_handler._count_failure = lambda task, worker, now: None


def _cancel_ignored(planner: Any) -> None:
    """Acknowledge a cancel and go on."""

    def acknowledge(event: Any) -> None:
        planner.state.effects.append(effects.Reply(event.call, 200))

    planner._handler_by_event[events.CancelRequested] = acknowledge


def _accepted_before_stored(planner: Any) -> None:
    """Acknowledge a job before it is stored."""
    submit = planner._intake.on_submitted

    def acknowledge(event: Any) -> None:
        submit(event)
        planner.state.effects.append(effects.Reply(event.call, 200))

    planner._handler_by_event[events.JobSubmitted] = acknowledge


def _done_not_recorded(planner: Any) -> None:
    """Load tasks that are done as tasks that wait."""
    load = planner.load

    def forget(records: dict[str, bytes], now: float, wall_ms: int) -> None:
        load(records, now, wall_ms)
        for job in planner.state.job_by_id.values():
            for task in job.tasks():
                if task.state is TaskState.DONE and not job.is_over:
                    task.state = TaskState.WAITING
                    task.step.done -= 1

    planner.load = forget


def _spread_ignored(planner: Any) -> None:
    """Place as many tasks of a step on a worker as fit."""
    open_steps = planner.state.open_steps

    def forget(occurrence: Any) -> None:
        for step in occurrence.steps:
            step.spec = replace(step.spec, most_per_worker=0)
        open_steps(occurrence)

    planner.state.open_steps = forget


def _refused_jobs_stored(planner: Any) -> None:
    """Refuse the jobs of a batch, and store it all the same."""
    intake = planner._intake

    def refuse(batch: Any, now: float) -> None:
        for job in batch.unacknowledged_jobs:
            calls = batch.calls_by_job.pop(job.spec.id, [])
            intake._refuse(job.spec.id, calls, now)

    intake.refuse_unstored = refuse


def _runs_not_raised(planner: Any) -> None:
    """Give each start of a task the number 1."""
    commit = planner._scheduler._record_placement
    planner._scheduler._record_placement = lambda task, worker, run: commit(
        task, worker, 1
    )


MUTATION_BY_NAME: dict[str, Callable[[Any], None]] = {
    breaker.__name__.removeprefix("_"): breaker
    for breaker in (
        _starts_before_stored,
        _room_not_counted,
        _limit_not_counted,
        _lease_not_awaited,
        _placements_not_loaded,
        _ends_forgotten_early,
        _unknown_start_placed_anew,
        _order_ignored,
        _failures_not_counted,
        _cancel_ignored,
        _accepted_before_stored,
        _done_not_recorded,
        _spread_ignored,
        _refused_jobs_stored,
        _runs_not_raised,
    )
}
"""Ways to break a rule, by name."""


def make_mutant(name: str) -> Callable[[PlannerSettings], Planner]:
    """Return a maker of planners with one rule broken."""

    def make(settings: PlannerSettings) -> Planner:
        planner = Planner(settings)
        MUTATION_BY_NAME[name](planner)
        return planner

    return make
