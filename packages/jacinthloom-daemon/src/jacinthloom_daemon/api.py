"""HTTP API for callers and operators."""

from __future__ import annotations

import hashlib
import secrets
import time
from dataclasses import asdict, replace
from typing import TYPE_CHECKING

from jacinthloom_core.model import events
from jacinthloom_core.model.answers import Refusal
from jacinthloom_core.model.operations import (
    RestartFleet,
    ShowConfiguration,
    ShowStatus,
    ShowTeams,
    ShowWorkers,
)
from jacinthloom_core.model.work import JOB_PREFIX, REQUEST_PREFIX
from jacinthloom_wire import bodies
from jacinthloom_wire.checks import CheckError
from jacinthloom_wire.http_server import ServerResponse

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from jacinthloom_core.model.answers import Answer
    from jacinthloom_core.model.configuration import KeyHash
    from jacinthloom_core.model.operations import OperatorRequest
    from jacinthloom_core.model.work import WorkSpec
    from jacinthloom_wire.http_server import Request

    from .metrics import Metrics
    from .shell import Shell
    from .timeline import Timeline

ID_HEX_DIGITS = 24
"""Number of hexadecimal digits in a job or request id."""

QUERY_BY_PATH: dict[str, OperatorRequest] = {
    "/v1/operator/status": ShowStatus(),
    "/v1/operator/configuration": ShowConfiguration(),
    "/v1/operator/teams": ShowTeams(),
    "/v1/operator/workers": ShowWorkers(),
}
"""Read-only operator requests, by path."""


class Api:
    """Translate HTTP requests into events, and answers into HTTP responses."""

    def __init__(
        self,
        get_shell: Callable[[], Shell],
        operator_key: KeyHash | None,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self._get_shell = get_shell
        self._operator_key = operator_key
        self._timeline = timeline
        self._metrics = metrics

    async def handle(self, request: Request) -> ServerResponse:
        """Handle one request."""
        try:
            return await self._route(request)
        except CheckError as error:
            return ServerResponse.from_json(400, bodies.build_error_body(error))

    async def _route(self, request: Request) -> ServerResponse:
        path = request.path
        if path == "/metrics" and request.method == "GET":
            content_type = "text/plain; version=0.0.4; charset=utf-8"
            return ServerResponse(200, self._metrics.render(), content_type)
        if path == "/healthz" and request.method == "GET":
            return self._check_health()
        if path.startswith("/v1/operator/"):
            return await self._route_operator(request)
        if path == "/v1/requests":
            return await self._require_method("POST", request, self._submit_request)
        if path == "/v1/jobs":
            return await self._require_method("POST", request, self._submit_job)
        if path.startswith("/v1/jobs/"):
            return await self._route_job(request)
        return _respond(Refusal("not_found", f"unknown path {path!r}"))

    async def _require_method(
        self,
        method: str,
        request: Request,
        handle: Callable[[Request], Awaitable[ServerResponse]],
    ) -> ServerResponse:
        if request.method == method:
            return await handle(request)
        refusal = Refusal(
            "bad_request", f"{request.path} accepts only {method}, not {request.method}"
        )
        status, plain = bodies.build_response(refusal)
        return ServerResponse.from_json(405 if status == 400 else status, plain)

    def _check_health(self) -> ServerResponse:
        member = self._get_shell().member
        ready = not member.context.leaving and member.membership.is_member
        return ServerResponse.from_json(200 if ready else 503, {"ready": ready})

    # Callers

    async def _submit_request(self, request: Request) -> ServerResponse:
        began = time.perf_counter()
        spec = bodies.parse_request(request.body, _new_id(REQUEST_PREFIX))
        answer = await self._get_shell().call(
            lambda call, now, wall: events.RequestReceived(
                now, wall, call, _read_bearer_key(request), spec
            )
        )
        self._metrics.request_latency.record(time.perf_counter() - began)
        return _respond(answer)

    async def _submit_job(self, request: Request) -> ServerResponse:
        key = _read_bearer_key(request)
        spec = bodies.parse_job(request.body, _new_id(JOB_PREFIX))
        spec = _derive_job_id(spec, key)
        answer = await self._get_shell().call(
            lambda call, now, wall: events.RequestReceived(now, wall, call, key, spec)
        )
        response = _respond(answer)
        if response.status != 200:
            return response
        return ServerResponse(202, response.body)

    async def _route_job(self, request: Request) -> ServerResponse:
        _, _, _, job, *rest = request.path.split("/")
        key = _read_bearer_key(request)
        explain = rest == ["explain"]
        if request.method == "GET" and (not rest or explain):
            answer = await self._get_shell().call(
                lambda call, now, wall: events.JobQueried(
                    now, wall, call, key, job, explain
                )
            )
            return _respond(answer)
        if request.method == "DELETE" and not rest:
            answer = await self._get_shell().call(
                lambda call, now, wall: events.CancelReceived(now, wall, call, key, job)
            )
            return _respond(answer)
        return _respond(Refusal("not_found", f"unknown path {request.path!r}"))

    # Operators

    async def _route_operator(self, request: Request) -> ServerResponse:
        key = self._operator_key
        if key is None:
            sentence = "this process has no operator_key in its settings"
            return _respond(Refusal("not_permitted", sentence))
        if not key.matches(_read_bearer_key(request)):
            return _respond(Refusal("unknown_key", "the key is not the operators' key"))
        query = QUERY_BY_PATH.get(request.path)
        if query is not None and request.method == "GET":
            return await self._call_operator(query)
        if request.path == "/v1/operator/changes" and request.method == "POST":
            return await self._call_operator(bodies.parse_change(request.body))
        if request.path == "/v1/operator/restart" and request.method == "POST":
            return await self._call_operator(RestartFleet("operator"))
        if request.path == "/v1/operator/timeline" and request.method == "GET":
            return self._list_timeline(request)
        return _respond(Refusal("not_found", f"unknown path {request.path!r}"))

    async def _call_operator(self, operation: OperatorRequest) -> ServerResponse:
        answer = await self._get_shell().call(
            lambda call, now, wall: events.OperatorAsked(now, wall, call, operation)
        )
        return _respond(answer)

    def _list_timeline(self, request: Request) -> ServerResponse:
        after = request.query.get("after", "0")
        sequence = int(after) if after.isdecimal() else 0
        lines = [asdict(line) for line in self._timeline.list_after(sequence)]
        members = [
            info.http_address
            for info in self._get_shell().member.membership.view.members_by_id.values()
        ]
        return ServerResponse.from_json(200, {"lines": lines, "members": members})


def _respond(answer: Answer) -> ServerResponse:
    return ServerResponse.from_json(*bodies.build_response(answer))


def _read_bearer_key(request: Request) -> str:
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _new_id(prefix: str) -> str:
    return prefix + secrets.token_hex(ID_HEX_DIGITS // 2)


def _derive_job_id(spec: WorkSpec, key: str) -> WorkSpec:
    """Derive a job's id from its idempotency key, so that a retry finds it."""
    if not spec.idempotency_key:
        return spec
    key_id = key.partition(".")[0]
    digest = hashlib.sha256(f"{key_id}|{spec.idempotency_key}".encode()).hexdigest()
    return replace(spec, job=JOB_PREFIX + digest[:ID_HEX_DIGITS])
