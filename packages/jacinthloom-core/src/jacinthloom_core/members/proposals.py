"""Votes for the next view, and proposals of one when membership changes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model.messages import Vote, VoteAsked
from ..model.records import ViewProposed
from ..model.settings import SUSPICION_TIMEOUT_S
from .membership import NEVER
from .view import rendezvous_weight

if TYPE_CHECKING:
    from ..context import Context
    from ..model.records import MemberInfo
    from ..shared_log.log_writer import LogWriter
    from .channels import Channels
    from .membership import Membership

TAIL_AGE_FOR_VOTES_S = 1.5
"""Maximum seconds since the log's tail was read for a view to be proposed."""

PROPOSAL_TURN_S = 0.4
"""Seconds between the turns of members to propose a view."""

PROPOSAL_TIMEOUT_S = 2.0
"""Seconds after which an unfinished proposal is dropped."""


@dataclass(slots=True)
class _Proposal:
    """A next view that is gathering votes."""

    number: int
    members: tuple[MemberInfo, ...]
    begun: float
    votes: set[str] = field(default_factory=set)
    appended: bool = False


class Proposals:
    """Gather votes for a view without suspected members and with joining ones."""

    def __init__(
        self,
        context: Context,
        channels: Channels,
        writer: LogWriter,
        membership: Membership,
    ) -> None:
        self._context = context
        self._channels = channels
        self._writer = writer
        self._membership = membership
        self._proposal: _Proposal | None = None
        self._wanted_since = NEVER

    def on_view(self) -> None:
        """Drop the proposal made under the previous view."""
        self._proposal = None
        self._wanted_since = NEVER

    def on_vote_asked(self, sender: MemberInfo, message: VoteAsked) -> None:
        """Vote for a next view if this member would remove the same members."""
        if (
            message.number != self._membership.view.number + 1
            or not self._membership.is_member
        ):
            return
        if self._membership.drained:
            return
        kept = {item.member for item in message.members}
        removed = set(self._membership.view.members_by_id) - kept
        if self._context.member in removed:
            return
        if not all(self._may_remove(item) for item in removed):
            return
        self._membership.vote(message.number)
        self._channels.send_unordered(sender, Vote(message.number, tuple(sorted(kept))))

    def _may_remove(self, member: str) -> bool:
        """Return whether this member would vote to remove a member."""
        if self._membership.suspects(member) or self._is_leaving(member):
            return True
        return member in {
            item.succeeds for item in self._membership.joining_member_by_id.values()
        }

    def _is_leaving(self, member: str) -> bool:
        peer = self._membership.peer_by_id.get(member)
        return peer is not None and peer.leaving

    def on_vote(self, sender: str, message: Vote) -> None:
        """Count a vote; append the view once it has enough."""
        proposal = self._proposal
        if proposal is None or proposal.number != message.number:
            return
        if message.member_ids != _sorted_ids(proposal.members):
            return
        proposal.votes.add(sender)
        self._append_if_approved()

    def _append_if_approved(self) -> None:
        proposal = self._proposal
        if proposal is None or proposal.appended:
            return
        if len(proposal.votes) < self._membership.view.votes_needed:
            return
        proposal.appended = True
        self._writer.append(
            ViewProposed(
                proposal.number,
                proposal.members,
                tuple(sorted(proposal.votes)),
                self._context.member,
            )
        )

    def on_tick(self, me: MemberInfo) -> None:
        """Propose a next view if one is wanted and it is this member's turn."""
        context = self._context
        if self._membership.tail_age > TAIL_AGE_FOR_VOTES_S:
            return
        if self._membership.view.number == 0:
            self._propose_first_view(me)
            return
        if not self._membership.is_member:
            self._replace_dead_view(me)
            return
        proposal = self._proposal
        if proposal and context.now <= proposal.begun + PROPOSAL_TIMEOUT_S:
            return
        members = self._compute_next_members(me)
        voted = self._membership.voted_view > self._membership.view.number
        if (
            _sorted_ids(members) == tuple(sorted(self._membership.view.members_by_id))
            and not voted
        ):
            self._wanted_since = NEVER
            return
        if self._wanted_since == NEVER:
            self._wanted_since = context.now
        if context.now >= self._wanted_since + self._compute_turn() * PROPOSAL_TURN_S:
            self._propose(members, me)

    def _propose_first_view(self, me: MemberInfo) -> None:
        if self._writer.is_idle and not self._context.leaving:
            self._writer.append(ViewProposed(1, (me,), (), me.member))

    def _replace_dead_view(self, me: MemberInfo) -> None:
        """Append a view if every member of the current one is certainly dead.

        A process that starts on a member's host succeeds that member, which gives no
        further assurances, so its vote can be counted.
        """
        members = self._membership.view.members_by_id
        if not self._writer.is_idle or self._context.leaving:
            return
        if any(not self._has_successor(member, me) for member in members):
            return
        joining = [item.info for item in self._membership.joining_member_by_id.values()]
        names = tuple(sorted([me, *joining], key=lambda info: info.member))
        votes = tuple(sorted(members))
        self._writer.append(
            ViewProposed(self._membership.view.number + 1, names, votes, me.member)
        )

    def _has_successor(self, member: str, me: MemberInfo) -> bool:
        """Return whether a newer process runs on a member's host."""
        if member == self._membership.find_predecessor(me):
            return True
        return member in {
            item.succeeds for item in self._membership.joining_member_by_id.values()
        }

    def _compute_next_members(self, me: MemberInfo) -> tuple[MemberInfo, ...]:
        now = self._context.now
        wanted = []
        for member, info in self._membership.view.members_by_id.items():
            is_departing = self._membership.suspects(member) or self._is_leaving(member)
            is_departing = is_departing or self._has_successor(member, me)
            if member == self._context.member or not is_departing:
                wanted.append(info)
        for item in self._membership.joining_member_by_id.values():
            if now <= item.last_heard + SUSPICION_TIMEOUT_S:
                wanted.append(item.info)
        return tuple(sorted(wanted, key=lambda info: info.member))

    def _compute_turn(self) -> int:
        alive = [
            m
            for m in self._membership.view.members_by_id
            if not self._membership.suspects(m)
        ]
        alive.sort(
            key=lambda m: rendezvous_weight(f"turn {self._membership.view.number}", m)
        )
        return alive.index(self._context.member)

    def _propose(self, members: tuple[MemberInfo, ...], me: MemberInfo) -> None:
        context = self._context
        number = self._membership.view.number + 1
        self._proposal = _Proposal(number, members, context.now)
        if not self._membership.drained:
            self._membership.vote(number)
            self._proposal.votes.add(context.member)
        for member in self._membership.view.members_by_id:
            if self._has_successor(member, me):
                self._proposal.votes.add(member)
        context.note("view_proposed", str(number), ", ".join(_sorted_ids(members)))
        for member, info in self._membership.view.members_by_id.items():
            if member != context.member:
                self._channels.send_unordered(info, VoteAsked(number, members))
        self._append_if_approved()

    def restart(self, me: MemberInfo) -> None:
        """Propose a view of this member alone, on an operator's request."""
        number = self._membership.view.number + 1
        self._writer.append(ViewProposed(number, (me,), (), me.member, restart=True))


def _sorted_ids(members: tuple[MemberInfo, ...]) -> tuple[str, ...]:
    return tuple(sorted(info.member for info in members))
