"""The current view, and this member's authority to act under it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..model.messages import Assurance, AssuranceAsked, JoinAsked, Room
from ..model.resources import NO_RESOURCES
from ..model.settings import (
    AUTHORITY_TTL_S,
    CONFIGURATION_TTL_S,
    START_VALIDITY_S,
    STATUS_INTERVAL_S,
    SUSPICION_TIMEOUT_S,
    TAKEOVER_WAIT_S,
)
from ..model.work import host_of, is_request
from .view import View

if TYPE_CHECKING:
    from ..context import Context
    from ..model.messages import Message
    from ..model.records import MemberInfo
    from ..model.resources import Resources
    from .channels import Channels

NEVER = float("-inf")
"""A time before all others."""

JOIN_INTERVAL_S = 0.5
"""Seconds between the requests to join that a joining member sends."""


@dataclass(slots=True)
class Peer:
    """State of another member, as known to this one.

    :param last_heard: monotonic time of the last message from it
    :param assurance_requested_at: monotonic time of the request for its latest
        assurance
    :param assured_view: view that this assurance is for
    :param adopted_at: monotonic time at which it was first known to have adopted
        ``adopted_view``
    """

    last_heard: float
    assurance_requested_at: float = NEVER
    assured_view: int = 0
    standing_view: int = 0
    adopted_view: int = 0
    adopted_at: float = NEVER
    offset: int = 0
    capacity: Room | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class _PastView:
    """A replaced view, with the monotonic time of its replacement."""

    view: View
    replaced_at: float


@dataclass(frozen=True, slots=True)
class JoiningMember:
    """A process that has requested to join.

    :param succeeds: dead member on whose host it started
    """

    info: MemberInfo
    last_heard: float
    succeeds: str


class Membership:
    """Exchange assurances with peers, and adopt views.

    A member has authority while enough members of its view have recently assured it
    that they voted for no later view.
    """

    def __init__(self, context: Context, channels: Channels) -> None:
        self._context = context
        self._channels = channels
        self.peer_by_id: dict[str, Peer] = {}
        self.view = View(0)
        self.local_capacity = Room(NO_RESOURCES, NO_RESOURCES, 0)
        self._past: deque[_PastView] = deque()
        self._tail_requested_at = NEVER
        self.voted_view = 0
        self.joining_member_by_id: dict[str, JoiningMember] = {}
        self._next_status = NEVER
        self._last_tick = NEVER
        self.drained = False

    # Authority

    @property
    def is_member(self) -> bool:
        """Whether this member is in its own view."""
        return self._context.member in self.view.members_by_id

    def compute_authority_until(self) -> float:
        """Return the monotonic time until which this member has authority."""
        if not self.is_member:
            return NEVER
        request_times = sorted(self._assurance_times(), reverse=True)
        needed = self.view.assurances_needed
        if len(request_times) < needed:
            return NEVER
        return request_times[needed - 1] + AUTHORITY_TTL_S

    @property
    def has_authority(self) -> bool:
        """Whether this member may start and renew work now."""
        return self._context.now < self.compute_authority_until()

    def _assurance_times(self) -> list[float]:
        number = self.view.number
        times = []
        for member in self.view.members_by_id:
            if member == self._context.member:
                if self.voted_view <= number:
                    times.append(self._context.now)
                continue
            peer = self.peer_by_id.get(member)
            if peer is None:
                continue
            if peer.standing_view == number:
                times.append(self._context.now)
            elif peer.assured_view == number:
                times.append(peer.assurance_requested_at)
        return times

    def compute_ready_at(self, key: str) -> float:
        """Return when no earlier owner of a key can still have authority.

        Every view replaced within the takeover wait counts, even if the owner under
        it never acted.
        """
        ready = NEVER
        for past in self._past:
            if not past.view.members_by_id:
                continue
            owner = past.view.choose_member(key)
            if owner == self._context.member:
                continue
            ready = max(ready, self._compute_authority_lapse(owner, past))
        return ready

    def _compute_authority_lapse(self, owner: str, past: _PastView) -> float:
        lapse = past.replaced_at + TAKEOVER_WAIT_S
        peer = self.peer_by_id.get(owner)
        if peer is not None and peer.adopted_view > past.view.number:
            lapse = min(lapse, peer.adopted_at + START_VALIDITY_S)
        return lapse

    def coordinator_of(self, key: str, stated_coordinator: str = "") -> str:
        """Return the member that coordinates a job, or an attempt at it.

        :param key: job id or attempt key
        :param stated_coordinator: coordinator that the sender named; used for requests
            only
        """
        job = key.partition("/")[0]
        if is_request(job):
            return stated_coordinator
        return self.view.choose_member(job)

    # Freshness

    def is_fresh(self) -> bool:
        """Return whether this member knows every accepted change."""
        since = self._context.now - CONFIGURATION_TTL_S
        if self._tail_requested_at >= since:
            return True
        if not self.is_member:
            return False
        offsets = [self._context.state.offset]
        for member in self.view.members_by_id:
            peer = self.peer_by_id.get(member)
            if (
                peer
                and peer.assured_view == self.view.number
                and peer.assurance_requested_at >= since
            ):
                offsets.append(peer.offset)
        if len(offsets) < self.view.assurances_needed:
            return False
        return self._context.state.offset >= max(offsets)

    def find_peer_ahead(self) -> str | None:
        """Return the peer furthest ahead of this member in the log, if any is."""
        offset = self._context.state.offset
        best: str | None = None
        for member, peer in self.peer_by_id.items():
            if peer.offset > offset and member in self.view.members_by_id:
                offset = peer.offset
                best = member
        return best

    @property
    def is_log_available(self) -> bool:
        """Whether the log's tail was read within the freshness time."""
        return self._context.now - self._tail_requested_at <= CONFIGURATION_TTL_S

    @property
    def tail_age(self) -> float:
        """Seconds since the request of the last completed read of the log's tail."""
        return self._context.now - self._tail_requested_at

    def on_tail_read(self, requested_at: float) -> None:
        """Record a completed read of the log's tail."""
        self._tail_requested_at = max(self._tail_requested_at, requested_at)

    def list_members_behind(self, offset: int) -> list[str]:
        """Return the members not known to have applied an offset."""
        missing = []
        for member in self.view.members_by_id:
            if member == self._context.member:
                continue
            peer = self.peer_by_id.get(member)
            if peer is None or peer.offset <= offset:
                missing.append(member)
        return missing

    # Views

    def adopt(self, view: View) -> None:
        """Switch to the next view read from the log."""
        now = self._context.now
        self._past.append(_PastView(self.view, now))
        while self._past and now > self._past[0].replaced_at + TAKEOVER_WAIT_S:
            self._past.popleft()
        self.view = view
        self._next_status = NEVER
        for member in view.members_by_id:
            self.joining_member_by_id.pop(member, None)
            if member != self._context.member:
                peer = self.peer_by_id.setdefault(member, Peer(now))
                peer.last_heard = max(peer.last_heard, now - SUSPICION_TIMEOUT_S / 2)
        self._channels.keep_only(set(view.members_by_id))

    def suspects(self, member: str) -> bool:
        """Return whether nothing was received from a member for too long."""
        if member == self._context.member:
            return False
        peer = self.peer_by_id.get(member)
        return peer is None or self._context.now > peer.last_heard + SUSPICION_TIMEOUT_S

    def note_heard(self, member: str) -> None:
        """Record that a message arrived from a peer."""
        peer = self.peer_by_id.get(member)
        if peer is None:
            peer = self.peer_by_id[member] = Peer(self._context.now)
        peer.last_heard = self._context.now

    def find_member(self, member: str) -> MemberInfo | None:
        """Return a member of the view or a joining member by its id."""
        info = self.view.members_by_id.get(member)
        if info is not None:
            return info
        joining = self.joining_member_by_id.get(member)
        return joining.info if joining else None

    def any_peer_fits(self, need: Resources) -> bool:
        """Return whether any peer reported enough free capacity for one task."""
        reports = [peer.capacity for peer in self.peer_by_id.values()]
        return any(
            report is not None and need.fits_in(report.free) for report in reports
        )

    def send_unordered(self, peer: MemberInfo, message: Message) -> None:
        """Send a message that may be lost, repeated or reordered."""
        self._channels.send_unordered(peer, message)

    def on_tick(self, me: MemberInfo) -> None:
        """Request assurances, or request to join."""
        self._delay_suspicion()
        if self._context.now >= self._next_status:
            self._next_status = self._context.now + STATUS_INTERVAL_S
            self._request_assurances()
            if not self.is_member and not self._context.leaving:
                self._request_join(me)

    def _delay_suspicion(self) -> None:
        """Delay suspicion of peers after this process itself was paused."""
        now = self._context.now
        if now > self._last_tick + STATUS_INTERVAL_S:
            for peer in self.peer_by_id.values():
                peer.last_heard = max(peer.last_heard, now - SUSPICION_TIMEOUT_S / 2)
        self._last_tick = now

    def _request_assurances(self) -> None:
        context = self._context
        message = AssuranceAsked(
            self.view.number,
            context.now,
            context.state.offset,
            self.local_capacity,
            self.drained,
        )
        if not self.is_member:
            return
        for member, info in self.view.members_by_id.items():
            if member != context.member:
                self._channels.send_unordered(info, message)
                self._channels.resend(info)

    def _request_join(self, me: MemberInfo) -> None:
        self._next_status = self._context.now + JOIN_INTERVAL_S
        for info in self.view.members_by_id.values():
            self._channels.send_unordered(
                info, JoinAsked(me, self.find_predecessor(me))
            )

    def on_assurance_asked(self, sender: MemberInfo, message: AssuranceAsked) -> None:
        """Give an assurance, unless this member voted for a later view."""
        peer = self.peer_by_id.setdefault(sender.member, Peer(self._context.now))
        peer.capacity = message.room
        peer.leaving = message.leaving
        peer.offset = max(peer.offset, message.offset)
        self._record_adopted(peer, message.view)
        if message.view != self.view.number or self.voted_view > message.view:
            return
        if sender.member not in self.view.members_by_id or not self.is_member:
            return
        reply = Assurance(
            message.view, message.asked, self._context.state.offset, self.drained
        )
        self._channels.send_unordered(sender, reply)

    def on_assurance(self, sender: str, message: Assurance) -> None:
        """Record an assurance, which counts from the time it was requested."""
        peer = self.peer_by_id.setdefault(sender, Peer(self._context.now))
        peer.offset = max(peer.offset, message.offset)
        self._record_adopted(peer, message.view)
        if message.standing:
            peer.standing_view = message.view
        if message.view > peer.assured_view:
            peer.assured_view = message.view
            peer.assurance_requested_at = message.asked
        elif message.view == peer.assured_view:
            peer.assurance_requested_at = max(
                peer.assurance_requested_at, message.asked
            )

    def _record_adopted(self, peer: Peer, number: int) -> None:
        if number > peer.adopted_view:
            peer.adopted_view = number
            peer.adopted_at = self._context.now

    def on_join_asked(self, message: JoinAsked) -> None:
        """Record a joining member for the next view."""
        info = message.member
        if info.member not in self.view.members_by_id:
            self.joining_member_by_id[info.member] = JoiningMember(
                info, self._context.now, message.succeeds
            )

    def vote(self, number: int) -> None:
        """Record a vote: give no assurance until the view of this number is read."""
        if number > self.voted_view:
            self.voted_view = number

    def find_predecessor(self, me: MemberInfo) -> str:
        """Return the member on whose host this process started, or an empty string."""
        for member in self.view.members_by_id:
            if member != me.member and host_of(member) == host_of(me.member):
                return member
        return ""
