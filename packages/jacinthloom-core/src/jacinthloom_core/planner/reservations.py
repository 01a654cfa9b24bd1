"""Room that is set aside during one pass, for steps that can't start yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import Resources

if TYPE_CHECKING:
    from .fleet import Worker


class Reservations:
    """Room that steps of a lower rank must not take in the same pass."""

    def __init__(self) -> None:
        self._rows: list[tuple[Worker, Resources, bool]] = []

    def reserve(self, worker: Worker, size: Resources, fills: bool = False) -> None:
        """Set the room of one task aside."""
        worker.reserve(size, fills)
        self._rows.append((worker, size, fills))

    def reserve_all(self, worker: Worker) -> None:
        """Set everything aside that a worker has free."""
        free = Resources(
            max(0, worker.free_processors),
            max(0, worker.free_memory),
            max(0, worker.free_accelerators),
        )
        self.reserve(worker, free)

    def release(self) -> None:
        """Return all room that was set aside."""
        for worker, size, fills in self._rows:
            worker.release(size, fills)
        self._rows.clear()
