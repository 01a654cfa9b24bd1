"""Client of one worker."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgspec
from jacinthloom_core.planner.events import StartOutcome
from jacinthloom_wire.errors import OtherRecipientError, TransportError
from jacinthloom_wire.http_client import HttpClient, Recipient

from .errors import (
    FencedError,
    InvalidDataError,
    OtherIncarnationError,
    PlatformError,
    UnavailableError,
)
from .run_lists import decode_hold
from .schemas import decode_order_response, format_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.effects import PollWorker, Start, Stop, Throttle
    from jacinthloom_core.planner.events import RunEnd, RunProgress
    from jacinthloom_wire.http_client import Exchange, Response

    from .run_lists import HoldResponseBody

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
    """Send orders to one worker over persistent connections.

    Orders name the worker, and the worker may start again under its name. Those that
    are meant for one incarnation are sent only on connections that end at it.
    """

    def __init__(self, worker: str, address: str) -> None:
        self.address = address
        self._headers = (
            ("Content-Type", "application/json"),
            ("X-Jacinthloom-Expect-Instance", worker),
        )
        self._client = HttpClient(address, MAX_IDLE_CONNECTIONS)

    async def hold(self, poll: PollWorker) -> HoldResponse:
        """Renew the worker's leases and return its running tasks and ended runs.

        An incarnation that the cursor and the deadline are not meant for is asked for
        its lists only.

        :raises FencedError: if the worker has seen a higher fencing token
        :raises UnavailableError: if there was no valid response
        """
        try:
            return await self._hold(poll)
        except OtherIncarnationError:
            unbound = replace(poll, incarnation=0, cursor=0, wait_s=0.0, deadline_ms=0)
            return await self._hold(unbound)

    async def _hold(self, poll: PollWorker) -> HoldResponse:
        body: dict[str, Any] = {"fencingToken": poll.token, "ackCursor": poll.cursor}
        if poll.deadline_ms:
            body["deadlineMs"] = poll.deadline_ms
        if poll.wait_s:
            body["waitMs"] = int(poll.wait_s * 1000)
        recipient = self._make_recipient(poll) if poll.incarnation else None
        timeout_s = poll.wait_s + HOLD_TIMEOUT_MARGIN_S
        decoded: HoldResponseBody | None = None

        def read_incarnation(response: Response) -> int:
            nonlocal decoded
            try:
                decoded = _read_hold(response)
            except PlatformError:
                return 0
            return decoded.born

        response = await self._post(
            "/hold", body, timeout_s, recipient, read_incarnation
        )
        if decoded is None:
            decoded = _read_hold(response)
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
            response = await self._post(
                "/run-start", body, START_TIMEOUT_S, self._make_recipient(start)
            )
        except OtherIncarnationError:
            return StartOutcome.OTHER_INCARNATION
        except FencedError:
            return StartOutcome.FENCED
        except UnavailableError as error:
            return (
                StartOutcome.UNKNOWN
                if error.is_outcome_unknown
                else StartOutcome.NOT_SENT
            )
        if _is_from_other(response, start.least_clock_ms):
            return StartOutcome.ANSWERED_BY_OTHER
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

    def _make_recipient(self, order: Start | PollWorker) -> Recipient:
        async def identify(exchange: Exchange) -> int:
            body = msgspec.json.encode({"fencingToken": order.token, "ackCursor": 0})
            return _read_hold(await exchange("POST", "/hold", body, self._headers)).born

        return Recipient(order.incarnation, identify)

    async def _post(
        self,
        path: str,
        body: dict[str, Any],
        timeout: float,
        recipient: Recipient | None = None,
        read_identity: Callable[[Response], int] | None = None,
    ) -> Response:
        encoded = msgspec.json.encode(body)
        try:
            return await self._client.request(
                "POST",
                path,
                encoded,
                self._headers,
                timeout,
                recipient=recipient,
                read_identity=read_identity,
            )
        except OtherRecipientError as error:
            raise OtherIncarnationError(str(error)) from error
        except TransportError as error:
            raise UnavailableError(str(error), error.sent) from error

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()


def _read_hold(response: Response) -> HoldResponseBody:
    """Decode the response to a hold.

    :raises FencedError: if the worker has seen a higher fencing token
    :raises UnavailableError: if the hold was refused, or the response can't be read
    """
    if response.status == 409:
        raise FencedError("the worker has seen a higher fencing token")
    if response.status != 200:
        raise UnavailableError(f"status {response.status}", is_outcome_unknown=False)
    try:
        return decode_hold(response.body)
    except InvalidDataError as error:
        raise UnavailableError(
            f"unreadable response to a hold: {error}", True
        ) from error


def _is_from_other(response: Response, least_clock_ms: int) -> bool:
    """Whether a later incarnation than the intended one has responded to an order.

    A path may have joined the connection to the next process. Clocks begin anew with
    each incarnation. Status 421 is that of another worker, which does nothing.
    """
    if response.status == 421:
        return False
    try:
        clock_ms = decode_order_response(response.body).clockMs
    except InvalidDataError:
        return False
    return 0 < clock_ms < least_clock_ms


def _decode_refusal(response: Response) -> StartOutcome:
    try:
        reason = decode_order_response(response.body).reason
    except InvalidDataError:
        return StartOutcome.UNKNOWN
    return OUTCOME_BY_REASON.get(reason, StartOutcome.UNKNOWN)
