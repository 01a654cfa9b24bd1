"""JSON bodies of callers and operators."""

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

TASKS_LIMIT = 10_000
"""Most tasks of one job."""

LONGEST_RUN_S = 31_536_000
"""Longest run time that can be declared, in seconds."""

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

_NEED = {
    vol.Required("processors"): checks.number(0.001, 100_000),
    vol.Optional("memory_mib"): checks.whole(0, 1_000_000_000),
    vol.Optional("accelerators"): checks.whole(0, 100_000),
}

_REQUEST = vol.Schema(
    {
        vol.Required("class"): checks.name,
        vol.Optional("need"): _NEED,
        vol.Optional("run_time_s"): checks.number(0, LONGEST_RUN_S),
        vol.Optional("payload"): checks.text(checks.PAYLOAD_LENGTH),
        vol.Optional("idempotent"): checks.truth,
        vol.Optional("idempotency_key"): checks.text(128),
    }
)

_JOB = vol.Schema(
    {
        vol.Required("class"): checks.name,
        vol.Required("need"): _NEED,
        vol.Optional("tasks"): checks.whole(1, TASKS_LIMIT),
        vol.Optional("run_time_s"): checks.number(0, LONGEST_RUN_S),
        vol.Optional("payload"): checks.text(checks.PAYLOAD_LENGTH),
        vol.Optional("idempotency_key"): checks.text(128),
    }
)

_CHANGE = vol.Schema(
    {
        vol.Required("change_id"): checks.name,
        vol.Required("base_version"): checks.whole(0, 1 << 53),
        vol.Required("author"): checks.text(checks.NAME_LENGTH),
        vol.Required("change"): list,
    }
)

DEFAULT_NEED = {"processors": 0.1}
"""What a request takes if it doesn't say."""


def parse_body(body: bytes) -> Any:
    """Return a JSON body.

    :raises CheckError: if it isn't JSON
    """
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        problem = Problem("(body)", str(error)[:80], "a JSON object")
        raise CheckError("body", [problem]) from error


def parse_request(body: bytes, request: str) -> WorkSpec:
    """Check the body of a request whose answer is waited for.

    :param request: id for it
    :raises CheckError: with every problem found
    """
    plain = checks.check(_REQUEST, parse_body(body), "body")
    idempotent = plain.get("idempotent", True)
    key = plain.get("idempotency_key", "")
    if not idempotent and not key:
        problem = Problem(
            "idempotency_key", "nothing", "a key, as the request is not idempotent"
        )
        raise CheckError("body", [problem])
    return _build_spec(plain, request, "request", 1, idempotent, key)


def parse_job(body: bytes, job: str) -> WorkSpec:
    """Check the body of a job.

    :param job: id for it
    :raises CheckError: with every problem found
    """
    plain = checks.check(_JOB, parse_body(body), "body")
    key = plain.get("idempotency_key", "")
    return _build_spec(plain, job, "batch", plain.get("tasks", 1), True, key)


def _build_spec(
    plain: dict[str, Any],
    job: str,
    kind: Any,
    tasks: int,
    idempotent: bool,
    idempotency_key: str,
) -> WorkSpec:
    need = plain.get("need", DEFAULT_NEED)
    return WorkSpec(
        job,
        "",
        plain["class"],
        kind,
        tasks,
        Resources(
            int(need["processors"] * MILLICORES_PER_PROCESSOR),
            need.get("memory_mib", 0),
            need.get("accelerators", 0),
            1,
        ),
        plain.get("run_time_s", 0.0),
        0.0,
        plain.get("payload", ""),
        idempotent,
        idempotency_key,
    )


def parse_change(body: bytes) -> PublishChange:
    """Check the body of an operator's change.

    :raises CheckError: with every problem found
    """
    plain = checks.check(_CHANGE, parse_body(body), "body")
    try:
        change = codec.structure(plain["change"], Change)  # type: ignore[arg-type,var-annotated]
    except codec.CodecError as error:
        problem = Problem("change", str(error)[:80], "a change as the command sends it")
        raise CheckError("body", [problem]) from error
    return PublishChange(
        plain["change_id"], plain["base_version"], change, plain["author"]
    )


def describe_answer(answer: Answer) -> tuple[int, dict[str, object]]:
    """Return HTTP status and JSON object of an answer."""
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
            return 200, {key: to_plain(item) for key, item in answer.fields.items()}


def to_plain(value: object) -> Any:
    """Return dataclasses within a value as JSON objects."""
    if is_dataclass(value) and not isinstance(value, type):
        return asdict(value)
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    return value


def describe_problems(error: CheckError) -> dict[str, object]:
    """Return the JSON object for a body that is not as it must be."""
    return {
        "error": {
            "code": "bad_request",
            "sentence": str(error),
            "not_run": True,
            "problems": [asdict(item) for item in error.problems],
        }
    }
