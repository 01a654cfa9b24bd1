"""What all commands share: options, output and exit codes."""

from __future__ import annotations

import json
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from jacinthloom_wire.checks import CheckError

from .client import ApiResponse, EntryClient, UnknownOutcomeError, UnreachableError

EXIT_OK = 0
EXIT_REFUSED = 1
"""The work or change was refused, failed or did not run."""

EXIT_BAD_INPUT = 2
"""Arguments, a file or a body are not as they must be."""

EXIT_UNREACHABLE = 3
"""No entry process could be asked; nothing was done."""

EXIT_CONFLICT = 4
"""Another operator's change came first."""

EXIT_UNKNOWN = 5
"""Whether it took effect is unknown."""

COMMON_OPTIONS = [
    option("entries", "e", "Addresses of entry processes, by commas.", flag=False),
    option("json", None, "Print the answer as JSON.", flag=True),
]
"""Options of every command."""


class EntryCommand(Command):
    """A command that asks an entry process."""

    options: ClassVar[list[Any]] = COMMON_OPTIONS
    for_operator: ClassVar[bool] = False
    """Whether the operators' key is used rather than a team's."""

    def handle(self) -> int:
        """Run the command and turn errors into exit codes."""
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
        """Do what the command is for; return an exit code."""
        raise NotImplementedError

    def show(self, body: object, text: str) -> None:
        """Print an answer as JSON or as text."""
        if self.option("json"):
            self.line(json.dumps(body, indent=2))
        else:
            self.line(text)

    def show_error(self, answer: ApiResponse) -> int:
        """Print a refusal and return the exit code for it."""
        error = answer.body.get("error", {})
        if self.option("json"):
            self.line(json.dumps(answer.body, indent=2))
        else:
            certain = "it did not run" if error.get("not_run") else "it may have run"
            self.line_error(f"{error.get('code')}: {error.get('sentence')} ({certain})")
        if answer.status == 400:
            return EXIT_BAD_INPUT
        return EXIT_REFUSED if error.get("not_run", True) else EXIT_UNKNOWN
