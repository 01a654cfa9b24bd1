"""The TOML file with the settings of one entry process."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

import voluptuous as vol
from jacinthloom_core.model.configuration import KeyHash

from . import checks
from .checks import CheckError, Problem
from .http_server import ServerLimits

_SCHEMA = vol.Schema(
    {
        vol.Required("name"): checks.name,
        vol.Required("zone"): checks.name,
        vol.Required("http_address"): checks.address,
        vol.Required("peer_address"): checks.address,
        vol.Required("log_address"): checks.address,
        vol.Required("host_list_address"): checks.address,
        vol.Optional("operator_key"): {
            vol.Required("salt"): checks.text(128),
            vol.Required("digest"): checks.text(128),
        },
        vol.Optional("limits"): {
            vol.Optional("max_connections"): checks.whole(1, 100_000),
            vol.Optional("max_body_bytes"): checks.whole(1024, 16_777_216),
            vol.Optional("queue_bound"): checks.whole(1, 1_000_000),
            vol.Optional("header_timeout_s"): checks.number(0.1, 300),
            vol.Optional("body_timeout_s"): checks.number(0.1, 300),
        },
    }
)


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Where an entry process listens, and where it finds the platform."""

    name: str
    zone: str
    http_address: str
    peer_address: str
    log_address: str
    host_list_address: str
    operator_key: KeyHash | None
    queue_bound: int
    limits: ServerLimits

    @classmethod
    def from_file(cls, path: Path) -> ProcessSettings:
        """Read and check a settings file, whole.

        :raises CheckError: with every problem found
        """
        try:
            plain = tomllib.loads(path.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            problem = Problem("(file)", str(error), "a readable TOML file")
            raise CheckError(str(path), [problem]) from error
        checked = checks.check(_SCHEMA, plain, str(path))
        limits = dict(checked.get("limits", {}))
        queue_bound = limits.pop("queue_bound", DEFAULT_QUEUE_BOUND)
        key = checked.get("operator_key")
        return cls(
            checked["name"],
            checked["zone"],
            checked["http_address"],
            checked["peer_address"],
            checked["log_address"],
            checked["host_list_address"],
            KeyHash("operator", key["salt"], key["digest"]) if key else None,
            queue_bound,
            ServerLimits(**limits),
        )


DEFAULT_QUEUE_BOUND = 10_000
"""Most requests and pending tasks of one team at one entry process."""
