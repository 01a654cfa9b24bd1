"""This member's allotment of each team's limit, and the usage against it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..members.view import rendezvous_weight
from ..model.messages import AllotmentAsked
from ..model.records import AllotmentsMoved, TeamAmount
from ..model.resources import NO_RESOURCES, UNLIMITED, Resources

if TYPE_CHECKING:
    from ..context import Context
    from ..members.channels import Channels
    from ..members.membership import Membership
    from ..shared_log.log_state import AppliedRecord
    from ..shared_log.log_writer import LogWriter

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
        writer: LogWriter,
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

    def add_usage(self, team: str, amount: Resources) -> None:
        """Add an amount, negative to subtract, to the usage of a team."""
        used = self._used_by_team.get(team, NO_RESOURCES) + amount
        if used == NO_RESOURCES:
            self._used_by_team.pop(team, None)
        else:
            self._used_by_team[team] = used

    def find_used(self, team: str) -> Resources:
        """Return the usage of a team that counts against this member's allotment."""
        return self._used_by_team.get(team, NO_RESOURCES)

    def find_ceiling(self, team: str) -> Resources | None:
        """Return the most this member may run; ``None`` for a team without a limit.

        Allotment that is being transferred to a peer no longer counts.
        """
        part = self._context.state.allotments.find_allotment(team, self._context.member)
        if part is None:
            return None
        return part - self._outgoing_by_team.get(team, NO_RESOURCES)

    def allows(self, team: str, need: Resources) -> bool:
        """Return whether a team may use this much more on this member."""
        ceiling = self.find_ceiling(team)
        if ceiling is None:
            return True
        return (self.find_used(team) + need).fits_in(ceiling)

    def list_teams_over_limit(self) -> list[str]:
        """Return the teams whose usage exceeds this member's allotment."""
        excess = []
        for team, used in self._used_by_team.items():
            ceiling = self.find_ceiling(team)
            if ceiling is not None and not used.fits_in(ceiling):
                excess.append(team)
        return excess

    def note_shortage(self, team: str, need: Resources) -> None:
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
                self._channels.send_unordered(info, AllotmentAsked(amounts))

    def on_allotment_asked(self, sender: str, message: AllotmentAsked) -> None:
        """Transfer spare allotment to a peer.

        The ceiling of this member is lowered first, so that the allotment is never used
        by both.
        """
        transfers = []
        for item in message.amounts:
            amount = self._compute_transfer(sender, item.team, item.amount)
            if amount != NO_RESOURCES:
                transfers.append(TeamAmount(item.team, amount))
        if not transfers:
            return
        for item in transfers:
            known = self._outgoing_by_team.get(item.team, NO_RESOURCES)
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
        if self._outgoing_by_team.get(team, NO_RESOURCES) != NO_RESOURCES:
            return NO_RESOURCES
        ceiling = self.find_ceiling(team)
        if ceiling is None:
            return NO_RESOURCES
        is_short = (
            self._context.now
            < self._shortage_at_by_team.get(team, NEVER) + SHORTAGE_TTL_S
        )
        if is_short and rendezvous_weight(team, requester) < rendezvous_weight(
            team, self._context.member
        ):
            return NO_RESOURCES
        spare = ceiling - self.find_used(team)
        half = spare.scaled(1, 2)
        transfer = (
            wanted.component_max(half).component_min(spare).component_max(NO_RESOURCES)
        )
        limited = self._context.state.allotments.find_limited_resources(team)
        minimum = wanted.component_min(limited)
        if not minimum.fits_in(transfer):
            return NO_RESOURCES
        return transfer.component_min(limited.scaled(UNLIMITED, 1))

    def on_allotments_moved(
        self, applied: AppliedRecord, record: AllotmentsMoved
    ) -> None:
        """Stop withholding a transferred amount, once its record is read back."""
        if record.donor != self._context.member:
            return
        for item in record.amounts:
            left = self._outgoing_by_team.get(item.team, NO_RESOURCES) - item.amount
            if left == NO_RESOURCES:
                self._outgoing_by_team.pop(item.team, None)
            else:
                self._outgoing_by_team[item.team] = left
        self._context.counters["allotment_moved"] += int(applied.accepted)
