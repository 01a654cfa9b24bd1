"""``config check`` as a command: its exit codes, its JSON and the comparison."""

from __future__ import annotations

import io
import json
import unittest
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

from cleo.io.inputs.string_input import StringInput
from cleo.io.outputs.stream_output import StreamOutput
from jacinthloom_cli.__main__ import make_application
from jacinthloom_cli.client import ApiResponse, EntryClient, UnreachableError
from jacinthloom_core.model.configuration import Configuration, Team
from jacinthloom_core.model.resources import Resources

from tests.test_configuration_check import DEMO, SHOP, configure, limit


class StubFleet:
    """Responses of the operator API for a configuration and a list of workers."""

    def __init__(
        self, current: Configuration, reached: bool = True, worker: str = ""
    ) -> None:
        self._current = json.loads(json.dumps(asdict(current)))
        self._reached = reached
        self._worker = worker

    def request(self, method: str, path: str, *_: object) -> ApiResponse:
        bodies: dict[str, Any] = {
            "configuration": {"configuration": self._current},
            "status": {"members": [{"http_address": "a:1"}, {"http_address": "b:1"}]},
        }
        return ApiResponse(200, bodies[path.rpartition("/")[2]])

    async def request_one(self, address: str, *_: object) -> ApiResponse:
        if address == "b:1" and not self._reached:
            return ApiResponse(503, {})
        capacity = asdict(Resources(8000, 16_384, 1, 32))
        worker = {
            "worker": self._worker or f"w-{address}",
            "zone": "a",
            "state": "live",
            "capacity": capacity,
        }
        return ApiResponse(200, {"workers": [worker]})


def refuse(*_: object) -> ApiResponse:
    body = {"error": {"sentence": "the key is not the operators' key"}}
    return ApiResponse(401, body)


def fail(*_: object) -> ApiResponse:
    raise UnreachableError("no entry process responded")


class CommandTest(unittest.TestCase):
    """Guards against wrong exit codes, and a comparison that is claimed falsely."""

    def run_check(
        self,
        text: str,
        arguments: str = "",
        request: Callable[..., ApiResponse] = fail,
        fleet: StubFleet | None = None,
    ) -> tuple[int, str, str]:
        output, errors = io.StringIO(), io.StringIO()
        application = make_application()
        application.auto_exits(False)
        with TemporaryDirectory() as folder:
            path = Path(folder) / "file.toml"
            path.write_text(text)
            one = fleet.request_one if fleet is not None else fail
            with (
                patch.object(
                    EntryClient,
                    "request",
                    staticmethod(fleet.request if fleet else request),
                ),
                patch.object(EntryClient, "request_one", staticmethod(one)),
            ):
                code = application.run(
                    StringInput(f"config check {path} {arguments}"),
                    StreamOutput(output),
                    StreamOutput(errors),
                )
        return code, output.getvalue(), errors.getvalue()

    WARNED = DEMO.read_text() + "limit = { memory_gib = 0 }\n"

    def test_comparison_that_was_not_made_is_said(self) -> None:
        # Guards against "no difference" while nothing was compared.
        for request, reason in ((fail, "responded"), (refuse, "the operators' key")):
            code, output, _ = self.run_check(DEMO.read_text(), request=request)
            self.assertEqual(code, 0)
            self.assertIn("4 classes and 2 teams, no problem", output)
            self.assertRegex(output, f"not compared with the version.*{reason}")
            self.assertNotIn("no difference", output)

    def test_warnings_fail_only_with_strict(self) -> None:
        # Guards against warnings that block a release, or pass a strict one.
        self.assertEqual(self.run_check(self.WARNED)[0], 0)
        self.assertEqual(self.run_check(self.WARNED, "--strict")[0], 1)
        self.assertEqual(self.run_check(DEMO.read_text(), "--strict")[0], 0)

    def test_errors_fail_with_and_without_json(self) -> None:
        # Guards against errors that are reported with exit code 0.
        bad_file = '[[class]]\nname = "a b"\nkind = "x"\n'
        no_task = DEMO.read_text() + "limit = { processors = 0 }\n"
        for text, checks in ((bad_file, {"file"}), (no_task, {"empty-limit"})):
            self.assertEqual(self.run_check(text)[0], 2)
            code, output, _ = self.run_check(text, "--json")
            self.assertEqual(code, 2)
            self.assertEqual({e["check"] for e in json.loads(output)["errors"]}, checks)
        _, _, errors = self.run_check(bad_file)
        self.assertIn("class[0].name", errors)
        self.assertIn("class[0].kind", errors)

    def test_comparison_names_version_field_and_effect(self) -> None:
        # Guards against a comparison with another form than the API sends.
        teams = (Team("planning", 2.0, limit(64_000)), Team("revenue"), SHOP)
        fleet = StubFleet(configure(teams=teams))
        code, output, _ = self.run_check(DEMO.read_text(), fleet=fleet)
        self.assertEqual(code, 0)
        self.assertIn("differences from version 3 in force:", output)
        self.assertIn("key k-shop of team shop (key withdrawn", output)
        self.assertIn("limit.processors: 64 processors -> 48 processors", output)
        self.assertIn("the whole fleet has 16 processors", output)
        _, output, _ = self.run_check(DEMO.read_text(), "--json", fleet=fleet)
        body = json.loads(output)
        self.assertEqual(body["comparison"]["version"], 3)
        first = body["comparison"]["differences"][0]
        self.assertEqual(first["subject"], "key k-shop of team shop")
        self.assertEqual([w["check"] for w in body["warnings"]], ["ineffective-limit"])

    def test_worker_that_two_members_list_counts_once(self) -> None:
        # Guards against a fleet that looks larger while a worker changes its owner.
        fleet = StubFleet(configure(), worker="w")
        _, output, _ = self.run_check(DEMO.read_text(), fleet=fleet)
        self.assertIn("the whole fleet has 8 processors", output)

    def test_limits_are_not_judged_by_a_part_of_the_fleet(self) -> None:
        # Guards against warnings by the workers of some members only.
        fleet = StubFleet(configure(), reached=False)
        code, output, _ = self.run_check(DEMO.read_text(), "--strict", fleet=fleet)
        self.assertEqual(code, 0)
        self.assertIn("limits not compared with the fleet: b:1", output)


if __name__ == "__main__":
    unittest.main()
