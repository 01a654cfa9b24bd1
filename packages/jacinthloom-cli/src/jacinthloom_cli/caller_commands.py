"""Commands for callers: ask, submit, wait, cancel, explain."""

from __future__ import annotations

import secrets
import sys
import time
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument, option

from .base import COMMON_OPTIONS, EXIT_OK, EXIT_REFUSED, EXIT_UNKNOWN, EntryCommand

if TYPE_CHECKING:
    from .client import ApiResponse, EntryClient

POLL_INTERVAL_S = 0.5
"""Seconds between two looks at a job."""

FINAL_STATES = ("finished", "failed", "cancelled", "refused")

WORK_OPTIONS = [
    option("processors", "p", "Processors of one task.", flag=False, default="1"),
    option("memory-mib", "m", "Memory of one task, in MiB.", flag=False, default="0"),
    option("accelerators", "a", "Accelerators of one task.", flag=False, default="0"),
    option("run-time", "r", "Expected run time in seconds.", flag=False, default="0"),
    option("payload", None, "Text handed to the worker.", flag=False, default=""),
    option("idempotency-key", "k", "Your own name for it.", flag=False, default=""),
]


def _parse_number(text: str) -> Any:
    """Return a number, or the text itself for the entry process to refuse."""
    try:
        return int(text)
    except ValueError:
        pass
    try:
        return float(text)
    except ValueError:
        return text


class _WorkCommand(EntryCommand):
    """A command that hands in work."""

    def build_body(self) -> dict[str, object]:
        """Return the JSON body that the options describe."""
        body: dict[str, object] = {
            "class": self.argument("class"),
            "need": {
                "processors": _parse_number(self.option("processors")),
                "memory_mib": _parse_number(self.option("memory-mib")),
                "accelerators": _parse_number(self.option("accelerators")),
            },
            "run_time_s": _parse_number(self.option("run-time")),
            "payload": self.option("payload"),
        }
        if self.option("idempotency-key"):
            body["idempotency_key"] = self.option("idempotency-key")
        return body


class AskCommand(_WorkCommand):
    """Ask for work and wait for its answer."""

    name = "ask"
    description = "Ask for work and wait for its answer."
    arguments: ClassVar[list[Any]] = [argument("class", "Class of the work.")]
    options: ClassVar[list[Any]] = [
        *COMMON_OPTIONS,
        *WORK_OPTIONS,
        option(
            "once", None, "Run at most once: the work is not idempotent.", flag=True
        ),
    ]

    def run_command(self, client: EntryClient) -> int:
        """Send the request and print the whole answer."""
        body = self.build_body()
        once = self.option("once")
        if once:
            body["idempotent"] = False
        answer = client.request("POST", "/v1/requests", body, retryable=not once)
        if answer.is_error:
            return self.show_error(answer)
        outcome = answer.body["outcome"]
        text = answer.body["answer"] if outcome == "answered" else outcome
        self.show(answer.body, text)
        if outcome == "unknown":
            return EXIT_UNKNOWN
        return EXIT_OK if outcome == "answered" else EXIT_REFUSED


class SubmitCommand(_WorkCommand):
    """Submit a job."""

    name = "submit"
    description = "Submit a job."
    arguments: ClassVar[list[Any]] = [argument("class", "Class of the work.")]
    options: ClassVar[list[Any]] = [
        *COMMON_OPTIONS,
        *WORK_OPTIONS,
        option("tasks", "t", "Number of tasks.", flag=False, default="1"),
        option("wait", "w", "Wait until the job has ended.", flag=True),
    ]

    def run_command(self, client: EntryClient) -> int:
        """Submit the job and print its id."""
        body = self.build_body()
        body["tasks"] = _parse_number(self.option("tasks"))
        body.setdefault("idempotency_key", secrets.token_hex(16))
        answer = client.request("POST", "/v1/jobs", body)
        if answer.is_error:
            return self.show_error(answer)
        job = answer.body["job"]
        if self.option("wait"):
            return _wait_for_job(self, client, job)
        self.show(answer.body, job)
        return EXIT_OK


class WaitCommand(EntryCommand):
    """Wait until a job has ended."""

    name = "wait"
    description = "Wait until a job has ended; show its progress on a terminal."
    arguments: ClassVar[list[Any]] = [argument("job", "Id of the job.")]

    def run_command(self, client: EntryClient) -> int:
        """Look at the job until it has ended."""
        return _wait_for_job(self, client, self.argument("job"))


def _wait_for_job(command: EntryCommand, client: EntryClient, job: str) -> int:
    progress = None
    while True:
        answer = client.request("GET", f"/v1/jobs/{job}")
        if answer.is_error and answer.status != 503:
            return command.show_error(answer)
        if answer.is_error:
            time.sleep(POLL_INTERVAL_S)
            continue
        body = answer.body
        if sys.stderr.isatty() and not command.option("json"):
            if progress is None:
                progress = command.progress_bar(body["tasks"])
                progress.start()
            progress.set_progress(body["ended"])
        if body["state"] in FINAL_STATES:
            if progress is not None:
                progress.finish()
                command.line("")
            command.show(body, _format_progress(body))
            return EXIT_OK if body["state"] == "finished" else EXIT_REFUSED
        time.sleep(POLL_INTERVAL_S)


def _format_progress(body: dict[str, Any]) -> str:
    return (
        f"{body['job']}: {body['state']}, {body['ended']} of {body['tasks']} tasks "
        f"ended, {body['failed']} failed, {body['running']} running"
    )


class CancelCommand(EntryCommand):
    """Cancel a job."""

    name = "cancel"
    description = "Cancel a job; what runs of it is stopped."
    arguments: ClassVar[list[Any]] = [argument("job", "Id of the job.")]

    def run_command(self, client: EntryClient) -> int:
        """Cancel the job and print its state."""
        return _show_job(
            self, client.request("DELETE", f"/v1/jobs/{self.argument('job')}")
        )


class ExplainCommand(EntryCommand):
    """Say in a sentence why a job waits or how it ended."""

    name = "explain"
    description = "Say in a sentence why a job waits, or how it ended."
    arguments: ClassVar[list[Any]] = [argument("job", "Id of the job.")]

    def run_command(self, client: EntryClient) -> int:
        """Print the sentence."""
        job = self.argument("job")
        answer = client.request("GET", f"/v1/jobs/{job}/explain")
        if answer.is_error:
            return self.show_error(answer)
        self.show(answer.body, answer.body["explanation"])
        return EXIT_OK


def _show_job(command: EntryCommand, answer: ApiResponse) -> int:
    if answer.is_error:
        return command.show_error(answer)
    command.show(answer.body, _format_progress(answer.body))
    return EXIT_OK
