"""The settings file that the platform installs on each host."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from jacinthloom_wire.addresses import AddressError, split_address

from .errors import SettingsError

PATH_VARIABLE = "JACINTHLOOM_NODE_FILE"
"""Environment variable with the path of the file."""

DEFAULT_PATH = "/etc/jacinthloom/node.conf"


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of an entry process, as its host provides them.

    :param front_address: address for client calls
    :param ready_address: address of the readiness check
    :param peer_address: address for connections from other entry processes
    :param advice_address: address of the advice service, or empty
    :param longest_lease_s: longest lease that a worker grants, in seconds
    :param status_s: seconds for which the final state of a job can be queried
    :param grace_s: seconds from SIGTERM until the process is killed
    :param apply_s: seconds within which a new configuration must take effect
    :param checkpoint_interval_s: seconds of work between two checkpoints of a task; 0
        if it is unknown
    :param resume_s: seconds that a resumed run takes to reach its checkpoint
    :param processors: cores that the process may use
    """

    name: str
    zone: str
    front_address: str
    ready_address: str
    peer_address: str
    store_address: str
    advice_address: str
    longest_lease_s: float
    status_s: float
    grace_s: float
    apply_s: float
    checkpoint_interval_s: float
    resume_s: float
    processors: float

    @classmethod
    def from_environment(cls) -> NodeSettings:
        """Read the file named by the environment variable, or the default one.

        :raises SettingsError: if it can't be read, or a field is missing or invalid
        """
        return cls.from_file(Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH)))

    @classmethod
    def from_file(cls, path: Path) -> NodeSettings:
        """Read a settings file.

        :raises SettingsError: if it can't be read, or a field is missing or invalid
        """
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"{path} can't be read: {error}") from error
        return cls.from_text(text)

    @classmethod
    def from_text(cls, text: str) -> NodeSettings:
        """Parse settings from lines of the form ``a.b=value``.

        :raises SettingsError: if a field is missing or invalid
        """
        value_by_name: dict[str, str] = {}
        for line in text.splitlines():
            name, equals, value = line.partition("=")
            if equals:
                value_by_name[name.strip()] = value.strip()
        reader = _SettingsReader(value_by_name)
        first_port = reader.text("portRange").split(",")[0]
        return cls(
            name=reader.text("node"),
            zone=reader.text("zone"),
            front_address=reader.address("listen.front"),
            ready_address=reader.address("listen.ready"),
            peer_address=f"{reader.text('ip')}:{first_port}",
            store_address=reader.address("platform.address"),
            advice_address=reader.address("recommendation", ""),
            longest_lease_s=reader.number("bounds.holdMaxMs", "10000") / 1000,
            status_s=reader.number("bounds.status_s", "120"),
            grace_s=reader.number("bounds.graceS", "6"),
            apply_s=reader.number("bounds.configApplyMs", "2000") / 1000,
            checkpoint_interval_s=reader.number("bounds.checkpointS", "0"),
            resume_s=reader.number("bounds.restoreMs", "0") / 1000,
            processors=reader.number("limits.cpuShare", "1")
            * reader.number("limits.cores", "1"),
        )


class _SettingsReader:
    def __init__(self, value_by_name: dict[str, str]) -> None:
        self._value_by_name = value_by_name

    def text(self, name: str, default: str | None = None) -> str:
        value = self._value_by_name.get(name, default)
        if value is None:
            raise SettingsError(f"{name} is missing")
        return value

    def number(self, name: str, default: str) -> float:
        value = self._value_by_name.get(name) or default
        try:
            return float(value)
        except ValueError as error:
            raise SettingsError(f"{name}: {value!r} is not a number") from error

    def address(self, name: str, default: str | None = None) -> str:
        value = self.text(name, default)
        if value == default:
            return value
        try:
            split_address(value)
        except AddressError as error:
            raise SettingsError(f"{name}: {error}") from error
        return value
