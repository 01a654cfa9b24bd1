"""Encode a sample of each type that is stored or sent, and decode recorded samples.

``python -m tests.encodings --record`` writes the file. It is written once, by the build
whose encodings later builds must decode and reproduce.
"""

from __future__ import annotations

import json
import struct
import sys
import typing
from dataclasses import fields, is_dataclass, replace
from pathlib import Path
from types import NoneType, UnionType
from typing import Any, Literal, get_args, get_origin, get_type_hints

import msgspec
from jacinthloom_core.model.configuration import Change
from jacinthloom_core.model.messages import Message, Packet
from jacinthloom_core.model.records import Batch, SnapshotChunk
from jacinthloom_core.model.records import Record as LogRecord
from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner.jobs import Job, JobState, TaskState
from jacinthloom_core.planner.past_use import StoredPastUse
from jacinthloom_core.planner.records import (
    Record,
    encode_job,
    encode_occurrence,
    encode_past_use,
    encode_queue,
    load_jobs,
    load_past_use,
    load_queues,
)
from jacinthloom_core.planner.rules import AdvicePolicy, Queue
from jacinthloom_core.planner.specs import JobSpec, StepSpec
from jacinthloom_core.shared_log import codec
from jacinthloom_core.shared_log.state_snapshot import StateSnapshot
from jacinthloom_daemon.hosted import elections, messages
from jacinthloom_wire.packets import decode_batch, encode_batch, encode_packet

PATH = Path(__file__).parent / "golden" / "encodings.json"

UNION_BY_NAME: dict[str, Any] = {
    "Change": Change,
    "Record": LogRecord,
    "Message": Message,
}
"""Unions whose members are encoded with their class name."""


class Sampler:
    """Builds sample values of a type in which all scalars differ."""

    def __init__(self) -> None:
        self._number = 0

    def make(self, kind: Any) -> Any:
        """Return a sample value; each of its collections has at least one item."""
        self._number += 1
        number = self._number
        scalars = {
            int: number,
            float: number + 0.5,
            str: f"text-{number}",
            bytes: b"data-%d" % number,
            bool: bool(number % 2),
            object: f"object-{number}",
        }
        if kind in scalars:
            return scalars[kind]
        if is_dataclass(kind) or issubclass_of(kind, msgspec.Struct):
            return self._make_object(kind)
        if issubclass_of(kind, tuple) and hasattr(kind, "_fields"):
            return self._make_object(kind)
        return self._make_composed(kind, number)

    def _make_object(self, kind: Any) -> Any:
        hints = get_type_hints(kind)
        return kind(**{name: self.make(hints[name]) for name in list_fields(kind)})

    def _make_composed(self, kind: Any, number: int) -> Any:
        origin, inner = get_origin(kind), get_args(kind)
        if origin is Literal:
            return inner[number % len(inner)]
        if origin in (UnionType, typing.Union):
            return self.make(next(item for item in inner if item is not NoneType))
        if origin is tuple and inner[-1] is Ellipsis:
            return (self.make(inner[0]), self.make(inner[0]))
        if origin is tuple:
            return tuple(self.make(item) for item in inner)
        if origin in (set, frozenset):
            return origin({self.make(inner[0]), self.make(inner[0])})
        if origin is dict:
            return {self.make(inner[0]): self.make(inner[1]) for _ in range(2)}
        raise TypeError(f"no sample for {kind!r}")


def issubclass_of(kind: Any, base: type) -> bool:
    return isinstance(kind, type) and issubclass(kind, base)


def list_fields(kind: Any) -> list[str]:
    """Return the field names of a type in encoding order."""
    if is_dataclass(kind):
        return [item.name for item in fields(kind)]
    if issubclass_of(kind, msgspec.Struct):
        return list(kind.__struct_fields__)
    return list(kind._fields)


def list_frames() -> list[Any]:
    """Return the classes of messages between entry processes on the platform."""
    found = []
    for item in get_args(messages.AnyMessage):
        found += get_args(item) or (item,)
    return found


def record_all() -> dict[str, dict[str, Any]]:
    """Return hexadecimal bytes and field names, keyed by the name of the sample."""
    rows: dict[str, dict[str, Any]] = {}

    def add(name: str, data: bytes, kind: Any = None) -> None:
        names = list_fields(kind) if kind is not None else []
        rows[name] = {"hex": data.hex(), "fields": names}

    for title, union in UNION_BY_NAME.items():
        for member in get_args(union):
            value = Sampler().make(member)
            add(f"{title}.{member.__name__}", codec.encode(value, union), member)
    chunk = Sampler().make(SnapshotChunk)
    batch = Batch("e1.abc", 3, 17, (chunk, Sampler().make(get_args(LogRecord)[0])))
    add("Batch", encode_batch(batch), Batch)
    assurance = Sampler().make(get_args(Message)[1])
    add("Packet", encode_packet(Packet("a", "b", 5, 6, 7, assurance)), Packet)
    add(
        "StateImage",
        codec.encode(Sampler().make(StateSnapshot), StateSnapshot),
        StateSnapshot,
    )
    for kind in list_frames():
        frame = messages.encode(Sampler().make(kind))
        add(f"frame.{kind.__name__}", frame, kind)
    for act in elections.ElectionAction:
        sample = elections.ElectionRecord(act, "e1.abc", "127.0.0.1:9", 1_700_000)
        add(f"election.{act.value}", elections.encode(sample))
        add(f"election.{act.value}.term", elections.encode(replace(sample, term=7)))
    listed = replace(sample, action=elections.ElectionAction.RENEW, term=7)
    voters = ("127.0.0.1:9", "127.0.0.2:9")
    add("election.renew.voters", elections.encode(replace(listed, voters=voters)))
    for record in make_planner_records():
        add(f"planner.{record.key}", record.value)
    return rows


