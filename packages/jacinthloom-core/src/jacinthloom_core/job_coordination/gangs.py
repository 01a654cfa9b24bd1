"""Gangs: all tasks of a job start together, or none does."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.messages import AttemptStopAsked, GangReleased, TasksGranted
from ..model.work import attempt_key
from ..worker_owners.grant_queue import NO_FREE_CAPACITY
from .retries import compute_backoff

if TYPE_CHECKING:
    from ..context import Context
    from ..members.message_router import MessageRouter
    from ..model.work import Grant
    from ..policy.pacer import Pacer
    from .granting import Granting
    from .home_job import HomeJob

GANG_TIMEOUT_S = 3.0
"""Seconds for all tasks of a gang to get room."""


class Gangs:
    """Have room held for one gang at a time, and release it once it is complete."""

    def __init__(
        self, context: Context, router: MessageRouter, granting: Granting, pacer: Pacer
    ) -> None:
        self._context = context
        self._router = router
        self._granting = granting
        self._pacer = pacer
        self._gang = ""

    def on_tick(self) -> None:
        """Give up on a gang that took too long, and begin with another."""
        self._expire_gang()
        self._start_gang()

    def on_view(self) -> None:
        """Begin anew: owners gave back what they held under the last view."""
        self._gang = ""
        for home in self._granting.job_by_id.values():
            home.gang_retry_at = 0.0

    def on_job_ended(self, job: str) -> None:
        """Forget a gang that has ended."""
        if self._gang == job:
            self._gang = ""

    def on_attempt_held(self, key: str) -> None:
        """Start a gang once all its tasks have room."""
        found = self._granting.find(key)
        if found is None:
            return
        home, placed = found.home, found.placed
        if placed.phase == "granted":
            self._granting.close(home, placed)
            placed.phase = "held"
        held = [item for item in home.placed_by_index.values() if item.phase == "held"]
        done = len(held) + len(home.ended | home.job.ended)
        if self._gang == home.spec.job and done == home.spec.tasks:
            self._release_gang(home)

    def fail(self, home: HomeJob, reason: str) -> None:
        """Stop what a gang has got, and try all of it again later."""
        home.reason = reason
        if self._gang == home.spec.job:
            self._gang = ""
        elif home.gang_retry_at > self._context.now:
            return
        delay = compute_backoff(home.spec.job, home.gang_tries)
        home.gang_retry_at = self._context.now + delay
        for index, placed in list(home.placed_by_index.items()):
            key = attempt_key(home.spec.job, index, placed.attempt)
            self._router.send(placed.owner, AttemptStopAsked(key))

    def go_on_holding(self, home: HomeJob, owner: str, reason: str) -> None:
        """Offer a returned task of a gang to another owner, or give up."""
        if self._gang == home.spec.job and reason == NO_FREE_CAPACITY:
            home.gang_full.add(owner)
            waiting = [p for p in home.placed_by_index.values() if p.owner == owner]
            if not any(item.phase == "granted" for item in waiting):
                self._offer_gang(home)
        else:
            self.fail(home, reason)
        self._granting.update_lane(home)

    def _start_gang(self) -> None:
        """Ask for room for all tasks of the most pressing gang."""
        if self._gang or not self._granting.may_grant:
            return
        for home in self._iterate_gangs():
            if home.gang_retry_at > self._context.now or not home.has_pending:
                continue
            if home.placed_by_index or not self._pacer.allows_gang(home.spec):
                continue
            self._hold_gang(home)
            return

    def _iterate_gangs(self) -> list[HomeJob]:
        gangs = [
            home
            for home in self._granting.job_by_id.values()
            if home.spec.kind == "gang" and not home.recovering
        ]
        gangs.sort(key=lambda home: (not home.spec.urgent, home.spec.deadline))
        return gangs

    def _hold_gang(self, home: HomeJob) -> None:
        self._gang = home.spec.job
        home.gang_since = self._context.now
        home.gang_tries += 1
        home.gang_full.clear()
        self._offer_gang(home)

    def _offer_gang(self, home: HomeJob) -> None:
        """Offer what is left of a gang to the owners that were not full for it."""
        need = max(1, home.spec.need.processors)
        rooms = sorted(
            self._granting.iterate_rooms(),
            key=lambda room: (room.free, room.owner),
            reverse=True,
        )
        batches: dict[str, list[Grant]] = {}
        for room in rooms:
            if room.owner in home.gang_full:
                continue
            for _ in range(max(0, room.free // need)):
                index = home.take_pending()
                if index is None:
                    break
                grant = self._granting.place(home, index, room.owner, held=True)
                batches.setdefault(room.owner, []).append(grant)
        if home.has_pending:
            self.fail(home, "not all of its tasks fit at once")
        for owner, grants in batches.items():
            self._router.send(owner, TasksGranted(tuple(grants)))

    def _release_gang(self, home: HomeJob) -> None:
        keys_by_owner: dict[str, list[str]] = {}
        for index, placed in home.placed_by_index.items():
            key = attempt_key(home.spec.job, index, placed.attempt)
            keys_by_owner.setdefault(placed.owner, []).append(key)
        for owner, keys in keys_by_owner.items():
            self._router.send(owner, GangReleased(tuple(keys)))
        self._gang = ""
        self._context.note("gang_released", home.spec.job, team=home.spec.team)

    def _expire_gang(self) -> None:
        home = self._granting.job_by_id.get(self._gang)
        if home and self._context.now > home.gang_since + GANG_TIMEOUT_S:
            self.fail(home, "not all of its tasks got room in time")
