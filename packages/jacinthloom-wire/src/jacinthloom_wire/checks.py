"""Validation of files and request bodies before use."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import voluptuous as vol

from .errors import WireError

MAX_NAME_LENGTH = 64
"""Maximum characters of a name."""

MAX_PAYLOAD_LENGTH = 65_536
"""Maximum characters of a payload."""

MAX_FOUND_LENGTH = 60
"""Maximum characters of an invalid value in an error message."""

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}
"""Seconds in each unit of a duration."""


@dataclass(frozen=True, slots=True)
class Problem:
    """An invalid value.

    :param key: path of the value, such as ``class[0].kind``
    :param found: the value, truncated
    :param allowed: description of the allowed values
    """

    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: found {self.found}; allowed: {self.allowed}"


class CheckError(WireError):
    """A file or request body is invalid.

    :param source: file name, or ``body``
    :param problems: every problem found
    """

    def __init__(self, source: str, problems: list[Problem]) -> None:
        super().__init__("\n".join(f"{source}: {item}" for item in problems))
        self.source = source
        self.problems = problems


def check(schema: vol.Schema, value: Any, source: str) -> Any:
    """Validate a value against a schema and return the validated value.

    :param source: file name, or ``body``, for error messages
    :raises CheckError: with every problem found
    """
    try:
        return schema(value)
    except vol.MultipleInvalid as error:
        problems = [_build_problem(item, value) for item in error.errors]
        raise CheckError(source, problems) from error


def _build_problem(error: vol.Invalid, value: Any) -> Problem:
    path = [item for item in error.path if not isinstance(item, vol.Marker)]
    path += [item.schema for item in error.path if isinstance(item, vol.Marker)]
    part = value
    for step in path:
        try:
            part = part[step]
        except (KeyError, IndexError, TypeError):
            part = None
            break
    shown = "nothing" if part is None else repr(part)[:MAX_FOUND_LENGTH]
    return Problem(_format_path(path), shown, str(error.error_message))


def _format_path(path: list[Any]) -> str:
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else str(step)
    return text or "(top)"


def name(value: Any) -> str:
    """Validate a name of letters, digits, dots, dashes and underscores."""
    if not isinstance(value, str) or not re.fullmatch(
        rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}}", value
    ):
        raise vol.Invalid(
            f"a name of 1 to {MAX_NAME_LENGTH} letters, digits, '.', '_' and '-'"
        )
    return value


def string(max_length: int) -> Any:
    """Return a validator for a string of at most ``max_length`` characters."""

    def validate_string(value: Any) -> str:
        if not isinstance(value, str) or len(value) > max_length:
            raise vol.Invalid(f"a string of at most {max_length} characters")
        return value

    return validate_string


def number(minimum: float, maximum: float) -> Any:
    """Return a validator for a number in a range, bounds included."""

    def validate_number(value: Any) -> float:
        wrong = isinstance(value, bool) or not isinstance(value, int | float)
        if wrong or not minimum <= value <= maximum:
            raise vol.Invalid(f"a number from {minimum:g} to {maximum:g}")
        return float(value)

    return validate_number


def integer(minimum: int, maximum: int) -> Any:
    """Return a validator for an integer in a range, bounds included."""

    def validate_integer(value: Any) -> int:
        wrong = isinstance(value, bool) or not isinstance(value, int)
        if wrong or not minimum <= value <= maximum:
            raise vol.Invalid(f"a whole number from {minimum} to {maximum}")
        return int(value)

    return validate_integer


def boolean(value: Any) -> bool:
    """Validate a Boolean."""
    if not isinstance(value, bool):
        raise vol.Invalid("true or false")
    return value


def duration(value: Any) -> float:
    """Validate a duration such as ``2s`` or ``4h``; return it in seconds."""
    match = (
        re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s|m|h|d)", value)
        if isinstance(value, str)
        else None
    )
    if match is None or float(match[1]) <= 0:
        raise vol.Invalid("a positive duration with its unit, such as 2s, 90m or 4h")
    return float(match[1]) * SECONDS_BY_UNIT[match[2]]


def time_of_day(value: Any) -> int:
    """Validate a time of day such as ``07:30`` (UTC); return seconds after midnight."""
    match = (
        re.fullmatch(r"([01]\d|2[0-3]):([0-5]\d)", value)
        if isinstance(value, str)
        else None
    )
    if match is None:
        raise vol.Invalid("a time of day in UTC such as 07:30")
    return int(match[1]) * 3600 + int(match[2]) * 60


def address(value: Any) -> str:
    """Validate an ``IP:port`` address."""
    match = (
        re.fullmatch(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})", value)
        if isinstance(value, str)
        else None
    )
    parts = [int(part) for part in match[1].split(".")] if match else [256]
    if match is None or max(parts) > 255 or int(match[2]) > 65_535:
        raise vol.Invalid("an address by IP number, such as 10.0.0.1:8400")
    return str(value)


def one_of(*choices: str) -> Any:
    """Return a validator for one of the given choices."""

    def validate_choice(value: Any) -> str:
        if value not in choices:
            raise vol.Invalid("one of " + ", ".join(choices))
        return str(value)

    return validate_choice
