"""Sending to members, this one included."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..context import Context
    from ..model.messages import Message
    from .channels import Channels
    from .membership import Membership


class MessageRouter:
    """Send ordered messages to members of the view; keep those to oneself."""

    def __init__(
        self, context: Context, membership: Membership, channels: Channels
    ) -> None:
        self._context = context
        self._membership = membership
        self._channels = channels
        self.inbox: deque[Message] = deque()

    def send(self, member: str, message: Message) -> None:
        """Send a message; it is dropped if the recipient has left the view."""
        if member == self._context.member:
            self.inbox.append(message)
            return
        info = self._membership.view.members_by_id.get(member)
        if info is not None:
            self._channels.send_ordered(info, message)

    def broadcast(self, message: Message) -> None:
        """Send a message to every other member."""
        for member in self._membership.view.members_by_id:
            if member != self._context.member:
                self.send(member, message)
