"""Structured logs: one JSON object per line."""

from __future__ import annotations

import json
import logging
import sys

STATE_CHANGE_KINDS = frozenset(
    {
        "view",
        "view_proposed",
        "leaving",
        "configuration",
        "worker_given_up",
        "worker_opened",
        "worker_reachable",
        "worker_restarted",
        "worker_unreachable",
        "worker_quarantined",
        "worker_returned",
        "target_at_risk",
        "job_recovered",
    }
)
"""Kinds of notes that are state changes and are written to the log."""


class JsonFormatter(logging.Formatter):
    """Format a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line for a record."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        fields = getattr(record, "fields", None)
        if isinstance(fields, dict):
            line.update(fields)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def set_up_logging(level: str) -> None:
    """Send all logs to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
