"""Mutants of the lease authority, each with one fault that simulations must detect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jacinthloom_core.planner.lease_authority import (
    KNOWN_PREDECESSOR_S,
    LeaseAuthority,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from .clock import VirtualClock


class AnswersNotNeeded(LeaseAuthority):
    """Relies on every voter, whether it answers or not."""

    def _find_answered_at(self, address: str) -> float:
        return float("inf")


class UnconfirmedListsIgnored(LeaseAuthority):
    """Needs only the voters of the last renewal that was confirmed."""

    @property
    def _voters(self) -> frozenset[str]:
        return (self._stored_voters or frozenset()) - {self._address}


class AnswersCountFromArrival(LeaseAuthority):
    """Counts an answer from its arrival, not from the sending of the ping."""

    clock: VirtualClock

    def on_ping_answered(self, address: str, sent_at: float) -> None:
        """Record that a member answers at present."""
        super().on_ping_answered(address, self.clock.now)


class VotersNotInherited(LeaseAuthority):
    """Names voters that may be none of an earlier planner that lives on."""

    def choose_voters(self, now: float) -> tuple[str, ...] | None:
        """Return all hosts that are connected."""
        self._inherited_voters = None
        return super().choose_voters(now)


class NoCap(LeaseAuthority):
    """Relies on voters however long ago the last renewal was."""

    def compute_until(self) -> float:
        """Return the time until which all voters have answered."""
        renewed_at = self._renewed_at
        if renewed_at > float("-inf"):
            self._renewed_at = float("inf")
        until = super().compute_until()
        self._renewed_at = renewed_at
        return until


class NoVoterWithShortMargin(LeaseAuthority):
    """Assumes the short margin, although it is not a voter of its predecessor."""

    def __init__(
        self,
        address: str,
        stored_voters: frozenset[str] | None,
        is_voter: bool,
        claimed_at: float,
    ) -> None:
        super().__init__(address, stored_voters, is_voter, claimed_at)
        self.predecessor_s = KNOWN_PREDECESSOR_S


def bind(
    mutation: type[LeaseAuthority], clock: VirtualClock
) -> Callable[..., LeaseAuthority]:
    """Return a mutant that may look at the clock of its simulation."""
    return type(mutation.__name__, (mutation,), {"clock": clock})
