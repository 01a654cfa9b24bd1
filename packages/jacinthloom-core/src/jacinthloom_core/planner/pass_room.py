"""What one scheduling pass has found out about the free capacity of the workers.

Capacity only shrinks during a pass, so what did not fit once does not fit later in it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import Resources
from .placement import FreeCapacity
from .worker_health import classify_slack

if TYPE_CHECKING:
    from .fleet import Worker
    from .jobs import StepRun
    from .specs import StepSpec

_Pool = tuple[str, str, bool, bool]
"""Service, label, and whether tasks fill or serve: what decides on the workers."""


class PassRoom:
    """Sizes for which no worker has room, and free capacity by kind of step.

    :ivar visits: number of workers that were looked at for a step
    """

    def __init__(self) -> None:
        self._full_sizes_by_pool: dict[_Pool, list[Resources]] = {}
        self._full_gangs: dict[tuple[object, ...], int] = {}
        """Least number of members that does not fit, by kind of gang."""
        self._capacity_by_kind: dict[tuple[object, ...], tuple[FreeCapacity, int]] = {}
        self.visits = 0

    def begin_pass(self) -> None:
        """Forget what an earlier pass has found out."""
        self._full_sizes_by_pool.clear()
        self._full_gangs.clear()
        self._capacity_by_kind.clear()
        self.visits = 0

    def is_full(self, service: str, spec: StepSpec) -> bool:
        """Whether no worker has room for one more task of a step."""
        full = self._full_sizes_by_pool.get(_find_pool(service, spec))
        if not full:
            return False
        size = _find_bound_size(spec)
        return any(other.fits_in(size) for other in full)

    def note_full(self, service: str, spec: StepSpec) -> None:
        """Record that no worker has room for one more task of a step."""
        if self.is_full(service, spec):
            return
        size = _find_bound_size(spec)
        full = self._full_sizes_by_pool.setdefault(_find_pool(service, spec), [])
        full[:] = [other for other in full if not size.fits_in(other)]
        full.append(size)

    def is_full_for_gang(self, service: str, step: StepRun) -> bool:
        """Whether a gang like this one, or a smaller one, did not fit."""
        if self.is_full(service, step.spec):
            return True
        least = self._full_gangs.get(_find_gang(service, step))
        return least is not None and step.spec.count >= least

    def note_full_for_gang(self, service: str, step: StepRun) -> None:
        """Record that a gang does not fit."""
        key, count = _find_gang(service, step), step.spec.count
        self._full_gangs[key] = min(count, self._full_gangs.get(key, count))

    def find_capacity(
        self, service: str, step: StepRun, reservations: int
    ) -> FreeCapacity | None:
        """Return the free capacity that a step like this one has left.

        :param reservations: number of reservations of capacity so far, by which it is
            known whether another step has taken some since
        """
        kept = self._capacity_by_kind.get(_find_kind(service, step))
        return kept[0] if kept is not None and kept[1] == reservations else None

    def keep_capacity(
        self, service: str, step: StepRun, capacity: FreeCapacity, reservations: int
    ) -> None:
        """Keep the free capacity for the next step like this one."""
        self._capacity_by_kind[_find_kind(service, step)] = (capacity, reservations)

    def visit(self, workers: list[Worker]) -> None:
        """Count workers that are looked at."""
        self.visits += len(workers)


def _find_pool(service: str, spec: StepSpec) -> _Pool:
    return (service, spec.label, spec.fills, bool(spec.target_s))


def _find_bound_size(spec: StepSpec) -> Resources:
    """Return the resources that a worker needs to have free."""
    size = spec.size
    return Resources(0, size.memory, size.accelerators) if spec.fills else size


def _find_gang(service: str, step: StepRun) -> tuple[object, ...]:
    """Return all but the number of members on which it depends if a gang fits."""
    spec = step.spec
    pool, urgency = _find_pool(service, spec), classify_slack(step)
    return (pool, spec.size, spec.same_rack, spec.most_per_worker, urgency)


def _find_kind(service: str, step: StepRun) -> tuple[object, ...]:
    """Return all on which the order of the workers for a step depends."""
    spec = step.spec
    return (
        _find_pool(service, spec),
        spec.size,
        spec.data_rack,
        spec.lasting,
        FreeCapacity.is_for_short_tasks(spec),
        classify_slack(step),
    )
