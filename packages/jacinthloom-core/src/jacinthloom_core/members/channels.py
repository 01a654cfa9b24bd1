"""Ordered exactly-once delivery between two members of a view."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ..model.effects import SendPacket
from ..model.messages import Packet

if TYPE_CHECKING:
    from ..context import Context
    from ..model.messages import Message
    from ..model.records import MemberInfo

RESEND_S = 1.5
"""Seconds without an acknowledgement after which messages are resent."""

RESEND_LIMIT = 256
"""Maximum number of messages resent at a time."""

REORDER_BUFFER_LIMIT = 1024
"""Maximum number of messages buffered until those sent earlier arrive."""


class _Channel:
    """State of both directions between this member and one peer."""

    def __init__(self) -> None:
        self.outbox: deque[tuple[int, Message]] = deque()
        self.last_sent = 0
        self.last_received = 0
        self.unacknowledged_since = 0.0
        self.reorder_buffer: dict[int, Message] = {}


class Channels:
    """Send messages to peers in packets, ordered or unordered."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._channel_by_peer: dict[str, _Channel] = {}

    def send_unordered(self, peer: MemberInfo, message: Message) -> None:
        """Send a message that may be lost, repeated or reordered."""
        self._send(peer, 0, message)

    def send_ordered(self, peer: MemberInfo, message: Message) -> None:
        """Send a message exactly once, in order, while both members are in the view."""
        channel = self._channel_by_peer.setdefault(peer.member, _Channel())
        channel.last_sent += 1
        if not channel.outbox:
            channel.unacknowledged_since = self._context.now
        channel.outbox.append((channel.last_sent, message))
        self._send(peer, channel.last_sent, message)

    def receive(self, packet: Packet) -> list[Message]:
        """Return the messages that are ready to be handled, in order."""
        channel = self._channel_by_peer.setdefault(packet.sender, _Channel())
        self._acknowledge(channel, packet.acknowledged)
        if packet.sequence == 0:
            return [packet.message]
        if packet.sequence <= channel.last_received:
            self._context.counters["packet_repeated"] += 1
            return []
        if packet.sequence > channel.last_received + REORDER_BUFFER_LIMIT:
            return []
        channel.reorder_buffer[packet.sequence] = packet.message
        ready = []
        while channel.last_received + 1 in channel.reorder_buffer:
            channel.last_received += 1
            ready.append(channel.reorder_buffer.pop(channel.last_received))
        return ready

    def _acknowledge(self, channel: _Channel, acknowledged: int) -> None:
        while channel.outbox and channel.outbox[0][0] <= acknowledged:
            channel.outbox.popleft()
            channel.unacknowledged_since = self._context.now

    def resend(self, peer: MemberInfo, at_once: bool = False) -> None:
        """Resend messages that a peer has not acknowledged for a while.

        :param at_once: whether to resend without waiting
        """
        channel = self._channel_by_peer.get(peer.member)
        if channel is None or not channel.outbox:
            return
        if not at_once and self._context.now < channel.unacknowledged_since + RESEND_S:
            return
        channel.unacknowledged_since = self._context.now
        for sequence, message in list(channel.outbox)[:RESEND_LIMIT]:
            self._context.counters["packet_resent"] += 1
            self._send(peer, sequence, message)

    def keep_only(self, peers: set[str]) -> None:
        """Drop the channels of peers that left the view."""
        for peer in [name for name in self._channel_by_peer if name not in peers]:
            del self._channel_by_peer[peer]

    def _send(self, peer: MemberInfo, sequence: int, message: Message) -> None:
        context = self._context
        channel = self._channel_by_peer.get(peer.member)
        acknowledged = channel.last_received if channel else 0
        context.clock += 1
        packet = Packet(
            context.member, peer.member, context.clock, sequence, acknowledged, message
        )
        context.counters["packet_sent"] += 1
        context.emit(SendPacket(peer.member, peer.address, packet))
