"""The recorded session is reproduced: the same events and effects in the same order."""

from __future__ import annotations

import unittest

from tests.golden import SESSION_PATH, record_session


class GoldenTest(unittest.TestCase):
    maxDiff = 2000

    def test_session_is_as_recorded(self) -> None:
        recorded = SESSION_PATH.read_text().splitlines()
        lines = record_session().splitlines()
        for number, (line, expected) in enumerate(zip(lines, recorded, strict=False)):
            self.assertEqual(line, expected, f"line {number + 1}")
        self.assertEqual(len(lines), len(recorded), "number of lines")
