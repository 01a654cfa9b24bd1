"""Recovery of the running attempts of a home's jobs after a view change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..vocabulary.messages import HoldingsAsked, HoldingsTold
from ..vocabulary.work import ATTEMPTS_PER_VIEW, attempt_key, split_attempt_key
from .home_job import NOWHERE, Found, Placed

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..members.post import Post
    from ..vocabulary.records import WorkerReconciled
    from ..worker_owners.owner import Owner
    from .granting import Granting
    from .home_job import HomeJob

DOUBT_S = 3.0
"""Seconds for a completion to arrive after a worker was taken over."""


class Recovery:
    """Collects held attempts from every member and from the records of takeovers.

    Until every member has responded and every worker is reconciled, an unknown attempt
    may still be reported. Until then a job that is new to this home waits. After that,
    an attempt that no member holds counts as lost after a grace period.
    """

    def __init__(
        self,
        context: Context,
        membership: Membership,
        post: Post,
        owner: Owner,
        granting: Granting,
    ) -> None:
        self._context = context
        self._membership = membership
        self._post = post
        self._owner = owner
        self._granting = granting
        self._awaited: set[str] = set()
        self._ask_by_home: dict[str, HoldingsAsked] = {}

    def begin(self) -> None:
        """Query all members under the current view, and answer early queries."""
        self._ask_holdings()
        asks = self._ask_by_home
        self._ask_by_home = {}
        for asker, message in asks.items():
            self.on_holdings_asked(asker, message)
        self._settle()

    def list_doubtful(self) -> list[Found]:
        """Return the attempts that now count as lost."""
        now = self._context.now
        return [
            Found(home, index, placed)
            for home in self._granting.job_by_id.values()
            for index, placed in home.placed_by_index.items()
            if placed.doubt_at <= now
        ]

    def _ask_holdings(self) -> None:
        view = self._membership.view
        self._awaited = set()
        if self._membership.is_member:
            self._awaited = set(view.members_by_id)
            for member in view.members_by_id:
                self._post.send(member, HoldingsAsked(view.number))

    def on_holdings_asked(self, asker: str, message: HoldingsAsked) -> None:
        """Send a home its attempts held here, once both members have the same view."""
        if message.view > self._membership.view.number:
            self._ask_by_home[asker] = message
            return
        if message.view != self._membership.view.number:
            return
        held = self._owner.list_holdings(asker)
        keys = tuple(attempt.key for attempt in held)
        workers = tuple(attempt.worker for attempt in held)
        self._post.send(asker, HoldingsTold(message.view, keys, workers))

    def on_holdings_told(self, owner: str, message: HoldingsTold) -> None:
        """Record the attempts that an owner holds."""
        if message.view != self._membership.view.number:
            return
        self._awaited.discard(owner)
        for key, worker in zip(message.keys, message.workers, strict=True):
            self._note_held(owner, key, worker)
        self._note_not_held(owner, set(message.keys))
        self._settle()

    def _note_not_held(self, owner: str, held: set[str]) -> None:
        """Record which attempts granted under earlier views an owner no longer holds.

        Attempts that the log reported under this view are skipped, because the owner
        may have responded before it took over their worker.
        """
        number = self._membership.view.number
        for home in self._granting.job_by_id.values():
            for index, placed in home.placed_by_index.items():
                granted_view = placed.attempt // ATTEMPTS_PER_VIEW
                known = max(placed.seen_view, granted_view) >= number
                if placed.owner != owner or known:
                    continue
                if attempt_key(home.spec.job, index, placed.attempt) not in held:
                    if placed.phase == "granted":
                        self._granting.close(home, placed)
                        placed.phase = "running"
                    placed.owner = NOWHERE

    def _note_held(self, owner: str, key: str, worker: str) -> None:
        job, index, attempt = split_attempt_key(key)
        home = self._granting.job_by_id.get(job)
        if home is None:
            return
        placed = home.placed_by_index.get(index)
        if placed is not None and placed.attempt >= attempt:
            if placed.attempt == attempt and worker:
                self._move(home, placed, owner, worker)
            return
        if index in home.job.ended or not home.recovering:
            return
        placed = Placed(owner, attempt, "running", worker)
        placed.seen_view = self._membership.view.number
        home.placed_by_index[index] = placed

    def _move(self, home: HomeJob, placed: Placed, owner: str, worker: str) -> None:
        if placed.phase == "granted":
            self._granting.close(home, placed)
        placed.owner = owner
        placed.phase = "running"
        placed.worker = worker
        placed.doubt_at = float("inf")
        placed.seen_view = self._membership.view.number

    def on_reconciled(self, record: WorkerReconciled) -> None:
        """Record which attempts a taken-over worker still runs.

        Attempts granted under the record's own view are skipped: if this member reads
        the log late, they may have started after the record was written.
        """
        for key in record.held:
            self._note_held(record.owner, key, record.worker)
        held = set(record.held)
        for home in self._granting.job_by_id.values():
            for index, placed in home.placed_by_index.items():
                if placed.worker != record.worker:
                    continue
                if placed.attempt // ATTEMPTS_PER_VIEW >= record.view:
                    continue
                key = attempt_key(home.spec.job, index, placed.attempt)
                if key not in held:
                    placed.doubt_at = self._context.now + DOUBT_S
        self._settle()

    def _settle(self) -> None:
        """Resume jobs once no unknown attempt of them can be reported any more."""
        if self._context.state.unsettled or self._awaited:
            return
        members = self._membership.view.members_by_id
        for home in list(self._granting.job_by_id.values()):
            for placed in home.placed_by_index.values():
                if placed.owner not in members:
                    placed.doubt_at = min(placed.doubt_at, self._context.now + DOUBT_S)
            if home.recovering:
                home.recovering = False
                self._granting.update_lane(home)
                self._context.note("job_recovered", home.spec.job, team=home.spec.team)
                self._granting.dispatch(home.spec.team)
