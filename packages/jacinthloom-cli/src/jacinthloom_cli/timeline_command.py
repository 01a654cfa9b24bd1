"""Command that merges the timelines of all entry processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import option
from jacinthloom_wire.checks import CheckError, Problem

from .base import COMMON_OPTIONS, EXIT_OK, EXIT_UNREACHABLE
from .operator_commands import OperatorCommand, list_member_addresses, query_member

if TYPE_CHECKING:
    from .client import EntryClient

DEFAULT_LINE_COUNT = "50"


class TimelineCommand(OperatorCommand):
    """Show the events of all entry processes in causal order."""

    name = "timeline"
    description = "Show the events of all entry processes in causal order."
    options: ClassVar[list[Any]] = [
        *COMMON_OPTIONS,
        option("job", None, "Only this job or request.", flag=False),
        option("team", None, "Only this team.", flag=False),
        option("worker", None, "Only this worker.", flag=False),
        option(
            "last",
            "l",
            "Number of lines to show.",
            flag=False,
            default=DEFAULT_LINE_COUNT,
        ),
    ]

    def run_command(self, client: EntryClient) -> int:
        """Fetch, merge, filter and print the timelines."""
        last = parse_line_count(self.option("last"))
        lines: list[dict[str, Any]] = []
        answered = 0
        for address in list_member_addresses(self, client):
            response = query_member(client, address, "timeline")
            if response is not None and not response.is_error:
                answered += 1
                lines += response.body["lines"]
        if answered == 0:
            self.line_error("no entry process returned its timeline")
            return EXIT_UNREACHABLE
        merged = [line for line in merge_lines(lines) if self._matches(line)]
        shown = merged[-last:]
        self.show({"lines": shown}, "\n".join(format_line(line) for line in shown))
        return EXIT_OK

    def _matches(self, line: dict[str, Any]) -> bool:
        job = self.option("job")
        team = self.option("team")
        worker = self.option("worker")
        text = f"{line['subject']} {line['detail']}"
        if job and job not in text:
            return False
        if worker and worker not in text:
            return False
        return not team or line["team"] == team


def parse_line_count(text: str) -> int:
    """Return the number of lines to show.

    :raises CheckError: if the text is not a positive whole number
    """
    is_number = text.isascii() and text.isdigit()
    if not is_number or int(text) == 0:
        problem = Problem("--last", repr(text), "a positive whole number")
        raise CheckError("arguments", [problem])
    return int(text)


def merge_lines(lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Sort lines so that each cause precedes its effects.

    Packets and log entries carry the sender's Lamport clock, so an effect always has
    a larger clock value than its cause.
    """
    return sorted(
        lines, key=lambda line: (line["clock"], line["process"], line["sequence"])
    )


def format_line(line: dict[str, Any]) -> str:
    """Format a line for display."""
    text = f"{line['wall']:.3f} {line['clock']:>7} {line['process']:<4} {line['kind']}"
    return f"{text} {line['subject']} {line['detail']}".rstrip()
