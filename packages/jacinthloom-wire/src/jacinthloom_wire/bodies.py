"""JSON bodies of requests from callers and operators, and of their responses."""

from __future__ import annotations

import json
from dataclasses import asdict, is_dataclass
from typing import Any

import voluptuous as vol
from jacinthloom_core.model.answers import (
    Answer,
    ChangeAnswer,
    JobAnswer,
    ObjectAnswer,
    Refusal,
    RequestAnswer,
)
from jacinthloom_core.model.configuration import Change
from jacinthloom_core.model.operations import PublishChange
from jacinthloom_core.model.resources import MILLICORES_PER_PROCESSOR, Resources
from jacinthloom_core.model.work import WorkSpec
from jacinthloom_core.shared_log import codec

from . import checks
from .checks import CheckError, Problem

MAX_TASKS = 10_000
"""Maximum number of tasks per job."""

MAX_RUN_TIME_S = 31_536_000
"""Maximum declared run time, in seconds."""

STATUS_BY_CODE = {
    "bad_request": 400,
    "unknown_key": 401,
    "not_permitted": 403,
    "unknown_class": 422,
    "wrong_kind": 422,
    "not_found": 404,
    "team_queue_full": 429,
    "too_large": 422,
    "stale": 503,
    "no_authority": 503,
    "log_unavailable": 503,
    "leaving": 503,
    "version_conflict": 409,
    "deadline": 504,
    "not_started": 503,
}
"""HTTP status of each refusal code."""

_NEED_SCHEMA = {
    vol.Required("processors"): checks.number(0.001, 100_000),
    vol.Optional("memory_mib"): checks.integer(0, 1_000_000_000),
    vol.Optional("accelerators"): checks.integer(0, 100_000),
}

_REQUEST_SCHEMA = vol.Schema(
    {
        vol.Required("class"): checks.name,
        vol.Optional("need"): _NEED_SCHEMA,
        vol.Optional("run_time_s"): checks.number(0, MAX_RUN_TIME_S),
        vol.Optional("payload"): checks.string(checks.MAX_PAYLOAD_LENGTH),
        vol.Optional("idempotent"): checks.boolean,
        vol.Optional("idempotency_key"): checks.string(128),
    }
)

_JOB_SCHEMA = vol.Schema(
    {
        vol.Required("class"): checks.name,
        vol.Required("need"): _NEED_SCHEMA,
        vol.Optional("tasks"): checks.integer(1, MAX_TASKS),
        vol.Optional("run_time_s"): checks.number(0, MAX_RUN_TIME_S),
        vol.Optional("payload"): checks.string(checks.MAX_PAYLOAD_LENGTH),
        vol.Optional("idempotency_key"): checks.string(128),
    }
)

_CHANGE_SCHEMA = vol.Schema(
    {
        vol.Required("change_id"): checks.name,
        vol.Required("base_version"): checks.integer(0, 1 << 53),
        vol.Required("author"): checks.string(checks.MAX_NAME_LENGTH),
        vol.Required("change"): list,
    }
)

DEFAULT_NEED = {"processors": 0.1}
"""Resources of a request that declares none."""


def parse_body(body: bytes) -> Any:
    """Decode a JSON body.

    :raises CheckError: if the body isn't valid JSON
    """
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        problem = Problem("(body)", str(error)[:80], "a JSON object")
        raise CheckError("body", [problem]) from error


def parse_request(body: bytes, request: str) -> WorkSpec:
    """Validate the body of a request whose caller waits for the answer.

    :param request: id to give to the request
    :raises CheckError: with every problem found
    """
    fields = checks.check(_REQUEST_SCHEMA, parse_body(body), "body")
    idempotent = fields.get("idempotent", True)
    key = fields.get("idempotency_key", "")
    if not idempotent and not key:
        problem = Problem(
            "idempotency_key", "nothing", "a key, as the request is not idempotent"
        )
        raise CheckError("body", [problem])
    return _build_spec(fields, request, "request", 1, idempotent, key)


def parse_job(body: bytes, job: str) -> WorkSpec:
    """Validate the body of a job submission.

    :param job: id to give to the job
    :raises CheckError: with every problem found
    """
    fields = checks.check(_JOB_SCHEMA, parse_body(body), "body")
    key = fields.get("idempotency_key", "")
    return _build_spec(fields, job, "batch", fields.get("tasks", 1), True, key)


def _build_spec(
    fields: dict[str, Any],
    job: str,
    kind: Any,
    tasks: int,
    idempotent: bool,
    idempotency_key: str,
) -> WorkSpec:
    need = fields.get("need", DEFAULT_NEED)
    return WorkSpec(
        job,
        "",
        fields["class"],
        kind,
        tasks,
        Resources(
            int(need["processors"] * MILLICORES_PER_PROCESSOR),
            need.get("memory_mib", 0),
            need.get("accelerators", 0),
            1,
        ),
        fields.get("run_time_s", 0.0),
        0.0,
        fields.get("payload", ""),
        idempotent,
        idempotency_key,
    )


def parse_change(body: bytes) -> PublishChange:
    """Validate the body of an operator's change.

    :raises CheckError: with every problem found
    """
    fields = checks.check(_CHANGE_SCHEMA, parse_body(body), "body")
    try:
        change = codec.structure(fields["change"], Change)  # type: ignore[arg-type,var-annotated]
    except codec.CodecError as error:
        problem = Problem(
            "change", str(error)[:80], "a change as sent by the command line"
        )
        raise CheckError("body", [problem]) from error
    return PublishChange(
        fields["change_id"], fields["base_version"], change, fields["author"]
    )


def build_response(answer: Answer) -> tuple[int, dict[str, object]]:
    """Return the HTTP status and JSON object for an answer."""
    match answer:
        case Refusal():
            return STATUS_BY_CODE[answer.code], {"error": asdict(answer)}
        case RequestAnswer():
            return 200, asdict(answer)
        case JobAnswer():
            return 200, asdict(answer)
        case ChangeAnswer():
            return (409 if answer.state == "refused" else 200), asdict(answer)
        case ObjectAnswer():
            return 200, {
                key: to_json_value(item) for key, item in answer.fields.items()
            }


def to_json_value(value: object) -> Any:
    """Convert a value to plain JSON types, turning dataclasses into objects."""
    if is_dataclass(value) and not isinstance(value, type):
        return asdict(value)
    if isinstance(value, dict):
        return {key: to_json_value(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_json_value(item) for item in value]
    return value


def build_error_body(error: CheckError) -> dict[str, object]:
    """Return the JSON object of the error response for an invalid body."""
    return {
        "error": {
            "code": "bad_request",
            "sentence": str(error),
            "not_run": True,
            "problems": [asdict(item) for item in error.problems],
        }
    }
