"""Scheduling of granted attempts on the workers that this member owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.messages import AttemptHeld, GrantReturned
from ..model.resources import NO_RESOURCES
from .grant_queue import NO_FREE_CAPACITY, OTHER_VIEW, GrantQueue
from .placement import POLICY_BY_KIND
from .reserve import RequestReserve
from .workers import Attempt

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..members.message_router import MessageRouter
    from ..model.messages import GangReleased, TasksGranted
    from ..model.resources import Resources
    from ..model.work import Grant, WorkSpec
    from ..policy.fairness import FairShareTracker
    from ..policy.pacer import Pacer
    from ..policy.quotas import Quotas
    from .exchanges import Exchanges
    from .health import Health
    from .owned_workers import OwnedWorkers
    from .workers import Worker

SKIPPED_TEAMS_LIMIT = 16
"""Maximum number of teams that a scheduling pass skips, because none of their tasks
fits, before it ends."""

GRANT_WAIT_LIMIT_S = 2.0
"""Seconds after which a grant that can't start is returned to its coordinator."""

GANG_HOLD_S = 4.0
"""Seconds for which capacity is held for a gang that is not released."""


class GrantDispatcher:
    """Queue grants, place them by fair share, start them and stop them."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        router: MessageRouter,
        quotas: Quotas,
        fairness: FairShareTracker,
        health: Health,
        owned_workers: OwnedWorkers,
        exchanges: Exchanges,
        pacer: Pacer,
    ) -> None:
        self._context = context
        self._membership = membership
        self._router = router
        self._quotas = quotas
        self._fairness = fairness
        self._health = health
        self._owned_workers = owned_workers
        self._exchanges = exchanges
        self._pacer = pacer
        self.queue = GrantQueue(context, fairness)
        self._worker_by_attempt: dict[str, str] = {}
        self._dirty: set[str] = set()
        self._reserve = RequestReserve()

    # Grants

    def on_granted(self, message: TasksGranted) -> None:
        """Queue grants of the current view; return all others to their coordinator."""
        for grant in message.grants:
            if grant.view != self._membership.view.number:
                self._return_grant(grant, OTHER_VIEW)
            elif grant.key in self.queue or self.find_attempt(grant.key):
                self._context.counters["grant_repeated"] += 1
            else:
                self.queue.add(grant)
        self.schedule()
        for grant in message.grants:
            if not grant.held or grant.key not in self.queue:
                continue
            if self._quotas.allows(grant.spec.team, grant.spec.need):
                self.queue.remove(grant.key)
                self._return_grant(grant, NO_FREE_CAPACITY)

    def _return_grant(self, grant: Grant, reason: str) -> None:
        self._context.counters["grant_returned"] += 1
        self._router.send(grant.home, GrantReturned(grant.key, reason))

    def find_attempt(self, key: str) -> Attempt | None:
        """Return the attempt with this key on this member's workers, if any."""
        name = self._worker_by_attempt.get(key)
        worker = self._owned_workers.worker_by_name.get(name) if name else None
        return worker.attempt_by_key.get(key) if worker else None

    def find_fleet_usage(self, team: str) -> Resources:
        """Return what a team uses in the whole fleet, as reported by all members."""
        return self._fairness.find_used(team)

    # Scheduling

    @property
    def may_start(self) -> bool:
        """Whether this member has authority and is fresh, as every start requires."""
        return self._membership.has_authority and self._membership.is_fresh()

    def schedule(self, thorough: bool = False) -> None:
        """Start the queued grants that fit.

        While the usage cap delays work, the earliest deadline goes first, as shares
        matter only once the fleet is full; otherwise the least served team does.

        :param thorough: whether to try every waiting team
        """
        if not self.queue or not self.may_start:
            return
        failures = 0
        skipped: set[str] = set()
        while True:
            team = self._next_team(skipped)
            if team is None:
                return
            if self._start_one(team):
                continue
            skipped.add(team)
            failures += 1
            if failures >= SKIPPED_TEAMS_LIMIT and not thorough:
                return

    def _next_team(self, skipped: set[str]) -> str | None:
        for team in self.queue.iterate_teams(self._pacer.is_cap_binding):
            if team not in skipped:
                return team
        return None

    def _start_one(self, team: str) -> bool:
        """Start or return one of a team's first grants; return whether one was."""
        for grant in self.queue.list_heads(team):
            reason = self._find_obstacle(grant.spec)
            if reason:
                self.queue.remove(grant.key)
                self._return_grant(grant, reason)
                return True
            if not self._is_within_limit(team, grant.spec.need):
                self._quotas.note_shortage(team, grant.spec.need)
                continue
            if not grant.held and not self._pacer.allows_start(grant.spec):
                continue
            if self._leaves_reserve(grant.spec) and self._place(grant):
                return True
        return False

    def _is_within_limit(self, team: str, need: Resources) -> bool:
        """Return whether a start is within this member's allotment and the limit.

        The limit matters after it was lowered, while another member still runs more
        than its allotment.
        """
        if not self._quotas.allows(team, need):
            return False
        known = self._context.state.configuration.teams_by_name.get(team)
        if known is None or known.limit is None:
            return True
        return (self._fairness.find_used(team) + need).fits_in(known.limit)

    def _find_obstacle(self, spec: WorkSpec) -> str:
        """Return why work must not start, or an empty string."""
        configuration = self._context.state.configuration
        if spec.work_class not in configuration.classes_by_name:
            return f"class {spec.work_class} is no longer configured"
        if spec.key_id and spec.key_id not in configuration.keys_by_id:
            return f"key {spec.key_id} was withdrawn"
        if spec.kind == "request" and self._context.wall >= spec.deadline:
            return "its deadline passed while it waited"
        return ""

    def is_usable(self, worker: Worker) -> bool:
        """Return whether new work may start on a worker."""
        if worker.phase != "open" or worker.info.state != "live":
            return False
        if worker.info.zone in self._context.state.configuration.zones_out:
            return False
        if self._health.is_quarantined(worker.name):
            return self._health.may_probe(worker.name)
        return True

    def _leaves_reserve(self, spec: WorkSpec) -> bool:
        """Return whether a start leaves the request reserve free on owned workers."""
        if spec.kind == "request":
            return True
        return self._reserve.compute().fits_in(
            (self.free - spec.need).component_max(NO_RESOURCES)
        )

    def is_due(self, spec: WorkSpec) -> bool:
        """Return whether the usage cap lets the work start now."""
        return self._pacer.allows_start(spec)

    def _place(self, grant: Grant) -> bool:
        owned = self._owned_workers
        policy = POLICY_BY_KIND[grant.spec.kind]
        worker = policy.choose(
            grant.spec, owned.index, owned.worker_by_name, self.is_usable
        )
        if worker is None:
            return False
        self.queue.remove(grant.key)
        self._assign(grant, worker)
        return True

    def _assign(self, grant: Grant, worker: Worker) -> None:
        spec = grant.spec
        attempt = Attempt(
            grant.key,
            spec.team,
            spec.work_class,
            spec.kind,
            grant.home,
            spec.need,
            worker.name,
            "held" if grant.held else "starting",
            float("-inf"),
            self._context.now,
            deferrable=spec.is_deferrable,
            grant=grant,
        )
        self._owned_workers.add_attempt(worker, attempt)
        self._worker_by_attempt[grant.key] = worker.name
        if spec.kind == "request":
            self._reserve.add(self._context.now, spec.need)
        self._health.note_start(worker.name, grant.key)
        if grant.held:
            self._router.send(grant.home, AttemptHeld(grant.key))
            return
        self._queue_start(worker, grant)

    def _queue_start(self, worker: Worker, grant: Grant) -> None:
        worker.starts.append(grant)
        self._dirty.add(worker.name)
        self._context.counters["start"] += 1

    def on_gang_released(self, message: GangReleased) -> None:
        """Start the held attempts of a gang."""
        for key in message.keys:
            attempt = self.find_attempt(key)
            if attempt is None or attempt.phase != "held" or attempt.grant is None:
                continue
            attempt.phase = "starting"
            worker = self._owned_workers.worker_by_name[attempt.worker]
            self._queue_start(worker, attempt.grant)

    def on_stop_asked(self, key: str) -> None:
        """Stop an attempt, or return its grant if it has not started."""
        queued = self.queue.queued_by_key.get(key)
        if queued is not None:
            self.queue.remove(key)
            self._return_grant(queued.grant, "its home withdrew it")
            return
        attempt = self.find_attempt(key)
        if attempt is not None:
            self.stop(attempt)

    def stop(self, attempt: Attempt, checkpoint: bool = False) -> None:
        """Stop an attempt on its worker.

        :param checkpoint: whether the worker saves its progress
        """
        worker = self._owned_workers.worker_by_name[attempt.worker]
        if attempt.phase == "held" or self.withdraw_start(worker, attempt.key):
            self.abandon(worker, attempt, "it was withdrawn before it started")
            return
        if attempt.phase == "stopping":
            return
        attempt.phase = "stopping"
        attempt.stopped = "checkpoint" if checkpoint else "stop"
        self.queue_stop(worker, attempt)

    def queue_stop(self, worker: Worker, attempt: Attempt) -> None:
        """Send the stop of an attempt with the next exchange."""
        if attempt.stopped == "checkpoint":
            worker.checkpoints.add(attempt.key)
        else:
            worker.stops.add(attempt.key)
        attempt.missing_since = self._context.now
        self._dirty.add(worker.name)

    def withdraw_start(self, worker: Worker, key: str) -> bool:
        """Remove a start that was not sent; return whether there was one."""
        kept = [grant for grant in worker.starts if grant.key != key]
        was_removed = len(kept) < len(worker.starts)
        worker.starts = kept
        return was_removed

    def abandon(self, worker: Worker, attempt: Attempt, reason: str) -> None:
        """Drop an attempt that never ran and return its grant."""
        self.remove_from_accounting(worker, attempt)
        self._context.counters["grant_returned"] += 1
        self._router.send(attempt.coordinator, GrantReturned(attempt.key, reason))

    def remove_from_accounting(self, worker: Worker, attempt: Attempt) -> None:
        """Remove an attempt from all accounting."""
        self._owned_workers.drop_attempt(worker, attempt)
        known = self._worker_by_attempt.pop(attempt.key, None)
        if attempt.kind == "request" and known and attempt.grant:
            self._reserve.add(self._context.now, NO_RESOURCES - attempt.grant.spec.need)
        self._health.release_probe(worker.name, attempt.key)

    def mark_dirty(self, worker: Worker) -> None:
        """Send pending commands to a worker at the end of the current event."""
        self._dirty.add(worker.name)

    def index_found_attempts(self, worker: Worker) -> None:
        """Index the attempts that a worker reported."""
        for key in worker.attempt_by_key:
            self._worker_by_attempt[key] = worker.name

    def flush(self) -> None:
        """Send pending commands to the workers that have any."""
        dirty = self._dirty
        self._dirty = set()
        for name in sorted(dirty):
            worker = self._owned_workers.worker_by_name.get(name)
            if worker is not None:
                self.flush_worker(worker)

    def flush_worker(self, worker: Worker) -> None:
        """Send pending commands to a worker; drop starts that are no longer allowed."""
        if worker.starts and not worker.exchange:
            self._recheck_starts(worker)
        self._exchanges.flush(worker)

    def _recheck_starts(self, worker: Worker) -> None:
        usable = self._may_still_start(worker)
        for grant in list(worker.starts):
            reason = self._find_obstacle(grant.spec)
            if not usable:
                reason = reason or "its worker may not be used any more"
            if reason:
                self.withdraw_start(worker, grant.key)
                self.abandon(worker, worker.attempt_by_key[grant.key], reason)

    def _may_still_start(self, worker: Worker) -> bool:
        out = worker.info.zone in self._context.state.configuration.zones_out
        return self.may_start and worker.info.state == "live" and not out

    def on_tick(self) -> None:
        """Return grants that waited too long, and try every waiting team."""
        self._expire_grants()
        self._expire_gangs()
        self.schedule(thorough=True)

    def _expire_grants(self) -> None:
        alone = len(self._membership.view.members_by_id) == 1
        for key, queued in list(self.queue.queued_by_key.items()):
            spec = queued.grant.spec
            too_late = spec.kind == "request" and self._context.wall >= spec.deadline
            waited = self._context.now - queued.since
            elsewhere = (
                waited > GRANT_WAIT_LIMIT_S
                and not alone
                and self._pacer.allows_start(spec)
                and self._membership.any_peer_fits(spec.need)
            )
            if too_late or elsewhere:
                self.queue.remove(key)
                reason = (
                    "its deadline passed while it waited"
                    if too_late
                    else NO_FREE_CAPACITY
                )
                self._return_grant(queued.grant, reason)

    def _expire_gangs(self) -> None:
        for worker in self._owned_workers.worker_by_name.values():
            for attempt in list(worker.attempt_by_key.values()):
                held_for = self._context.now - attempt.started
                if attempt.phase == "held" and held_for > GANG_HOLD_S:
                    self.abandon(worker, attempt, "its gang was not complete in time")

    def on_view(self) -> None:
        """Return what was granted under an earlier view and has not started."""
        for key, queued in list(self.queue.queued_by_key.items()):
            self.queue.remove(key)
            self._return_grant(queued.grant, "the view changed")
        for worker in list(self._owned_workers.worker_by_name.values()):
            for attempt in list(worker.attempt_by_key.values()):
                held = attempt.phase == "held"
                if held or self.withdraw_start(worker, attempt.key):
                    self.abandon(worker, attempt, "the view changed")

    def list_attempts_of_coordinator(self, coordinator: str) -> list[Attempt]:
        """Return the attempts on owned workers whose job a member coordinates."""
        view = self._membership.view
        attempts = []
        for worker in self._owned_workers.worker_by_name.values():
            for attempt in worker.attempt_by_key.values():
                job = attempt.key.partition("/")[0]
                if attempt.kind != "request" and view.choose_member(job) == coordinator:
                    attempt.coordinator = coordinator
                    attempts.append(attempt)
        return attempts

    @property
    def total_capacity(self) -> Resources:
        """Capacity of open workers."""
        return self._owned_workers.total_capacity

    @property
    def free(self) -> Resources:
        """Free resources on open workers."""
        return self._owned_workers.total_capacity - self._owned_workers.committed
