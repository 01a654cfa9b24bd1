"""Gang scheduling: all tasks of a job start together, or none does."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..vocabulary.messages import AttemptStopAsked, GangReleased, TasksGranted
from ..vocabulary.work import attempt_key
from ..worker_owners.grant_queue import NO_ROOM
from .retries import compute_backoff

if TYPE_CHECKING:
    from ..context import Context
    from ..members.post import Post
    from ..policy.pacer import Pacer
    from ..vocabulary.work import Grant
    from .granting import Granting
    from .home_job import HomeJob

GANG_TIMEOUT_S = 3.0
"""Seconds within which all tasks of a gang must get reserved capacity."""


class Gangs:
    """Reserves capacity for one gang at a time and starts it once all tasks have it."""

    def __init__(
        self, context: Context, post: Post, granting: Granting, pacer: Pacer
    ) -> None:
        self._context = context
        self._post = post
        self._granting = granting
        self._pacer = pacer
        self._gang = ""

    def on_tick(self) -> None:
        """Abort a gang whose reservations took too long, and begin with another."""
        self._expire_gang()
        self._start_gang()

    def on_view(self) -> None:
        """Start over, because owners returned what they held under the last view."""
        self._gang = ""
        for home in self._granting.job_by_id.values():
            home.gang_retry_at = 0.0

    def on_job_ended(self, job: str) -> None:
        """Discard a gang that has ended."""
        if self._gang == job:
            self._gang = ""

    def on_held(self, key: str) -> None:
        """Start a gang once capacity is reserved for all of its tasks."""
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
        """Cancel the attempts of a gang and retry all of it after a backoff."""
        home.reason = reason
        if self._gang == home.spec.job:
            self._gang = ""
        elif home.gang_retry_at > self._context.now:
            return
        delay = compute_backoff(home.spec.job, home.gang_tries)
        home.gang_retry_at = self._context.now + delay
        for index, placed in list(home.placed_by_index.items()):
            key = attempt_key(home.spec.job, index, placed.attempt)
            self._post.send(placed.owner, AttemptStopAsked(key))

    def go_on_holding(self, home: HomeJob, owner: str, reason: str) -> None:
        """Offer a returned task of a gang to another owner, or abort the gang."""
        if self._gang == home.spec.job and reason == NO_ROOM:
            home.gang_full.add(owner)
            waiting = [p for p in home.placed_by_index.values() if p.owner == owner]
            if not any(item.phase == "granted" for item in waiting):
                self._offer_gang(home)
        else:
            self.fail(home, reason)
        self._granting.update_lane(home)

    def _start_gang(self) -> None:
        """Request reservations for all tasks of the most urgent gang."""
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
        """Offer the remaining tasks of a gang to owners with free capacity for it."""
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
            self.fail(home, "its tasks do not all fit at once")
        for owner, grants in batches.items():
            self._post.send(owner, TasksGranted(tuple(grants)))

    def _release_gang(self, home: HomeJob) -> None:
        keys_by_owner: dict[str, list[str]] = {}
        for index, placed in home.placed_by_index.items():
            key = attempt_key(home.spec.job, index, placed.attempt)
            keys_by_owner.setdefault(placed.owner, []).append(key)
        for owner, keys in keys_by_owner.items():
            self._post.send(owner, GangReleased(tuple(keys)))
        self._gang = ""
        self._context.note("gang_released", home.spec.job, team=home.spec.team)

    def _expire_gang(self) -> None:
        home = self._granting.job_by_id.get(self._gang)
        if home and self._context.now > home.gang_since + GANG_TIMEOUT_S:
            self.fail(home, "capacity for all of its tasks was not reserved in time")
