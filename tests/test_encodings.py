"""Bytes that an earlier build stored or sent decode and encode again unchanged.

Records and messages are encoded by class name and field order. Renaming a class or
moving a field changes the encoding without failing any other test, and a build that
can't read the records of the previous build loses accepted jobs.
"""

from __future__ import annotations

import json
import unittest
from typing import Any, get_args

from jacinthloom_core.shared_log import codec

from tests.encodings import (
    PATH,
    UNION_BY_NAME,
    decode_frame,
    encode_again,
    encode_planner_again,
    list_fields,
    list_frames,
)


class EncodingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rows: dict[str, dict[str, Any]] = json.loads(PATH.read_text())
        self.data_by_name = {
            name: bytes.fromhex(row["hex"]) for name, row in self.rows.items()
        }

    def test_recorded_bytes_are_written_again(self) -> None:
        for name, data in self.data_by_name.items():
            if not name.startswith("planner."):
                with self.subTest(name=name):
                    self.assertEqual(encode_again(name, data), data)

    def test_stored_records_of_a_planner_are_written_again(self) -> None:
        stored = {
            name.removeprefix("planner."): data
            for name, data in self.data_by_name.items()
            if name.startswith("planner.")
        }
        self.assertEqual(encode_planner_again(stored), stored)

    def test_every_encoded_class_is_recorded(self) -> None:
        for title, union in UNION_BY_NAME.items():
            recorded = [name for name in self.rows if name.startswith(f"{title}.")]
            self.assertEqual(len(recorded), len(get_args(union)), title)
        frames = [name for name in self.rows if name.startswith("frame.")]
        self.assertEqual(len(frames), len(list_frames()))

    def test_fields_keep_their_order(self) -> None:
        for name, row in self.rows.items():
            title = name.partition(".")[0]
            data = self.data_by_name[name]
            if title in UNION_BY_NAME:
                value = codec.decode(data, UNION_BY_NAME[title])
            elif title == "frame":
                value = decode_frame(data)
            else:
                continue
            with self.subTest(name=name):
                self.assertEqual(list_fields(type(value)), row["fields"])


if __name__ == "__main__":
    unittest.main()
