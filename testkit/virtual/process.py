"""An entry process of a virtual world: a member with its own clock."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from jacinthloom_core import Member, MemberSettings

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.model.effects import Effect
    from jacinthloom_core.model.events import Event

EPOCH = 1_700_006_400.0
"""Wall-clock time at which a virtual world begins: midnight UTC."""


class VirtualProcess:
    """Feed events to a member, or hold them back while it is paused."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        zone: str,
        rate: float,
        skew_s: float,
        make_member: Callable[[MemberSettings], Member],
    ) -> None:
        self.name = name
        self.id = f"{name}.{incarnation}"
        self.zone = zone
        self.rate = rate
        self.skew_s = skew_s
        self.is_paused = False
        self.is_alive = True
        self.reads_log = True
        self.watch_failures: dict[str, int] = {}
        self.held_back: deque[Callable[[], None]] = deque()
        self.watched: dict[str, int] = {}
        settings = MemberSettings(self.id, f"{name}:1", zone, f"{name}:2")
        self.member = make_member(settings)

    def local(self, now: float) -> float:
        """Return the monotonic clock at a true time."""
        return now * self.rate + 1000.0

    def wall(self, now: float) -> float:
        """Return the wall clock at a true time."""
        return EPOCH + now + self.skew_s

    def apply(self, now: float, build: Callable[[float, float], Event]) -> list[Effect]:
        """Reduce an event that is built from the local clocks."""
        return self.member.apply(build(self.local(now), self.wall(now)))
