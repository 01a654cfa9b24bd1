"""This member's part of each team's limit, and what counts against it."""

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

LACKING_S = 1.0
"""Seconds for which a member counts as lacking since it last did."""

NEVER = float("-inf")

ASK_INTERVAL_S = 0.3
"""Seconds between two rounds of asking peers for allotment."""


class Quotas:
    """Count what runs and what may run, for teams with a limit."""

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
        self._lacking_by_team: dict[str, Resources] = {}
        self._lacked_at: dict[str, float] = {}
        self._next_ask = 0.0

    def add_usage(self, team: str, amount: Resources) -> None:
        """Count an amount that may be running, or stop counting it."""
        used = self._used_by_team.get(team, NO_RESOURCES) + amount
        if used == NO_RESOURCES:
            self._used_by_team.pop(team, None)
        else:
            self._used_by_team[team] = used

    def find_used(self, team: str) -> Resources:
        """Return what counts against this member's part."""
        return self._used_by_team.get(team, NO_RESOURCES)

    def find_ceiling(self, team: str) -> Resources | None:
        """Return the most this member may run; ``None`` without a limit.

        A part that is on its way to a peer counts as gone.
        """
        part = self._context.state.allotments.find_allotment(team, self._context.member)
        if part is None:
            return None
        return part - self._outgoing_by_team.get(team, NO_RESOURCES)

    def allows(self, team: str, need: Resources) -> bool:
        """Return whether the team may run this much more here."""
        ceiling = self.find_ceiling(team)
        if ceiling is None:
            return True
        return (self.find_used(team) + need).fits_in(ceiling)

    def list_teams_over_limit(self) -> list[str]:
        """Return the teams that run more than this member may run for them."""
        excess = []
        for team, used in self._used_by_team.items():
            ceiling = self.find_ceiling(team)
            if ceiling is not None and not used.fits_in(ceiling):
                excess.append(team)
        return excess

    def note_lacking(self, team: str, need: Resources) -> None:
        """Remember to ask peers for allotment."""
        self._lacking_by_team[team] = need
        self._lacked_at[team] = self._context.now

    def on_tick(self) -> None:
        """Ask a peer for what is lacking, each in turn."""
        context = self._context
        if context.now < self._next_ask or not self._lacking_by_team:
            return
        self._next_ask = context.now + ASK_INTERVAL_S
        amounts = tuple(
            TeamAmount(team, need) for team, need in self._lacking_by_team.items()
        )
        self._lacking_by_team.clear()
        for info in self._membership.view.members_by_id.values():
            if info.member != context.member:
                self._channels.send_unordered(info, AllotmentAsked(amounts))

    def on_allotment_asked(self, sender: str, message: AllotmentAsked) -> None:
        """Give away what this member does not need, lowering its ceiling first."""
        given = []
        for item in message.amounts:
            amount = self._compute_gift(sender, item.team, item.amount)
            if amount != NO_RESOURCES:
                given.append(TeamAmount(item.team, amount))
        if not given:
            return
        for item in given:
            known = self._outgoing_by_team.get(item.team, NO_RESOURCES)
            self._outgoing_by_team[item.team] = known + item.amount
        self._writer.append(AllotmentsMoved(self._context.member, sender, tuple(given)))

    def _compute_gift(self, asker: str, team: str, wanted: Resources) -> Resources:
        """Return what to give: half of the spare, or what is wanted if that is more.

        Of two members that both lack allotment, only the one that comes first for the
        team gets any, so that parts too small to be of use come together.
        """
        if self._outgoing_by_team.get(team, NO_RESOURCES) != NO_RESOURCES:
            return NO_RESOURCES
        ceiling = self.find_ceiling(team)
        if ceiling is None:
            return NO_RESOURCES
        lacking = self._context.now < self._lacked_at.get(team, NEVER) + LACKING_S
        if lacking and rendezvous_weight(team, asker) < rendezvous_weight(
            team, self._context.member
        ):
            return NO_RESOURCES
        spare = ceiling - self.find_used(team)
        half = spare.scaled(1, 2)
        gift = (
            wanted.component_max(half).component_min(spare).component_max(NO_RESOURCES)
        )
        limited = self._context.state.allotments.find_limited(team)
        some = wanted.component_min(limited)
        if not some.fits_in(gift):
            return NO_RESOURCES
        return gift.component_min(limited.scaled(UNLIMITED, 1))

    def on_allotments_moved(
        self, applied: AppliedRecord, record: AllotmentsMoved
    ) -> None:
        """Stop withholding what was moved, once the record is read back."""
        if record.donor != self._context.member:
            return
        for item in record.amounts:
            left = self._outgoing_by_team.get(item.team, NO_RESOURCES) - item.amount
            if left == NO_RESOURCES:
                self._outgoing_by_team.pop(item.team, None)
            else:
                self._outgoing_by_team[item.team] = left
        self._context.counters["allotment_moved"] += int(applied.accepted)
