"""Bytes that an earlier build stored or sent decode and encode again unchanged.

Records and messages are encoded by class name and field order. Renaming a class or
moving a field changes the encoding without failing any other test, and a build that
can't read the records of the previous build loses accepted jobs.
"""

from __future__ import annotations

import json
import unittest
from typing import Any, get_args

import msgspec
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

OLDER_FRAME = "older-frame."
"""Begins the names of frames to which fields were added since."""


class EncodingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rows: dict[str, dict[str, Any]] = json.loads(PATH.read_text())
        self.data_by_name = {
            name: bytes.fromhex(row["hex"]) for name, row in self.rows.items()
        }

    def test_recorded_bytes_are_written_again(self) -> None:
        for name, data in self.data_by_name.items():
            if not name.startswith(("planner.", OLDER_FRAME)):
                with self.subTest(name=name):
                    self.assertEqual(encode_again(name, data), data)

    def test_stored_records_of_a_planner_are_written_again(self) -> None:
        stored = {
            name.removeprefix("planner."): data
            for name, data in self.data_by_name.items()
            if name.startswith("planner.")
        }
        self.assertEqual(encode_planner_again(stored), stored)

    # Guards against builds that can't read each other's frames in a rolling update.
    def test_frames_are_only_extended_at_their_end(self) -> None:
        older_names = [name for name in self.rows if name.startswith(OLDER_FRAME)]
        self.assertTrue(older_names)
        for name in older_names:
            row = self.rows[name]
            with self.subTest(name=name):
                kind = type(decode_frame(self.data_by_name[name]))
                count = len(row["fields"])
                self.assertEqual(list_fields(kind)[:count], row["fields"])
                older = msgspec.msgpack.decode(self.data_by_name[name][4:])
                again = encode_again("frame", self.data_by_name[name])
                self.assertEqual(msgspec.msgpack.decode(again[4:])[: count + 1], older)
                older_kind = msgspec.defstruct(
                    kind.__name__,
                    [(field, Any) for field in row["fields"]],
                    tag=True,
                    array_like=True,
                )
                newer = self.data_by_name[f"frame.{kind.__name__}"]
                msgspec.msgpack.decode(newer[4:], type=older_kind)

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
