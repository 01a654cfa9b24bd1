"""Entries that another writer left among those of the workers."""

from __future__ import annotations

import json
import unittest
from dataclasses import replace
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.planner import Planner
from jacinthloom_daemon.platform.errors import InvalidDataError
from jacinthloom_daemon.platform.schemas import decode_worker

from ..platform_adapter.test_schemas import WORKER
from .test_takeover import (
    ENTRY,
    JOB,
    Store,
    answer_poll,
    find_starts,
    make_planner,
    store_batches,
)

VALID: dict[str, Any] = WORKER | {"service": "service"}

NUMBERS = st.one_of(
    st.integers(),
    st.integers(min_value=-(10**400), max_value=10**400),
    st.floats(allow_nan=False, allow_infinity=False),
)

VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, st.text(max_size=20)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=6,
)

ADDRESSES = st.one_of(
    st.text(max_size=30),
    st.builds("{}:{}".format, st.sampled_from(["10.0.0.9", "h", "::1"]), NUMBERS),
)


def nest(depth: int) -> bytes:
    """Return a valid entry with one more field, which is deeply nested."""
    return (
        json.dumps(VALID)[:-1].encode() + b',"x":' + b"[" * depth + b"]" * depth + b"}"
    )


class OddEntriesTest(unittest.TestCase):
    def decode(self, body: bytes) -> None:
        with self.assertRaises(InvalidDataError):
            decode_worker("i-1", body)

    # Guards against an entry that raises something else than what the feed expects.
    def test_deeply_nested_entry_is_invalid(self) -> None:
        for depth in (10_000, 100_000):
            self.decode(nest(depth))
            self.decode(b"[" * depth)
            self.decode(b'{"service":' * depth)

    # Guards against numbers that later overflow in a record, an order or a log line.
    def test_entry_with_numbers_out_of_range_is_invalid(self) -> None:
        for field, text in (
            ("born", "1" + "0" * 30),
            ("born", "-1"),
            ("born", "1" + "0" * 5_000),
            ("cpu", "1e308"),
            ("cpu", "1e999"),
            ("cpu", "-1"),
            ("memMb", "1" + "0" * 400),
        ):
            body = json.dumps(VALID)
            value = VALID[field] if field in VALID else VALID["capacity"][field]
            self.decode(
                body.replace(f'"{field}": {value}', f'"{field}": {text}').encode()
            )

    def test_entry_whose_address_cannot_be_dialled_is_invalid(self) -> None:
        for address in (
            "10.0.0.9:65536",
            "10.0.0.9:0",
            "h:80",
            "1:2:3",
            "",
            "10.0.0.9",
        ):
            self.decode(json.dumps(VALID | {"address": address}).encode())

    # Guards against any entry that ends a planner or keeps it from using the others.
    @settings(
        max_examples=150,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        changes=st.dictionaries(st.sampled_from([*VALID, "x"]), VALUES, max_size=3),
        address=ADDRESSES,
        removed=st.sampled_from([None, *VALID]),
    )
    def test_planner_works_beside_any_entry(
        self, changes: dict[str, object], address: str, removed: str | None
    ) -> None:
        fields = VALID | {"address": address} | changes
        fields.pop(removed or "", None)
        planner = make_planner(1, Store(), 0.0)
        try:
            entry = decode_worker("odd", json.dumps(fields).encode())
        except InvalidDataError:
            pass
        else:
            planner.handle(events.WorkerListed(0.05, entry))
            planner.handle(events.WorkerPollFailed(0.1, "odd"))
        answer_poll(planner, 0.1)
        self.assertEqual(self.start_job(planner), ["w1"])

    def start_job(self, planner: Planner) -> list[str]:
        emitted = planner.handle(events.JobSubmitted(0.2, 1, JOB))
        starts = find_starts(store_batches(planner, Store(), emitted, 0.3))
        return [start.worker for start in starts]

    # Guards against calls to whatever another writer has listed for its own purposes.
    def test_worker_of_an_unnamed_service_is_not_called(self) -> None:
        planner = make_planner(1, Store(), 0.0)
        other = replace(ENTRY, id="odd", service="billing")
        emitted = planner.handle(events.WorkerListed(0.05, other))
        emitted += planner.handle(events.Tick(0.5, 500))
        polled = [e.worker for e in emitted if isinstance(e, effects.PollWorker)]
        self.assertNotIn("odd", polled)
        rules = replace(planner.state.rules, version=2, services=frozenset({"billing"}))
        planner.handle(events.RulesChanged(0.6, rules))
        emitted = planner.handle(events.Tick(0.7, 700))
        polled = [e.worker for e in emitted if isinstance(e, effects.PollWorker)]
        self.assertIn("odd", polled)


if __name__ == "__main__":
    unittest.main()
