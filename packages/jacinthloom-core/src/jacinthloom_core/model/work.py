"""Jobs, tasks and the attempts to run them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from .configuration import WorkKind
from .resources import Resources

Outcome = Literal[
    "answered", "failed", "not_run", "unknown", "cancelled", "checkpointed"
]
"""Outcome of a request or a task."""

ATTEMPTS_PER_VIEW = 1 << 24
"""Number of attempt numbers available in one view."""


@dataclass(frozen=True, slots=True)
class WorkSpec:
    """The work submitted by a caller.

    :param job: id, unique in the fleet
    :param team: team that the work counts against; empty on open classes
    :param work_class: name of its class
    :param need: declared resources of one task
    :param run_time_s: declared run time of one task in seconds; 0 when unknown
    :param deadline: wall-clock time of the target, in seconds since the epoch
    :param payload: opaque text passed to the worker
    :param idempotent: whether it may be run again after an unknown outcome
    :param idempotency_key: key chosen by the caller that identifies a non-idempotent
        request
    :param urgent: whether a caller waits for it
    :param key_id: id of the API key used for the submission
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
        """Resources needed concurrently: those of one task, or of a whole gang."""
        return self.need.scaled(self.tasks, 1) if self.kind == "gang" else self.need

    @property
    def is_deferrable(self) -> bool:
        """Whether the work can be delayed to lower the peak usage."""
        return self.kind in ("batch", "gang") and not self.urgent


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission for a rack owner to run one attempt of a task.

    :param attempt: attempt number, increasing with every attempt at the task
    :param home: coordinator of the job or request, which granted it
    :param view: number of the view under which it was granted
    :param held: whether the owner only reserves capacity until the gang starts
    :param checkpoint: checkpoint left by an earlier attempt
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
"""Prefix of the id of a synchronous request."""

JOB_PREFIX = "j-"
"""Prefix of the id of a job."""


def host_of(member: str) -> str:
    """Return the host part of a member's id, ``host.incarnation``."""
    return member.rpartition(".")[0]


def is_request(job: str) -> bool:
    """Return whether an id belongs to a synchronous request."""
    return job.startswith(REQUEST_PREFIX)


def attempt_key(job: str, index: int, attempt: int) -> str:
    """Return the name of an attempt, unique in the fleet."""
    return f"{job}/{index}#{attempt}"


def parse_attempt_key(key: str) -> tuple[str, int, int]:
    """Parse the name of an attempt into job, task index and attempt number.

    :raises ValueError: if the name was not made by :func:`attempt_key`
    """
    task, _, attempt = key.rpartition("#")
    job, _, index = task.rpartition("/")
    return job, int(index), int(attempt)
