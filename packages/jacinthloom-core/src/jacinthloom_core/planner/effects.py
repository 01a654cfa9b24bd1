"""Effects that the planner asks its process to carry out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .records import Record
    from .specs import StepId, TaskId


@dataclass(frozen=True, slots=True)
class Store:
    """Append records as one batch; answered by ``BatchStored`` or ``BatchRefused``.

    A batch that was refused comes again under its number, perhaps without some records.
    """

    number: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a call.

    :param status: HTTP status
    :param retry_after_s: seconds after which to come back; 0 to say nothing
    """

    call: int
    status: int
    reason: str = ""
    retry_after_s: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """Order a worker to start a task; answered by ``StartAnswered``.

    :param deadline_ms: end of the lease, on the worker's clock
    """

    worker: str
    address: str
    token: int
    task: TaskId
    run: int
    payload: str
    checkpoint: str
    ticket: str
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Stop:
    """Order a worker to stop a run, and bar it; answered by ``StopAnswered``."""

    worker: str
    address: str
    token: int
    task: TaskId
    run: int


@dataclass(frozen=True, slots=True)
class PollWorker:
    """Renew a worker's leases and read its lists.

    Answered by ``WorkerPolled`` or ``WorkerPollFailed``.

    :param cursor: ends up to this number are stored and may be forgotten
    :param wait_s: seconds that the worker may wait for an end
    :param deadline_ms: end of the lease, on the worker's clock; 0 to renew nothing
    """

    worker: str
    address: str
    token: int
    cursor: int
    wait_s: float
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Throttle:
    """Let a running task work at a share of its speed."""

    worker: str
    address: str
    token: int
    task: TaskId
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask which workers may run a step; answered by ``AdviceGiven``."""

    member: str
    step: StepId
    workers: tuple[str, ...]
    timeout_s: float


@dataclass(frozen=True, slots=True)
class StepDown:
    """Stop planning: another planner has taken over."""

    reason: str


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the log."""

    kind: str
    fields: dict[str, Any] = field(default_factory=dict)


Effect = (
    Store | Reply | Start | Stop | PollWorker | Throttle | AskAdvice | StepDown | Note
)
