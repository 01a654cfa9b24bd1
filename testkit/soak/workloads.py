"""Work of a soak that brings about preemption and a shortage of workers."""

from __future__ import annotations

import time
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from .observations import Job

if TYPE_CHECKING:
    from random import Random

    from ..hosted.worker import Run

SHORTEST_RUN_S = 0.2
LONGEST_RUN_S = 2.5

LARGE_KEY = "key-of-large"
"""Key of the client account that sends far more than the other one for a while."""


@dataclass(frozen=True, slots=True)
class Workload:
    """Jobs of one step, of a queue of their own.

    :param name: name of the queue, and first word of the payloads
    :param target_ms: target latency of the queue, in milliseconds
    :param counts: numbers of tasks to draw from
    :param processors: processors of a task to draw from, in millicores
    :param run_s: shortest and longest run time, in seconds
    :param share: work per second, as a share of the capacity of the workers
    """

    name: str
    priority: int
    target_ms: int
    counts: tuple[int, ...]
    processors: tuple[int, ...]
    run_s: tuple[float, float]
    share: float
    is_gang: bool = False
    checkpoints: bool = False

    @property
    def prefix(self) -> str:
        """Path prefix of the queue."""
        return f"/{self.name}/"

    def compute_pause_s(self, workers: int, cores: int = 8) -> float:
        """Return the mean seconds between two jobs."""
        count = sum(self.counts) / len(self.counts)
        processors = sum(self.processors) / len(self.processors) / 1000
        work_s = count * processors * sum(self.run_s) / 2
        return work_s / (self.share * workers * cores)

    def make_job(self, random: Random, key: str) -> Job:
        """Return a job for a client account.

        :param key: key of the account
        """
        name = f"{random.getrandbits(64):016x}"
        count = random.choice(self.counts)
        step: dict[str, Any] = {
            "count": count,
            "cpu": random.choice(self.processors),
            "memMb": 100,
            "estRuntimeMs": 500 * sum(self.run_s),
            "gang": self.is_gang,
            "checkpoints": self.checkpoints,
        }
        body = {"spec": f"{self.name} {count} {name}", "steps": [step]}
        return Job(name, body, time.monotonic(), prefix=self.prefix, key=key)


GANGS = Workload("gangs", 1, 1000, (2, 3), (4500, 6000), (0.8, 1.2), 0.15, True)
"""Gangs of large tasks. All of one fit into what may be stopped on twelve workers."""

BATCHES = Workload(
    "batches", 2, 8000, (10, 14), (1000, 2000), (1.5, 2.5), 0.4, checkpoints=True
)
"""Small tasks that may be stopped for gangs: they are long beside what that costs."""

SURGES = Workload("surges", 2, 250, (15,), (8000,), (0.3, 0.3), 2.0)
"""Short tasks with a short objective, which is soon out of reach in a shortage."""

WORKLOAD_BY_NAME = {work.name: work for work in (GANGS, BATCHES, SURGES)}


def _find_workload(payload: str) -> Workload | None:
    return WORKLOAD_BY_NAME.get(payload.partition(" ")[0])


def find_gang_size(payload: str) -> int:
    """Return the number of members of a task's gang; 0 if it has none."""
    workload = _find_workload(payload)
    return int(payload.split()[1]) if workload and workload.is_gang else 0


def saves_checkpoints(payload: str) -> bool:
    """Whether a task saves checkpoints."""
    workload = _find_workload(payload)
    return workload is not None and workload.checkpoints


def choose_run_s(run: Run, longest_s: float = LONGEST_RUN_S) -> float:
    """Return how long a run takes, by its task.

    :param longest_s: duration of the longest runs of other jobs than workloads
    """
    share = zlib.crc32(run.task.encode()) % 1000 / 1000
    workload = _find_workload(run.payload)
    if workload is None:
        return SHORTEST_RUN_S + share**3 * (longest_s - SHORTEST_RUN_S)
    shortest_s, longest_s = workload.run_s
    return shortest_s + share * (longest_s - shortest_s)
