"""Structured logging to standard output: rate-limited and non-blocking."""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import Any

import msgspec

MAX_LINES_PER_S = 2_000.0
"""Sustained rate of lines per second: several times the decisions of a busy planner."""

MAX_BURST_LINES = 4_000.0
"""Largest burst of lines (size of the token bucket)."""


class BoundedHandler(logging.Handler):
    """Write each record as one JSON line; drop and count those over the rate limit."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._tokens = MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._take_token():
            self.dropped += 1
            return
        line: dict[str, Any] = {
            "at": round(record.created, 4),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        fields = getattr(record, "fields", None)
        if isinstance(fields, dict):
            line.update(fields)
        if record.exc_info:
            formatter = self.formatter or logging.Formatter()
            line["exception"] = formatter.formatException(record.exc_info)
        if self.dropped:
            line["dropped_before"] = self.dropped
        try:
            os.write(self._descriptor, msgspec.json.encode(line) + b"\n")
            self.dropped = 0
        except (OSError, ValueError, OverflowError, TypeError):
            # A line that can't be encoded must not end what it reports on.
            self.dropped += 1

    def _take_token(self) -> bool:
        now = time.monotonic()
        earned = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def set_up_logging() -> None:
    """Send all logs to standard output."""
    handler = BoundedHandler(sys.stdout.fileno())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)


def write(event: str, **fields: Any) -> None:
    """Write one structured line.

    :param fields: fields of the line, by name
    """
    logging.getLogger("jacinthloom").info(event, extra={"fields": fields})


def write_failure(event: str, error: BaseException | None, **fields: Any) -> None:
    """Write a line with the traceback of an error.

    :param fields: further fields of the line, by name
    """
    logging.getLogger("jacinthloom").error(
        event, exc_info=error, extra={"fields": fields}
    )
