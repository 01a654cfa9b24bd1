"""Bound by hindsight on the jobs that a day's outages allow to end on time.

Run as ``python -m bench.hindsight LOG [--outage FROM-TO ...]`` on the logs of all entry
processes of a day, each line with its time in seconds and the host before the JSON.
The bound assumes a scheduler that knows every job and run time in advance, unlimited
capacity, and callers who come back until their deadline. It counts only jobs that
reached an entry process.
"""

from __future__ import annotations

import argparse
import json
import re
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")

CALLER_DEADLINE_S = 3.0
"""Seconds within which callers repeat a refused submission, in the users' sheets."""

WINDOW_S = 2.0
"""Length of a row of the report, in seconds."""

Interval = tuple[float, float]


@dataclass(slots=True)
class JobTimes:
    """What the log tells about one job; times are in seconds.

    :param seen_at: time at which it first reached an entry process
    :param queue: its queue, or empty if it was never accepted
    :param ended_at: time at which its final state was decided, or None
    :param objective_s: what its objective allows; 0 if it was never ranked
    :param started_at: start of each run, by step, position and run
    :param duration_by_step: longest successful run of each step
    """

    seen_at: float
    queue: str = ""
    ended_at: float | None = None
    objective_s: float = 0.0
    started_at: dict[tuple[int, int, int], float] = field(default_factory=dict)
    duration_by_step: dict[int, float] = field(default_factory=dict)

    @property
    def chain_s(self) -> float:
        """Length of the job's steps one after the other, without waiting."""
        return sum(self.duration_by_step.values())


def read_jobs(lines: Iterable[str]) -> dict[str, JobTimes]:
    """Return the jobs in the logs of all entry processes, by id."""
    jobs: dict[str, JobTimes] = {}
    for line in lines:
        match = LINE.match(line)
        if match is None:
            continue
        at = float(match[1])
        fields = json.loads(match[3])
        job_id = _find_job_id(fields)
        if job_id:
            _apply(jobs.setdefault(job_id, JobTimes(at)), at, fields)
    return jobs


def _find_job_id(fields: dict[str, Any]) -> str:
    event = fields.get("event")
    if event in ("job_accepted", "job_refused", "job_ended"):
        return str(fields["job"])
    if event in ("task_started", "run_ended"):
        return str(fields["task"][0])
    is_submission = event == "call_refused" and fields["method"] == "POST"
    if is_submission and fields["status"] >= 500:
        return str(fields["path"]).rpartition("/")[2]
    return ""


def _apply(job: JobTimes, at: float, fields: dict[str, Any]) -> None:
    event = fields["event"]
    if event == "job_accepted":
        job.queue = fields["queue"]
    elif event == "job_ended" and fields["outcome"] == "completed":
        job.ended_at = at
        job.objective_s = fields.get("objective_s", 0.0)
    elif event == "task_started":
        _, _, step, position = fields["task"]
        job.started_at.setdefault((step, position, fields["run"]), at)
    elif event == "run_ended" and fields["how"] == "done":
        _, _, step, position = fields["task"]
        started_at = job.started_at.get((step, position, fields["run"]))
        if started_at is not None:
            longest_s = job.duration_by_step.get(step, 0.0)
            job.duration_by_step[step] = max(longest_s, at - started_at)


def find_served_from(at: float, outages: list[Interval]) -> float:
    """Return the first time from ``at`` on that is in no outage."""
    for start, end in sorted(outages):
        if start <= at < end:
            at = end
    return at


def can_end_on_time(job: JobTimes, outages: list[Interval]) -> bool:
    """Whether a scheduler that knew everything could have ended the job on time."""
    accepted_at = find_served_from(job.seen_at, outages)
    if accepted_at - job.seen_at > CALLER_DEADLINE_S:
        return False
    shown_at = find_served_from(accepted_at + job.chain_s, outages)
    return shown_at - job.seen_at <= job.objective_s


def summarize(
    jobs: Iterable[JobTimes], outages: list[Interval]
) -> dict[int, Counter[str]]:
    """Return the counts of each window: all jobs, on time, and the bound.

    Jobs that never ended have no known objective. They are counted as ``unknown``, and
    within the bound if they could have been accepted.
    """
    rows: dict[int, Counter[str]] = defaultdict(Counter)
    for job in jobs:
        row = rows[int(job.seen_at // WINDOW_S)]
        row["jobs"] += 1
        if job.ended_at is None or not job.objective_s:
            row["unknown"] += 1
            accepted_at = find_served_from(job.seen_at, outages)
            row["bound"] += accepted_at - job.seen_at <= CALLER_DEADLINE_S
            continue
        row["on_time"] += job.ended_at - job.seen_at <= job.objective_s
        row["bound"] += can_end_on_time(job, outages)
    return dict(rows)


def parse_interval(text: str) -> Interval:
    """Parse ``FROM-TO`` in seconds.

    :raises argparse.ArgumentTypeError: if it is no interval
    """
    start, separator, end = text.partition("-")
    try:
        interval = float(start), float(end)
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r} is not FROM-TO") from error
    if not separator or interval[0] >= interval[1]:
        raise argparse.ArgumentTypeError(f"{text!r} is not an interval")
    return interval


def main() -> int:
    """Print the counts of each window and of the whole day."""
    parser = argparse.ArgumentParser(prog="python -m bench.hindsight")
    parser.add_argument("log", type=Path, help="logs of all entry processes")
    parser.add_argument(
        "--outage",
        type=parse_interval,
        action="append",
        default=[],
        metavar="FROM-TO",
        help="seconds in which nobody could store anything; may be repeated",
    )
    arguments = parser.parse_args()
    with arguments.log.open() as lines:
        jobs = read_jobs(lines)
    rows = summarize(jobs.values(), arguments.outage)
    total: Counter[str] = sum(rows.values(), Counter())
    print(f"{'from':>6} {'jobs':>6} {'on time':>8} {'bound':>6} {'unknown':>8}")
    for number, row in [*sorted(rows.items()), (None, total)]:
        label = "all" if number is None else f"{number * WINDOW_S:.0f}"
        print(
            f"{label:>6} {row['jobs']:6} {row['on_time']:8} {row['bound']:6}"
            f" {row['unknown']:8}"
        )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
