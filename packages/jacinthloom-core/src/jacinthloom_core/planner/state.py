"""State of the planner, with the operations that keep it consistent."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .advice import AdviceRequests
from .backlog import PlacedWork
from .batches import BatchQueue
from .effects import Note, Stop
from .fleet import Worker, WorkerLoss
from .jobs import (
    FINAL_STATES,
    JobState,
    TaskState,
    find_ready_steps,
    find_steps_made_ready,
)
from .lease_authority import KNOWN_PREDECESSOR_S
from .past_use import PastUse
from .preemption import CheckpointCosts
from .rules import Rules
from .run_times import RunTimes
from .shares import SubmissionShares
from .speed import WorkerSpeeds
from .worker_health import WorkerHealth

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..model.resources import Resources
    from .effects import Effect
    from .jobs import Job, Occurrence, StepRun, Task
    from .rules import Queue
    from .specs import StepId, TaskId

TOKENS_PER_TERM = 256
"""Fencing tokens of one planner for one worker; each incarnation it sees takes one."""


LOSS_MEMORY_S = 20.0
"""Seconds for which the loss of a worker is kept, to compare others with it: longer
than the leases, after which its tasks are requeued."""


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings of the planner of one term.

    :param term: number of the term, which rises with each election
    :param lease_s: seconds for which tasks go on running without contact with a planner
    :param status_s: seconds for which the final state of a job is kept
    :param longest_lease_s: longest lease that a worker grants, in seconds
    :param predecessor_s: seconds after the load for which an earlier planner may renew
        leases
    :param checkpoint_costs: what a preemption costs; without them, nothing is preempted
    :param past_use_half_life_s: half-life of the past usage of client accounts, in
        seconds; 0 if it has no effect
    """

    term: int
    lease_s: float
    status_s: float
    longest_lease_s: float = 10.0
    predecessor_s: float = KNOWN_PREDECESSOR_S
    checkpoint_costs: CheckpointCosts = field(default_factory=CheckpointCosts)
    past_use_half_life_s: float = 0.0


