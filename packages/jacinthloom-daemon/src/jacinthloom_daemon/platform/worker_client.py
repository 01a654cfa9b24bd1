"""Client of one worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from jacinthloom_core.planner.events import StartOutcome
from jacinthloom_wire.errors import TransportError
from jacinthloom_wire.http_client import HttpClient

from .errors import FencedError, InvalidDataError, UnavailableError
from .run_lists import decode_hold
from .schemas import decode_order_response, format_task

if TYPE_CHECKING:
    from jacinthloom_core.planner.effects import PollWorker, Start, Stop, Throttle
    from jacinthloom_core.planner.events import RunEnd, RunProgress
    from jacinthloom_wire.http_client import Response

ORDER_TIMEOUT_S = 0.8
"""Timeout of an order, in seconds: workers that can be reached respond within
milliseconds."""

START_TIMEOUT_S = 0.3
"""Timeout of a start, in seconds: shorter than that of other orders because a start is
idempotent and is retried sooner."""

MAX_IDLE_CONNECTIONS = 16
"""Idle connections kept per worker: enough for the starts of one batch."""

HOLD_TIMEOUT_MARGIN_S = 0.6
"""Seconds that the timeout of a hold request exceeds its wait time."""

MAX_LISTED_ENDS = 500
"""Ended runs that a worker lists at a time; it lists further ones once these are
acknowledged."""

OUTCOME_BY_REASON = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.STALE_RUN,
    "late": StartOutcome.PAST_DEADLINE,
    "room": StartOutcome.NO_CAPACITY,
    "ticket": StartOutcome.BAD_TICKET,
}
"""Meaning of the reason in a refusal (status 409)."""

OUTCOME_BY_STATUS = {
    200: StartOutcome.STARTED,
    400: StartOutcome.INVALID,
    421: StartOutcome.OTHER_INCARNATION,
    429: StartOutcome.UNHEALTHY,
    503: StartOutcome.UNHEALTHY,
}


@dataclass(frozen=True, slots=True)
class HoldResponse:
    """A worker's clock, running tasks and ended runs, from its response to a hold.

    :param incarnation: start time of the worker's incarnation, in Unix milliseconds
    :param clock_ms: the worker's clock when it responded, in milliseconds
    :param is_complete: whether the lists are whole; false if they may have been cut
        off, or have rows that can't be read
    """

    incarnation: int
    clock_ms: int
    running: tuple[RunProgress, ...]
    ends: tuple[RunEnd, ...]
    is_complete: bool


class WorkerClient:
    """Send orders to one worker over persistent connections."""

    def __init__(self, worker: str, address: str) -> None:
        self.address = address
        self._headers = (
            ("Content-Type", "application/json"),
            ("X-Jacinthloom-Expect-Instance", worker),
        )
        self._client = HttpClient(address, MAX_IDLE_CONNECTIONS)

    async def hold(self, poll: PollWorker) -> HoldResponse:
        """Renew the worker's leases and return its running tasks and ended runs.

        :raises FencedError: if the worker has seen a higher fencing token
        :raises UnavailableError: if there was no valid response
        """
        body: dict[str, Any] = {"fencingToken": poll.token, "ackCursor": poll.cursor}
        if poll.deadline_ms:
            body["deadlineMs"] = poll.deadline_ms
        if poll.wait_s:
            body["waitMs"] = int(poll.wait_s * 1000)
        response = await self._post("/hold", body, poll.wait_s + HOLD_TIMEOUT_MARGIN_S)
        if response.status == 409:
            raise FencedError("the worker has seen a higher fencing token")
        if response.status != 200:
            raise UnavailableError(
                f"status {response.status}", is_outcome_unknown=False
            )
        try:
            decoded = decode_hold(response.body)
        except InvalidDataError as error:
            raise UnavailableError(
                f"unreadable response to a hold: {error}", True
            ) from error
        running, ends = decoded.to_running(), decoded.to_ends()
        is_complete = (
            len(decoded.endedRuns) < MAX_LISTED_ENDS
            and len(ends) == len(decoded.endedRuns)
            and len(running) == len(decoded.running)
        )
        return HoldResponse(decoded.born, decoded.clockMs, running, ends, is_complete)

    async def start(self, start: Start) -> StartOutcome:
        """Order a start and return its outcome."""
        body: dict[str, Any] = {
            "task": format_task(start.task),
            "run": start.run,
            "spec": start.payload,
            "deadlineMs": start.deadline_ms,
            "fencingToken": start.token,
        }
        if start.checkpoint:
            body["checkpoint"] = start.checkpoint
        if start.ticket:
            body["ticket"] = start.ticket
        try:
            response = await self._post("/run-start", body, START_TIMEOUT_S)
        except UnavailableError as error:
            return (
                StartOutcome.UNKNOWN
                if error.is_outcome_unknown
                else StartOutcome.NOT_SENT
            )
        if response.status == 409:
            return _decode_refusal(response)
        return OUTCOME_BY_STATUS.get(response.status, StartOutcome.UNKNOWN)

    async def stop(self, stop: Stop) -> bool:
        """Order a stop and return whether the worker has confirmed it."""
        body = {
            "task": format_task(stop.task),
            "run": stop.run,
            "fencingToken": stop.token,
        }
        return await self._send_order("/run-stop", body)

    async def pace(self, throttle: Throttle) -> bool:
        """Set the percentage of full speed at which a task runs.

        :returns: whether the worker has confirmed it
        """
        body = {
            "task": format_task(throttle.task),
            "run": throttle.run,
            "percent": throttle.percent,
            "fencingToken": throttle.token,
        }
        return await self._send_order("/pace", body)

    async def _send_order(self, path: str, body: dict[str, Any]) -> bool:
        try:
            response = await self._post(path, body, ORDER_TIMEOUT_S)
        except UnavailableError:
            return False
        return response.status == 200

    async def _post(self, path: str, body: dict[str, Any], timeout: float) -> Response:
        encoded = msgspec.json.encode(body)
        try:
            return await self._client.request(
                "POST", path, encoded, self._headers, timeout
            )
        except TransportError as error:
            raise UnavailableError(str(error), error.sent) from error

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()


def _decode_refusal(response: Response) -> StartOutcome:
    try:
        reason = decode_order_response(response.body).reason
    except InvalidDataError:
        return StartOutcome.UNKNOWN
    return OUTCOME_BY_REASON.get(reason, StartOutcome.UNKNOWN)
