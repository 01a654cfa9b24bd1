"""Observe the authority of a planner over leases: for logs, metrics and readiness."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import clock, log

if TYPE_CHECKING:
    from collections import Counter

    from jacinthloom_core.planner.lease_authority import LeaseAuthority


class AuthorityWatch:
    """Log when authority is lost or regained, and count the renewals of leases.

    :param term: number of the planner's term
    :param counters: counters of the planner, by name
    """

    def __init__(
        self, lease_authority: LeaseAuthority, term: int, counters: Counter[str]
    ) -> None:
        self._lease_authority = lease_authority
        self._term = term
        self._counters = counters
        self._was_held = False
        self._held_at = clock.now()

    @property
    def is_held(self) -> bool:
        """Whether leases may be renewed now."""
        return self._lease_authority.is_held(clock.now())

    def note(self) -> None:
        """Log that authority was lost or regained since the last call."""
        is_held = self.is_held
        if is_held:
            self._held_at = clock.now()
        if is_held != self._was_held:
            self._was_held = is_held
            self.log("authority_regained" if is_held else "no_authority")

    def log(self, event: str) -> None:
        """Write a line with the renewals of the term so far."""
        log.write(
            event,
            term=self._term,
            leases_renewed=self._counters["lease_renewed"],
            without_authority=self._counters["lease_renewed_without_authority"],
        )

    def count_renewal(self) -> None:
        """Count a renewal that is sent now."""
        self._counters["lease_renewed"] += 1
        self._counters["lease_renewed_without_authority"] += not self.is_held

    def measure_lost_s(self) -> float:
        """Return for how many seconds there has been no authority."""
        return 0.0 if self.is_held else clock.now() - self._held_at
