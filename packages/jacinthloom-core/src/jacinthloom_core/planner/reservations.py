"""Capacity that is reserved during a scheduling pass for steps that can't start yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import Resources

if TYPE_CHECKING:
    from .fleet import Worker


RESERVE_S = 1.5
"""Seconds for which gangs may reserve what is mostly idle before others go first."""

YIELD_S = 1.5
"""Seconds for which others go first."""

BUSY_SHARE = 0.5
"""Share in use from which a pool of workers or a limit counts as busy."""


class ReservationTurns:
    """Takes turns between gangs that reserve and steps that could start meanwhile.

    Reservations have no end of their own: what a gang waits for may never become free.
    Where much is idle they would keep every other step from starting. Where little is,
    the others have had their share, and gangs reserve until they start.
    """

    def __init__(self) -> None:
        self._began_at_by_name: dict[str, float] = {}

    def may_reserve(self, name: str, is_busy: bool, now: float) -> bool:
        """Whether gangs may reserve now.

        :param name: pool of workers or client account that the reservation concerns
        :param is_busy: whether most of it is in use
        """
        began_at = self._began_at_by_name.get(name)
        if began_at is None or now - began_at >= RESERVE_S + YIELD_S:
            began_at = self._began_at_by_name[name] = now
        return is_busy or now - began_at < RESERVE_S


class Reservations:
    """Capacity that later steps must not take in the same scheduling pass."""

    def __init__(self) -> None:
        self._reserved: list[tuple[Worker, Resources, bool]] = []
        self._workers: set[str] = set()
        self.total = 0
        """Number of reservations so far."""

    def reserve(self, worker: Worker, size: Resources, fills: bool = False) -> None:
        """Reserve the resources of one task on a worker."""
        worker.reserve(size, fills)
        self._reserved.append((worker, size, fills))
        self.total += 1
        self._workers.add(worker.id)

    def concern(self, worker: Worker) -> bool:
        """Whether any capacity of a worker is reserved."""
        return worker.id in self._workers

    def reserve_all(self, worker: Worker) -> None:
        """Reserve all free capacity of a worker."""
        free = Resources(
            max(0, worker.free_processors),
            max(0, worker.free_memory),
            max(0, worker.free_accelerators),
        )
        self.reserve(worker, free)

    def release(self) -> None:
        """Release all reservations."""
        for worker, size, fills in self._reserved:
            worker.release(size, fills)
        self._reserved.clear()
        self._workers.clear()
