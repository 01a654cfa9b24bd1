"""The operators' configuration as the planner sees it."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..model.resources import Resources


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """A queue whose steps may only run on workers that a service recommends.

    :param base_s: seconds that one request takes
    :param per_worker_s: seconds more for each worker asked about
    :param valid_s: seconds that a ticket is valid
    """

    base_s: float
    per_worker_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue and its objective.

    :param host: host name that callers use
    :param prefix: start of the paths of its jobs
    :param service: name of the pool of workers
    :param priority: 0 comes first
    :param max_attempts: failed runs of a task after which its job has failed
    :param stretch: objective as a multiple of a job's longest chain of work
    :param target_s: seconds added to the objective
    :param open: whether calls need no key
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    open: bool = False
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account.

    :param limit: most that it may have running; a component of 0 has no limit
    """

    name: str
    weight: float
    limit: Resources


@dataclass(frozen=True, slots=True)
class Rules:
    """One version of the configuration.

    :param client_account_by_key: name of the client account that each key belongs to
    :param max_body_bytes: largest body of a call
    """

    version: int = 0
    queue_by_name: dict[str, Queue] = field(default_factory=dict)
    client_account_by_name: dict[str, ClientAccount] = field(default_factory=dict)
    client_account_by_key: dict[str, str] = field(default_factory=dict)
    max_body_bytes: int = 262_144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path, or None."""
        best: Queue | None = None
        for queue in self.queue_by_name.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best
