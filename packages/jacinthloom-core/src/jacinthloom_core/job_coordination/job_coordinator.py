"""The home of a job decides which attempts at its tasks exist."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.messages import AttemptStopAsked
from ..model.records import JobRefused, TaskEnded
from ..model.work import attempt_key
from ..worker_owners.grant_queue import NO_FREE_CAPACITY
from .gangs import Gangs
from .granting import Granting
from .home_job import HomeJob
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

FAILURES_ALLOWED = 3
"""Workers that a task may fail on before it has failed for good."""

RETURN_DELAY_S = 0.3
"""Delay before a grant is made again that its owner could not use."""


class JobCoordinator:
    """Follow the jobs whose home is this member from acceptance to their end."""

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
        self._budget = RetryBudget(context)
        self._granting = Granting(context, membership, router, dispatcher)
        self.gangs = Gangs(context, router, self._granting, pacer)
        self.recovery = Recovery(
            context, membership, router, dispatcher, self._granting
        )

    @property
    def job_by_id(self) -> dict[str, HomeJob]:
        """The jobs whose home is here and that have not ended."""
        return self._granting.job_by_id

    # Jobs come and go

    def on_job_accepted(self, job: Job) -> None:
        """Take on a new job if its home is here."""
        if self._is_home(job.spec.job):
            self._add(HomeJob(job))
            self._granting.dispatch(job.spec.team)

    def _is_home(self, job: str) -> bool:
        if not self._membership.is_member:
            return False
        return self._membership.view.choose_member(job) == self._context.member

    def _add(self, home: HomeJob) -> None:
        self.job_by_id[home.spec.job] = home
        self._granting.update_lane(home)
        self._check_still_wanted(home)

    def on_job_ended(self, job: str) -> None:
        """Stop what still runs of a job that ended in the log."""
        home = self.job_by_id.pop(job, None)
        if home is None:
            return
        self._granting.update_lane(home)
        self.gangs.on_job_ended(job)
        for index, placed in home.placed_by_index.items():
            if placed.phase == "granted":
                self._granting.close(home, placed)
            key = attempt_key(job, index, placed.attempt)
            self._router.send(placed.owner, AttemptStopAsked(key))

    def refuse(self, job: str, reason: str) -> None:
        """End a job that must not or can never run."""
        self._writer.append(JobRefused(job, reason))

    def on_configuration(self) -> None:
        """End jobs whose class or key is gone before they could start."""
        for home in list(self.job_by_id.values()):
            self._check_still_wanted(home)

    def _check_still_wanted(self, home: HomeJob) -> None:
        configuration = self._context.state.configuration
        spec = home.spec
        if spec.work_class not in configuration.classes_by_name:
            self.refuse(spec.job, f"class {spec.work_class} was removed")
        elif spec.key_id and spec.key_id not in configuration.keys_by_id:
            self.refuse(spec.job, f"key {spec.key_id} was withdrawn")

    def find_obstacle(self, spec: WorkSpec) -> str:
        """Return why the work could never start as things are, or nothing."""
        team = self._context.state.configuration.teams_by_name.get(spec.team)
        limit = team.limit if team is not None else None
        if limit is not None and not spec.concurrent_need.fits_in(limit):
            return f"what must run at once is more than the limit of team {spec.team}"
        shapes = set(self._membership.local_capacity.shapes)
        for peer in self._membership.peer_by_id.values():
            if peer.capacity is not None:
                shapes.update(peer.capacity.shapes)
        if not shapes or any(spec.need.fits_in(shape) for shape in shapes):
            return ""
        largest = max(shapes, key=lambda shape: shape.processors)
        return (
            f"one task needs {spec.need.processors / 1000:g} processors, "
            f"{spec.need.memory} MiB and {spec.need.accelerators} accelerators, and "
            f"the largest worker has {largest.processors / 1000:g}, {largest.memory} "
            f"and {largest.accelerators}"
        )

    def is_limited(self, spec: WorkSpec) -> bool:
        """Return whether a team's limit leaves no room for a task."""
        limit = self._context.state.configuration.teams_by_name[spec.team].limit
        used = self._dispatcher.find_fleet_usage(spec.team)
        return limit is not None and not (used + spec.need).fits_in(limit)

    # What owners tell

    def on_grant_returned(self, message: GrantReturned) -> None:
        """Grant a task anew that an owner gave back."""
        found = self._granting.find(message.key)
        if found is None:
            return
        home, index, placed = found.home, found.index, found.placed
        self._granting.remove(home, index, placed)
        home.reason = message.reason
        if message.reason == NO_FREE_CAPACITY:
            self._granting.avoid(placed.owner, home.spec.team)
        if home.spec.kind == "gang":
            home.ready.append(index)
            self.gangs.go_on_holding(home, placed.owner, message.reason)
            return
        delay = 0.0 if message.reason == NO_FREE_CAPACITY else RETURN_DELAY_S
        self._granting.make_ready(home, index, delay)

    def on_attempt_started(self, message: AttemptStarted) -> None:
        """Note where an attempt runs, and grant the next task."""
        found = self._granting.find(message.key)
        if found is None:
            return
        home, placed = found.home, found.placed
        placed.worker = message.worker
        if not message.running:
            return
        if placed.phase == "granted":
            self._granting.close(home, placed)
        placed.phase = "running"
        self._granting.dispatch(home.spec.team)

    def on_attempt_over(self, message: AttemptOver) -> None:
        """Decide what follows from the end of an attempt."""
        found = self._granting.find(message.key)
        if found is None:
            return
        home, index, placed = found.home, found.index, found.placed
        self._granting.remove(home, index, placed)
        if message.outcome == "answered":
            self._end_task(home, index, message)
        elif message.outcome == "failed" and not message.blame_worker:
            self._count_failure(home, index, message)
        elif message.outcome == "checkpointed":
            home.checkpoint_by_index[index] = message.result
            self._granting.make_ready(home, index)
        else:
            self._retry(home, index, message.result)
        if home.spec.kind == "gang" and message.outcome != "answered":
            self.gangs.fail(home, message.result or message.outcome)
        self._granting.dispatch(home.spec.team)

    def _end_task(self, home: HomeJob, index: int, message: AttemptOver) -> None:
        home.ended.add(index)
        self._writer.append(
            TaskEnded(
                home.spec.job,
                index,
                message.outcome,
                message.result,
                message.ran_s,
                self._context.wall,
            )
        )

    def _count_failure(self, home: HomeJob, index: int, message: AttemptOver) -> None:
        workers = home.failed_on.setdefault(index, set())
        workers.add(message.worker)
        home.reason = f"a task failed on {message.worker}: {message.result[:80]}"
        if len(workers) >= FAILURES_ALLOWED:
            self._end_task(home, index, message)
        else:
            self._retry(home, index, home.reason)

    def _retry(self, home: HomeJob, index: int, reason: str) -> None:
        self._context.counters["retry"] += 1
        home.reason = reason
        failures = len(home.failed_on.get(index, ())) or 1
        key = f"{home.spec.job}/{index}"
        delay = compute_backoff(key, failures) + self._budget.take(home.spec.team)
        self._granting.make_ready(home, index, delay)

    # Time and views

    def on_tick(self) -> None:
        """Grant delayed tasks, start gangs, and give up on doubtful attempts."""
        self._granting.release_delayed()
        self.gangs.on_tick()
        for item in self.recovery.list_doubtful():
            self._granting.remove(item.home, item.index, item.placed)
            self._retry(item.home, item.index, "its worker was taken over without it")
        self._granting.dispatch_all()

    def on_view(self) -> None:
        """Give up jobs whose home is elsewhere now, and recover those that come."""
        jobs = self.job_by_id
        for job in [name for name in jobs if not self._is_home(name)]:
            home = jobs.pop(job)
            self._granting.update_lane(home)
        for job, record in self._context.state.job_by_id.items():
            if job not in jobs and self._is_home(job):
                home = HomeJob(record)
                home.recovering = True
                self._add(home)
        self.gangs.on_view()
        self._granting.recount_open()
        self.recovery.begin()