def make_planner_records() -> list[Record]:
    """Return records of queues, jobs and occurrences as the planner stores them."""
    advice = AdvicePolicy(0.25, 0.125, 4.5)
    queues = [
        Queue("fast", "fast.example", "/a/", "pool", 1, 3, 2.5, 1.5, False, advice),
        Queue("open", "open.example", "/b/", "pool-2", 2, 4, 3.5, 2.5, True, None),
    ]
    records = [encode_queue(queue) for queue in queues]
    gang = StepSpec(
        2, Resources(3, 40, 1), 1.5, (), True, True, True, "ssd", "rack-1", 5
    )
    last = StepSpec(
        3,
        Resources(1, 20, 0),
        2.5,
        (0,),
        speculative=True,
        lasting=True,
        image="image-1",
        target_s=0.75,
        fills=True,
        may_miss=1,
    )
    running = Job(
        JobSpec("job-1", "fast", "account-1", "load", (gang, last), 900, 1000, 60, 2)
    )
    occurrence = running.add_occurrence(0)
    first, second = occurrence.steps
    first.run, first.failures, first.failed_run = 4, 2, 3
    for position, task in enumerate(first.tasks):
        task.run = 4
        task.worker = f"w{position}"
        task.failures = position
        task.checkpoint = f"saved-{position}"
        task.state = TaskState.STARTING
        _set_incarnation(task, 70 + position)
    second.tasks[1].state = TaskState.DONE
    second.tasks[1].run = 1
    ended = Job(JobSpec("job-2", "open", "account-2", "", (last,), 901))
    ended.outcome = next(iter(JobState))
    done = Job(JobSpec("job-3", "open", "account-2", "x", (last,), 902))
    finished = done.add_occurrence(0)
    finished.steps[0].done = 3
    jobs = [running, ended, done]
    records += [encode_job(job) for job in jobs]
    records += [encode_occurrence(occurrence), encode_occurrence(finished)]
    usage = {"account-1": 12.5, "account-2": 3.25}
    return [*records, encode_past_use(StoredPastUse(1_700_000_000_000, usage))]


def _set_incarnation(task: Any, value: int) -> None:
    """Set the worker incarnation of a task, the sixth field of its stored row."""
    task.incarnation = value


def encode_again(name: str, data: bytes) -> bytes:
    """Decode recorded bytes and encode the result with this build."""
    title, _, _ = name.partition(".")
    if title in UNION_BY_NAME:
        union = UNION_BY_NAME[title]
        return codec.encode(codec.decode(data, union), union)
    if title == "Batch":
        return encode_batch(decode_batch(data))
    if title == "Packet":
        return encode_packet(codec.decode(data, Packet))
    if title == "StateImage":
        return codec.encode(codec.decode(data, StateSnapshot), StateSnapshot)
    if title == "frame":
        return messages.encode(decode_frame(data))
    record = elections.decode(data)
    assert record is not None
    return elections.encode(record)


def decode_frame(data: bytes) -> Any:
    (length,) = struct.unpack(">I", data[:4])
    assert length == len(data) - 4
    return msgspec.msgpack.decode(data[4:], type=messages.AnyMessage)


def encode_planner_again(value_by_key: dict[str, bytes]) -> dict[str, bytes]:
    """Load the records of a planner and encode the loaded state again."""
    queues, unreadable_queues = load_queues(value_by_key)
    jobs, unreadable_jobs = load_jobs(value_by_key, 0.0)
    assert not unreadable_queues + unreadable_jobs
    records = [encode_queue(queue) for queue in queues.values()]
    for job in jobs.values():
        records.append(encode_job(job))
        records += [encode_occurrence(item) for item in job.occurrences.values()]
    past_use = load_past_use(value_by_key)
    assert past_use is not None
    records.append(encode_past_use(past_use))
    return {record.key: record.value for record in records}


def main() -> int:
    rows = record_all()
    recorded = json.loads(PATH.read_text())
    rows |= {name: row for name, row in recorded.items() if name.startswith("older-")}
    if "--record" in sys.argv:
        PATH.write_text(json.dumps(rows, indent=1) + "\n")
    print(f"{len(rows)} encoded values")
    return 0


if __name__ == "__main__":
    sys.exit(main())
