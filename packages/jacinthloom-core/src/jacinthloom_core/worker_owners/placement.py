"""Placement policies: the worker on which an attempt starts."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from itertools import chain, islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from ..model.work import WorkSpec
    from .workers import Worker, WorkerIndex

SERVICE_CANDIDATES = 32
"""Maximum number of fitting workers among which a service's task is spread."""

SCAN_LIMIT = 48
"""Maximum number of workers examined from each end of the index."""


class PlacementPolicy(ABC):
    """Choose a worker for one attempt."""

    def choose(
        self,
        spec: WorkSpec,
        index: WorkerIndex,
        worker_by_name: Mapping[str, Worker],
        usable: Callable[[Worker], bool],
    ) -> Worker | None:
        """Return the best usable worker with enough free capacity, or ``None``.

        :param usable: whether zone, health and state allow a start
        """
        tried = chain(
            islice(self._iterate(spec, index), SCAN_LIMIT),
            islice(index.iterate_emptiest(spec.need.processors), SCAN_LIMIT),
        )
        fitting = (
            worker
            for name in tried
            if (worker := worker_by_name[name])
            and spec.need.fits_in(worker.free)
            and usable(worker)
        )
        candidates = list(islice(fitting, self._candidate_limit))
        return self._prefer(spec, candidates, worker_by_name.values())

    _candidate_limit = 1
    """Maximum number of fitting workers to choose among."""

    def _iterate(self, spec: WorkSpec, index: WorkerIndex) -> Iterator[str]:
        return index.iterate_tightest(spec.need.processors)

    @abstractmethod
    def _prefer(
        self, spec: WorkSpec, fitting: list[Worker], workers: Iterable[Worker]
    ) -> Worker | None:
        """Return the best of a few workers with enough free capacity.

        :param workers: all workers, whether they have free capacity or not
        """


class BatchPlacement(PlacementPolicy):
    """Pack batch work on the fullest worker with enough free capacity."""

    def _prefer(
        self, spec: WorkSpec, fitting: list[Worker], workers: Iterable[Worker]
    ) -> Worker | None:
        return fitting[0] if fitting else None


class GangPlacement(BatchPlacement):
    """Pack the tasks of a gang like batch work."""


class ServicePlacement(PlacementPolicy):
    """Spread the tasks of a service over zones, then racks, then workers."""

    _candidate_limit = SERVICE_CANDIDATES

    def _iterate(self, spec: WorkSpec, index: WorkerIndex) -> Iterator[str]:
        return index.iterate_emptiest(spec.need.processors)

    def _prefer(
        self, spec: WorkSpec, fitting: list[Worker], workers: Iterable[Worker]
    ) -> Worker | None:
        if not fitting:
            return None
        count_by_zone: Counter[str] = Counter()
        count_by_rack: Counter[str] = Counter()
        for worker in workers:
            count = _count_job(spec.job, worker)
            count_by_zone[worker.info.zone] += count
            count_by_rack[_rack(worker)] += count
        return min(
            fitting,
            key=lambda worker: (
                count_by_zone[worker.info.zone],
                count_by_rack[_rack(worker)],
                _count_job(spec.job, worker),
            ),
        )


def _rack(worker: Worker) -> str:
    return worker.name.rpartition("/")[0]


def _count_job(job: str, worker: Worker) -> int:
    prefix = f"{job}/"
    return sum(key.startswith(prefix) for key in worker.attempt_by_key)


class RequestPlacement(PlacementPolicy):
    """Place a request on the emptiest worker, where it runs at once."""

    def _iterate(self, spec: WorkSpec, index: WorkerIndex) -> Iterator[str]:
        return index.iterate_emptiest(spec.need.processors)

    def _prefer(
        self, spec: WorkSpec, fitting: list[Worker], workers: Iterable[Worker]
    ) -> Worker | None:
        return fitting[0] if fitting else None


POLICY_BY_KIND: dict[str, PlacementPolicy] = {
    "batch": BatchPlacement(),
    "gang": GangPlacement(),
    "service": ServicePlacement(),
    "request": RequestPlacement(),
}
"""Placement policy of each kind of work."""
