"""Command that checks a configuration file before it is published."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument, option
from jacinthloom_core.model.configuration import (
    ClassesAndTeams,
    Configuration,
    KeyHash,
    Team,
    TeamKey,
    WorkClass,
)
from jacinthloom_core.model.resources import MILLICORES_PER_PROCESSOR, Resources
from jacinthloom_core.policy.configuration_check import (
    CheckInput,
    Finding,
    FleetWorker,
    find_findings,
)
from jacinthloom_core.policy.configuration_difference import (
    Difference,
    find_differences,
)
from jacinthloom_wire.bodies import DEFAULT_NEED
from jacinthloom_wire.checks import CheckError
from jacinthloom_wire.configuration_file import load_configuration

from .base import COMMON_OPTIONS, EXIT_BAD_INPUT, EXIT_OK, EXIT_REFUSED
from .client import UnreachableError
from .operator_commands import OperatorCommand, list_member_addresses, query_member

if TYPE_CHECKING:
    from .client import EntryClient

DEFAULT_REQUEST_NEED = Resources(
    int(DEFAULT_NEED["processors"] * MILLICORES_PER_PROCESSOR), slots=1
)
"""Resources of a request that declares none."""


@dataclass(frozen=True, slots=True)
class DeployedState:
    """The version in force and the workers, as far as they could be fetched.

    :param workers: workers of all members; empty if not all of them responded
    :param not_compared: why the version in force is unknown
    :param not_measured: why the workers are unknown
    """

    current: Configuration | None = None
    workers: tuple[FleetWorker, ...] = ()
    not_compared: str = ""
    not_measured: str = ""


class ConfigCheckCommand(OperatorCommand):
    """Check a configuration file and compare it with the version in force."""

    name = "config check"
    description = "Check a configuration file, and compare it, without publishing it."
    arguments: ClassVar[list[Any]] = [argument("file", "TOML file.")]
    options: ClassVar[list[Any]] = [
        *COMMON_OPTIONS,
        option("strict", None, "Exit with 1 if there is a warning.", flag=True),
    ]

    def run_command(self, client: EntryClient) -> int:
        """Print errors, warnings and differences; exit with 2 if there is an error."""
        try:
            change = load_configuration(Path(self.argument("file")))
        except CheckError as error:
            return self._show_file_problems(error)
        state = self._fetch_state(client)
        given = CheckInput.from_change(
            change, state.current, state.workers, DEFAULT_REQUEST_NEED
        )
        findings = find_findings(given)
        differences: tuple[Difference, ...] = ()
        if state.current is not None:
            differences = find_differences(state.current, given.proposed)
        return self._show_result(change, findings, state, differences)

    def _show_file_problems(self, error: CheckError) -> int:
        if not self.option("json"):
            self.line_error(str(error))
            return EXIT_BAD_INPUT
        found = [
            Finding(
                "error",
                "file",
                item.key,
                f"found {item.found}; allowed: {item.allowed}",
            )
            for item in error.problems
        ]
        body = {
            "errors": [asdict(item) for item in found],
            "warnings": [],
            "comparison": None,
            "not_compared": "the file has errors",
            "not_measured": "the file has errors",
        }
        self.show(body, "")
        return EXIT_BAD_INPUT

    def _fetch_state(self, client: EntryClient) -> DeployedState:
        try:
            response = self.fetch(client, "configuration")
            if response.is_error:
                reason = str(response.body["error"]["sentence"])
                return DeployedState(not_compared=reason, not_measured=reason)
            current = parse_configuration_body(response.body["configuration"])
        except UnreachableError as error:
            return DeployedState(not_compared=str(error), not_measured=str(error))
        except (KeyError, TypeError, AttributeError) as error:
            reason = f"the configuration in force has an unknown form: {error!r}"
            return DeployedState(not_compared=reason, not_measured=reason)
        try:
            return DeployedState(current, self._fetch_workers(client))
        except UnreachableError as error:
            return DeployedState(current, not_measured=str(error))
        except (KeyError, TypeError, AttributeError) as error:
            reason = f"the list of workers has an unknown form: {error!r}"
            return DeployedState(current, not_measured=reason)

    def _fetch_workers(self, client: EntryClient) -> tuple[FleetWorker, ...]:
        """Return the workers of all members.

        :raises UnreachableError: if a member does not list its workers
        """
        workers_by_name: dict[str, FleetWorker] = {}
        for address in list_member_addresses(self, client):
            response = query_member(client, address, "workers")
            if response is None or response.is_error:
                raise UnreachableError(f"{address} does not list its workers")
            for item in response.body["workers"]:
                workers_by_name[item["worker"]] = FleetWorker(
                    item["zone"],
                    item["state"] == "live",
                    _parse_resources(item["capacity"]),
                )
        if not workers_by_name:
            raise UnreachableError("no worker is known")
        return tuple(workers_by_name.values())

    def _show_result(
        self,
        change: ClassesAndTeams,
        findings: tuple[Finding, ...],
        state: DeployedState,
        differences: tuple[Difference, ...],
    ) -> int:
        errors = [item for item in findings if item.severity == "error"]
        warnings = [item for item in findings if item.severity == "warning"]
        body = {
            "classes": len(change.classes),
            "teams": len(change.teams),
            "errors": [asdict(item) for item in errors],
            "warnings": [asdict(item) for item in warnings],
            "comparison": None,
            "not_compared": state.not_compared or None,
            "not_measured": state.not_measured or None,
        }
        if state.current is not None:
            body["comparison"] = {
                "version": state.current.version,
                "differences": [
                    {**asdict(item), "effect": item.effect.value}
                    for item in differences
                ],
            }
        lines = [f"{item.severity}: {item.subject}: {item.text}" for item in findings]
        counts = f"{_count(errors, 'error')}, {_count(warnings, 'warning')}"
        lines.append(
            f"{len(change.classes)} classes and {len(change.teams)} teams, "
            + (counts if findings else "no problem")
        )
        self.show(body, "\n".join([*lines, *_list_state_lines(state, differences)]))
        if errors:
            return EXIT_BAD_INPUT
        return EXIT_REFUSED if warnings and self.option("strict") else EXIT_OK


def _count(findings: list[Finding], noun: str) -> str:
    return f"{len(findings)} {noun}{'' if len(findings) == 1 else 's'}"


def _list_state_lines(
    state: DeployedState, differences: tuple[Difference, ...]
) -> list[str]:
    lines = []
    if state.current is None:
        lines.append(f"not compared with the version in force: {state.not_compared}")
    elif differences:
        lines.append(f"differences from version {state.current.version} in force:")
        lines += [f"  {item}" for item in differences]
    else:
        lines.append(f"no difference from version {state.current.version} in force")
    if state.current is not None and state.not_measured:
        lines.append(f"limits not compared with the fleet: {state.not_measured}")
    return lines


def parse_configuration_body(body: dict[str, Any]) -> Configuration:
    """Build a configuration from the JSON of the operator API.

    :raises KeyError: if a field is missing
    """
    return Configuration(
        body["version"],
        {
            name: WorkClass(
                name, item["kind"], item["within_s"], item["by_s"], item["open"]
            )
            for name, item in body["classes_by_name"].items()
        },
        {
            name: Team(
                name,
                item["share"],
                _parse_resources(item["limit"]) if item["limit"] else None,
            )
            for name, item in body["teams_by_name"].items()
        },
        {
            key_id: TeamKey(item["team"], KeyHash(key_id, "", ""))
            for key_id, item in body["keys_by_id"].items()
        },
        tuple(body["zones_out"]),
    )


def _parse_resources(item: dict[str, int]) -> Resources:
    return Resources(
        item["processors"], item["memory"], item["accelerators"], item["slots"]
    )
