"""Dispatch of tasks to owners as grants, within a window for each owner."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

from ..model.messages import TasksGranted
from ..model.work import ATTEMPTS_PER_VIEW, Grant, parse_attempt_key
from ..worker_owners.grant_queue import compute_grant_order
from .job_execution import AttemptRef, PlacedAttempt

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..context import Context
    from ..members.membership import Membership
    from ..members.message_router import MessageRouter
    from ..model.work import WorkSpec
    from ..worker_owners.grant_dispatcher import GrantDispatcher
    from ..worker_owners.grant_queue import Order
    from .job_execution import JobExecution

MIN_WINDOW_GRANTS = 2
"""Minimum size of the window: grants of one team that may wait at one owner."""

MAX_WINDOW_GRANTS = 64
"""Maximum size of the window, however large the owner's capacity is."""

OWNER_BACKOFF_S = 2.0
"""Seconds for which an owner without free capacity is skipped for a team."""


@dataclass(frozen=True, slots=True)
class OwnerCapacity:
    """The free capacity of an owner, as last reported.

    :param free: free millicores
    """

    owner: str
    free: int


class GrantIssuer:
    """Holds the jobs coordinated by this member, and grants their tasks to owners."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        router: MessageRouter,
        dispatcher: GrantDispatcher,
    ) -> None:
        self._context = context
        self._membership = membership
        self._router = router
        self._dispatcher = dispatcher
        self.job_by_id: dict[str, JobExecution] = {}
        self._queue_by_team: dict[str, SortedList[Order]] = {}
        self._waiting_grants: dict[tuple[str, str], int] = {}
        self._skip_owner_until: dict[tuple[str, str], float] = {}
        self._delayed: list[tuple[float, str, int]] = []
        self._last_attempt = 0

    @property
    def may_grant(self) -> bool:
        """Whether this member may create attempts now."""
        return self._membership.has_authority and self._membership.is_fresh()

    def find_attempt(self, key: str) -> AttemptRef | None:
        """Return a placed attempt by its name."""
        job, index, number = parse_attempt_key(key)
        execution = self.job_by_id.get(job)
        attempt = execution.attempt_by_index.get(index) if execution else None
        if execution is None or attempt is None or attempt.number != number:
            return None
        return AttemptRef(execution, index, attempt)

    def update_queue(self, execution: JobExecution) -> None:
        """Update the position of a job in the queue of its team, or remove it."""
        spec = execution.spec
        queue = self._queue_by_team.setdefault(spec.team, SortedList())
        is_queued = (
            execution.has_pending_tasks
            and spec.job in self.job_by_id
            and not execution.is_recovering
        )
        order = None
        if is_queued:
            order = compute_grant_order(
                spec, execution.next_index, spec.job, self._context.wall
            )
        if order != execution.queue_order:
            if execution.queue_order is not None:
                queue.remove(execution.queue_order)
            if order is not None:
                queue.add(order)
            execution.queue_order = order
        if not queue:
            del self._queue_by_team[spec.team]

    def issue_grants(self, team: str) -> None:
        """Grant a team's tasks, earliest deadline first, while windows are open."""
        if not self.may_grant:
            return
        batches: dict[str, list[Grant]] = {}
        while team in self._queue_by_team:
            execution = self._find_first_job(team)
            if execution is None:
                break
            if not self._grant_next_task(execution, batches):
                break
            self.update_queue(execution)
        for owner, grants in batches.items():
            self._router.send(owner, TasksGranted(tuple(grants)))

    def issue_all_grants(self) -> None:
        """Grant the tasks of every team that has any to grant."""
        for team in list(self._queue_by_team):
            self.issue_grants(team)

    def _find_first_job(self, team: str) -> JobExecution | None:
        for _, _, job in self._queue_by_team[team]:
            execution = self.job_by_id[job]
            if execution.spec.kind != "gang":
                return execution
        return None

    def _grant_next_task(
        self, execution: JobExecution, batches: dict[str, list[Grant]]
    ) -> bool:
        owner = self._choose_owner(execution.spec)
        if owner is None:
            return False
        index = execution.take_next_task()
        if index is not None:
            batches.setdefault(owner, []).append(
                self.create_grant(execution, index, owner)
            )
        return True

    def create_grant(
        self, execution: JobExecution, index: int, owner: str, held: bool = False
    ) -> Grant:
        """Create an attempt, and return the grant to send to its owner."""
        attempt = PlacedAttempt(owner, self._next_attempt())
        execution.attempt_by_index[index] = attempt
        self._add_waiting(owner, execution.spec.team, 1)
        self._context.counters["grant"] += 1
        return Grant(
            execution.spec,
            index,
            attempt.number,
            self._context.member,
            self._membership.view.number,
            held,
            execution.checkpoint_by_index.get(index, ""),
        )

    def _next_attempt(self) -> int:
        self._last_attempt += 1
        return self._membership.view.number * ATTEMPTS_PER_VIEW + self._last_attempt

    def _choose_owner(self, spec: WorkSpec) -> str | None:
        """Return the owner with the most free capacity whose window is open."""
        best: str | None = None
        most_free = -1
        for capacity in self.iterate_owner_capacities():
            owner = capacity.owner
            key = (owner, spec.team)
            if self._waiting_grants.get(key, 0) >= self._compute_window(owner, spec):
                continue
            if self._skip_owner_until.get(key, 0.0) > self._context.now:
                continue
            reserved = self._waiting_grants.get(key, 0) * spec.need.processors
            free = max(0, capacity.free - reserved)
            if free > most_free:
                best = owner
                most_free = free
        return best

    def back_off_owner(self, owner: str, team: str) -> None:
        """Skip an owner without free capacity for a while."""
        self._skip_owner_until[owner, team] = self._context.now + OWNER_BACKOFF_S

    def _compute_window(self, owner: str, spec: WorkSpec) -> int:
        """Return how many grants of a team may wait at an owner.

        The window covers all tasks that fit on the owner's workers, divided among the
        teams that wait here, in case all running tasks end at once. With a smaller
        window, a team above its share would take the freed capacity.
        """
        total = self._dispatcher.total_capacity.processors
        if owner != self._context.member:
            peer = self._membership.peer_by_id.get(owner)
            total = peer.capacity.total.processors if peer and peer.capacity else 0
        teams = max(1, len(self._queue_by_team))
        fitting = total // (max(1, spec.need.processors) * teams)
        return max(MIN_WINDOW_GRANTS, min(MAX_WINDOW_GRANTS, fitting))

    def iterate_owner_capacities(self) -> Iterator[OwnerCapacity]:
        """Yield the free capacity of each live member."""
        yield OwnerCapacity(self._context.member, self._dispatcher.free.processors)
        for member in self._membership.view.members_by_id:
            peer = self._membership.peer_by_id.get(member)
            if member == self._context.member or peer is None or peer.capacity is None:
                continue
            if not self._membership.suspects(member) and not peer.leaving:
                yield OwnerCapacity(member, peer.capacity.free.processors)

    def _add_waiting(self, owner: str, team: str, change: int) -> None:
        key = (owner, team)
        count = self._waiting_grants.get(key, 0) + change
        if count > 0:
            self._waiting_grants[key] = count
        else:
            self._waiting_grants.pop(key, None)

    def close_grant(self, execution: JobExecution, attempt: PlacedAttempt) -> None:
        """Record that a grant no longer waits at its owner."""
        self._add_waiting(attempt.owner, execution.spec.team, -1)

    def remove_attempt(
        self, execution: JobExecution, index: int, attempt: PlacedAttempt
    ) -> None:
        """Remove an attempt."""
        del execution.attempt_by_index[index]
        if attempt.phase == "granted":
            self.close_grant(execution, attempt)

    def requeue_task(
        self, execution: JobExecution, index: int, delay: float = 0.0
    ) -> None:
        """Queue a task to be granted again, after a delay in seconds."""
        if delay > 0:
            at = self._context.now + delay
            heapq.heappush(self._delayed, (at, execution.spec.job, index))
            return
        execution.retry_indexes.append(index)
        self.update_queue(execution)
        self.issue_grants(execution.spec.team)

    def requeue_delayed_tasks(self) -> None:
        """Queue the tasks whose delay has passed."""
        while self._delayed and self._delayed[0][0] <= self._context.now:
            _, job, index = heapq.heappop(self._delayed)
            execution = self.job_by_id.get(job)
            if execution is not None:
                self.requeue_task(execution, index)

    def recount_waiting(self) -> None:
        """Recount the grants that wait at each owner, after a view change."""
        self._waiting_grants.clear()
        for execution in self.job_by_id.values():
            for attempt in execution.attempt_by_index.values():
                if attempt.phase == "granted":
                    self._add_waiting(attempt.owner, execution.spec.team, 1)
