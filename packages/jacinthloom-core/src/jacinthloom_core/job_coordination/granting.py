"""Granting the tasks of jobs to owners, within a window for each."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

from ..model.messages import TasksGranted
from ..model.work import ATTEMPTS_PER_VIEW, Grant, split_attempt_key
from ..worker_owners.grant_queue import compute_grant_order
from .home_job import Found, Placed

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..context import Context
    from ..members.membership import Membership
    from ..members.message_router import MessageRouter
    from ..model.work import WorkSpec
    from ..worker_owners.grant_dispatcher import GrantDispatcher
    from ..worker_owners.grant_queue import Order
    from .home_job import HomeJob

LEAST_WINDOW = 2
"""Grants of one team that may wait at one owner at a time."""

LARGEST_WINDOW = 64
"""Most grants of one team that wait at one owner, however much it has free."""

AVOID_S = 2.0
"""Seconds for which an owner without room is passed over for a team."""


@dataclass(frozen=True, slots=True)
class Room:
    """What an owner is known to have free.

    :param free: free millicores
    """

    owner: str
    free: int


class Granting:
    """Hold the jobs whose home is here, and grant their tasks."""

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
        self.job_by_id: dict[str, HomeJob] = {}
        self._lane_by_team: dict[str, SortedList[Order]] = {}
        self._open_by_owner: dict[tuple[str, str], int] = {}
        self._avoid_until: dict[tuple[str, str], float] = {}
        self._delayed: list[tuple[float, str, int]] = []
        self._last_attempt = 0

    @property
    def may_grant(self) -> bool:
        """Whether this member may create attempts now."""
        return self._membership.has_authority and self._membership.is_fresh()

    def find(self, key: str) -> Found | None:
        """Return an attempt in the books by its name."""
        job, index, attempt = split_attempt_key(key)
        home = self.job_by_id.get(job)
        placed = home.placed_by_index.get(index) if home else None
        if home is None or placed is None or placed.attempt != attempt:
            return None
        return Found(home, index, placed)

    def update_lane(self, home: HomeJob) -> None:
        """Put a job at its place among those with a task to grant, or take it out."""
        spec = home.spec
        lane = self._lane_by_team.setdefault(spec.team, SortedList())
        wanted = home.has_pending and spec.job in self.job_by_id and not home.recovering
        order = None
        if wanted:
            order = compute_grant_order(
                spec, home.next_index, spec.job, self._context.wall
            )
        if order != home.order:
            if home.order is not None:
                lane.remove(home.order)
            if order is not None:
                lane.add(order)
            home.order = order
        if not lane:
            del self._lane_by_team[spec.team]

    def dispatch(self, team: str) -> None:
        """Grant a team's tasks, earliest deadline first, while owners take them."""
        if not self.may_grant:
            return
        batches: dict[str, list[Grant]] = {}
        while team in self._lane_by_team:
            home = self._first_home(team)
            if home is None:
                break
            if not self._grant_next(home, batches):
                break
            self.update_lane(home)
        for owner, grants in batches.items():
            self._router.send(owner, TasksGranted(tuple(grants)))

    def dispatch_all(self) -> None:
        """Grant the tasks of every team that has any."""
        for team in list(self._lane_by_team):
            self.dispatch(team)

    def _first_home(self, team: str) -> HomeJob | None:
        for _, _, job in self._lane_by_team[team]:
            home = self.job_by_id[job]
            if home.spec.kind != "gang":
                return home
        return None

    def _grant_next(self, home: HomeJob, batches: dict[str, list[Grant]]) -> bool:
        owner = self._choose_owner(home.spec)
        if owner is None:
            return False
        index = home.take_pending()
        if index is not None:
            batches.setdefault(owner, []).append(self.place(home, index, owner))
        return True

    def place(self, home: HomeJob, index: int, owner: str, held: bool = False) -> Grant:
        """Create an attempt, and return the grant to send to its owner."""
        placed = Placed(owner, self._next_attempt())
        home.placed_by_index[index] = placed
        self._count_open(owner, home.spec.team, 1)
        self._context.counters["grant"] += 1
        return Grant(
            home.spec,
            index,
            placed.attempt,
            self._context.member,
            self._membership.view.number,
            held,
            home.checkpoint_by_index.get(index, ""),
        )

    def _next_attempt(self) -> int:
        self._last_attempt += 1
        return self._membership.view.number * ATTEMPTS_PER_VIEW + self._last_attempt

    def _choose_owner(self, spec: WorkSpec) -> str | None:
        """Return the owner with most room among those with an open window."""
        best: str | None = None
        best_room = -1
        for room_of_owner in self.iterate_rooms():
            owner = room_of_owner.owner
            slot = (owner, spec.team)
            if self._open_by_owner.get(slot, 0) >= self._compute_window(owner, spec):
                continue
            if self._avoid_until.get(slot, 0.0) > self._context.now:
                continue
            taken = self._open_by_owner.get(slot, 0) * spec.need.processors
            room = max(0, room_of_owner.free - taken)
            if room > best_room:
                best = owner
                best_room = room
        return best

    def avoid(self, owner: str, team: str) -> None:
        """Pass an owner without room over for a while."""
        self._avoid_until[owner, team] = self._context.now + AVOID_S

    def _compute_window(self, owner: str, spec: WorkSpec) -> int:
        """Return how many grants of a team may wait at an owner.

        Enough for all of its tasks to end at once, shared by the teams that wait here:
        with fewer, a team above its share would take the room.
        """
        total = self._dispatcher.total.processors
        if owner != self._context.member:
            peer = self._membership.peer_by_id.get(owner)
            total = peer.capacity.total.processors if peer and peer.capacity else 0
        teams = max(1, len(self._lane_by_team))
        fitting = total // (max(1, spec.need.processors) * teams)
        return max(LEAST_WINDOW, min(LARGEST_WINDOW, fitting))

    def iterate_rooms(self) -> Iterator[Room]:
        """Yield what each live member is known to have free."""
        yield Room(self._context.member, self._dispatcher.free.processors)
        for member in self._membership.view.members_by_id:
            peer = self._membership.peer_by_id.get(member)
            if member == self._context.member or peer is None or peer.capacity is None:
                continue
            if not self._membership.suspects(member) and not peer.leaving:
                yield Room(member, peer.capacity.free.processors)

    def _count_open(self, owner: str, team: str, change: int) -> None:
        slot = (owner, team)
        count = self._open_by_owner.get(slot, 0) + change
        if count > 0:
            self._open_by_owner[slot] = count
        else:
            self._open_by_owner.pop(slot, None)

    def close(self, home: HomeJob, placed: Placed) -> None:
        """Note that a grant no longer waits at its owner."""
        self._count_open(placed.owner, home.spec.team, -1)

    def remove(self, home: HomeJob, index: int, placed: Placed) -> None:
        """Take an attempt out of the books."""
        del home.placed_by_index[index]
        if placed.phase == "granted":
            self.close(home, placed)

    def make_ready(self, home: HomeJob, index: int, delay: float = 0.0) -> None:
        """Let a task be granted again, after some seconds if need be."""
        if delay > 0:
            at = self._context.now + delay
            heapq.heappush(self._delayed, (at, home.spec.job, index))
            return
        home.ready.append(index)
        self.update_lane(home)
        self.dispatch(home.spec.team)

    def release_delayed(self) -> None:
        """Let tasks be granted whose delay is over."""
        while self._delayed and self._delayed[0][0] <= self._context.now:
            _, job, index = heapq.heappop(self._delayed)
            home = self.job_by_id.get(job)
            if home is not None:
                self.make_ready(home, index)

    def recount_open(self) -> None:
        """Count anew which grants wait at owners, after the view changed."""
        self._open_by_owner.clear()
        for home in self.job_by_id.values():
            for placed in home.placed_by_index.values():
                if placed.phase == "granted":
                    self._count_open(placed.owner, home.spec.team, 1)
