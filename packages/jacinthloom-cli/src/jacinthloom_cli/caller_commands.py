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
"""Seconds between two requests for the state of a job."""

FINAL_STATES = ("finished", "failed", "cancelled", "refused")

WORK_OPTIONS = [
    option("processors", "p", "Processors of one task.", flag=False, default="1"),
    option("memory-mib", "m", "Memory of one task, in MiB.", flag=False, default="0"),
    option("accelerators", "a", "Accelerators of one task.", flag=False, default="0"),
    option("run-time", "r", "Expected run time in seconds.", flag=False, default="0"),
    option("payload", None, "Text passed to the worker.", flag=False, default=""),
    option(
        "idempotency-key", "k", "Your id for deduplication.", flag=False, default=""
    ),
]


def _parse_number(text: str) -> Any:
    """Return a number, or the text itself, which the entry process then rejects."""
    try:
        return int(text)
    except ValueError:
        pass
    try:
        return float(text)
    except ValueError:
        return text


class _WorkCommand(EntryCommand):
    """A command that submits work."""

    def build_body(self) -> dict[str, object]:
        """Return the JSON body for the given options."""
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
    """Send a request and wait for its answer."""

    name = "ask"
    description = "Send a request for work and wait for its answer."
    arguments: ClassVar[list[Any]] = [argument("class", "Class of the work.")]
    options: ClassVar[list[Any]] = [
        *COMMON_OPTIONS,
        *WORK_OPTIONS,
        option(
            "once", None, "Run at most once: the work is not idempotent.", flag=True
        ),
    ]

    def run_command(self, client: EntryClient) -> int:
        """Send the request and print its answer, or its outcome if there is none."""
        body = self.build_body()
        once = self.option("once")
        if once:
            body["idempotent"] = False
        response = client.request("POST", "/v1/requests", body, retryable=not once)
        if response.is_error:
            return self.show_error(response)
        outcome = response.body["outcome"]
        text = response.body["answer"] if outcome == "answered" else outcome
        self.show(response.body, text)
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
        response = client.request("POST", "/v1/jobs", body)
        if response.is_error:
            return self.show_error(response)
        job = response.body["job"]
        if self.option("wait"):
            return _wait_for_job(self, client, job)
        self.show(response.body, job)
        return EXIT_OK


class WaitCommand(EntryCommand):
    """Wait until a job has ended."""

    name = "wait"
    description = "Wait until a job has ended; show its progress on a terminal."
    arguments: ClassVar[list[Any]] = [argument("job", "Id of the job.")]

    def run_command(self, client: EntryClient) -> int:
        """Poll the job until it has ended."""
        return _wait_for_job(self, client, self.argument("job"))


def _wait_for_job(command: EntryCommand, client: EntryClient, job: str) -> int:
    progress = None
    while True:
        response = client.request("GET", f"/v1/jobs/{job}")
        if response.is_error and response.status != 503:
            return command.show_error(response)
        if response.is_error:
            time.sleep(POLL_INTERVAL_S)
            continue
        body = response.body
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
    description = "Cancel a job and stop its running tasks."
    arguments: ClassVar[list[Any]] = [argument("job", "Id of the job.")]

    def run_command(self, client: EntryClient) -> int:
        """Cancel the job and print its state."""
        return _show_job(
            self, client.request("DELETE", f"/v1/jobs/{self.argument('job')}")
        )


class ExplainCommand(EntryCommand):
    """Explain in one sentence why a job waits or how it ended."""

    name = "explain"
    description = "Explain in one sentence why a job waits or how it ended."
    arguments: ClassVar[list[Any]] = [argument("job", "Id of the job.")]

    def run_command(self, client: EntryClient) -> int:
        """Print the explanation."""
        job = self.argument("job")
        response = client.request("GET", f"/v1/jobs/{job}/explain")
        if response.is_error:
            return self.show_error(response)
        self.show(response.body, response.body["explanation"])
        return EXIT_OK


def _show_job(command: EntryCommand, response: ApiResponse) -> int:
    if response.is_error:
        return command.show_error(response)
    command.show(response.body, _format_progress(response.body))
    return EXIT_OK
