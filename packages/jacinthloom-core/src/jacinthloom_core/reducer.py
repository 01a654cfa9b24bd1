"""Reducer of one member: takes events and returns effects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .context import Context
from .job_homes.admission import Admission
from .job_homes.homes import Homes
from .job_homes.job_desk import JobDesk
from .job_homes.requests import Requests
from .ledger.log_feed import LogFeed
from .ledger.snapshots import Snapshots
from .ledger.writer import Writer
from .members.channels import Channels
from .members.membership import Membership
from .members.post import Post
from .members.proposals import Proposals
from .operator_desk.descriptions import Descriptions
from .operator_desk.operators import Operators
from .policy.fairness import Fairness
from .policy.pacer import Pacer
from .policy.quotas import Quotas
from .vocabulary import events, messages
from .vocabulary.effects import Exit, Rejoin
from .vocabulary.errors import UnknownEventError
from .vocabulary.messages import Room, UsageChanged
from .vocabulary.records import MemberInfo, TeamAmount
from .vocabulary.resources import NOTHING
from .vocabulary.settings import STATUS_INTERVAL_S
from .vocabulary.work import is_request
from .worker_owners.exchanges import Exchanges
from .worker_owners.follow_up import FollowUp
from .worker_owners.health import Health
from .worker_owners.owner import Owner
from .worker_owners.takeover import Takeover
from .worker_owners.upkeep import Upkeep

if TYPE_CHECKING:
    from collections.abc import Callable

    from .policy.level import LevelPolicy
    from .vocabulary.effects import Effect
    from .vocabulary.messages import Packet
    from .vocabulary.resources import Resources
    from .vocabulary.settings import MemberSettings

REPORTED_SHAPES_LIMIT = 8
"""Most distinct worker capacities reported to peers."""


class Member:
    """State machine of one entry process, which makes all of its decisions."""

    def __init__(
        self, settings: MemberSettings, level_policy: LevelPolicy | None = None
    ) -> None:
        context = Context(settings)
        self.context = context
        self._me = MemberInfo(
            settings.member, settings.address, settings.zone, settings.http_address
        )
        self.channels = Channels(context)
        self.writer = Writer(context)
        self.membership = Membership(context, self.channels)
        self.proposals = Proposals(context, self.channels, self.writer, self.membership)
        self.post = Post(context, self.membership, self.channels)
        self.quotas = Quotas(context, self.membership, self.channels, self.writer)
        self.fairness = Fairness()
        self.health = Health(context)
        self.takeover = Takeover(
            context,
            self.membership,
            self.writer,
            self.quotas,
            self.fairness,
            self.health,
        )
        self.exchanges = Exchanges(context, self.membership)
        self.pacer = Pacer(
            context, self.membership, self.writer, self.takeover, level_policy
        )
        self.owner = Owner(
            context,
            self.membership,
            self.post,
            self.quotas,
            self.fairness,
            self.health,
            self.takeover,
            self.exchanges,
            self.pacer,
        )
        self.follow_up = FollowUp(
            context,
            self.membership,
            self.post,
            self.health,
            self.takeover,
            self.exchanges,
            self.owner,
        )
        self.upkeep = Upkeep(
            context, self.owner, self.takeover, self.quotas, self.fairness
        )
        self.homes = Homes(
            context, self.membership, self.post, self.writer, self.owner, self.pacer
        )
        self.admission = Admission(context, self.membership)
        self.requests = Requests(
            context,
            self.membership,
            self.post,
            self.writer,
            self.owner,
            self.admission,
        )
        self.job_desk = JobDesk(
            context,
            self.membership,
            self.writer,
            self.admission,
            self.homes,
            self.pacer,
        )
        descriptions = Descriptions(
            context, self.membership, self.takeover, self.fairness, self.pacer
        )
        self.operators = Operators(
            context,
            self.membership,
            self.proposals,
            self.writer,
            descriptions,
            self._me,
        )
        self.snapshots = Snapshots(context, self.membership, self.writer)
        self.log_feed = LogFeed(self, context)
        self._next_status = 0.0
        self.has_exited = False
        self._handler_by_event = self._list_event_handlers()
        self._handler_by_message = self._list_message_handlers()

    def _list_event_handlers(self) -> dict[type, Callable[..., None]]:
        return {
            events.Ticked: self._on_ticked,
            events.LogRead: self.log_feed.on_log_read,
            events.AppendFinished: self._on_append_finished,
            events.PeerConnected: self._on_peer_connected,
            events.PacketReceived: self._on_packet,
            events.HostsListed: self.takeover.on_hosts,
            events.WorkerReported: self.follow_up.on_reported,
            events.ReportFailed: self.follow_up.on_report_failed,
            events.ExchangeAnswered: self.follow_up.on_answered,
            events.ExchangeFailed: self.follow_up.on_exchange_failed,
            events.CompletionsRead: self.follow_up.on_completions,
            events.RequestReceived: self._on_request,
            events.CancelReceived: self.job_desk.on_cancel,
            events.JobQueried: self.job_desk.on_queried,
            events.OperatorAsked: self.operators.on_asked,
            events.StopRequested: self._on_stop_requested,
        }

    def _list_message_handlers(self) -> dict[type, Callable[..., None]]:
        member = self.membership
        owner = self.owner
        homes = self.homes
        return {
            messages.AssuranceAsked: member.on_assurance_asked,
            messages.Assurance: lambda s, m: member.on_assurance(s.member, m),
            messages.VoteAsked: self.proposals.on_vote_asked,
            messages.Vote: lambda s, m: self.proposals.on_vote(s.member, m),
            messages.JoinAsked: lambda _, m: member.on_join_asked(m),
            messages.EntriesAsked: self.log_feed.on_entries_asked,
            messages.EntriesTold: lambda _, m: self.log_feed.apply_entries(m.entries),
            messages.TasksGranted: lambda _, m: owner.on_granted(m),
            messages.GrantReturned: lambda _, m: self._coordinator_for(
                m.key
            ).on_returned(m),
            messages.AttemptHeld: lambda _, m: homes.gangs.on_held(m.key),
            messages.AttemptStarted: lambda _, m: self._coordinator_for(
                m.key
            ).on_started(m),
            messages.AttemptOver: lambda _, m: self._coordinator_for(m.key).on_over(m),
            messages.AttemptStopAsked: lambda _, m: owner.on_stop_asked(m.key),
            messages.GangReleased: lambda _, m: owner.on_gang_released(m),
            messages.HoldingsAsked: lambda s, m: homes.recovery.on_holdings_asked(
                s.member, m
            ),
            messages.HoldingsTold: lambda s, m: homes.recovery.on_holdings_told(
                s.member, m
            ),
            messages.UsageChanged: self._on_usage_changed,
            messages.AllotmentAsked: lambda s, m: self.quotas.on_allotment_asked(
                s.member, m
            ),
            messages.ProgressTold: lambda s, m: self.pacer.on_progress_told(
                s.member, m
            ),
            messages.JobAsked: self.job_desk.on_job_asked,
            messages.JobTold: lambda _, m: self.job_desk.on_job_told(m),
        }

    def apply(self, event: events.Event) -> list[Effect]:
        """Apply one event and return its effects.

        :raises UnknownEventError: if no handler is registered for the event's type
        """
        handler = self._handler_by_event.get(type(event))
        if handler is None:
            raise UnknownEventError(type(event).__name__)
        context = self.context
        if self.has_exited:
            return []
        context.now = max(context.now, event.now)
        context.wall = event.wall
        handler(event)
        self.deliver_inbox()
        self.owner.flush()
        self.writer.flush()
        return context.take_effects()

    def deliver_inbox(self) -> None:
        """Handle the messages that this member sent to itself."""
        while self.post.inbox:
            message = self.post.inbox.popleft()
            self._handler_by_message[type(message)](self._me, message)

    def _on_ticked(self, event: events.Ticked) -> None:
        self._publish_status()
        self.membership.on_tick(self._me)
        self.proposals.on_tick(self._me)
        self.log_feed.fetch_entries()
        self.takeover.on_tick()
        self.pacer.on_tick()
        self.quotas.on_tick()
        self.snapshots.on_tick()
        self.upkeep.on_tick()
        self.homes.on_tick()
        self.deliver_inbox()
        self.follow_up.on_tick()
        self.owner.on_tick()
        self.requests.on_tick()
        self.job_desk.on_tick()
        self.operators.on_tick()
        self._finish_leaving()

    def _publish_status(self) -> None:
        context = self.context
        if context.now < self._next_status:
            return
        self._next_status = context.now + STATUS_INTERVAL_S
        self.pacer.deferrable = self.takeover.compute_deferrable()
        free = NOTHING if context.leaving else self.owner.free
        self.membership.room = Room(
            free,
            self.takeover.total,
            len(self.owner.queue),
            self.pacer.deferrable,
            self._list_worker_capacities(),
        )
        self._update_fleet_capacity()
        changed = sorted(self.takeover.changed_teams)
        self.takeover.changed_teams.clear()
        if changed:
            used = self.takeover.used_by_team
            amounts = tuple(TeamAmount(t, used.get(t, NOTHING)) for t in changed)
            self.post.broadcast(UsageChanged(amounts))

    def _list_worker_capacities(self) -> tuple[Resources, ...]:
        shapes = {
            worker.capacity
            for worker in self.takeover.worker_by_name.values()
            if worker.phase == "open"
        }
        ordered = sorted(shapes, key=lambda shape: -shape.processors)
        return tuple(ordered[:REPORTED_SHAPES_LIMIT])

    def _update_fleet_capacity(self) -> None:
        total = self.takeover.total
        for name in self.membership.view.members_by_id:
            peer = self.membership.peer_by_id.get(name)
            if name != self.context.member and peer and peer.room:
                total = total + peer.room.total
        self.fairness.set_fleet(total)

    def _on_usage_changed(self, sender: MemberInfo, message: UsageChanged) -> None:
        for item in message.amounts:
            self.fairness.set_peer_used(sender.member, item.team, item.amount)

    @property
    def read_offset(self) -> int:
        """Next log offset to read."""
        return self.snapshots.read_offset

    def _on_append_finished(self, event: events.AppendFinished) -> None:
        self.writer.on_append_finished(event.sequence, event.succeeded)

    def leave_view(self) -> None:
        """Exit, or rejoin as a new member, as this one is no longer in the view."""
        self.has_exited = True
        self.context.emit(Exit() if self.context.leaving else Rejoin())

    def _on_peer_connected(self, event: events.PeerConnected) -> None:
        info = self.membership.find(event.peer)
        if info is not None:
            self.channels.resend(info, at_once=True)

    def _on_packet(self, event: events.PacketReceived) -> None:
        packet = event.packet
        is_join = isinstance(packet.message, messages.JoinAsked)
        if packet.recipient != self.context.member and not is_join:
            self.context.counters["packet_misdirected"] += 1
            return
        self.context.clock = max(self.context.clock, packet.clock) + 1
        sender = self._find_sender(packet)
        if sender is None:
            self.context.counters["packet_from_stranger"] += 1
            return
        self.membership.note_heard(packet.sender)
        for message in self.channels.receive(packet):
            self._handler_by_message[type(message)](sender, message)

    def _find_sender(self, packet: Packet) -> MemberInfo | None:
        if isinstance(packet.message, messages.JoinAsked):
            return packet.message.member
        return self.membership.view.members_by_id.get(packet.sender)

    def _coordinator_for(self, key: str) -> Requests | Homes:
        return self.requests if is_request(key) else self.homes

    def _on_request(self, event: events.RequestReceived) -> None:
        if event.spec.kind == "request":
            self.requests.on_received(event)
        else:
            self.job_desk.on_submitted(event)

    def _on_stop_requested(self, event: events.StopRequested) -> None:
        self.context.leaving = True
        self.context.note("leaving", self.context.member)

    def _finish_leaving(self) -> None:
        if not self.context.leaving or self.has_exited:
            return
        if not self.membership.is_member:
            self.has_exited = True
            self.context.emit(Exit())
            return
        alone = len(self.membership.view.members_by_id) == 1
        if self.requests.open_by_id or not (
            self.operators.is_idle and self.job_desk.is_idle
        ):
            return
        if not self.writer.is_idle and self.membership.log_is_up:
            return
        self.membership.drained = True
        if alone:
            self.has_exited = True
            self.context.emit(Exit())
