"""Operator commands for keys, zones, teams, workers and status."""

from __future__ import annotations

import asyncio
import getpass
import secrets
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument
from jacinthloom_core.model.configuration import (
    Change,
    KeyGrant,
    KeyHash,
    KeyWithdrawal,
    ZoneIn,
    ZoneOut,
)
from jacinthloom_core.model.resources import MILLICORES_PER_PROCESSOR, UNLIMITED
from jacinthloom_core.shared_log import codec
from jacinthloom_wire.errors import TransportError

from .base import (
    EXIT_BAD_INPUT,
    EXIT_CONFLICT,
    EXIT_OK,
    EXIT_UNKNOWN,
    EntryCommand,
)

if TYPE_CHECKING:
    from .client import ApiResponse, EntryClient

MAX_PUBLISH_ATTEMPTS = 5
"""Maximum attempts to publish a change of one key or zone on the latest version."""

KEY_ID_BYTES = 6
SECRET_BYTES = 24


class OperatorCommand(EntryCommand):
    """A command that sends requests with the operators' key."""

    for_operator = True

    def fetch(self, client: EntryClient, path: str) -> ApiResponse:
        """Fetch a resource of the operator API."""
        return client.request("GET", f"/v1/operator/{path}")

    def publish(self, client: EntryClient, change: Change, version: int) -> ApiResponse:
        """Publish a change based on a version.

        The change id makes the request idempotent, so it is safe to retry.
        """
        body = {
            "change_id": f"c-{secrets.token_hex(12)}",
            "base_version": version,
            "author": getpass.getuser(),
            "change": codec.unstructure(change, Change),
        }
        return client.request("POST", "/v1/operator/changes", body)

    def publish_on_latest(self, client: EntryClient, change: Change) -> ApiResponse:
        """Publish a change on the latest version, retrying on version conflicts.

        Only for changes that do not depend on other parts of the configuration.
        """
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            current = self.fetch(client, "configuration")
            if current.is_error:
                return current
            version = current.body["configuration"]["version"]
            response = self.publish(client, change, version)
            if response.status != 409:
                return response
        return response

    def show_change(self, response: ApiResponse) -> int:
        """Print the outcome of a change and return its exit code."""
        if response.is_error and "error" in response.body:
            return self.show_error(response)
        body = response.body
        text = f"{body['state']}: version {body['version']}, {body['sentence']}"
        if body["missing"]:
            text += f"; not yet at {', '.join(body['missing'])}"
        self.show(body, text)
        return find_change_exit_code(body)


def find_change_exit_code(body: dict[str, Any]) -> int:
    """Return the exit code for the outcome of a change."""
    codes = {"accepted": EXIT_OK, "refused": EXIT_CONFLICT}
    return codes.get(body["state"], EXIT_UNKNOWN)


class KeyGrantCommand(OperatorCommand):
    """Create a key for a team."""

    name = "key grant"
    description = "Create a key for a team and print it once."
    arguments: ClassVar[list[Any]] = [argument("team", "Name of the team.")]

    def run_command(self, client: EntryClient) -> int:
        """Create a key, publish its hash, and print the key."""
        team = self.argument("team")
        current = self.fetch(client, "configuration")
        if current.is_error:
            return self.show_error(current)
        if team not in current.body["configuration"]["teams_by_name"]:
            self.line_error(f"team: found {team!r}; allowed: a configured team")
            return EXIT_BAD_INPUT
        key_id = secrets.token_hex(KEY_ID_BYTES)
        secret = secrets.token_urlsafe(SECRET_BYTES)
        key_hash = KeyHash.from_secret(key_id, secrets.token_hex(8), secret)
        response = self.publish_on_latest(client, KeyGrant(team, key_hash))
        key = f"{key_id}.{secret}"
        if self.option("json") and not response.is_error:
            code = find_change_exit_code(response.body)
            granted = {} if code == EXIT_CONFLICT else {"key": key}
            self.show({**granted, **response.body}, "")
            return code
        code = self.show_change(response)
        if code in (EXIT_OK, EXIT_UNKNOWN) and not response.is_error:
            self.line(key)
        return code


class KeyWithdrawCommand(OperatorCommand):
    """Withdraw a key of a team."""

    name = "key withdraw"
    description = "Withdraw a key; work submitted with it no longer starts."
    arguments: ClassVar[list[Any]] = [
        argument("key-id", "Key id: the part of a key before the dot.")
    ]

    def run_command(self, client: EntryClient) -> int:
        """Withdraw the key."""
        key_id = self.argument("key-id").partition(".")[0]
        return self.show_change(self.publish_on_latest(client, KeyWithdrawal(key_id)))


