"""Bad arguments get a message and an exit code, and refused changes are not exit 0."""

from __future__ import annotations

import io
import json
import unittest
from typing import Any

from cleo.io.inputs.string_input import StringInput
from cleo.io.outputs.stream_output import StreamOutput
from jacinthloom_cli.__main__ import make_application
from jacinthloom_cli.base import EXIT_BAD_INPUT, EXIT_CONFLICT, EXIT_OK
from jacinthloom_cli.client import ApiResponse, check_address
from jacinthloom_cli.operator_commands import KeyGrantCommand
from jacinthloom_cli.timeline_command import parse_line_count
from jacinthloom_wire.checks import CheckError


class StubClient:
    """Answers requests for the configuration, and changes with a fixed state."""

    def __init__(self, state: str) -> None:
        self._state = state

    def request(self, method: str, path: str, body: object = None) -> ApiResponse:
        if method == "GET":
            configuration = {"version": 1, "teams_by_name": {"planning": {}}}
            return ApiResponse(200, {"configuration": configuration})
        change = {"state": self._state, "version": 2, "sentence": "", "missing": []}
        return ApiResponse(200, change)


class ArgumentTest(unittest.TestCase):
    def test_line_count_that_is_not_a_positive_number_is_rejected(self) -> None:
        for text in ("x", "", "-1", "0", "\u00b2"):
            with self.assertRaises(CheckError, msg=text):
                parse_line_count(text)
        self.assertEqual(parse_line_count("15"), 15)

    def test_address_without_a_port_is_rejected(self) -> None:
        for text in ("host", "host:", ":80", "host:x", "host:0", "host:70000"):
            with self.assertRaises(CheckError, msg=text):
                check_address(text)
        self.assertEqual(check_address(" host:8400 "), "host:8400")

    def test_bad_arguments_end_with_the_exit_code_for_bad_input(self) -> None:
        for line in ("timeline --last x", "status --entries host"):
            output, errors = io.StringIO(), io.StringIO()
            application = make_application()
            application.auto_exits(False)
            code = application.run(
                StringInput(line), StreamOutput(output), StreamOutput(errors)
            )
            self.assertEqual(code, EXIT_BAD_INPUT, line)
            self.assertIn("allowed:", errors.getvalue())


class KeyGrantTest(unittest.TestCase):
    def grant(self, state: str) -> tuple[int, dict[str, Any]]:
        shown: list[Any] = []
        command = KeyGrantCommand()
        command.option = lambda name: name == "json"  # type: ignore[method-assign]
        command.argument = lambda name: "planning"  # type: ignore[method-assign]
        command.show = lambda body, text: shown.append(body)  # type: ignore[method-assign]
        code = command.run_command(StubClient(state))  # type: ignore[arg-type]
        return code, json.loads(json.dumps(shown[0]))

    def test_refused_change_is_not_reported_as_done(self) -> None:
        code, body = self.grant("refused")
        self.assertEqual(code, EXIT_CONFLICT)
        self.assertNotIn("key", body)

    def test_accepted_change_prints_the_key(self) -> None:
        code, body = self.grant("accepted")
        self.assertEqual(code, EXIT_OK)
        self.assertIn(".", body["key"])
