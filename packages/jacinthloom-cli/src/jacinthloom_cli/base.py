"""Options, output and exit codes shared by all commands."""

from __future__ import annotations

import json
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from jacinthloom_wire.checks import CheckError

from .client import ApiResponse, EntryClient, UnknownOutcomeError, UnreachableError

EXIT_OK = 0
EXIT_REFUSED = 1
"""The work or change was refused, failed, or did not run."""

EXIT_BAD_INPUT = 2
"""An argument, a file or a request body is invalid."""

EXIT_UNREACHABLE = 3
"""No entry process responded; only a retryable request may have taken effect."""

EXIT_CONFLICT = 4
"""The change conflicts with an earlier change by another operator."""

EXIT_UNKNOWN = 5
"""The outcome is unknown: the request may have taken effect."""

COMMON_OPTIONS = [
    option("entries", "e", "Comma-separated addresses of entry processes.", flag=False),
    option("json", None, "Print the response as JSON.", flag=True),
]
"""Options of every command."""


class EntryCommand(Command):
    """A command that sends requests to an entry process."""

    options: ClassVar[list[Any]] = COMMON_OPTIONS
    for_operator: ClassVar[bool] = False
    """Whether requests carry the operators' key instead of a team's key."""

    def handle(self) -> int:
        """Run the command and map errors to exit codes."""
        try:
            return self.run_command(
                EntryClient.from_environment(self.option("entries"), self.for_operator)
            )
        except CheckError as error:
            self.line_error(str(error))
            return EXIT_BAD_INPUT
        except UnreachableError as error:
            self.line_error(str(error))
            return EXIT_UNREACHABLE
        except UnknownOutcomeError as error:
            self.line_error(str(error))
            return EXIT_UNKNOWN

    def run_command(self, client: EntryClient) -> int:
        """Execute the command and return an exit code."""
        raise NotImplementedError

    def show(self, body: object, text: str) -> None:
        """Print ``body`` as JSON if ``--json`` is set, else print ``text``."""
        if self.option("json"):
            self.line(json.dumps(body, indent=2))
        else:
            self.line(text)

    def show_error(self, response: ApiResponse) -> int:
        """Print an error response and return its exit code."""
        error = response.body.get("error", {})
        if self.option("json"):
            self.line(json.dumps(response.body, indent=2))
        else:
            outcome = "it did not run" if error.get("not_run") else "it may have run"
            self.line_error(f"{error.get('code')}: {error.get('sentence')} ({outcome})")
        if response.status == 400:
            return EXIT_BAD_INPUT
        return EXIT_REFUSED if error.get("not_run", True) else EXIT_UNKNOWN
