"""Lists of running and ended runs, as workers return them in response to a hold.

Rows that can't be read are left out, so that they cost only themselves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from jacinthloom_core.planner.events import EndKind, RunEnd, RunProgress
from jacinthloom_core.planner.specs import MAX_NUMBER

from .errors import InvalidDataError
from .schemas import Number, decode_body, parse_task

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class HoldResponseBody(msgspec.Struct):
    """A worker's response to a hold request."""

    clockMs: Number  # noqa: N815
    running: list[Any] = []
    endedRuns: list[Any] = []  # noqa: N815
    born: Number = 1

    def to_running(self) -> tuple[RunProgress, ...]:
        """Return the running tasks; rows that can't be read are left out."""
        return tuple(_parse_rows(self.running, _parse_progress))

    def to_ends(self) -> tuple[RunEnd, ...]:
        """Return the ended runs by number; rows that can't be read are left out."""
        rows = _parse_rows(self.endedRuns, _parse_end)
        return tuple(sorted(rows, key=lambda row: row.number))


_Row = TypeVar("_Row")


def _parse_rows(rows: list[Any], parse: Callable[[Any], _Row]) -> Iterator[_Row]:
    for row in rows:
        try:
            yield parse(row)
        except (InvalidDataError, ValueError, TypeError, OverflowError):
            continue


def _parse_progress(row: Any) -> RunProgress:
    name, run, checkpoint, percent, *rest = row
    measurement = float(rest[0]) if rest else 0.0
    task = parse_task(name)
    _check_run(run, checkpoint)
    return RunProgress(task, run, checkpoint, int(percent), measurement)


def _parse_end(row: Any) -> RunEnd:
    number, name, run, kind, checkpoint, *_ = row
    task = parse_task(name)
    _check_run(run, checkpoint)
    _check_run(number, "")
    return RunEnd(
        number, task, run, _END_KIND_BY_NAME.get(kind, EndKind.OTHER), checkpoint
    )


def _check_run(number: Any, checkpoint: Any) -> None:
    """Check the number of a run or an end, and a checkpoint.

    :raises InvalidDataError: if one of them has another type, or is out of range
    """
    is_number = isinstance(number, int) and 0 <= number <= MAX_NUMBER
    if not is_number or not isinstance(checkpoint, str):
        raise InvalidDataError("a row of a list has fields of another type")


_END_KIND_BY_NAME = {kind.value: kind for kind in EndKind}
"""Kind of end by the name that workers use."""


def decode_hold(body: bytes) -> HoldResponseBody:
    """Decode a worker's response to a hold request.

    :raises InvalidDataError: if it does not match the schema
    """
    return decode_body(body, HoldResponseBody)
