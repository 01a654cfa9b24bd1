"""Effects that the planner returns for its process to carry out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .records import Record
    from .specs import StepId, TaskId


@dataclass(frozen=True, slots=True)
class Store:
    """Append records as one batch; answered by ``BatchStored`` or ``BatchRefused``.

    A refused batch is sent again under the same number, possibly with fewer records.
    """

    number: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a call.

    :param status: HTTP status
    :param retry_after_s: seconds after which the caller should retry; 0 to omit this
    """

    call: int
    status: int
    reason: str = ""
    retry_after_s: int = 0


@dataclass(frozen=True, slots=True)
class Start:
    """Order a worker to start a task; answered by ``StartAnswered``.

    :param token: fencing token
    :param incarnation: incarnation of the worker that the order is meant for, by whose
        clock the deadline is; no other one may receive it
    :param run: number of the run
    :param checkpoint: checkpoint to resume from, or empty
    :param ticket: permission of the advice service, or empty
    :param deadline_ms: end of the lease on the worker's clock, in milliseconds
    :param least_clock_ms: least that the intended incarnation's clock can show in a
        response, in milliseconds; 0 if it is not known
    """

    worker: str
    address: str
    token: int
    incarnation: int
    task: TaskId
    run: int
    payload: str
    checkpoint: str
    ticket: str
    deadline_ms: int
    least_clock_ms: int = 0


@dataclass(frozen=True, slots=True)
class Stop:
    """Order a worker to stop a run; answered by ``StopAnswered``.

    A run that has not started yet is barred: the worker refuses a later start of it.
    """

    worker: str
    address: str
    token: int
    task: TaskId
    run: int


@dataclass(frozen=True, slots=True)
class PollWorker:
    """Poll a worker: renew its leases and read its lists of running and ended runs.

    This is a long poll, answered by ``WorkerPolled`` or ``WorkerPollFailed``. It also
    establishes the fencing token at the worker.

    :param token: fencing token
    :param incarnation: incarnation of the worker that the cursor and the deadline are
        meant for; 0 if there are none. Another one is polled without them
    :param cursor: ends up to this number are stored, so the worker may drop them
    :param wait_s: seconds for which the worker may wait for a run to end
    :param deadline_ms: end of the leases on the worker's clock, in milliseconds; 0 to
        renew nothing
    """

    worker: str
    address: str
    token: int
    incarnation: int
    cursor: int
    wait_s: float
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Throttle:
    """Throttle a running task to a percentage of its speed."""

    worker: str
    address: str
    token: int
    task: TaskId
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Query the advice service for the workers that may run a step.

    Answered by ``AdviceGiven`` or ``AdviceFailed``.

    :param member: process that sends the request to the advice service
    """

    member: str
    step: StepId
    workers: tuple[str, ...]
    timeout_s: float


@dataclass(frozen=True, slots=True)
class StepDown:
    """Stop planning, because another planner has taken over."""

    reason: str


@dataclass(frozen=True, slots=True)
class Note:
    """Write a line to the log."""

    kind: str
    fields: dict[str, Any] = field(default_factory=dict)


Effect = (
    Store
    | Reply
    | Start
    | Stop
    | PollWorker
    | Throttle
    | RequestAdvice
    | StepDown
    | Note
)
