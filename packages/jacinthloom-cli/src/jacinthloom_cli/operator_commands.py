"""Commands for operators: configuration, keys, zones and state."""

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
    from .client import Answer, EntryClient

CONFLICT_RETRIES = 5
"""Times that a change which concerns one key or zone is tried on a newer version."""

KEY_ID_BYTES = 6
SECRET_BYTES = 24


class OperatorCommand(EntryCommand):
    """A command that uses the operators' key."""

    for_operator = True

    def fetch(self, client: EntryClient, path: str) -> Answer:
        """Ask for one of the states for operators."""
        return client.request("GET", f"/v1/operator/{path}")

    def publish(self, client: EntryClient, change: Change, version: int) -> Answer:
        """Publish a change on a version; asking again with its id is harmless."""
        body = {
            "change_id": f"c-{secrets.token_hex(12)}",
            "base_version": version,
            "author": getpass.getuser(),
            "change": codec.unstructure(change, Change),
        }
        return client.request("POST", "/v1/operator/changes", body)

    def publish_on_latest(self, client: EntryClient, change: Change) -> Answer:
        """Publish a change that does not depend on what else has changed."""
        for _ in range(CONFLICT_RETRIES):
            shown = self.fetch(client, "configuration")
            if shown.is_error:
                return shown
            version = shown.body["configuration"]["version"]
            answer = self.publish(client, change, version)
            if answer.status != 409:
                return answer
        return answer

    def show_change(self, answer: Answer) -> int:
        """Print what became of a change."""
        if answer.is_error and "error" in answer.body:
            return self.show_error(answer)
        body = answer.body
        text = f"{body['state']}: version {body['version']}, {body['sentence']}"
        if body["missing"]:
            text += f"; not yet at {', '.join(body['missing'])}"
        self.show(body, text)
        codes = {"accepted": EXIT_OK, "refused": EXIT_CONFLICT}
        return codes.get(body["state"], EXIT_UNKNOWN)


class KeyGrantCommand(OperatorCommand):
    """Make a key for a team."""

    name = "key grant"
    description = "Make a key for a team and print it, once."
    arguments: ClassVar[list[Any]] = [argument("team", "Name of the team.")]

    def run_command(self, client: EntryClient) -> int:
        """Make a key, keep its hash, and print it."""
        team = self.argument("team")
        shown = self.fetch(client, "configuration")
        if shown.is_error:
            return self.show_error(shown)
        if team not in shown.body["configuration"]["teams_by_name"]:
            self.line_error(f"team: found {team!r}; allowed: a configured team")
            return EXIT_BAD_INPUT
        key_id = secrets.token_hex(KEY_ID_BYTES)
        secret = secrets.token_urlsafe(SECRET_BYTES)
        hashed = KeyHash.from_secret(key_id, secrets.token_hex(8), secret)
        answer = self.publish_on_latest(client, KeyGrant(team, hashed))
        code = self.show_change(answer) if not self.option("json") else EXIT_OK
        if code in (EXIT_OK, EXIT_UNKNOWN) and not answer.is_error:
            self.show(
                {"key": f"{key_id}.{secret}", **answer.body}, f"{key_id}.{secret}"
            )
        return code


class KeyWithdrawCommand(OperatorCommand):
    """Withdraw a key."""

    name = "key withdraw"
    description = "Withdraw a key: what was submitted with it starts no more."
    arguments: ClassVar[list[Any]] = [argument("key-id", "Part before the dot.")]

    def run_command(self, client: EntryClient) -> int:
        """Withdraw the key."""
        key_id = self.argument("key-id").partition(".")[0]
        return self.show_change(self.publish_on_latest(client, KeyWithdrawal(key_id)))


class ZoneOutCommand(OperatorCommand):
    """Take an availability zone out."""

    name = "zone out"
    description = "Take an availability zone out: nothing starts there any more."
    arguments: ClassVar[list[Any]] = [argument("zone", "Name of the zone.")]

    def run_command(self, client: EntryClient) -> int:
        """Take the zone out."""
        change = ZoneOut(self.argument("zone"))
        return self.show_change(self.publish_on_latest(client, change))


class ZoneInCommand(OperatorCommand):
    """Bring an availability zone back."""

    name = "zone in"
    description = "Bring an availability zone back."
    arguments: ClassVar[list[Any]] = [argument("zone", "Name of the zone.")]

    def run_command(self, client: EntryClient) -> int:
        """Bring the zone back."""
        change = ZoneIn(self.argument("zone"))
        return self.show_change(self.publish_on_latest(client, change))


class TeamShowCommand(OperatorCommand):
    """Show share, limit and use of each team."""

    name = "team show"
    description = "Show share, limit and use of each team."

    def run_command(self, client: EntryClient) -> int:
        """Print a line for each team."""
        answer = self.fetch(client, "teams")
        if answer.is_error:
            return self.show_error(answer)
        lines = [
            f"{item['team']}: share {item['share']:g}, "
            f"limit {describe_amount(item['limit'])}, "
            f"uses {describe_amount(item['used'])} "
            f"({item['fraction']:.1%} of the fleet)"
            for item in answer.body["teams"]
        ]
        self.show(answer.body, "\n".join(lines) or "no team")
        return EXIT_OK


class WorkerListCommand(OperatorCommand):
    """List the workers of all entry processes."""

    name = "worker list"
    description = "List the workers that each entry process owns."

    def run_command(self, client: EntryClient) -> int:
        """Print a line for each worker."""
        workers = []
        for address in list_members(self, client):
            answer = ask_member(client, address, "workers")
            if answer is not None and not answer.is_error:
                workers += answer.body["workers"]
        workers.sort(key=lambda item: item["worker"])
        lines = [
            f"{item['worker']}: zone {item['zone']}, {item['state']}, {item['phase']}, "
            f"{item['attempts']} tasks, free {describe_amount(item['free'])}, "
            f"owner {item['owner']}"
            for item in workers
        ]
        self.show({"workers": workers}, "\n".join(lines) or "no worker")
        return EXIT_OK


class StatusCommand(OperatorCommand):
    """Show the state of the fleet."""

    name = "status"
    description = "Show members, view, level and whether work may start."

    def run_command(self, client: EntryClient) -> int:
        """Print a summary."""
        answer = self.fetch(client, "status")
        if answer.is_error:
            return self.show_error(answer)
        body = answer.body
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


def list_members(command: OperatorCommand, client: EntryClient) -> list[str]:
    """Return the addresses of all members, as one of them tells."""
    answer = command.fetch(client, "status")
    if answer.is_error:
        return client.addresses
    return [item["http_address"] for item in answer.body["members"]]


def ask_member(client: EntryClient, address: str, path: str) -> Answer | None:
    """Ask one member for a state; return nothing if it doesn't answer."""
    try:
        return asyncio.run(client.request_one(address, "GET", f"/v1/operator/{path}"))
    except TransportError:
        return None


def describe_amount(plain: dict[str, int] | None) -> str:
    """Return an amount of resources for a person."""
    if plain is None:
        return "none"
    parts = []
    if plain["processors"] < UNLIMITED:
        processors = plain["processors"] / MILLICORES_PER_PROCESSOR
        parts.append(f"{processors:g} processors")
    if plain["memory"] < UNLIMITED:
        parts.append(f"{plain['memory']} MiB")
    if plain["accelerators"] < UNLIMITED and plain["accelerators"]:
        parts.append(f"{plain['accelerators']} accelerators")
    return " ".join(parts) or "none"
