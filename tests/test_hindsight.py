"""The bound by hindsight follows from the log and the outages alone."""

from __future__ import annotations

import argparse
import json
import unittest

from bench.hindsight import can_end_on_time, parse_interval, read_jobs, summarize

QUEUE = "lookups"


def format_line(at: float, event: str, **fields: object) -> str:
    return f"  {at:.4f} host-1 {json.dumps({'event': event, **fields})}\n"


def make_log(job: str, at: float, ended_at: float, run_s: float = 1.0) -> list[str]:
    """Return the lines of a job with one task that is on time within 1.75 s."""
    task = [job, 0, 0, 0]
    return [
        format_line(at, "job_accepted", job=job, queue=QUEUE),
        format_line(ended_at - run_s, "task_started", task=task, run=1),
        format_line(ended_at, "run_ended", task=task, run=1, how="done"),
        format_line(
            ended_at, "job_ended", job=job, outcome="completed", objective_s=1.75
        ),
    ]


class HindsightTest(unittest.TestCase):
    def test_job_that_waited_is_late_but_within_the_bound(self) -> None:
        jobs = read_jobs(make_log("a", 0.5, 4.0))
        (row,) = summarize(jobs.values(), []).values()
        self.assertEqual((row["jobs"], row["on_time"], row["bound"]), (1, 0, 1))

    def test_outage_before_the_end_can_make_the_bound_late(self) -> None:
        job = read_jobs(make_log("a", 0.5, 1.6))["a"]
        self.assertTrue(can_end_on_time(job, []))
        self.assertTrue(can_end_on_time(job, [(1.2, 2.0)]))
        self.assertFalse(can_end_on_time(job, [(1.2, 3.0)]))

    def test_caller_does_not_come_back_after_its_deadline(self) -> None:
        lines = [
            format_line(9.0, "call_refused", method="POST", status=503, path="/l/b")
        ]
        jobs = read_jobs(lines)
        (row,) = summarize(jobs.values(), [(8.0, 12.5)]).values()
        self.assertEqual((row["unknown"], row["bound"]), (1, 0))
        (row,) = summarize(jobs.values(), [(8.0, 11.5)]).values()
        self.assertEqual((row["unknown"], row["bound"]), (1, 1))

    def test_other_lines_and_refused_reads_are_ignored(self) -> None:
        lines = [
            "day  own/srv  score\n",
            format_line(1.0, "call_refused", method="GET", status=503, path="/l/c"),
            format_line(1.0, "term", number=1),
        ]
        self.assertEqual(read_jobs(lines), {})

    def test_interval_must_have_a_start_before_its_end(self) -> None:
        self.assertEqual(parse_interval("31-37.7"), (31.0, 37.7))
        for text in ("31", "x-y", "5-5", "7-3"):
            with self.assertRaises(argparse.ArgumentTypeError, msg=text):
                parse_interval(text)
