"""Count the bytes that members of a virtual world send to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jacinthloom_wire.packets import encode_packet

if TYPE_CHECKING:
    from jacinthloom_core.model.effects import SendPacket

    from testkit.virtual import World
    from testkit.virtual.process import VirtualProcess


class SentBytesCounter:
    """Counts the bytes of every packet that is sent after its creation."""

    def __init__(self, world: World) -> None:
        self.sent_bytes = 0
        self._send = world._send_packet
        world._send_packet = self._count  # type: ignore[method-assign]

    def _count(self, process: VirtualProcess, effect: SendPacket) -> None:
        self.sent_bytes += len(encode_packet(effect.packet))
        self._send(process, effect)
