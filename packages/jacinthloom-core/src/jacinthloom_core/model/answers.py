"""What callers and operators are told."""

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
"""Stable codes of refusals."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request is refused.

    :param sentence: the reason, for a person
    :param not_run: whether the work is certain not to have run
    """

    code: RefusalCode
    sentence: str
    not_run: bool = True


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """The outcome of a request whose answer is waited for.

    :param length: characters of the answer
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
    :param explanation: a sentence, if one was asked for
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
    """What became of an operator's change.

    :param state: ``accepted``, ``published`` (not yet known everywhere) or
        ``refused``
    :param missing: members that have not applied it
    """

    state: str
    version: int
    sentence: str
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ObjectAnswer:
    """A state for operators, as named fields."""

    fields: dict[str, object]


Answer = Refusal | RequestAnswer | JobAnswer | ChangeAnswer | ObjectAnswer
"""Anything that ends an open HTTP request."""
