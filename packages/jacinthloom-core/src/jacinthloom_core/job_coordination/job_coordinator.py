"""Coordination of jobs by the member that decides which attempts exist."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.messages import AttemptStopAsked
from ..model.records import JobRefused, TaskEnded
from ..model.work import attempt_key
from ..worker_owners.grant_queue import NO_FREE_CAPACITY
from .gangs import GangScheduler
from .grant_issuer import GrantIssuer
from .job_execution import JobExecution
from .recovery import Recovery
from .retries import RetryBudget, compute_backoff

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..members.message_router import MessageRouter
    from ..model.messages import AttemptOver, AttemptStarted, GrantReturned
    from ..model.work import WorkSpec
    from ..policy.pacer import Pacer
    from ..shared_log.jobs import Job
    from ..shared_log.log_writer import LogWriter
    from ..worker_owners.grant_dispatcher import GrantDispatcher

MAX_FAILED_WORKERS = 3
"""Number of distinct workers whose failures make a task fail for good."""

RETURNED_GRANT_DELAY_S = 0.3
"""Seconds before a task is granted again after its owner returned the grant."""


class JobCoordinator:
    """Drives the jobs coordinated by this member from acceptance to completion."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        router: MessageRouter,
        writer: LogWriter,
        dispatcher: GrantDispatcher,
        pacer: Pacer,
    ) -> None:
        self._context = context
        self._membership = membership
        self._router = router
        self._writer = writer
        self._dispatcher = dispatcher
        self._retry_budget = RetryBudget(context)
        self._grant_issuer = GrantIssuer(context, membership, router, dispatcher)
        self.gangs = GangScheduler(context, router, self._grant_issuer, pacer)
        self.recovery = Recovery(
            context, membership, router, dispatcher, self._grant_issuer
        )

    @property
    def job_by_id(self) -> dict[str, JobExecution]:
        """Jobs coordinated by this member that have not ended."""
        return self._grant_issuer.job_by_id

    # Job lifecycle

    def on_job_accepted(self, job: Job) -> None:
        """Start a new job if this member coordinates it."""
        if self._is_coordinator_of(job.spec.job):
            self._add_execution(JobExecution(job))
            self._grant_issuer.issue_grants(job.spec.team)

    def _is_coordinator_of(self, job: str) -> bool:
        if not self._membership.is_member:
            return False
        return self._membership.view.choose_member(job) == self._context.member

    def _add_execution(self, execution: JobExecution) -> None:
        self.job_by_id[execution.spec.job] = execution
        self._grant_issuer.update_queue(execution)
        self._refuse_if_unconfigured(execution)

    def on_job_ended(self, job: str) -> None:
        """Stop the remaining attempts of a job that ended according to the log."""
        execution = self.job_by_id.pop(job, None)
        if execution is None:
            return
        self._grant_issuer.update_queue(execution)
        self.gangs.on_job_ended(job)
        for index, attempt in execution.attempt_by_index.items():
            if attempt.phase == "granted":
                self._grant_issuer.close_grant(execution, attempt)
            key = attempt_key(job, index, attempt.number)
            self._router.send(attempt.owner, AttemptStopAsked(key))

    def refuse(self, job: str, reason: str) -> None:
        """End a job that is not allowed to run or can never run."""
        self._writer.append(JobRefused(job, reason))

    def on_configuration(self) -> None:
        """End jobs whose class was removed or whose key was withdrawn."""
        for execution in list(self.job_by_id.values()):
            self._refuse_if_unconfigured(execution)

    def _refuse_if_unconfigured(self, execution: JobExecution) -> None:
        configuration = self._context.state.configuration
        spec = execution.spec
        if spec.work_class not in configuration.classes_by_name:
            self.refuse(spec.job, f"class {spec.work_class} was removed")
        elif spec.key_id and spec.key_id not in configuration.keys_by_id:
            self.refuse(spec.job, f"key {spec.key_id} was withdrawn")

    def find_blocking_reason(self, spec: WorkSpec) -> str:
        """Return why work can't start with the current limits and workers, if so."""
        team = self._context.state.configuration.teams_by_name.get(spec.team)
        limit = team.limit if team is not None else None
        if limit is not None and not spec.concurrent_need.fits_in(limit):
            return f"the resources needed at once exceed the limit of team {spec.team}"
        capacities = set(self._membership.local_capacity.shapes)
        for peer in self._membership.peer_by_id.values():
            if peer.capacity is not None:
                capacities.update(peer.capacity.shapes)
        if not capacities or any(
            spec.need.fits_in(capacity) for capacity in capacities
        ):
            return ""
        largest = max(capacities, key=lambda capacity: capacity.processors)
        return (
            f"one task needs {spec.need.processors / 1000:g} processors, "
            f"{spec.need.memory} MiB and {spec.need.accelerators} accelerators, but "
            f"the largest worker has {largest.processors / 1000:g}, {largest.memory} "
            f"and {largest.accelerators}"
        )

    def is_at_team_limit(self, spec: WorkSpec) -> bool:
        """Return whether one more task would exceed the team's limit."""
        limit = self._context.state.configuration.teams_by_name[spec.team].limit
        used = self._dispatcher.find_fleet_usage(spec.team)
        return limit is not None and not (used + spec.need).fits_in(limit)

    # Messages from owners

    def on_grant_returned(self, message: GrantReturned) -> None:
        """Queue a task again whose grant an owner returned."""
        ref = self._grant_issuer.find_attempt(message.key)
        if ref is None:
            return
        execution, index, attempt = ref.execution, ref.index, ref.attempt
        self._grant_issuer.remove_attempt(execution, index, attempt)
        execution.last_failure = message.reason
        if message.reason == NO_FREE_CAPACITY:
            self._grant_issuer.back_off_owner(attempt.owner, execution.spec.team)
        if execution.spec.kind == "gang":
            execution.retry_indexes.append(index)
            self.gangs.reoffer_returned_task(execution, attempt.owner, message.reason)
            return
        delay = 0.0 if message.reason == NO_FREE_CAPACITY else RETURNED_GRANT_DELAY_S
        self._grant_issuer.requeue_task(execution, index, delay)

    def on_attempt_started(self, message: AttemptStarted) -> None:
        """Record where an attempt runs, and grant the next task."""
        ref = self._grant_issuer.find_attempt(message.key)
        if ref is None:
            return
        execution, attempt = ref.execution, ref.attempt
        attempt.worker = message.worker
        if not message.running:
            return
        if attempt.phase == "granted":
            self._grant_issuer.close_grant(execution, attempt)
        attempt.phase = "running"
        self._grant_issuer.issue_grants(execution.spec.team)

    def on_attempt_over(self, message: AttemptOver) -> None:
        """Record the result of an attempt, or retry its task."""
        ref = self._grant_issuer.find_attempt(message.key)
        if ref is None:
            return
        execution, index, attempt = ref.execution, ref.index, ref.attempt
        self._grant_issuer.remove_attempt(execution, index, attempt)
        if message.outcome == "answered":
            self._record_task_end(execution, index, message)
        elif message.outcome == "failed" and not message.blame_worker:
            self._count_failure(execution, index, message)
        elif message.outcome == "checkpointed":
            execution.checkpoint_by_index[index] = message.result
            self._grant_issuer.requeue_task(execution, index)
        else:
            self._retry(execution, index, message.result)
        if execution.spec.kind == "gang" and message.outcome != "answered":
            self.gangs.abort(execution, message.result or message.outcome)
        self._grant_issuer.issue_grants(execution.spec.team)

    def _record_task_end(
        self, execution: JobExecution, index: int, message: AttemptOver
    ) -> None:
        execution.ended.add(index)
        self._writer.append(
            TaskEnded(
                execution.spec.job,
                index,
                message.outcome,
                message.result,
                message.ran_s,
                self._context.wall,
            )
        )

    def _count_failure(
        self, execution: JobExecution, index: int, message: AttemptOver
    ) -> None:
        workers = execution.failed_workers_by_index.setdefault(index, set())
        workers.add(message.worker)
        execution.last_failure = (
            f"a task failed on {message.worker}: {message.result[:80]}"
        )
        if len(workers) >= MAX_FAILED_WORKERS:
            self._record_task_end(execution, index, message)
        else:
            self._retry(execution, index, execution.last_failure)

    def _retry(self, execution: JobExecution, index: int, reason: str) -> None:
        self._context.counters["retry"] += 1
        execution.last_failure = reason
        failures = len(execution.failed_workers_by_index.get(index, ())) or 1
        key = f"{execution.spec.job}/{index}"
        delay = compute_backoff(key, failures) + self._retry_budget.take_token(
            execution.spec.team
        )
        self._grant_issuer.requeue_task(execution, index, delay)

    # Ticks and view changes

    def on_tick(self) -> None:
        """Grant delayed tasks, start gangs, and retry tasks of lost attempts."""
        self._grant_issuer.requeue_delayed_tasks()
        self.gangs.on_tick()
        for item in self.recovery.list_lost_attempts():
            self._grant_issuer.remove_attempt(item.execution, item.index, item.attempt)
            self._retry(
                item.execution, item.index, "its worker was taken over without it"
            )
        self._grant_issuer.issue_all_grants()

    def on_view(self) -> None:
        """Drop jobs that moved to another member, and recover jobs that moved here."""
        jobs = self.job_by_id
        for job in [name for name in jobs if not self._is_coordinator_of(name)]:
            execution = jobs.pop(job)
            self._grant_issuer.update_queue(execution)
        for job, record in self._context.state.job_by_id.items():
            if job not in jobs and self._is_coordinator_of(job):
                execution = JobExecution(record)
                execution.is_recovering = True
                self._add_execution(execution)
        self.gangs.on_view()
        self._grant_issuer.recount_waiting()
        self.recovery.begin_view()