class PlannerState:
    """State of the planner."""

    def __init__(self, settings: PlannerSettings) -> None:
        self.settings = settings
        self.rules = Rules()
        self.queue_by_name: dict[str, Queue] = {}
        """Queues of this and earlier configurations: jobs may outlive their queue."""
        self.stored_queue_by_name: dict[str, Queue] = {}
        self.services: set[str] = set()
        """Pools of this and earlier configurations; entries of others name no worker
        to use."""
        self.zones_out: frozenset[str] = frozenset()
        self.job_by_id: dict[str, Job] = {}
        self.worker_by_id: dict[str, Worker] = {}
        self.changed_workers: dict[str, Worker] = {}
        """Workers that the current event concerns, whose next poll may now be due."""
        self.ready_by_id: dict[StepId, StepRun] = {}
        self.timed_by_id: dict[str, Job] = {}
        self.usage_by_client_account: dict[str, list[int]] = {}
        self.unknown_start_by_id: dict[TaskId, Task] = {}
        self.withheld_start_by_id: dict[TaskId, Task] = {}
        """Stored placements whose start was not sent for lack of authority."""
        self.recent_losses: list[WorkerLoss] = []
        """Workers that were lost in the last ``LOSS_MEMORY_S`` seconds."""
        self.crashed_task_by_id: dict[TaskId, Task] = {}
        """Tasks under which workers were lost, unless their jobs are over."""
        self.advice_requests = AdviceRequests()
        self.worker_speeds = WorkerSpeeds()
        self.worker_health = WorkerHealth(self.note)
        self.run_times = RunTimes()
        self.placed_work = PlacedWork()
        self.shares = SubmissionShares()
        self.past_use = PastUse(settings.past_use_half_life_s)
        self.batches = BatchQueue()
        self.effects: list[Effect] = []
        self.counters: Counter[str] = Counter()
        self.wall_ms = 0
        self.now = 0.0
        """Monotonic time of the current event, in seconds."""
        self.lease_authority_until = float("-inf")
        """Time until which this planner may renew leases."""
        self.needs_pass = True
        self.placements = 0
        """Number of placements so far, by this planner."""

    def note(self, kind: str, **fields: Any) -> None:
        """Write a line to the log, and count it by its kind."""
        self.counters[kind] += 1
        self.effects.append(Note(kind, fields))

    def get_or_add_worker(self, worker_id: str) -> Worker:
        """Return a worker, adding it if it is unknown."""
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            token = self.settings.term * TOKENS_PER_TERM
            worker = Worker(worker_id, token)
            self.worker_by_id[worker_id] = worker
        return worker

    def is_usable(self, worker: Worker, now: float) -> bool:
        """Whether a worker may be given tasks."""
        return worker.is_usable(now) and self.is_in_service(worker)

    def is_in_service(self, worker: Worker) -> bool:
        """Whether neither the worker drains nor its zone is out of service."""
        entry = worker.entry
        return (
            entry is not None
            and worker.is_listed
            and entry.is_ready
            and entry.zone not in self.zones_out
        )

    def mark_changed(self, worker_id: str) -> Worker:
        """Return a known worker, and check after this event if its next poll is due."""
        worker = self.worker_by_id[worker_id]
        self.changed_workers[worker_id] = worker
        return worker

    def lose_contact(self, worker: Worker, now: float) -> None:
        """Record that contact with a worker was lost, unless that is known."""
        if worker.loss is not None:
            return
        loss = WorkerLoss(
            worker.id,
            worker.incarnation,
            worker.entry.rack if worker.entry else "",
            worker.entry.zone if worker.entry else "",
            worker.answered_at,
            now,
        )
        worker.loss = loss
        self.worker_health.record_silence(worker, now)
        self.recent_losses = [
            other
            for other in self.recent_losses
            if now - other.noticed_at < LOSS_MEMORY_S
        ]
        self.recent_losses.append(loss)

    # Capacity and limits

    def place(self, task: Task, worker: Worker) -> None:
        """Assign a task to a worker, and reserve resources for it.

        The resources count against the worker and against the client account's limit.
        """
        spec = task.step.spec
        self.placements += 1
        task.worker = worker.id
        task.incarnation = worker.incarnation
        worker.task_by_id[task.id] = task
        worker.reserve(spec.size, spec.fills)
        run_s = self.run_times.predict(
            task.step.occurrence.job.spec.queue, spec.estimate_s
        )
        self.placed_work.add(task, run_s, self.now)
        task.step.placed += 1
        self.add_usage(task.step.occurrence.job.spec.tenant, spec.size, 1)

    def release(self, task: Task) -> None:
        """Free the resources of a task whose run has certainly ended."""
        worker = self.worker_by_id.get(task.worker)
        if worker is not None and worker.task_by_id.pop(task.id, None) is not None:
            size = task.step.spec.size
            worker.release(size, task.step.spec.fills)
            self.placed_work.remove(task)
            task.step.placed -= 1
            self.add_usage(task.step.occurrence.job.spec.tenant, size, -1)
        task.worker = ""
        task.has_unknown_outcome = False
        task.is_stopping = False
        task.is_isolated = False
        task.placed_at = 0.0
        task.confirmed_at = 0.0
        task.barred_at = float("inf")
        self.unknown_start_by_id.pop(task.id, None)
        self.withheld_start_by_id.pop(task.id, None)
        self.needs_pass = True

    def add_usage(self, client_account: str, size: Resources, count: int) -> None:
        """Count tasks of a size against the limit of a client account.

        :param count: number of tasks; negative to subtract them
        """
        usage = self.usage_by_client_account.setdefault(client_account, [0, 0, 0])
        usage[0] += count * size.processors
        usage[1] += count * size.memory
        usage[2] += count * size.accelerators

    def count_allowed(self, client_account: str, size: Resources) -> int:
        """Return how many more tasks of a size a client account may run."""
        used = self.usage_by_client_account.get(client_account, [0, 0, 0])
        return self._count_within_limit(client_account, size, used)

    def uses_share_of_limit(self, client_account: str, share: float) -> bool:
        """Whether a client account uses at least a share of any limit that it has."""
        account = self.rules.client_account_by_name.get(client_account)
        if account is None:
            return False
        used = self.usage_by_client_account.get(client_account, [0, 0, 0])
        limit = account.limit
        limits = (limit.processors, limit.memory, limit.accelerators)
        return any(
            maximum and taken >= share * maximum
            for maximum, taken in zip(limits, used, strict=True)
        )

    def count_allowed_when_idle(self, client_account: str, size: Resources) -> int:
        """Return how many tasks of a size a client account may run at most."""
        return self._count_within_limit(client_account, size, [0, 0, 0])

    def _count_within_limit(
        self, client_account: str, size: Resources, used: list[int]
    ) -> int:
        account = self.rules.client_account_by_name.get(client_account)
        if account is None:
            return 1 << 30
        limit = account.limit
        rows = (
            (limit.processors, used[0], size.processors),
            (limit.memory, used[1], size.memory),
            (limit.accelerators, used[2], size.accelerators),
        )
        allowed = 1 << 30
        for maximum, taken, each in rows:
            if maximum and each:
                allowed = min(allowed, max(0, maximum - taken) // each)
        return allowed

    # Tasks and jobs

    def add_queues(self, queues: Mapping[str, Queue]) -> None:
        """Add or replace queues, by name."""
        self.queue_by_name.update(queues)
        self.services.update(queue.service for queue in queues.values())

    def store_queue(self, name: str) -> None:
        """Add the queue of an accepted job to the batch, unless it is up to date."""
        queue = self.queue_by_name.get(name)
        if queue is not None and self.stored_queue_by_name.get(name) != queue:
            self.stored_queue_by_name[name] = queue
            self.batches.pending.queues[name] = queue

    def store_occurrence(self, occurrence: Occurrence) -> None:
        """Add an occurrence to the pending batch."""
        key = (occurrence.job.spec.id, occurrence.index)
        self.batches.pending.occurrences[key] = occurrence

    def has_used_up_attempts(self, task: Task) -> bool:
        """Whether a task has failed so often that its job fails."""
        queue = self.queue_by_name.get(task.step.occurrence.job.spec.queue)
        if queue is None or task.step.spec.lasting:
            return False
        return task.failed_attempts >= queue.max_attempts

    def requeue(self, task: Task) -> None:
        """Free a task's resources, and place it again unless it or its job is over."""
        self.release(task)
        if task.state is not TaskState.DONE:
            task.state = TaskState.WAITING
        job = task.step.occurrence.job
        if not job.is_over or not job.has_placements:
            self.store_occurrence(task.step.occurrence)

    def stop(self, task: Task) -> None:
        """Order the worker of a placed task to stop its run."""
        worker = self.worker_by_id.get(task.worker)
        if worker is None or worker.entry is None:
            return
        task.is_stopping = True
        address = worker.entry.address
        self.effects.append(Stop(worker.id, address, worker.token, task.id, task.run))

    def remove_job(self, job: Job) -> None:
        """Remove a job that was never stored, and for which no order was sent."""
        for task in job.tasks():
            if task.worker:
                self.release(task)
            task.state = TaskState.WAITING
        for occurrence in job.occurrences.values():
            for step in occurrence.steps:
                self.close_step(step)
        self.timed_by_id.pop(job.spec.id, None)
        del self.job_by_id[job.spec.id]

    def abort_gang(self, task: Task) -> None:
        """Stop the members of a gang, which can't go on without one of them."""
        if not task.step.spec.gang or task.state is TaskState.DONE:
            return
        for member in task.step.tasks:
            if member.worker and not member.is_stopping:
                self.stop(member)

    def open_steps(self, occurrence: Occurrence) -> None:
        """Make the steps whose prerequisites are done available for scheduling."""
        for step in find_ready_steps(occurrence):
            self.ready_by_id.setdefault(step.id, step)
        self.needs_pass = True

    def open_followers(self, step: StepRun) -> None:
        """Make the steps available that only waited for a step which is done now."""
        for follower in find_steps_made_ready(step):
            self.ready_by_id.setdefault(follower.id, follower)
        self.needs_pass = True

    def close_step(self, step: StepRun) -> None:
        """Remove a step from scheduling."""
        self.ready_by_id.pop(step.id, None)
        self.advice_requests.remove_step(step.id)

    def finish(self, job: Job, outcome: JobState, now: float) -> None:
        """Set the final state of a job, unless it has one, and close its steps."""
        if job.outcome in FINAL_STATES:
            return
        job.outcome = outcome
        job.final_at = now
        self.timed_by_id.pop(job.spec.id, None)
        self.batches.pending.jobs[job.spec.id] = job
        for occurrence in job.occurrences.values():
            self.store_occurrence(occurrence)
            for step in occurrence.steps:
                self.close_step(step)
        for task in job.tasks():
            if task.crashes:
                self.crashed_task_by_id.pop(task.id, None)
        self.note(
            "job_ended",
            job=job.spec.id,
            outcome=outcome.value,
            took_s=round((self.wall_ms - job.spec.received_ms) / 1000, 2),
            objective_s=round(job.objective_s, 2),
        )
