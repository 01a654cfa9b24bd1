"""Encoding of the stored records: of queues, jobs and their occurrences, and usage."""

from __future__ import annotations

import math
from dataclasses import astuple, dataclass, replace
from typing import TYPE_CHECKING, Any

import msgpack

from ..model.resources import Resources
from .jobs import Crash, Job, JobState, Occurrence, TaskState
from .past_use import StoredPastUse
from .rules import AdvicePolicy, Queue
from .specs import JobSpec, StepSpec

if TYPE_CHECKING:
    from collections.abc import Iterator

FORMAT = 1
"""Version of the record format."""

MAX_VALUE_BYTES = 250_000
"""Maximum size of a value, below the limit of the store. The record of an occurrence
with the most tasks keeps to it without checkpoints and crashes."""

CRASH_FIELDS = 5
"""Fields of a crash in the rows that all builds decode; the others have rows of their
own."""

QUEUE_PREFIX = "queue:"
"""Prefix of the keys of queue records."""

PAST_USE_KEY = "usage.past"
"""Key of the record of past usage. Builds that don't know it take it for the occurrence
of an unknown job, and ignore it."""


class RecordError(ValueError):
    """Raised for a stored record that can't be decoded."""


@dataclass(frozen=True, slots=True)
class Record:
    """A keyed record; an empty value removes the key."""

    key: str
    value: bytes


def encode_queue(queue: Queue) -> Record:
    """Encode a queue, which the configuration may drop before its jobs are over."""
    advice = queue.advice
    fields = [
        FORMAT,
        [queue.name, queue.host, queue.prefix, queue.service],
        [queue.priority, queue.max_attempts, queue.stretch, queue.target_s],
        queue.open,
        [advice.base_s, advice.per_worker_s, advice.valid_s] if advice else None,
    ]
    return Record(QUEUE_PREFIX + queue.name, msgpack.packb(fields))


def load_queues(records: dict[str, bytes]) -> tuple[dict[str, Queue], int]:
    """Decode the records of queues.

    :returns: queues by name, and the number of records that could not be decoded
    """
    queues: dict[str, Queue] = {}
    unreadable = 0
    for key, value in records.items():
        if not key.startswith(QUEUE_PREFIX):
            continue
        try:
            queue = _decode_queue(value)
        except (ValueError, TypeError):
            unreadable += 1
        else:
            queues[queue.name] = queue
    return queues, unreadable


def _decode_queue(value: bytes) -> Queue:
    version, names, objective, is_open, advice = msgpack.unpackb(value)
    if version != FORMAT:
        raise RecordError(f"record format {version} is not supported, only {FORMAT}")
    name, host, prefix, service = names
    priority, max_attempts, stretch, target_s = objective
    return Queue(
        name=name,
        host=host,
        prefix=prefix,
        service=service,
        priority=priority,
        max_attempts=max_attempts,
        stretch=stretch,
        target_s=target_s,
        open=is_open,
        advice=AdvicePolicy(*advice) if advice else None,
    )


def encode_job(job: Job) -> Record:
    """Encode the specification of a job, or its final state.

    The steps of a finished job stay in the record while any task is placed: a later
    planner has to account for the resources of these tasks.
    """
    spec = job.spec
    fields = [FORMAT, job.outcome.value if job.outcome else ""]
    fields += [spec.queue, spec.tenant, spec.received_ms]
    if job.outcome is not None and not job.has_placements:
        return Record(spec.id, msgpack.packb(fields))
    payload = "" if job.outcome else spec.payload
    times = [spec.first_due_ms, spec.period_ms, spec.occurrences]
    steps = [
        [
            step.count,
            [step.size.processors, step.size.memory, step.size.accelerators],
            step.estimate_s,
            list(step.after),
            [step.checkpoints, step.gang, step.same_rack, step.speculative],
            [step.lasting, step.fills],
            [step.label, step.data_rack, step.image],
            [step.most_per_worker, step.may_miss, step.target_s],
        ]
        for step in spec.steps
    ]
    return Record(spec.id, msgpack.packb([*fields, payload, times, steps]))


