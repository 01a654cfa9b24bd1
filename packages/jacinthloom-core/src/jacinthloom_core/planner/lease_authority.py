"""Until when the planner of a term may renew the leases of workers.

A planner that was replaced, and does not know it, must not keep leases alive that its
successor counts as expired. It relies on its claim for a while after each renewal. When
the store fails, it goes on for as long as no other member plans: each of its voters,
the hosts that its newest stored renewal names, has to answer its pings. A member that
plans answers none, and its predecessor may rely on earlier answers for a while.

A member that is no voter may replace the planner unnoticed. So voters of a planner are
voters of its predecessors too, for as long as one of these may live on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .election import AUTHORITY_S

if TYPE_CHECKING:
    from collections.abc import Iterable

ANSWERED_S = 1.4
"""Seconds for which the planner relies on a voter's answer, from sending its ping."""

KNOWN_PREDECESSOR_S = 1.5
"""Seconds after its load for which a planner assumes that its predecessor, of which it
is a voter, renews leases. The margin to ``ANSWERED_S`` exceeds the differences between
clocks."""

MAX_WITHOUT_STORE_S = 100.0
"""Maximum seconds since the last renewal for which a planner relies on its voters."""

UNKNOWN_PREDECESSOR_S = 120.0
"""Like ``KNOWN_PREDECESSOR_S``, for a planner that is not a voter of its predecessor:
longer than ``MAX_WITHOUT_STORE_S``."""

VOTER_RETENTION_S = 10.0
"""Seconds for which a host without a connection remains a voter: longer than a process
takes to restart, so that it may succeed a planner that it has just lost."""

SILENT_AFTER_S = 0.6
"""Seconds since the newest answered ping after which a voter is silent: a ping interval
and its answer."""

LIST_INTERVAL_S = 1.0
"""Seconds after which a renewal names the voters again: members that start after the
claim was deleted learn the term from it."""


class LeaseAuthority:
    """Determines until when the planner of one term may renew leases.

    :param address: address of the planner's host
    :param stored_voters: addresses in the newest stored list; None if there is none
    :param is_voter: whether the planner is a voter of its predecessor, or had none
    :param claimed_at: time at which the planner learned of its claim
    """

    def __init__(
        self,
        address: str,
        stored_voters: frozenset[str] | None,
        is_voter: bool,
        claimed_at: float,
    ) -> None:
        self._address = address
        self._stored_voters = stored_voters
        self._unconfirmed_voters: frozenset[str] | None = None
        """Voters in any list that may have been stored since the last one that was."""
        self.predecessor_s = KNOWN_PREDECESSOR_S if is_voter else UNKNOWN_PREDECESSOR_S
        """Seconds after the load for which an earlier planner may renew leases."""
        self._inherited_voters = stored_voters
        self._inherits_until = claimed_at + UNKNOWN_PREDECESSOR_S
        self._votes_from = claimed_at if is_voter else self._inherits_until
        self._lost_at_by_address = dict.fromkeys(stored_voters or (), claimed_at)
        """Time at which the connection to each host was lost; infinite while there is
        one."""
        self._answered_ping_by_address: dict[str, float] = {}
        """Time of sending of the newest ping that each host has answered."""
        self._earlier_unconfirmed_voters: frozenset[str] | None = None
        """Value of ``_unconfirmed_voters`` before the renewal in flight."""
        self._listed_at = float("-inf")
        self._renewed_at = float("-inf")
        self._relied_on_from = float("-inf")

    def on_connected(self, address: str) -> None:
        """Record that a member at an address is connected."""
        self._lost_at_by_address[address] = float("inf")

    def on_disconnected(self, address: str, now: float) -> None:
        """Record that the connection to a member was lost."""
        self._lost_at_by_address[address] = now

    def on_ping_answered(self, address: str, sent_at: float) -> None:
        """Record that a member has answered a ping.

        :param sent_at: time at which the ping was sent
        """
        known_at = self._answered_ping_by_address.get(address, sent_at)
        self._answered_ping_by_address[address] = max(known_at, sent_at)

    def choose_voters(self, now: float) -> tuple[str, ...] | None:
        """Return the voters that the next renewal has to name, or None for no change.

        A planner that does not know whose leases its predecessor renews names none, so
        that its successor does not know either.
        """
        self._earlier_unconfirmed_voters = self._unconfirmed_voters
        if now < self._votes_from:
            return None
        voters = frozenset(self._list_voters(now))
        is_current = voters == self._stored_voters and self._unconfirmed_voters is None
        if is_current and now - self._listed_at < LIST_INTERVAL_S:
            return None
        self._unconfirmed_voters = voters | (self._unconfirmed_voters or frozenset())
        return tuple(sorted(voters))

    def _list_voters(self, now: float) -> Iterable[str]:
        yield self._address
        inherited = self._inherited_voters if now < self._inherits_until else None
        for address, lost_at in self._lost_at_by_address.items():
            is_eligible = inherited is None or address in inherited
            if is_eligible and now - lost_at < VOTER_RETENTION_S:
                yield address

    def may_succeed(self, address: str) -> bool:
        """Whether a planner at an address would know whose leases are renewed."""
        return self._stored_voters is None or address in self._stored_voters

    def list_silent_voters(self, now: float) -> list[str]:
        """Return the voters to query, as they are not connected and answer no pings.

        None are needed while the planner can rely on its claim.
        """
        if now < self._relied_on_from + AUTHORITY_S:
            return []
        return [
            voter
            for voter in self._voters
            if self._lost_at_by_address.get(voter) != float("inf")
            and now - self._find_answered_at(voter) > SILENT_AFTER_S
        ]

    @property
    def _voters(self) -> frozenset[str]:
        """Other hosts of which any may know that it is a voter."""
        stored = self._stored_voters or frozenset()
        return (stored | (self._unconfirmed_voters or frozenset())) - {self._address}

    def _find_answered_at(self, address: str) -> float:
        return self._answered_ping_by_address.get(address, float("-inf"))

    def on_renewed(self, sent_at: float, voters: tuple[str, ...] | None) -> None:
        """Record that a renewal was stored.

        :param voters: voters that it names
        """
        self._renewed_at = self._relied_on_from = sent_at
        if voters is not None:
            self._stored_voters = frozenset(voters)
            self._unconfirmed_voters = None
            self._listed_at = sent_at

    def on_renewal_refused(self) -> None:
        """Record that the renewal in flight was certainly not stored."""
        self._unconfirmed_voters = self._earlier_unconfirmed_voters

    def abdicate(self) -> None:
        """Stop relying on the claim until the next renewal."""
        self._relied_on_from = float("-inf")

    def is_held(self, now: float) -> bool:
        """Whether leases may be renewed now."""
        # The answers of all voters are not compared while the claim suffices.
        return now < self._relied_on_from + AUTHORITY_S or now < self.compute_until()

    def compute_until(self) -> float:
        """Return the time until which leases may be renewed.

        A successor assumes renewals for longer, from its load: see ``predecessor_s``.
        """
        until = self._relied_on_from + AUTHORITY_S
        if self._stored_voters is None:
            return until
        sent_at = min(map(self._find_answered_at, self._voters), default=float("inf"))
        answered_until = min(
            sent_at + ANSWERED_S, self._renewed_at + MAX_WITHOUT_STORE_S
        )
        return max(until, answered_until)
