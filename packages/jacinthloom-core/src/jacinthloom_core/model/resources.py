"""Amounts of a worker's resources."""

from __future__ import annotations

from dataclasses import dataclass

MILLICORES_PER_PROCESSOR = 1000
"""Millicores in one processor."""

UNLIMITED = 1 << 50
"""Amount that marks a resource as unlimited."""


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource, with component-wise arithmetic.

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

    def fits_in(self, capacity: Resources) -> bool:
        """Return whether no component exceeds that of ``capacity``."""
        return (
            self.processors <= capacity.processors
            and self.memory <= capacity.memory
            and self.accelerators <= capacity.accelerators
            and self.slots <= capacity.slots
        )

    def scaled(self, numerator: int, denominator: int) -> Resources:
        """Return this amount times ``numerator / denominator``, rounded down."""
        return Resources(
            self.processors * numerator // denominator,
            self.memory * numerator // denominator,
            self.accelerators * numerator // denominator,
            self.slots * numerator // denominator,
        )

    def component_min(self, other: Resources) -> Resources:
        """Return the component-wise minimum."""
        return Resources(
            min(self.processors, other.processors),
            min(self.memory, other.memory),
            min(self.accelerators, other.accelerators),
            min(self.slots, other.slots),
        )

    def component_max(self, other: Resources) -> Resources:
        """Return the component-wise maximum."""
        return Resources(
            max(self.processors, other.processors),
            max(self.memory, other.memory),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
        )

    def dominant_share(self, total: Resources) -> float:
        """Return the largest fraction of ``total`` among the components.

        Slots don't count.
        """
        return max(
            _ratio(self.processors, total.processors),
            _ratio(self.memory, total.memory),
            _ratio(self.accelerators, total.accelerators),
        )


def _ratio(part: int, whole: int) -> float:
    return part / whole if whole > 0 else 0.0


NO_RESOURCES = Resources()
"""Zero of every resource."""
