"""Jobs, tasks and the attempts to run them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from .configuration import WorkKind
from .resources import Resources

Outcome = Literal[
    "answered", "failed", "not_run", "unknown", "cancelled", "checkpointed"
]
"""How a request or a task ended."""

ATTEMPTS_PER_VIEW = 1 << 24
"""Attempt numbers that one view leaves room for."""


@dataclass(frozen=True, slots=True)
class WorkSpec:
    """What a caller asks to be run.

    :param job: id, unique in the fleet
    :param team: team that the work counts against; empty on open classes
    :param work_class: name of its class
    :param need: resources of one task, as declared
    :param run_time_s: declared run time of one task in seconds; 0 when unknown
    :param deadline: wall-clock time of the target, seconds since the epoch
    :param payload: opaque text handed to the worker
    :param idempotent: whether it may be run again after an unknown outcome
    :param idempotency_key: the caller's own name for a non-idempotent request
    :param urgent: whether a caller waits for it
    :param key_id: id of the key that it was submitted with
    """

    job: str
    team: str
    work_class: str
    kind: WorkKind
    tasks: int
    need: Resources
    run_time_s: float
    deadline: float
    payload: str = ""
    idempotent: bool = True
    idempotency_key: str = ""
    urgent: bool = False
    key_id: str = ""

    @property
    def concurrent_need(self) -> Resources:
        """What must run at the same time: one task, or all tasks of a gang."""
        return self.need.scaled(self.tasks, 1) if self.kind == "gang" else self.need

    @property
    def is_deferrable(self) -> bool:
        """Whether the work can wait for a cheaper minute."""
        return self.kind in ("batch", "gang") and not self.urgent


@dataclass(frozen=True, slots=True)
class Grant:
    """Leave for a rack owner to run one attempt of a task.

    :param attempt: number that rises with every attempt at the task
    :param home: member that grants
    :param view: number of the view that the home granted under
    :param held: whether the owner only reserves room until told to start
    :param checkpoint: state that an earlier attempt left
    """

    spec: WorkSpec
    index: int
    attempt: int
    home: str
    view: int
    held: bool = False
    checkpoint: str = ""

    @property
    def key(self) -> str:
        """Name of the attempt, unique in the fleet."""
        return attempt_key(self.spec.job, self.index, self.attempt)


REQUEST_PREFIX = "r-"
"""Start of the id of a request whose answer is waited for."""

JOB_PREFIX = "j-"
"""Start of the id of a job."""


def host_of(member: str) -> str:
    """Return the name of the host in a member's id, ``host.incarnation``."""
    return member.rpartition(".")[0]


def is_request(job: str) -> bool:
    """Return whether an id is that of a request."""
    return job.startswith(REQUEST_PREFIX)


def attempt_key(job: str, index: int, attempt: int) -> str:
    """Return the fleet-wide name of an attempt."""
    return f"{job}/{index}#{attempt}"


def split_attempt_key(key: str) -> tuple[str, int, int]:
    """Return job, task index and attempt number of an attempt's name.

    :raises ValueError: if the name was not made by :func:`attempt_key`
    """
    task, _, attempt = key.rpartition("#")
    job, _, index = task.rpartition("/")
    return job, int(index), int(attempt)
