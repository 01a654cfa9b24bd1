"""Parse HTTP calls of clients and build their responses."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from jacinthloom_wire.http_server import ServerResponse

if TYPE_CHECKING:
    from jacinthloom_core.planner.rules import Queue, Rules
    from jacinthloom_wire.http_server import Request

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
"""Format of a job's id."""

TIME_BUDGET_HEADER = "x-jacinthloom-time-budget-ms"
"""Header with the time that the caller waits for a response, in milliseconds."""

DEFAULT_TIME_BUDGET_S = 3.0
"""Time budget of a call without the header, in seconds: the shortest one in the
callers' specifications."""


MAX_TIME_BUDGET_S = 3_600.0
"""Larger time budgets count as this one, in seconds."""

MAX_TIME_BUDGET_DIGITS = 15
"""Digits beyond which a time budget is too large to be parsed."""


class Action(Enum):
    """Operation that a call requests."""

    SUBMIT = "submit"
    SHOW = "show"
    CANCEL = "cancel"
    COUNT = "count"


JOB_ACTION_BY_METHOD = {
    "POST": Action.SUBMIT,
    "GET": Action.SHOW,
    "DELETE": Action.CANCEL,
}


@dataclass(frozen=True, slots=True)
class ClientCall:
    """A call that the configuration of its queue allows.

    :param client_account: client account of the API key, or empty on an open queue
    :param budget_s: seconds that the caller waits for a response
    """

    action: Action
    queue: Queue
    client_account: str
    job: str
    budget_s: float


class CallRefusedError(Exception):
    """A call was rejected.

    :param status: HTTP status of the response
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def parse_call(request: Request, rules: Rules) -> ClientCall:
    """Parse a request into a call.

    :raises CallRefusedError: if its queue, API key, method or job id is invalid
    """
    host = request.headers.get("host", "").partition(":")[0]
    queue = rules.find_queue(host, request.path)
    if queue is None:
        raise CallRefusedError(
            404, f"no queue matches host {host!r} and path {request.path!r}"
        )
    client_account = _find_client_account(request, rules)
    if client_account is None and not queue.open:
        raise CallRefusedError(401, "the API key is missing or unknown")
    budget_s = _read_time_budget(request)
    job = request.path[len(queue.prefix) :]
    if not job and request.method == "GET":
        return ClientCall(Action.COUNT, queue, client_account or "", "", budget_s)
    action = JOB_ACTION_BY_METHOD.get(request.method)
    if action is None:
        raise CallRefusedError(405, f"method {request.method} is not supported")
    if not JOB_ID.fullmatch(job):
        raise CallRefusedError(
            400, f"job id {job!r} does not consist of 16 hexadecimal digits"
        )
    return ClientCall(action, queue, client_account or "", job, budget_s)


def _find_client_account(request: Request, rules: Rules) -> str | None:
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "token":
        return None
    return rules.client_account_by_key.get(key.strip())


def _read_time_budget(request: Request) -> float:
    text = request.headers.get(TIME_BUDGET_HEADER, "")
    if not (text.isascii() and text.isdigit()):
        return DEFAULT_TIME_BUDGET_S
    if len(text) > MAX_TIME_BUDGET_DIGITS:
        return MAX_TIME_BUDGET_S
    return min(int(text) / 1000, MAX_TIME_BUDGET_S)


def build_response(
    status: int, reason: str = "", retry_after_s: int = 0
) -> ServerResponse:
    """Build a response without a result."""
    response = ServerResponse.from_json(status, {"error": reason} if reason else {})
    if not retry_after_s:
        return response
    headers = (("Retry-After", str(retry_after_s)),)
    return ServerResponse(status, response.body, response.content_type, headers)


def build_state_response(state: str) -> ServerResponse:
    """Build a response with a job's state."""
    return ServerResponse.from_json(200, {"state": state})


def build_waiting_response(count: int) -> ServerResponse:
    """Build a response with the number of waiting jobs."""
    return ServerResponse.from_json(200, {"waiting": count})
