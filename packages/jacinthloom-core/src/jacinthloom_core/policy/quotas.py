"""This member's allotment of each team's limit, and the usage against it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..members.view import rendezvous
from ..vocabulary.messages import AllotmentAsked
from ..vocabulary.records import AllotmentsMoved, TeamAmount
from ..vocabulary.resources import NOTHING, UNLIMITED, Resources

if TYPE_CHECKING:
    from ..context import Context
    from ..ledger.log_state import Applied
    from ..ledger.writer import Writer
    from ..members.channels import Channels
    from ..members.membership import Membership

SHORTAGE_TTL_S = 1.0
"""Seconds for which a member counts as short of allotment after a shortage."""

NEVER = float("-inf")

REQUEST_INTERVAL_S = 0.3
"""Seconds between two rounds of allotment requests to peers."""


class Quotas:
    """Tracks usage against this member's allotments, and transfers allotments."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        channels: Channels,
        writer: Writer,
    ) -> None:
        self._context = context
        self._membership = membership
        self._channels = channels
        self._writer = writer
        self._used_by_team: dict[str, Resources] = {}
        self._outgoing_by_team: dict[str, Resources] = {}
        self._shortage_by_team: dict[str, Resources] = {}
        self._shortage_at_by_team: dict[str, float] = {}
        self._next_request_at = 0.0

    def add(self, team: str, amount: Resources) -> None:
        """Add an amount, negative to subtract, to the usage of a team."""
        used = self._used_by_team.get(team, NOTHING) + amount
        if used == NOTHING:
            self._used_by_team.pop(team, None)
        else:
            self._used_by_team[team] = used

    def find_used(self, team: str) -> Resources:
        """Return the usage of a team that counts against this member's allotment."""
        return self._used_by_team.get(team, NOTHING)

    def find_ceiling(self, team: str) -> Resources | None:
        """Return the most this member may run; ``None`` for a team without a limit.

        Allotment that is being transferred to a peer no longer counts.
        """
        part = self._context.state.allotments.find_part(team, self._context.member)
        if part is None:
            return None
        return part - self._outgoing_by_team.get(team, NOTHING)

    def allows(self, team: str, need: Resources) -> bool:
        """Return whether a team may use this much more on this member."""
        ceiling = self.find_ceiling(team)
        if ceiling is None:
            return True
        return (self.find_used(team) + need).fits_in(ceiling)

    def iterate_excess(self) -> list[str]:
        """Return the teams whose usage exceeds this member's allotment."""
        excess = []
        for team, used in self._used_by_team.items():
            ceiling = self.find_ceiling(team)
            if ceiling is not None and not used.fits_in(ceiling):
                excess.append(team)
        return excess

    def note_lacking(self, team: str, need: Resources) -> None:
        """Note a shortage of allotment, to request it from peers."""
        self._shortage_by_team[team] = need
        self._shortage_at_by_team[team] = self._context.now

    def on_tick(self) -> None:
        """Request missing allotment from all peers."""
        context = self._context
        if context.now < self._next_request_at or not self._shortage_by_team:
            return
        self._next_request_at = context.now + REQUEST_INTERVAL_S
        amounts = tuple(
            TeamAmount(team, need) for team, need in self._shortage_by_team.items()
        )
        self._shortage_by_team.clear()
        for info in self._membership.view.members_by_id.values():
            if info.member != context.member:
                self._channels.tell(info, AllotmentAsked(amounts))

    def on_allotment_asked(self, sender: str, message: AllotmentAsked) -> None:
        """Transfer spare allotment to a peer.

        This member's ceiling drops first, so that both never use the same allotment.
        """
        transfers = []
        for item in message.amounts:
            amount = self._compute_transfer(sender, item.team, item.amount)
            if amount != NOTHING:
                transfers.append(TeamAmount(item.team, amount))
        if not transfers:
            return
        for item in transfers:
            known = self._outgoing_by_team.get(item.team, NOTHING)
            self._outgoing_by_team[item.team] = known + item.amount
        self._writer.append(
            AllotmentsMoved(self._context.member, sender, tuple(transfers))
        )

    def _compute_transfer(
        self, requester: str, team: str, wanted: Resources
    ) -> Resources:
        """Return the amount to give: half of the spare, or the wanted amount if larger.

        Of two members that are both short of allotment, only the one with the higher
        rendezvous weight for the team gets any, so that parts too small to be of use
        are combined.
        """
        if self._outgoing_by_team.get(team, NOTHING) != NOTHING:
            return NOTHING
        ceiling = self.find_ceiling(team)
        if ceiling is None:
            return NOTHING
        is_short = (
            self._context.now
            < self._shortage_at_by_team.get(team, NEVER) + SHORTAGE_TTL_S
        )
        if is_short and rendezvous(team, requester) < rendezvous(
            team, self._context.member
        ):
            return NOTHING
        spare = ceiling - self.find_used(team)
        half = spare.scaled(1, 2)
        transfer = wanted.at_least(half).at_most(spare).at_least(NOTHING)
        limited = self._context.state.allotments.find_limited_resources(team)
        minimum = wanted.at_most(limited)
        if not minimum.fits_in(transfer):
            return NOTHING
        return transfer.at_most(limited.scaled(UNLIMITED, 1))

    def on_moved(self, applied: Applied, record: AllotmentsMoved) -> None:
        """Stop withholding a transferred amount, once its record is read back."""
        if record.donor != self._context.member:
            return
        for item in record.amounts:
            left = self._outgoing_by_team.get(item.team, NOTHING) - item.amount
            if left == NOTHING:
                self._outgoing_by_team.pop(item.team, None)
            else:
                self._outgoing_by_team[item.team] = left
        self._context.counters["allotment_moved"] += int(applied.accepted)