class ZoneOutCommand(OperatorCommand):
    """Take an availability zone out of service."""

    name = "zone out"
    description = "Take an availability zone out: no work starts there any more."
    arguments: ClassVar[list[Any]] = [argument("zone", "Name of the zone.")]

    def run_command(self, client: EntryClient) -> int:
        """Publish the change that takes the zone out."""
        change = ZoneOut(self.argument("zone"))
        return self.show_change(self.publish_on_latest(client, change))


class ZoneInCommand(OperatorCommand):
    """Bring an availability zone back into service."""

    name = "zone in"
    description = "Bring an availability zone back into service."
    arguments: ClassVar[list[Any]] = [argument("zone", "Name of the zone.")]

    def run_command(self, client: EntryClient) -> int:
        """Publish the change that brings the zone back."""
        change = ZoneIn(self.argument("zone"))
        return self.show_change(self.publish_on_latest(client, change))


class TeamShowCommand(OperatorCommand):
    """Show share, limit and usage of each team."""

    name = "team show"
    description = "Show share, limit and usage of each team."

    def run_command(self, client: EntryClient) -> int:
        """Print a line for each team."""
        response = self.fetch(client, "teams")
        if response.is_error:
            return self.show_error(response)
        lines = [
            f"{item['team']}: share {item['share']:g}, "
            f"limit {format_resources(item['limit'])}, "
            f"uses {format_resources(item['used'])} "
            f"({item['fraction']:.1%} of the fleet)"
            for item in response.body["teams"]
        ]
        self.show(response.body, "\n".join(lines) or "no team")
        return EXIT_OK


class WorkerListCommand(OperatorCommand):
    """List the workers of all entry processes."""

    name = "worker list"
    description = "List the workers that each entry process owns."

    def run_command(self, client: EntryClient) -> int:
        """Print a line for each worker."""
        workers = []
        for address in list_member_addresses(self, client):
            response = query_member(client, address, "workers")
            if response is not None and not response.is_error:
                workers += response.body["workers"]
        workers.sort(key=lambda item: item["worker"])
        lines = [
            f"{item['worker']}: zone {item['zone']}, {item['state']}, {item['phase']}, "
            f"{item['attempts']} tasks, free {format_resources(item['free'])}, "
            f"owner {item['owner']}"
            for item in workers
        ]
        self.show({"workers": workers}, "\n".join(lines) or "no worker")
        return EXIT_OK


class StatusCommand(OperatorCommand):
    """Show the status of the fleet."""

    name = "status"
    description = "Show members, view, usage cap (level) and whether work may start."

    def run_command(self, client: EntryClient) -> int:
        """Print a summary of the status."""
        response = self.fetch(client, "status")
        if response.is_error:
            return self.show_error(response)
        body = response.body
        lines = [
            f"view {body['view']}, configuration {body['configuration']}, "
            f"log {body['log']}",
            f"{body['member']}: authority for {body['authority_s']:.1f} s, "
            f"{'fresh' if body['fresh'] else 'not fresh'}",
            f"level {body['level_processors']:g} of {body['fleet_processors']:g} "
            f"processors, busiest minute {body['busiest_minute_processors']:g}",
            f"{body['jobs_live']} jobs live",
        ]
        if body["target_at_risk"]:
            lines.append(f"class {body['target_at_risk']} cannot meet its target")
        for item in body["members"]:
            lines.append(f"  {item['member']}: zone {item['zone']}, {item['state']}")
        self.show(body, "\n".join(lines))
        return EXIT_OK


def list_member_addresses(command: OperatorCommand, client: EntryClient) -> list[str]:
    """Return the HTTP addresses of all members, as reported by one of them.

    If none reports them, return the configured addresses.
    """
    response = command.fetch(client, "status")
    if response.is_error:
        return client.addresses
    return [item["http_address"] for item in response.body["members"]]


def query_member(client: EntryClient, address: str, path: str) -> ApiResponse | None:
    """Fetch a resource of one member's operator API; ``None`` if it is unreachable."""
    try:
        return asyncio.run(client.request_one(address, "GET", f"/v1/operator/{path}"))
    except TransportError:
        return None


def format_resources(resources: dict[str, int] | None) -> str:
    """Format an amount of resources for display."""
    if resources is None:
        return "none"
    parts = []
    if resources["processors"] < UNLIMITED:
        processors = resources["processors"] / MILLICORES_PER_PROCESSOR
        parts.append(f"{processors:g} processors")
    if resources["memory"] < UNLIMITED:
        parts.append(f"{resources['memory']} MiB")
    if resources["accelerators"] < UNLIMITED and resources["accelerators"]:
        parts.append(f"{resources['accelerators']} accelerators")
    return " ".join(parts) or "none"
