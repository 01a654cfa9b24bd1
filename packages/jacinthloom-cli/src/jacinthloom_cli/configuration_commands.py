"""Commands that check, publish, show and compare configurations."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument, option
from jacinthloom_core.model.configuration import Change, ClassesAndTeams
from jacinthloom_core.shared_log import codec
from jacinthloom_wire.configuration_file import load_configuration

from .base import (
    COMMON_OPTIONS,
    EXIT_BAD_INPUT,
    EXIT_CONFLICT,
    EXIT_OK,
    EXIT_REFUSED,
)
from .operator_commands import OperatorCommand, format_resources

if TYPE_CHECKING:
    from .client import EntryClient


class ConfigPublishCommand(OperatorCommand):
    """Publish a configuration file."""

    name = "config publish"
    description = "Publish classes and teams from a file; keep keys and zones."
    arguments: ClassVar[list[Any]] = [argument("file", "TOML file.")]
    options: ClassVar[list[Any]] = [
        *COMMON_OPTIONS,
        option("on", None, "Version that the change is based on.", flag=False),
    ]

    def run_command(self, client: EntryClient) -> int:
        """Publish the change, based on ``--on`` or else on the latest version."""
        change = load_configuration(Path(self.argument("file")))
        seen = self.option("on")
        if seen is not None and not seen.isdecimal():
            self.line_error(f"--on: found {seen!r}; allowed: a version number")
            return EXIT_BAD_INPUT
        if seen is None:
            latest = self.fetch(client, "configuration")
            if latest.is_error:
                return self.show_error(latest)
            seen = latest.body["configuration"]["version"]
        response = self.publish(client, change, int(seen))
        code = self.show_change(response)
        if code == EXIT_CONFLICT:
            self._show_differences(client, change)
        return code

    def _show_differences(self, client: EntryClient, change: ClassesAndTeams) -> None:
        latest = self.fetch(client, "configuration")
        if not latest.is_error:
            for line in list_differences(latest.body["configuration"], change):
                self.line_error(line)


class ConfigShowCommand(OperatorCommand):
    """Show the current configuration."""

    name = "config show"
    description = "Show the current configuration."

    def run_command(self, client: EntryClient) -> int:
        """Print classes, teams, keys and zones."""
        response = self.fetch(client, "configuration")
        if response.is_error:
            return self.show_error(response)
        configuration = response.body["configuration"]
        lines = [f"version {configuration['version']}"]
        for item in configuration["classes_by_name"].values():
            lines.append(
                f"class {item['name']}: {item['kind']}, {_format_target(item)}"
            )
        for item in configuration["teams_by_name"].values():
            lines.append(
                f"team {item['name']}: share {item['share']:g}, "
                f"limit {format_resources(item['limit'])}"
            )
        for key_id, item in configuration["keys_by_id"].items():
            lines.append(f"key {key_id}: team {item['team']}")
        lines.append("zones out: " + (", ".join(configuration["zones_out"]) or "none"))
        self.show(configuration, "\n".join(lines))
        return EXIT_OK


class ConfigDiffCommand(OperatorCommand):
    """Show how a file differs from the current configuration."""

    name = "config diff"
    description = "Show how a file differs from the current configuration."
    arguments: ClassVar[list[Any]] = [argument("file", "TOML file.")]

    def run_command(self, client: EntryClient) -> int:
        """Print a line for each difference; exit with 1 if there is any."""
        change = load_configuration(Path(self.argument("file")))
        response = self.fetch(client, "configuration")
        if response.is_error:
            return self.show_error(response)
        differences = list_differences(response.body["configuration"], change)
        self.show(differences, "\n".join(differences) or "no difference")
        return EXIT_REFUSED if differences else EXIT_OK


class ConfigHistoryCommand(OperatorCommand):
    """Show the latest accepted changes."""

    name = "config history"
    description = "Show the latest accepted changes."

    def run_command(self, client: EntryClient) -> int:
        """Print a line for each change."""
        response = self.fetch(client, "configuration")
        if response.is_error:
            return self.show_error(response)
        history = response.body["history"]
        lines = [
            f"{item['version']}  {_format_time(item['wall'])}  {item['author']}  "
            f"{item['text']}"
            for item in history
        ]
        self.show(history, "\n".join(lines) or "no change yet")
        return EXIT_OK


def list_differences(current: dict[str, Any], change: ClassesAndTeams) -> list[str]:
    """Return a line for each class or team that a file would change."""
    unstructured = codec.unstructure(change, Change)
    wanted_classes = {item[0]: item for item in unstructured[1][0]}
    wanted_teams = {item[0]: item for item in unstructured[1][1]}
    current_classes = {
        name: list(item.values()) for name, item in current["classes_by_name"].items()
    }
    current_teams = {}
    for name, item in current["teams_by_name"].items():
        limit = list(item["limit"].values()) if item["limit"] else None
        current_teams[name] = [item["name"], item["share"], limit]
    return [
        *_list_item_differences("class", current_classes, wanted_classes),
        *_list_item_differences("team", current_teams, wanted_teams),
    ]


def _list_item_differences(
    noun: str, current: dict[str, list[Any]], wanted: dict[str, list[Any]]
) -> list[str]:
    lines = [f"- {noun} {name}" for name in sorted(current.keys() - wanted.keys())]
    lines += [f"+ {noun} {name}" for name in sorted(wanted.keys() - current.keys())]
    for name in sorted(current.keys() & wanted.keys()):
        if current[name] != wanted[name]:
            lines.append(f"~ {noun} {name}: {current[name][1:]} -> {wanted[name][1:]}")
    return lines


def _format_target(item: dict[str, Any]) -> str:
    if item["within_s"] is not None:
        return f"within {item['within_s']:g} s"
    if item["by_s"] is not None:
        return f"by {item['by_s'] // 3600:02}:{item['by_s'] % 3600 // 60:02} UTC"
    return "no target"


def _format_time(wall: float) -> str:
    return datetime.fromtimestamp(wall, UTC).strftime("%Y-%m-%d %H:%M:%S")
