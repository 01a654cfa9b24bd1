"""Responses to callers and operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from .work import Outcome

RefusalCode = Literal[
    "bad_request",
    "unknown_key",
    "not_permitted",
    "unknown_class",
    "wrong_kind",
    "not_found",
    "team_queue_full",
    "too_large",
    "stale",
    "no_authority",
    "log_unavailable",
    "leaving",
    "version_conflict",
    "deadline",
    "not_started",
]
"""Machine-readable codes of refusals; clients depend on them."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a request.

    :param sentence: human-readable reason
    :param not_run: whether the work is guaranteed not to have run
    """

    code: RefusalCode
    sentence: str
    not_run: bool = True


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """The outcome of a synchronous request.

    :param length: length of the answer in characters
    """

    request: str
    outcome: Outcome
    answer: str
    length: int
    sentence: str = ""


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """The state of a job.

    :param state: ``waiting``, ``running``, ``finished``, ``failed``, ``cancelled``
        or ``refused``
    :param explanation: human-readable reason for the state, if it was requested
    """

    job: str
    state: str
    tasks: int
    running: int
    ended: int
    failed: int
    results: tuple[str, ...] = ()
    explanation: str = ""


@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """The result of an operator's configuration change.

    :param state: ``accepted``, ``published`` (not yet applied by every member),
        ``refused`` or ``unknown`` (not read back from the log in time)
    :param missing: members that have not applied it
    """

    state: str
    version: int
    sentence: str
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ObjectAnswer:
    """A state report for operators, as named fields."""

    fields: dict[str, object]


Answer = Refusal | RequestAnswer | JobAnswer | ChangeAnswer | ObjectAnswer
"""Any response that completes an open HTTP request."""
