"""Checks of rules, by what workers have seen."""

from __future__ import annotations

from .worker import Run, Worker


def find_second_runs(workers: list[Worker]) -> list[tuple[Run, Run]]:
    """Return what breaks TWICE: a run, and a later start of the same task.

    A start counts if the earlier run still goes on, or has ended ``done`` and that end
    is taken note of, with no lease that lapsed between the end and the note.
    """
    runs_by_task: dict[str, list[Run]] = {}
    for worker in workers:
        for run in worker.runs:
            runs_by_task.setdefault(run.task, []).append(run)
    lapses = {worker.id: worker.lapses for worker in workers}
    pairs = []
    for runs in runs_by_task.values():
        runs.sort(key=lambda run: run.began_at)
        for earlier, later in zip(runs, runs[1:], strict=False):
            overlaps = not earlier.how or later.began_at < earlier.ended_at
            has_lapsed = any(
                earlier.ended_at <= at <= earlier.noted_at
                for at in lapses[earlier.worker]
            )
            is_noted = earlier.how == "done" and earlier.noted_at and not has_lapsed
            if overlaps or is_noted:
                pairs.append((earlier, later))
    return pairs
