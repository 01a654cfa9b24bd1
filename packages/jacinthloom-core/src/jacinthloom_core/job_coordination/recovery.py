"""Finding out what runs of a home's jobs after the view changed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.messages import HoldingsAsked, HoldingsTold
from ..model.work import ATTEMPTS_PER_VIEW, attempt_key, split_attempt_key
from .home_job import NOWHERE, Found, Placed

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..members.message_router import MessageRouter
    from ..model.records import WorkerReconciled
    from ..worker_owners.grant_dispatcher import GrantDispatcher
    from .granting import Granting
    from .home_job import HomeJob

DOUBT_S = 3.0
"""Seconds left for a completion to arrive once a worker was taken over."""


class Recovery:
    """Ask every member what it holds, and wait until no worker is unsettled.

    Until both are done an attempt may still turn up, so a job that is new here waits,
    and an attempt that nobody holds is in doubt.
    """

    def __init__(
        self,
        context: Context,
        membership: Membership,
        router: MessageRouter,
        dispatcher: GrantDispatcher,
        granting: Granting,
    ) -> None:
        self._context = context
        self._membership = membership
        self._router = router
        self._dispatcher = dispatcher
        self._granting = granting
        self._awaited: set[str] = set()
        self._ask_by_home: dict[str, HoldingsAsked] = {}

    def begin(self) -> None:
        """Ask everyone under the view at hand, and answer who asked before."""
        self._ask_holdings()
        asks = self._ask_by_home
        self._ask_by_home = {}
        for asker, message in asks.items():
            self.on_holdings_asked(asker, message)
        self._settle()

    def list_doubtful(self) -> list[Found]:
        """Return the attempts that count as lost by now."""
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
                self._router.send(member, HoldingsAsked(view.number))

    def on_holdings_asked(self, asker: str, message: HoldingsAsked) -> None:
        """Tell a home what this member holds, once both have the same view."""
        if message.view > self._membership.view.number:
            self._ask_by_home[asker] = message
            return
        if message.view != self._membership.view.number:
            return
        held = self._dispatcher.list_attempts_of_coordinator(asker)
        keys = tuple(attempt.key for attempt in held)
        workers = tuple(attempt.worker for attempt in held)
        self._router.send(asker, HoldingsTold(message.view, keys, workers))

    def on_holdings_told(self, owner: str, message: HoldingsTold) -> None:
        """Put attempts that an owner holds into the books."""
        if message.view != self._membership.view.number:
            return
        self._awaited.discard(owner)
        for key, worker in zip(message.keys, message.workers, strict=True):
            self._note_held(owner, key, worker)
        self._note_not_held(owner, set(message.keys))
        self._settle()

    def _note_not_held(self, owner: str, held: set[str]) -> None:
        """Note which attempts granted under earlier views an owner has no more.

        An attempt that the log showed under this view is not judged: the owner may have
        answered before it took over its worker.
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

    def on_worker_reconciled(self, record: WorkerReconciled) -> None:
        """Note which attempts a taken-over worker still runs.

        An attempt granted under the record's own view may have started after it was
        written, if this member reads the log late.
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
        """Let jobs go on once nothing more can turn up for them."""
        if self._context.state.unreconciled_workers or self._awaited:
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
