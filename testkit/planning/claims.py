"""Hosts that claim the term of the planner, renew it, and answer its pings."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from jacinthloom_core.planner.election import CLAIM_AFTER_S, DEFER_S, RENEW_S
from jacinthloom_core.planner.lease_authority import LeaseAuthority

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .world import PlannerProcess, World

HOSTS_PER_ZONE = 2

WATCH_INTERVAL_S = 0.05
"""Seconds between two looks of the members at the election log."""

PING_INTERVAL_S = 0.5

SILENCE_TIMEOUT_S = 1.6
"""Seconds without an answer after which a member counts as disconnected."""

MAX_CLAIM_DELAY_S = 1.5
"""Maximum seconds by which a member claims later than it may."""

MAX_NOTICE_S = 1.0
"""Maximum seconds until a planner that reaches the store learns of a later claim."""

LOST_ANSWERS = 0.05
"""Share of renewals that are stored, but whose answer is lost."""


@dataclass(slots=True)
class Claim:
    """Claim of a term by a host, and the members that are connected to it.

    :param renewed_at: time of sending of the last renewal that was confirmed
    :param renewal_tried_at: time of the last attempt to renew
    """

    host: str
    zone: str
    lease_authority: LeaseAuthority
    renewed_at: float
    answered_at_by_host: dict[str, float]
    disconnected_hosts: set[str]
    renewal_tried_at: float = float("-inf")
    pinged_at: float = float("-inf")


class Claims:
    """Holds elections by the log, and gives planners their authority over leases.

    Members claim once they have read the election log for ``CLAIM_AFTER_S`` without a
    renewal. An earlier planner lives on until an append or a worker fences it, or until
    it reaches the store again.
    """

    def __init__(self, world: World, seed: int, zones: Sequence[str]) -> None:
        self._world = world
        self._random = Random(f"claims {seed}")
        self._zone_by_host = {
            f"{zone}-{number}": zone
            for number in range(HOSTS_PER_ZONE)
            for zone in zones
        }
        self._processes: list[PlannerProcess] = []
        """Planner processes that may not have ended."""
        self._stored_voters: frozenset[str] | None = None
        self._renewed_at = 0.0
        """Time of the last renewal that was stored."""
        self._readable_since_by_zone = dict.fromkeys(zones, 0.0)
        self._claim_delay_s = 0.0
        self._notices_at_by_term: dict[int, float] = {}

    @property
    def earlier_processes(self) -> list[PlannerProcess]:
        """Planner processes that were replaced, and may not have ended."""
        current = self._world.current_process
        return [process for process in self._processes if process is not current]

    def choose_host(self, zones: Iterable[str]) -> str:
        """Draw a host in one of some zones, if possible one without a planner."""
        hosts = [host for host, zone in self._zone_by_host.items() if zone in zones]
        return self._random.choice(self._without_planners(hosts) or hosts)

    def _without_planners(self, hosts: list[str]) -> list[str]:
        taken = {process.claim.host for process in self._processes if process.is_alive}
        return [host for host in hosts if host not in taken]

    def begin(self, host: str) -> Claim:
        """Append the claim of a host."""
        now = self._renewed_at = self._world.clock.now
        authority = LeaseAuthority(host, self._stored_voters, self._is_voter(host), now)
        claim = Claim(host, self._zone_by_host[host], authority, now, {}, set())
        for other in self._zone_by_host:
            if self._is_separated(claim, other):
                claim.disconnected_hosts.add(other)
            else:
                claim.answered_at_by_host[other] = now
                authority.on_connected(other)
        return claim

    def _is_separated(self, claim: Claim, host: str) -> bool:
        zone = self._zone_by_host[host]
        return self._world.zone_cuts.separates(claim.zone, zone)

    def _is_voter(self, host: str) -> bool:
        return self._stored_voters is None or host in self._stored_voters

    def add_process(self, process: PlannerProcess) -> None:
        """Add the process of a planner that is elected."""
        self._processes.append(process)

    def on_tick(self, process: PlannerProcess) -> None:
        """Renew the claim of a planner, and ping its members, if that is due."""
        now = self._world.clock.now
        claim = process.claim
        if now - claim.renewal_tried_at >= RENEW_S:
            claim.renewal_tried_at = now
            self._renew(process, now)
        if now - claim.pinged_at >= PING_INTERVAL_S:
            claim.pinged_at = now
            for host in self._zone_by_host:
                if host != claim.host:
                    self._ping(claim, host, now)

    def _renew(self, process: PlannerProcess, now: float) -> None:
        store = self._world.store
        claim = process.claim
        voters = claim.lease_authority.choose_voters(now)
        is_reached = self._world.zone_cuts.reaches_store(process)
        if process.term != store.term or store.is_down or not is_reached:
            return
        self._renewed_at = now
        if voters is not None:
            self._stored_voters = frozenset(voters)
        if self._random.random() >= LOST_ANSWERS:
            claim.renewed_at = now
            claim.lease_authority.on_renewed(now, voters)

    def _ping(self, claim: Claim, host: str, now: float) -> None:
        """Let a member answer, unless it is cut off, or plans itself."""
        plans = not self._without_planners([host])
        if not plans and not self._is_separated(claim, host):
            claim.answered_at_by_host[host] = now
            if host in claim.disconnected_hosts:
                claim.disconnected_hosts.discard(host)
                claim.lease_authority.on_connected(host)
            claim.lease_authority.on_ping_answered(host, now)
            return
        is_silent = now - claim.answered_at_by_host.get(host, now) > SILENCE_TIMEOUT_S
        if is_silent and host not in claim.disconnected_hosts:
            claim.disconnected_hosts.add(host)
            claim.lease_authority.on_disconnected(host, now)

    # Elections by the log

    def watch(self) -> None:
        """Hold an election if it is due, and end planners that learn of one."""
        now = self._world.clock.now
        is_down = self._world.store.is_down
        for zone in self._readable_since_by_zone:
            if is_down or not self._world.zone_cuts.zone_reaches_store(zone):
                self._readable_since_by_zone[zone] = now
        self._processes = [process for process in self._processes if process.is_alive]
        for process in self._processes:
            self._notice_claim(process, now)
        hosts = [host for host in self._zone_by_host if self._may_claim(host, now)]
        candidates = self._without_planners(hosts)
        if candidates:
            self._world.elect(self._random.choice(candidates))
            delay_s = self._random.uniform(0, MAX_CLAIM_DELAY_S)
            self._claim_delay_s = self._random.choice((0.0, delay_s))
        self._world.clock.after(WATCH_INTERVAL_S, self.watch)

    def _may_claim(self, host: str, now: float) -> bool:
        readable_since = self._readable_since_by_zone[self._zone_by_host[host]]
        silent_s = now - max(readable_since, self._renewed_at)
        defer_s = 0.0 if self._is_voter(host) else DEFER_S
        return silent_s >= CLAIM_AFTER_S + self._claim_delay_s + defer_s

    def _notice_claim(self, process: PlannerProcess, now: float) -> None:
        store = self._world.store
        is_reached = self._world.zone_cuts.reaches_store(process)
        if process.term == store.term or store.is_down or not is_reached:
            self._notices_at_by_term.pop(process.term, None)
            return
        if process.term not in self._notices_at_by_term:
            delay_s = self._random.uniform(0, MAX_NOTICE_S)
            self._notices_at_by_term[process.term] = now + delay_s
        if now >= self._notices_at_by_term[process.term] and not process.is_frozen:
            process.is_alive = False
