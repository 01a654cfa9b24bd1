"""Reducer of one member: takes events and returns effects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .context import Context
from .job_coordination.admission import Admission
from .job_coordination.job_api import JobApi
from .job_coordination.job_coordinator import JobCoordinator
from .job_coordination.request_coordinator import RequestCoordinator
from .members.channels import Channels
from .members.membership import Membership
from .members.message_router import MessageRouter
from .members.proposals import Proposals
from .model import events, messages
from .model.effects import Exit, Rejoin
from .model.errors import UnknownEventError
from .model.messages import Room, UsageChanged
from .model.records import MemberInfo, TeamAmount
from .model.resources import NO_RESOURCES
from .model.settings import STATUS_INTERVAL_S
from .model.work import is_request
from .operator_api.operator_api import OperatorApi
from .operator_api.state_reporter import StateReporter
from .policy.fairness import FairShareTracker
from .policy.pacer import Pacer
from .policy.quotas import Quotas
from .shared_log.log_applier import LogApplier
from .shared_log.log_writer import LogWriter
from .shared_log.snapshots import Snapshots
from .worker_owners.attempt_tracker import AttemptTracker
from .worker_owners.evictor import Evictor
from .worker_owners.exchanges import Exchanges
from .worker_owners.grant_dispatcher import GrantDispatcher
from .worker_owners.health import Health
from .worker_owners.owned_workers import OwnedWorkers

if TYPE_CHECKING:
    from collections.abc import Callable

    from .model.effects import Effect
    from .model.messages import Packet
    from .model.resources import Resources
    from .model.settings import MemberSettings
    from .policy.usage_cap import UsageCapPolicy

REPORTED_SHAPES_LIMIT = 8
"""Maximum number of distinct worker capacities reported to peers."""


class Member:
    """State machine of one entry process, which makes all of its decisions."""

    def __init__(
        self, settings: MemberSettings, usage_cap_policy: UsageCapPolicy | None = None
    ) -> None:
        context = Context(settings)
        self.context = context
        self._me = MemberInfo(
            settings.member, settings.address, settings.zone, settings.http_address
        )
        self.channels = Channels(context)
        self.writer = LogWriter(context)
        self.membership = Membership(context, self.channels)
        self.proposals = Proposals(context, self.channels, self.writer, self.membership)
        self.router = MessageRouter(context, self.membership, self.channels)
        self.quotas = Quotas(context, self.membership, self.channels, self.writer)
        self.fairness = FairShareTracker()
        self.health = Health(context)
        self.owned_workers = OwnedWorkers(
            context,
            self.membership,
            self.writer,
            self.quotas,
            self.fairness,
            self.health,
        )
        self.exchanges = Exchanges(context, self.membership)
        self.pacer = Pacer(
            context, self.membership, self.writer, self.owned_workers, usage_cap_policy
        )
        self.grant_dispatcher = GrantDispatcher(
            context,
            self.membership,
            self.router,
            self.quotas,
            self.fairness,
            self.health,
            self.owned_workers,
            self.exchanges,
            self.pacer,
        )
        self.attempt_tracker = AttemptTracker(
            context,
            self.membership,
            self.router,
            self.health,
            self.owned_workers,
            self.exchanges,
            self.grant_dispatcher,
        )
        self.evictor = Evictor(
            context,
            self.grant_dispatcher,
            self.owned_workers,
            self.quotas,
            self.fairness,
        )
        self.job_coordinator = JobCoordinator(
            context,
            self.membership,
            self.router,
            self.writer,
            self.grant_dispatcher,
            self.pacer,
        )
        self.admission = Admission(context, self.membership)
        self.request_coordinator = RequestCoordinator(
            context,
            self.membership,
            self.router,
            self.writer,
            self.grant_dispatcher,
            self.admission,
        )
        self.job_api = JobApi(
            context,
            self.membership,
            self.writer,
            self.admission,
            self.job_coordinator,
            self.pacer,
        )
        state_reporter = StateReporter(
            context, self.membership, self.owned_workers, self.fairness, self.pacer
        )
        self.operator_api = OperatorApi(
            context,
            self.membership,
            self.proposals,
            self.writer,
            state_reporter,
            self._me,
        )
        self.snapshots = Snapshots(context, self.membership, self.writer)
        self.log_applier = LogApplier(self, context)
        self._next_status = 0.0
        self.has_exited = False
        self._handler_by_event = self._list_event_handlers()
        self._handler_by_message = self._list_message_handlers()

    def _list_event_handlers(self) -> dict[type, Callable[..., None]]:
        return {
            events.Ticked: self._on_ticked,
            events.LogRead: self.log_applier.on_log_read,
            events.AppendFinished: self._on_append_finished,
            events.PeerConnected: self._on_peer_connected,
            events.PacketReceived: self._on_packet,
            events.HostsListed: self.owned_workers.on_hosts,
            events.WorkerReported: self.attempt_tracker.on_reported,
            events.ReportFailed: self.attempt_tracker.on_report_failed,
            events.ExchangeAnswered: self.attempt_tracker.on_answered,
            events.ExchangeFailed: self.attempt_tracker.on_exchange_failed,
            events.CompletionsRead: self.attempt_tracker.on_completions,
            events.RequestReceived: self._on_request,
            events.CancelReceived: self.job_api.on_cancel_received,
            events.JobQueried: self.job_api.on_job_queried,
            events.OperatorAsked: self.operator_api.on_operator_asked,
            events.StopRequested: self._on_stop_requested,
        }

    def _list_message_handlers(self) -> dict[type, Callable[..., None]]:
        membership = self.membership
        dispatcher = self.grant_dispatcher
        coordinator = self.job_coordinator
        return {
            messages.AssuranceAsked: membership.on_assurance_asked,
            messages.Assurance: lambda s, m: membership.on_assurance(s.member, m),
            messages.VoteAsked: self.proposals.on_vote_asked,
            messages.Vote: lambda s, m: self.proposals.on_vote(s.member, m),
            messages.JoinAsked: lambda _, m: membership.on_join_asked(m),
            messages.EntriesAsked: self.log_applier.on_entries_asked,
            messages.EntriesTold: lambda _, m: self.log_applier.apply_entries(
                m.entries
            ),
            messages.TasksGranted: lambda _, m: dispatcher.on_granted(m),
            messages.GrantReturned: lambda _, m: self._coordinator_for(
                m.key
            ).on_grant_returned(m),
            messages.AttemptHeld: lambda _, m: coordinator.gangs.on_attempt_held(m.key),
            messages.AttemptStarted: lambda _, m: self._coordinator_for(
                m.key
            ).on_attempt_started(m),
            messages.AttemptOver: lambda _, m: self._coordinator_for(
                m.key
            ).on_attempt_over(m),
            messages.AttemptStopAsked: lambda _, m: dispatcher.on_stop_asked(m.key),
            messages.GangReleased: lambda _, m: dispatcher.on_gang_released(m),
            messages.HoldingsAsked: lambda s, m: coordinator.recovery.on_holdings_asked(
                s.member, m
            ),
            messages.HoldingsTold: lambda s, m: coordinator.recovery.on_holdings_told(
                s.member, m
            ),
            messages.UsageChanged: self._on_usage_changed,
            messages.AllotmentAsked: lambda s, m: self.quotas.on_allotment_asked(
                s.member, m
            ),
            messages.ProgressTold: lambda s, m: self.pacer.on_progress_told(
                s.member, m
            ),
            messages.JobAsked: self.job_api.on_job_asked,
            messages.JobTold: lambda _, m: self.job_api.on_job_told(m),
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
        self.grant_dispatcher.flush()
        self.writer.flush()
        return context.take_effects()

    def deliver_inbox(self) -> None:
        """Handle the messages that this member sent to itself."""
        while self.router.inbox:
            message = self.router.inbox.popleft()
            self._handler_by_message[type(message)](self._me, message)

    def _on_ticked(self, event: events.Ticked) -> None:
        self._publish_status()
        self.membership.on_tick(self._me)
        self.proposals.on_tick(self._me)
        self.log_applier.fetch_entries()
        self.owned_workers.on_tick()
        self.pacer.on_tick()
        self.quotas.on_tick()
        self.snapshots.on_tick()
        self.evictor.on_tick()
        self.job_coordinator.on_tick()
        self.deliver_inbox()
        self.attempt_tracker.on_tick()
        self.grant_dispatcher.on_tick()
        self.request_coordinator.on_tick()
        self.job_api.on_tick()
        self.operator_api.on_tick()
        self._finish_leaving()

    def _publish_status(self) -> None:
        context = self.context
        if context.now < self._next_status:
            return
        self._next_status = context.now + STATUS_INTERVAL_S
        self.pacer.deferrable_processors = (
            self.owned_workers.compute_deferrable_processors()
        )
        free = NO_RESOURCES if context.leaving else self.grant_dispatcher.free
        self.membership.local_capacity = Room(
            free,
            self.owned_workers.total_capacity,
            len(self.grant_dispatcher.queue),
            self.pacer.deferrable_processors,
            self._list_worker_capacities(),
        )
        self._update_fleet_capacity()
        changed = sorted(self.owned_workers.changed_teams)
        self.owned_workers.changed_teams.clear()
        if changed:
            used = self.owned_workers.used_by_team
            amounts = tuple(TeamAmount(t, used.get(t, NO_RESOURCES)) for t in changed)
            self.router.broadcast(UsageChanged(amounts))

    def _list_worker_capacities(self) -> tuple[Resources, ...]:
        shapes = {
            worker.capacity
            for worker in self.owned_workers.worker_by_name.values()
            if worker.phase == "open"
        }
        ordered = sorted(shapes, key=lambda shape: -shape.processors)
        return tuple(ordered[:REPORTED_SHAPES_LIMIT])

    def _update_fleet_capacity(self) -> None:
        total = self.owned_workers.total_capacity
        for name in self.membership.view.members_by_id:
            peer = self.membership.peer_by_id.get(name)
            if name != self.context.member and peer and peer.capacity:
                total = total + peer.capacity.total
        self.fairness.set_fleet_capacity(total)

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
        info = self.membership.find_member(event.peer)
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

    def _coordinator_for(self, key: str) -> RequestCoordinator | JobCoordinator:
        return self.request_coordinator if is_request(key) else self.job_coordinator

    def _on_request(self, event: events.RequestReceived) -> None:
        if event.spec.kind == "request":
            self.request_coordinator.on_request_received(event)
        else:
            self.job_api.on_job_submitted(event)

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
        if self.request_coordinator.open_by_id or not (
            self.operator_api.is_idle and self.job_api.is_idle
        ):
            return
        if not self.writer.is_idle and self.membership.is_log_available:
            return
        self.membership.drained = True
        if alone:
            self.has_exited = True
            self.context.emit(Exit())