def encode_occurrence(occurrence: Occurrence) -> Record:
    """Encode the tasks of an occurrence that were started or have failed.

    A record that would be too large is encoded without checkpoints, and then without
    crashes, so that the store still takes it: a successor repeats some work.
    """
    key = f"{occurrence.job.spec.id}.{occurrence.index}"
    if occurrence.is_done:
        return Record(key, msgpack.packb([FORMAT, True]))
    value = b""
    for has_checkpoints, has_crashes in ((True, True), (False, True), (False, False)):
        value = _encode_tasks(occurrence, has_checkpoints, has_crashes)
        if len(value) <= MAX_VALUE_BYTES:
            break
    return Record(key, value)


def _encode_tasks(
    occurrence: Occurrence, has_checkpoints: bool, has_crashes: bool
) -> bytes:
    steps: list[Any] = []
    crashes: list[Any] = []
    causes: list[Any] = []
    for step in occurrence.steps:
        if step.is_done:
            steps.append(True)
            continue
        rows = [
            [
                task.id.position,
                int(task.state is TaskState.DONE),
                task.run,
                task.worker,
                task.incarnation,
                task.failures,
                task.checkpoint if has_checkpoints else "",
            ]
            for task in step.tasks
            if task.run or task.failures
        ]
        steps.append([step.run, step.failures, step.failed_run, rows])
        for task in step.tasks:
            if task.crashes:
                fields = [astuple(crash) for crash in task.crashes]
                key = [step.id.step, task.id.position]
                crashes.append([*key, [row[:CRASH_FIELDS] for row in fields]])
                causes.append(
                    [*key, task.outlived_s, [row[CRASH_FIELDS:] for row in fields]]
                )
    value = [FORMAT, False, steps]
    if crashes and has_crashes:
        value += [crashes, causes]  # builds without these fields ignore them
    return bytes(msgpack.packb(value))


