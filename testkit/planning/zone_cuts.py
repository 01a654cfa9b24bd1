"""Availability zones that are cut off, so that two planners are alive at once."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .worker import VirtualWorker
    from .world import PlannerProcess, World

UNLISTED_AFTER_S = 4.5
"""Seconds after which the entry of a worker that does not reach the store expires."""

DURATION_RANGES_S = ((1.0, 6.0), (6.0, 15.0), (15.0, 30.0), (15.0, 30.0))


@dataclass(frozen=True, slots=True)
class ZoneCut:
    """An availability zone that is cut off from the other zones.

    :param reaches_store: whether the zone still reaches the store
    :param common_workers: workers that planners on both sides reach
    """

    zone: str
    until: float
    reaches_store: bool
    common_workers: frozenset[str]


class ZoneCuts:
    """Cuts off one zone at a time.

    :ivar cut: the cut that is in effect, if any
    """

    def __init__(
        self, world: World, seed: int, zones: Sequence[str], count: int
    ) -> None:
        self._world = world
        self._random = Random(f"zone {seed}")
        self._zones = zones
        self._count = count
        self.cut: ZoneCut | None = None

    @property
    def is_enabled(self) -> bool:
        """Whether zones are cut off, and elections follow the election log."""
        return self._count > 0

    def schedule(self, ends_at: float) -> None:
        """Schedule the cuts.

        :param ends_at: time up to which cuts begin
        """
        for _ in range(self._count):
            self._world.clock.after(self._random.uniform(1, ends_at), self._begin)

    def reaches_store(self, process: PlannerProcess) -> bool:
        """Whether a planner has a path to the store."""
        return self.zone_reaches_store(process.claim.zone)

    def zone_reaches_store(self, zone: str) -> bool:
        """Whether the hosts of a zone have a path to the store."""
        return self.cut is None or self.cut.zone != zone or self.cut.reaches_store

    def reaches_worker(self, process: PlannerProcess, worker: VirtualWorker) -> bool:
        """Whether a planner and a worker are on the same side of the cut."""
        if self.cut is None or worker.id in self.cut.common_workers:
            return True
        return (process.claim.zone == self.cut.zone) == (worker.zone == self.cut.zone)

    def separates(self, zone: str, other: str) -> bool:
        """Whether the cut is between the hosts of two zones.

        A cut that keeps all workers in reach of both is one from the store alone.
        """
        if self.cut is None or len(self.cut.common_workers) >= len(self._world.workers):
            return False
        return (zone == self.cut.zone) != (other == self.cut.zone)

    def choose_called(self) -> PlannerProcess | None:
        """Return the planner that a call of a client reaches."""
        current = self._world.current_process
        if not self.is_enabled:
            return current
        earlier = self._world.claims.earlier_processes
        if earlier and self._random.random() < 0.3:
            return self._random.choice(earlier)
        return current

    def draws_late_order(self) -> bool:
        """Draw whether an order that meets the cut is carried out late."""
        return self._random.random() < self._world.scenario.late

    def draw_lateness(self) -> float:
        """Draw the seconds until a late order is carried out."""
        return self._random.uniform(0.5, 12)

    def _begin(self) -> None:
        clock = self._world.clock
        if self.cut is not None:
            delay_s = self.cut.until - clock.now + self._random.uniform(0.01, 1)
            clock.after(delay_s, self._begin)
            return
        process = self._world.current_process
        assert process is not None
        zone = self._random.choice(
            (process.claim.zone, process.claim.zone, *self._zones)
        )
        duration_s = self._random.uniform(*self._random.choice(DURATION_RANGES_S))
        reaches_store = self._random.random() < 0.1
        common_workers = self._draw_common_workers()
        self.cut = ZoneCut(
            zone, clock.now + duration_s, reaches_store, frozenset(common_workers)
        )
        clock.after(duration_s, self._heal)
        self._schedule_expiry(zone, duration_s)
        if self._random.random() < 0.3:
            freeze_s = self._random.uniform(0.5, 8)
            within_s = self._random.choice((0.5, duration_s))
            clock.after(
                self._random.uniform(0, within_s),
                lambda: self._freeze(process, freeze_s),
            )
        if self._random.random() < 0.3:
            clock.after(
                self._random.uniform(0, duration_s), lambda: self._kill_next(process)
            )

    def _draw_common_workers(self) -> list[str]:
        names = list(self._world.workers)
        draw = self._random.random()
        if draw < 0.7:
            return []
        if draw < 0.9:
            return self._random.sample(names, self._random.randint(1, 2))
        return names

    def _schedule_expiry(self, zone: str, duration_s: float) -> None:
        """Let the entries of a zone's workers expire in half of the longer cuts."""
        if duration_s < UNLISTED_AFTER_S or self._random.random() < 0.5:
            return
        for worker in self._world.workers.values():
            if worker.zone == zone:
                report = partial(self._world.report_unlisted, worker)
                self._world.clock.after(UNLISTED_AFTER_S, report)

    def _heal(self) -> None:
        self.cut = None
        for worker in self._world.workers.values():
            report = partial(self._world.report_listed, worker)
            self._world.clock.after(self._random.uniform(0, 2), report)

    def _freeze(self, process: PlannerProcess, duration_s: float) -> None:
        """Freeze the planner that was in place when the cut began."""
        if process.is_alive and not process.is_frozen:
            process.is_frozen = True
            self._world.clock.after(duration_s, process.unfreeze)

    def _kill_next(self, process: PlannerProcess) -> None:
        """Kill the planner that has replaced another one during the cut."""
        current = self._world.current_process
        if current is not None and current is not process:
            current.is_alive = False
