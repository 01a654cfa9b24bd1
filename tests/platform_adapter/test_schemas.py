"""Decoding of the platform's bodies, valid and invalid."""

from __future__ import annotations

import json
import unittest

from jacinthloom_core.planner.events import EndKind
from jacinthloom_core.planner.specs import TaskId
from jacinthloom_daemon.platform.errors import InvalidDataError, SettingsError
from jacinthloom_daemon.platform.log_store import decode_keyed
from jacinthloom_daemon.platform.node_settings import NodeSettings
from jacinthloom_daemon.platform.run_lists import decode_hold
from jacinthloom_daemon.platform.schemas import (
    decode_job,
    decode_rules,
    decode_worker,
    format_task,
    parse_task,
)

WORKER = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 1_700_000_000_000,
    "slots": 8,
}

SETTINGS = """\
node=front-1
zone=z
ip=10.1.0.17
listen.front=10.1.0.17:8183
listen.ready=10.1.0.17:8184
portRange=7420,7435
platform.address=10.200.1.7:8182
bounds.holdMaxMs=10000
something.new=1
"""


class WorkersTest(unittest.TestCase):
    def test_valid_worker_entry_is_decoded(self) -> None:
        entry = decode_worker("i-1", json.dumps(WORKER).encode())
        self.assertTrue(entry.is_ready)
        self.assertEqual((entry.rack, entry.incarnation), ("r1-3", 1_700_000_000_000))

    def test_invalid_worker_entry_is_rejected(self) -> None:
        for change in (
            {"service": None},
            {"address": 7},
            {"state": "asleep"},
            {"capacity": "much"},
            {"born": "yesterday"},
        ):
            with self.assertRaises(InvalidDataError):
                decode_worker("i-1", json.dumps(WORKER | change).encode())
        for body in (b"", b"\xff\x00", b"[]", b"{}"):
            with self.assertRaises(InvalidDataError):
                decode_worker("i-1", body)

    def test_hold_response_is_decoded(self) -> None:
        name = "5c0e7a21d94b36f8.0.1.17"
        body = {
            "clockMs": 482_113,
            "born": 5,
            "running": [[name, 2, "00aa", 41, 1200]],
            "endedRuns": [[9, name, 1, "lapsed", ""], [8, name, 1, "done", ""]],
        }
        hold = decode_hold(json.dumps(body).encode())
        (row,) = hold.to_running()
        self.assertEqual((row.run, row.checkpoint, row.percent), (2, "00aa", 41))
        self.assertEqual([end.number for end in hold.to_ends()], [8, 9])
        self.assertEqual(hold.to_ends()[1].kind, EndKind.LAPSED)


class NamesTest(unittest.TestCase):
    def test_malformed_task_id_is_rejected(self) -> None:
        task = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
        self.assertEqual(parse_task(format_task(task)), task)
        for name in ("", "a.b", "a.0.0.x", "a.0.0.0.0"):
            with self.assertRaises(InvalidDataError):
                parse_task(name)

    def test_malformed_keyed_record_is_rejected(self) -> None:
        self.assertEqual(decode_keyed(b"\x03abcvalue"), ("abc", b"value"))
        for data in (b"", b"\x09abc", b"\x01\xff"):
            with self.assertRaises(InvalidDataError):
                decode_keyed(data)


class JobsTest(unittest.TestCase):
    def test_missing_job_fields_get_their_defaults(self) -> None:
        body = b'{"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256}]}'
        job = decode_job(body, "e" * 16, "q", "t", 5)
        self.assertEqual(job.steps[0].count, 4)
        self.assertFalse(job.steps[0].gang or job.is_timed)

    def test_invalid_job_body_is_rejected(self) -> None:
        for body in (b"", b"{}", b'{"spec":1,"steps":[]}', b'{"spec":"","steps":{}}'):
            with self.assertRaises(InvalidDataError):
                decode_job(body, "e" * 16, "q", "t", 5)


class RulesTest(unittest.TestCase):
    def test_queue_with_the_longest_path_prefix_is_chosen(self) -> None:
        route = {"name": "r", "host": "h", "pathPrefix": "/a/", "service": "s"}
        longer = route | {"name": "rr", "pathPrefix": "/a/b/"}
        rules = decode_rules(
            json.dumps({"version": 3, "routes": [route, longer]}).encode()
        )
        found = rules.find_queue("h", "/a/b/x")
        assert found is not None
        self.assertEqual(found.name, "rr")
        self.assertIsNone(rules.find_queue("other", "/a/b/x"))


class SettingsTest(unittest.TestCase):
    def test_unknown_settings_are_ignored(self) -> None:
        settings = NodeSettings.from_text(SETTINGS)
        self.assertEqual(settings.peer_address, "10.1.0.17:7420")
        self.assertEqual(settings.longest_lease_s, 10.0)

    def test_invalid_settings_error_names_the_fault(self) -> None:
        for text, reason in (
            (
                SETTINGS.replace("listen.front=10.1.0.17:8183\n", ""),
                "listen.front is missing",
            ),
            (
                SETTINGS.replace("10.1.0.17:8183", "nowhere"),
                "'nowhere' is not of the form",
            ),
            (
                SETTINGS.replace("holdMaxMs=10000", "holdMaxMs=long"),
                "'long' is not a number",
            ),
        ):
            with self.assertRaisesRegex(SettingsError, reason):
                NodeSettings.from_text(text)


if __name__ == "__main__":
    unittest.main()
