"""Calls of clients: what they ask for, and how they are answered."""

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
"""Form of a job's id."""

TIME_BUDGET_HEADER = "x-jacinthloom-time-budget-ms"
"""Header with the milliseconds that the caller waits."""

DEFAULT_TIME_BUDGET_S = 3.0
"""Seconds that a caller waits who does not say so; the shortest of the sheets."""


class Action(Enum):
    """What a call asks for."""

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
    """A call that a queue's configuration allows.

    :param tenant: client account of its key, or empty on an open queue
    :param budget_s: seconds that the caller waits
    """

    action: Action
    queue: Queue
    tenant: str
    job: str
    budget_s: float


class CallRefusedError(Exception):
    """A call can't be served.

    :param status: HTTP status to answer with
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def parse_call(request: Request, rules: Rules) -> ClientCall:
    """Return what a request asks for.

    :raises CallRefusedError: if it names no queue, no known key or no job
    """
    host = request.headers.get("host", "").partition(":")[0]
    queue = rules.find_queue(host, request.path)
    if queue is None:
        raise CallRefusedError(404, "there is no such queue")
    tenant = _find_tenant(request, rules)
    if tenant is None and not queue.open:
        raise CallRefusedError(401, "the key is not known")
    budget_s = _read_time_budget(request)
    job = request.path[len(queue.prefix) :]
    if not job and request.method == "GET":
        return ClientCall(Action.COUNT, queue, tenant or "", "", budget_s)
    action = JOB_ACTION_BY_METHOD.get(request.method)
    if action is None:
        raise CallRefusedError(405, f"{request.method} is not served")
    if not JOB_ID.fullmatch(job):
        raise CallRefusedError(400, "a job's id has 16 hexadecimal digits")
    return ClientCall(action, queue, tenant or "", job, budget_s)


def _find_tenant(request: Request, rules: Rules) -> str | None:
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "token":
        return None
    return rules.tenant_by_key.get(key.strip())


def _read_time_budget(request: Request) -> float:
    text = request.headers.get(TIME_BUDGET_HEADER, "")
    return int(text) / 1000 if text.isdigit() else DEFAULT_TIME_BUDGET_S


def build_response(
    status: int, reason: str = "", retry_after_s: int = 0
) -> ServerResponse:
    """Build an answer without a result."""
    response = ServerResponse.from_json(status, {"error": reason} if reason else {})
    if not retry_after_s:
        return response
    headers = (("Retry-After", str(retry_after_s)),)
    return ServerResponse(status, response.body, response.content_type, headers)


def build_state_response(state: str) -> ServerResponse:
    """Build an answer with a job's state."""
    return ServerResponse.from_json(200, {"state": state})


def build_waiting_response(count: int) -> ServerResponse:
    """Build an answer with the number of waiting jobs."""
    return ServerResponse.from_json(200, {"waiting": count})
