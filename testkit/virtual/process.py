"""A simulated entry process: a member with its own clocks."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from jacinthloom_core import Member, MemberSettings

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.model.effects import Effect
    from jacinthloom_core.model.events import Event

EPOCH = 1_700_006_400.0
"""Wall-clock time, in Unix seconds, at which a simulation begins: midnight UTC."""


class VirtualProcess:
    """One incarnation of an entry process and its member.

    Events for a paused process are queued in `pending_deliveries`.

    :param incarnation: number that makes the process id unique
    :param clock_rate: rate of the monotonic clock relative to the simulated time
    :param wall_clock_skew_s: offset of the wall clock from the simulated time
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        zone: str,
        clock_rate: float,
        wall_clock_skew_s: float,
        make_member: Callable[[MemberSettings], Member],
    ) -> None:
        self.name = name
        self.id = f"{name}.{incarnation}"
        self.zone = zone
        self.clock_rate = clock_rate
        self.wall_clock_skew_s = wall_clock_skew_s
        self.is_paused = False
        self.is_alive = True
        self.reads_log = True
        self.watch_failures_by_worker: dict[str, int] = {}
        self.pending_deliveries: deque[Callable[[], None]] = deque()
        self.cursor_by_watched_worker: dict[str, int] = {}
        self.incarnation_by_watched_worker: dict[str, str] = {}
        settings = MemberSettings(self.id, f"{name}:1", zone, f"{name}:2")
        self.member = make_member(settings)

    def monotonic_time(self, now: float) -> float:
        """Return the monotonic clock at a simulated time."""
        return now * self.clock_rate + 1000.0

    def wall_time(self, now: float) -> float:
        """Return the wall clock at a simulated time."""
        return EPOCH + now + self.wall_clock_skew_s

    def apply(
        self, now: float, build_event: Callable[[float, float], Event]
    ) -> list[Effect]:
        """Apply an event built from the local clocks, and return its effects."""
        return self.member.apply(
            build_event(self.monotonic_time(now), self.wall_time(now))
        )