def encode_past_use(stored: StoredPastUse) -> Record:
    """Encode the past usage of the client accounts.

    A record that would be too large is encoded without the accounts of least usage.
    """
    usage = stored.usage_by_client_account
    rows = sorted(usage.items(), key=lambda row: (-row[1], row[0]))
    while True:
        fields = [FORMAT, stored.wall_ms, [list(row) for row in rows]]
        value = bytes(msgpack.packb(fields))
        if len(value) <= MAX_VALUE_BYTES:
            return Record(PAST_USE_KEY, value)
        rows = rows[: len(rows) // 2]


def load_past_use(records: dict[str, bytes]) -> StoredPastUse | None:
    """Decode the record of past usage.

    :returns: the past usage, or None if no record is stored
    :raises RecordError: if the record can't be decoded
    """
    value = records.get(PAST_USE_KEY)
    if value is None:
        return None
    try:
        version, wall_ms, rows = msgpack.unpackb(value)
        usage = {str(account): float(usage_s) for account, usage_s in rows}
        stored = StoredPastUse(int(wall_ms), usage)
    except (ValueError, TypeError, OverflowError) as error:
        raise RecordError(f"the record of past usage: {error}") from error
    if version != FORMAT:
        raise RecordError(f"record format {version} is not supported, only {FORMAT}")
    if not all(math.isfinite(usage_s) and usage_s >= 0 for usage_s in usage.values()):
        raise RecordError("the record of past usage has a value that is not a usage")
    return stored


def encode_removal(key: str) -> Record:
    """Return the record that removes a key."""
    return Record(key, b"")


def load_jobs(records: dict[str, bytes], now: float) -> tuple[dict[str, Job], int]:
    """Rebuild jobs from the newest record of each key.

    :param now: time to set as the time of completion of finished jobs
    :returns: jobs by id, and the number of records that could not be decoded
    """
    decoder = JobDecoder(now)
    for _ in decoder.decode(records):
        pass
    return decoder.job_by_id, decoder.unreadable


class JobDecoder:
    """Rebuilds jobs from the newest record of each key, one record at a time.

    :param now: time to set as the time of completion of finished jobs
    :ivar unreadable: number of records that could not be decoded
    """

    def __init__(self, now: float) -> None:
        self._now = now
        self.job_by_id: dict[str, Job] = {}
        self.unreadable = 0

    def decode(self, records: dict[str, bytes]) -> Iterator[int]:
        """Decode all records; yields the number of steps or tasks in each."""
        for key, value in records.items():
            if "." not in key and not key.startswith(QUEUE_PREFIX):
                yield self._decode_job(key, value)
        for key, value in records.items():
            job_id, dot, index = key.partition(".")
            job = self.job_by_id.get(job_id)
            if dot and job is not None and job.spec.steps:
                yield self._decode_occurrence(job, index, value)

    def _decode_job(self, key: str, value: bytes) -> int:
        try:
            job = self.job_by_id[key] = _decode_job(key, value, self._now)
        except (ValueError, TypeError, IndexError):
            self.unreadable += 1
            return 0
        return len(job.spec.steps)

    def _decode_occurrence(self, job: Job, index: str, value: bytes) -> int:
        try:
            _decode_occurrence(job, int(index), value)
        except (ValueError, TypeError, IndexError):
            self.unreadable += 1
        return sum(step.count for step in job.spec.steps)


def _decode_job(key: str, value: bytes, now: float) -> Job:
    fields = msgpack.unpackb(value)
    version, outcome, queue, tenant, received_ms, *rest = fields
    if version != FORMAT:
        raise RecordError(f"record format {version} is not supported, only {FORMAT}")
    payload, times, steps = rest or ("", (), ())
    specs = tuple(_decode_step(step) for step in steps)
    job = Job(JobSpec(key, queue, tenant, payload, specs, received_ms, *times))
    if outcome:
        job.outcome = JobState(outcome)
        job.is_final_stored = True
        job.final_at = now
    job.is_stored = True
    return job


def _decode_step(fields: list[Any]) -> StepSpec:
    count, size, estimate_s, after, flags, kinds, names, bounds = fields
    checkpoints, gang, same_rack, speculative = flags
    lasting, fills = kinds
    label, data_rack, image = names
    most_per_worker, may_miss, target_s = bounds
    return StepSpec(
        count=count,
        size=Resources(*size),
        estimate_s=estimate_s,
        after=tuple(after),
        checkpoints=checkpoints,
        gang=gang,
        same_rack=same_rack,
        label=label,
        data_rack=data_rack,
        most_per_worker=most_per_worker,
        speculative=speculative,
        lasting=lasting,
        image=image,
        target_s=target_s,
        fills=fills,
        may_miss=may_miss,
    )


def _decode_occurrence(job: Job, index: int, value: bytes) -> None:
    fields = msgpack.unpackb(value)
    occurrence = job.add_occurrence(index)
    if fields[1]:
        job.has_started = True
        for step in occurrence.steps:
            step.done = step.spec.count
        return
    for step, stored in zip(occurrence.steps, fields[2], strict=True):
        if stored is True:
            job.has_started = True
            step.done = step.spec.count
            for task in step.tasks:
                task.state = TaskState.DONE
            continue
        step.run, step.failures, step.failed_run, rows = stored
        for row in rows:
            position, is_done, run, worker, incarnation, failures, checkpoint = row
            task = step.tasks[position]
            task.run = run
            task.worker = worker
            task.incarnation = incarnation
            task.failures = failures
            task.checkpoint = checkpoint
            # A placement alone does not show that its start has taken effect.
            job.has_started |= bool(is_done or failures or checkpoint)
            if is_done:
                task.state = TaskState.DONE
                step.done += 1
            elif worker:
                task.state = TaskState.STARTING
                task.has_unknown_outcome = True
    for number, position, crashes in fields[3] if len(fields) > 3 else ():
        task = occurrence.steps[number].tasks[position]
        task.crashes = [Crash(*crash) for crash in crashes]
        job.has_started |= any(crash.is_certain for crash in task.crashes)
    for number, position, outlived_s, causes in fields[4] if len(fields) > 4 else ():
        task = occurrence.steps[number].tasks[position]
        task.outlived_s = outlived_s
        task.crashes = [
            replace(crash, is_common=is_common, max_age_s=max_age_s)
            for crash, (is_common, max_age_s) in zip(task.crashes, causes, strict=True)
        ]
