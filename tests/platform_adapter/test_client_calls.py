"""Headers of client calls are read strictly, and bad ones get a default."""

from __future__ import annotations

import unittest

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner.rules import ClientAccount, Queue, Rules
from jacinthloom_daemon.platform.client_calls import (
    DEFAULT_TIME_BUDGET_S,
    MAX_TIME_BUDGET_S,
    TIME_BUDGET_HEADER,
    parse_call,
)
from jacinthloom_wire.http_server import Request

RULES = Rules(
    1,
    {"q": Queue("q", "h", "/q/", "service", 0, 2, 1.5, 0.25)},
    {"t": ClientAccount("t", 1, Resources())},
    {"key": "t"},
)


class TimeBudgetTest(unittest.TestCase):
    def read_budget(self, text: str) -> float:
        headers = {"host": "h", "authorization": "Token key", TIME_BUDGET_HEADER: text}
        return parse_call(Request("GET", "/q/", {}, headers, b""), RULES).budget_s

    def test_budget_is_read_in_milliseconds(self) -> None:
        self.assertEqual(self.read_budget("1500"), 1.5)

    def test_budget_of_any_length_is_read(self) -> None:
        for text in ("9" * 12, "9" * 400, "9" * 5_000):
            self.assertEqual(self.read_budget(text), MAX_TIME_BUDGET_S)

    def test_text_that_is_no_number_gives_the_default(self) -> None:
        for text in ("", "x", "-1", "1.5", "\u00b2", "\u0661"):
            self.assertEqual(self.read_budget(text), DEFAULT_TIME_BUDGET_S, text)
