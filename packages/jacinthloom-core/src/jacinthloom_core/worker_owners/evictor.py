"""Eviction from owned workers: drains, limits, overuse and preemption."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import NO_RESOURCES
from ..model.work import is_request
from ..policy.fairness import Demand, compute_entitlements

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..context import Context
    from ..model.work import Grant
    from ..policy.fairness import FairShareTracker
    from ..policy.quotas import Quotas
    from .grant_dispatcher import GrantDispatcher
    from .owned_workers import OwnedWorkers
    from .workers import Attempt, Worker

PREEMPTION_INTERVAL_S = 0.5
"""Seconds between two preemption passes."""

URGENT_WAIT_S = 0.5
"""Seconds that urgent work waits before other work is preempted for it."""

SHARE_WAIT_S = 2.0
"""Seconds that a team below its share waits before work is preempted for it."""

PREEMPTIONS_PER_PASS = 32
"""Maximum number of attempts preempted for waiting work in one pass."""


class Evictor:
    """Checkpoint or stop attempts that may not or should not continue."""

    def __init__(
        self,
        context: Context,
        dispatcher: GrantDispatcher,
        owned_workers: OwnedWorkers,
        quotas: Quotas,
        fairness: FairShareTracker,
    ) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._owned_workers = owned_workers
        self._quotas = quotas
        self._fairness = fairness
        self._next_pass = 0.0

    def on_configuration(self) -> None:
        """Drain zones and enforce limits after a configuration change."""
        self._drain()
        self._stop_excess()

    def on_tick(self) -> None:
        """Drain, enforce limits, relieve hosts and preempt for waiting work."""
        if self._context.now < self._next_pass:
            return
        self._next_pass = self._context.now + PREEMPTION_INTERVAL_S
        if not self._dispatcher.may_start:
            return
        self._drain()
        self._stop_excess()
        self._limit_overuse()
        self._preempt()

    def _iterate_running(self) -> Iterator[tuple[Worker, Attempt]]:
        for worker in self._owned_workers.worker_by_name.values():
            if worker.phase == "open":
                for attempt in list(worker.attempt_by_key.values()):
                    if attempt.phase == "running":
                        yield worker, attempt

    def _drain(self) -> None:
        """Checkpoint the attempts on leaving hosts and in zones out of service."""
        zones_out = self._context.state.configuration.zones_out
        for worker in list(self._owned_workers.worker_by_name.values()):
            is_draining = (
                worker.info.zone in zones_out or worker.info.state == "leaving"
            )
            if not is_draining or worker.phase != "open":
                continue
            for attempt in list(worker.attempt_by_key.values()):
                if attempt.kind != "request" and attempt.phase in ("running", "held"):
                    self._context.counters["drained"] += 1
                    self._dispatcher.stop(attempt, checkpoint=True)

    def _stop_excess(self) -> None:
        """Checkpoint the newest attempts of teams above this member's allotment."""
        for team in self._quotas.list_teams_over_limit():
            ceiling = self._quotas.find_ceiling(team)
            used = self._quotas.find_used(team)
            attempts = [a for _, a in self._iterate_running() if a.team == team]
            for item in self._list_stopping(team):
                used = used - item.need
            for attempt in sorted(attempts, key=lambda a: -a.started):
                if ceiling is None or used.fits_in(ceiling):
                    break
                used = used - attempt.need
                self._context.note("excess_stopped", attempt.key, team=team)
                self._dispatcher.stop(attempt, checkpoint=True)

    def _list_stopping(self, team: str) -> list[Attempt]:
        return [
            attempt
            for worker in self._owned_workers.worker_by_name.values()
            for attempt in worker.attempt_by_key.values()
            if attempt.team == team and attempt.phase == "stopping"
        ]

    def _limit_overuse(self) -> None:
        """Throttle, then checkpoint, an attempt that uses more than it declared."""
        for worker in self._owned_workers.worker_by_name.values():
            over = NO_RESOURCES - worker.free
            if worker.phase != "open" or over.fits_in(NO_RESOURCES):
                continue
            for attempt in sorted(
                worker.attempt_by_key.values(), key=lambda a: -a.used.processors
            ):
                declared = attempt.grant.spec.need if attempt.grant else attempt.need
                if attempt.phase != "running" or attempt.used.fits_in(declared):
                    continue
                if over.memory <= 0 and not attempt.throttled:
                    attempt.throttled = True
                    worker.throttles.add(attempt.key)
                else:
                    self._dispatcher.stop(attempt, checkpoint=True)
                self._context.note("over_declared", attempt.key, worker.name)
                break

    def stop_ended_jobs(self, name: str) -> None:
        """Stop the attempts on a worker whose job has ended."""
        worker = self._owned_workers.worker_by_name.get(name)
        if worker is None:
            return
        for attempt in list(worker.attempt_by_key.values()):
            job = attempt.key.partition("/")[0]
            if not is_request(job) and job not in self._context.state.job_by_id:
                self._dispatcher.stop(attempt)

    # Preemption for waiting work

    def _preempt(self) -> None:
        """Checkpoint work above its share for urgent grants and teams below theirs."""
        waiting = self._list_waiting()
        if not waiting:
            return
        entitled = self._compute_entitled(waiting)
        stopping = self._compute_stopping_processors()
        remaining = PREEMPTIONS_PER_PASS
        for grant in waiting:
            if grant.spec.need.processors <= stopping:
                stopping -= grant.spec.need.processors
                continue
            victim = self._find_victim(grant, entitled)
            if victim is None:
                continue
            self._context.note(
                "reclaimed", victim.key, f"for {grant.key}", team=victim.team
            )
            self._dispatcher.stop(victim, checkpoint=True)
            remaining -= 1
            if remaining == 0:
                return

    def _list_waiting(self) -> list[Grant]:
        now = self._context.now
        waiting = []
        for queued in self._dispatcher.queue.queued_by_key.values():
            spec = queued.grant.spec
            wait_s = URGENT_WAIT_S if spec.urgent else SHARE_WAIT_S
            if now < queued.since + wait_s:
                continue
            if self._quotas.allows(spec.team, spec.need) and self._dispatcher.is_due(
                spec
            ):
                waiting.append(queued.grant)
        return sorted(waiting, key=lambda grant: (not grant.spec.urgent, grant.key))

    def _compute_stopping_processors(self) -> int:
        return sum(
            attempt.need.processors
            for worker in self._owned_workers.worker_by_name.values()
            for attempt in worker.attempt_by_key.values()
            if attempt.phase == "stopping"
        )

    def _compute_entitled(self, waiting: list[Grant]) -> dict[str, float]:
        waiting_teams = {grant.spec.team for grant in waiting}
        running = set(self._owned_workers.used_by_team)
        demand_by_team = {
            team: Demand(
                self._fairness.find_share(team),
                1.0 if team in waiting_teams else self._fairness.find_fraction(team),
            )
            for team in waiting_teams | running
        }
        return compute_entitlements(demand_by_team)

    def _find_victim(self, grant: Grant, entitled: dict[str, float]) -> Attempt | None:
        """Return the attempt to preempt for a grant.

        Of the deferrable attempts whose end lets the grant fit, this is the one whose
        team is furthest above its share; an urgent grant prefers its own team's.
        """
        team = grant.spec.team
        if (
            self._fairness.find_fraction(team) > entitled[team]
            and not grant.spec.urgent
        ):
            return None
        best: Attempt | None = None
        best_rank = (0.0, 0.0)
        for worker, attempt in self._iterate_running():
            if not attempt.deferrable or not self._dispatcher.is_usable(worker):
                continue
            if not grant.spec.need.fits_in(worker.free + attempt.need):
                continue
            excess = self._fairness.find_fraction(attempt.team) - entitled.get(
                attempt.team, 0.0
            )
            own = attempt.team == team and grant.spec.urgent
            if excess <= 0 and not own:
                continue
            rank = (excess + (1.0 if own else 0.0), attempt.started)
            if best is None or rank > best_rank:
                best = attempt
                best_rank = rank
        return best
