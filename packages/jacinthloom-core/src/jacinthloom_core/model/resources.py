"""Amounts of what a worker can lend."""

from __future__ import annotations

from dataclasses import dataclass

MILLICORES_PER_PROCESSOR = 1000
"""Millicores in one processor."""

UNLIMITED = 1 << 50
"""Amount that stands for a resource without a limit."""


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource; arithmetic is component by component.

    :param processors: processor time, in millicores
    :param memory: memory, in MiB
    :param accelerators: whole accelerators
    :param slots: concurrent tasks
    """

    processors: int = 0
    memory: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.processors + other.processors,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.processors - other.processors,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def fits_in(self, room: Resources) -> bool:
        """Return whether every component is at most that of ``room``."""
        return (
            self.processors <= room.processors
            and self.memory <= room.memory
            and self.accelerators <= room.accelerators
            and self.slots <= room.slots
        )

    def scaled(self, numerator: int, denominator: int) -> Resources:
        """Return this amount times a fraction, rounded down."""
        return Resources(
            self.processors * numerator // denominator,
            self.memory * numerator // denominator,
            self.accelerators * numerator // denominator,
            self.slots * numerator // denominator,
        )

    def component_min(self, other: Resources) -> Resources:
        """Return the smaller of each component."""
        return Resources(
            min(self.processors, other.processors),
            min(self.memory, other.memory),
            min(self.accelerators, other.accelerators),
            min(self.slots, other.slots),
        )

    def component_max(self, other: Resources) -> Resources:
        """Return the larger of each component."""
        return Resources(
            max(self.processors, other.processors),
            max(self.memory, other.memory),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
        )

    def dominant_share(self, total: Resources) -> float:
        """Return the largest fraction of ``total`` that any component takes."""
        return max(
            _ratio(self.processors, total.processors),
            _ratio(self.memory, total.memory),
            _ratio(self.accelerators, total.accelerators),
        )


def _ratio(part: int, whole: int) -> float:
    return part / whole if whole > 0 else 0.0


NO_RESOURCES = Resources()
"""The empty amount."""
