"""The part of the operators' configuration that the planner uses."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..model.resources import Resources


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Timing of the advice service, which decides where a queue's steps may run.

    :param base_s: seconds that a request takes
    :param per_worker_s: additional seconds for each worker named in the request
    :param valid_s: seconds for which a ticket is valid
    """

    base_s: float
    per_worker_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue and its objective for the completion time of jobs.

    :param host: host name that callers use
    :param prefix: path prefix of its endpoint
    :param service: name of its pool of workers
    :param priority: 0 is the highest priority
    :param max_attempts: failed runs of a task after which its job fails
    :param stretch: objective as a multiple of the job's critical path
    :param target_s: seconds added to that product
    :param open: whether calls need no key
    :param advice: set if steps may only run on workers that the advice service permits
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

    :param limit: resources that it may use at a time; a component of 0 is unlimited
    """

    name: str
    weight: float
    limit: Resources


@dataclass(frozen=True, slots=True)
class Rules:
    """One version of the configuration.

    :param client_account_by_key: name of the client account that each key belongs to
    :param max_body_bytes: size limit of a request body
    :param services: names of the pools of workers
    """

    version: int = 0
    queue_by_name: dict[str, Queue] = field(default_factory=dict)
    client_account_by_name: dict[str, ClientAccount] = field(default_factory=dict)
    client_account_by_key: dict[str, str] = field(default_factory=dict)
    max_body_bytes: int = 262_144
    services: frozenset[str] = frozenset()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host whose prefix matches the longest part of a path.

        :returns: the queue, or None if no prefix matches
        """
        best: Queue | None = None
        for queue in self.queue_by_name.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best
