"""Capacity that is reserved during a scheduling pass for steps that can't start yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import Resources

if TYPE_CHECKING:
    from .fleet import Worker


class Reservations:
    """Capacity that later steps must not take in the same scheduling pass."""

    def __init__(self) -> None:
        self._reserved: list[tuple[Worker, Resources, bool]] = []

    def reserve(self, worker: Worker, size: Resources, fills: bool = False) -> None:
        """Reserve the resources of one task on a worker."""
        worker.reserve(size, fills)
        self._reserved.append((worker, size, fills))

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
