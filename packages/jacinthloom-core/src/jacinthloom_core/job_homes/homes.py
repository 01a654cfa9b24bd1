"""Coordination of jobs by their home, which decides which attempts exist."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..vocabulary.messages import AttemptStopAsked
from ..vocabulary.records import JobRefused, TaskEnded
from ..vocabulary.work import attempt_key
from ..worker_owners.grant_queue import NO_ROOM
from .gangs import Gangs
from .granting import Granting
from .home_job import HomeJob
from .recovery import Recovery
from .retries import RetryBudget, compute_backoff

if TYPE_CHECKING:
    from ..context import Context
    from ..ledger.jobs import Job
    from ..ledger.writer import Writer
    from ..members.membership import Membership
    from ..members.post import Post
    from ..policy.pacer import Pacer
    from ..vocabulary.messages import AttemptOver, AttemptStarted, GrantReturned
    from ..vocabulary.work import WorkSpec
    from ..worker_owners.owner import Owner

FAILURES_ALLOWED = 3
"""Number of distinct workers whose failures make a task fail for good."""

RETURN_DELAY_S = 0.3
"""Seconds before a task is granted again after its owner returned the grant."""


class Homes:
    """Drives the jobs whose home is this member from acceptance to completion."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        post: Post,
        writer: Writer,
        owner: Owner,
        pacer: Pacer,
    ) -> None:
        self._context = context
        self._membership = membership
        self._post = post
        self._writer = writer
        self._owner = owner
        self._budget = RetryBudget(context)
        self._granting = Granting(context, membership, post, owner)
        self.gangs = Gangs(context, post, self._granting, pacer)
        self.recovery = Recovery(context, membership, post, owner, self._granting)

    @property
    def job_by_id(self) -> dict[str, HomeJob]:
        """Jobs that have not ended and whose home is this member."""
        return self._granting.job_by_id

    # Job lifecycle

    def on_job_accepted(self, job: Job) -> None:
        """Start a new job if its home is this member."""
        if self._is_home(job.spec.job):
            self._add(HomeJob(job))
            self._granting.dispatch(job.spec.team)

    def _is_home(self, job: str) -> bool:
        if not self._membership.is_member:
            return False
        return self._membership.view.choose(job) == self._context.member

    def _add(self, home: HomeJob) -> None:
        self.job_by_id[home.spec.job] = home
        self._granting.update_lane(home)
        self._check_still_wanted(home)

    def on_job_ended(self, job: str) -> None:
        """Stop the remaining attempts of a job that ended according to the log."""
        home = self.job_by_id.pop(job, None)
        if home is None:
            return
        self._granting.update_lane(home)
        self.gangs.on_job_ended(job)
        for index, placed in home.placed_by_index.items():
            if placed.phase == "granted":
                self._granting.close(home, placed)
            key = attempt_key(job, index, placed.attempt)
            self._post.send(placed.owner, AttemptStopAsked(key))

    def refuse(self, job: str, reason: str) -> None:
        """End a job that is not allowed to run or can never run."""
        self._writer.append(JobRefused(job, reason))

    def on_configuration(self) -> None:
        """End jobs whose class was removed or whose key was withdrawn."""
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
        """Return why work can't start with the current limits and workers, if so."""
        team = self._context.state.configuration.teams_by_name.get(spec.team)
        limit = team.limit if team is not None else None
        if limit is not None and not spec.at_once.fits_in(limit):
            return f"the resources needed at once exceed the limit of team {spec.team}"
        shapes = set(self._membership.room.shapes)
        for peer in self._membership.peer_by_id.values():
            if peer.room is not None:
                shapes.update(peer.room.shapes)
        if not shapes or any(spec.need.fits_in(shape) for shape in shapes):
            return ""
        largest = max(shapes, key=lambda shape: shape.processors)
        return (
            f"one task needs {spec.need.processors / 1000:g} processors, "
            f"{spec.need.memory} MiB and {spec.need.accelerators} accelerators, but "
            f"the largest worker has {largest.processors / 1000:g}, {largest.memory} "
            f"and {largest.accelerators}"
        )

    def is_limited(self, spec: WorkSpec) -> bool:
        """Return whether one more task would exceed the team's limit."""
        limit = self._context.state.configuration.teams_by_name[spec.team].limit
        used = self._owner.find_fleet_use(spec.team)
        return limit is not None and not (used + spec.need).fits_in(limit)

    # Messages from owners

    def on_returned(self, message: GrantReturned) -> None:
        """Queue a task again whose grant an owner returned."""
        found = self._granting.find(message.key)
        if found is None:
            return
        home, index, placed = found.home, found.index, found.placed
        self._granting.remove(home, index, placed)
        home.reason = message.reason
        if message.reason == NO_ROOM:
            self._granting.avoid(placed.owner, home.spec.team)
        if home.spec.kind == "gang":
            home.ready.append(index)
            self.gangs.go_on_holding(home, placed.owner, message.reason)
            return
        delay = 0.0 if message.reason == NO_ROOM else RETURN_DELAY_S
        self._granting.make_ready(home, index, delay)

    def on_started(self, message: AttemptStarted) -> None:
        """Record where an attempt runs, and grant the next task."""
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

    def on_over(self, message: AttemptOver) -> None:
        """Record the result of an attempt, or retry its task."""
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

    # Ticks and view changes

    def on_tick(self) -> None:
        """Grant delayed tasks, start gangs, and retry tasks of lost attempts."""
        self._granting.release_delayed()
        self.gangs.on_tick()
        for item in self.recovery.list_doubtful():
            self._granting.remove(item.home, item.index, item.placed)
            self._retry(item.home, item.index, "its worker was taken over without it")
        self._granting.dispatch_all()

    def on_view(self) -> None:
        """Drop jobs that moved to another home, and recover jobs that moved here."""
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
