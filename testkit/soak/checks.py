"""The users' rules, checked by what workers, clients and the operator have seen."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from .observations import CALL_TIMEOUT_S, STORE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..hosted.worker import Run, WorkerStandIn
    from .observations import Job, Observations, Probe, UnansweredCall, Version

APPLY_S = 2.0
"""Seconds from an acknowledgement until a configuration must be in force."""

DOWNGRADE_SLACK_S = 0.25
"""Seconds after a call was handled by a configuration for which others may still be
handled by an older one."""

UNSERVED_REFUSALS = 3
"""Calm calls in a row that are refused with 503, from which a route that is in force
counts as not served: one may meet an election."""

COMPLETED_SLACK_S = 1.0
"""Seconds after a job was shown as completed from which none of its tasks starts."""

LOSS_SLACK_S = 0.2
"""Seconds after a call from which the end of its connection counts as a loss."""

UNFINISHED_STATES = ("queued", "running")

EVACUATE_S = 5.0
CANCEL_S = 3.0
VISIBLE_S = 3.0
EARLY_S = 0.25


def find_violations(
    observations: Observations, workers: Iterable[WorkerStandIn]
) -> list[str]:
    """Return a sentence for each violation, with the rule first."""
    runs_by_task: dict[str, list[Run]] = defaultdict(list)
    for worker in workers:
        for run in worker.runs:
            runs_by_task[run.task].append(run)
    for runs in runs_by_task.values():
        runs.sort(key=lambda run: run.began_at)
    return [
        *_check_runs(runs_by_task),
        *_check_capacity(observations, runs_by_task),
        *_check_preempted(observations, runs_by_task),
        *_check_jobs(observations, runs_by_task),
        *_check_places(observations, runs_by_task),
        *_check_outages(observations, runs_by_task),
        *_check_probes(observations),
        *_check_stops(observations),
    ]


def _describe(run: Run, began_at: float) -> str:
    token = max((token for _, token in run.worker.renewals), default=0)
    renewed_at = max(
        (at for at, token in run.worker.renewals if token == run.term), default=0.0
    )
    return (
        f"{run.task} run {run.run} on {run.worker.id}"
        f" from {run.began_at - began_at:.3f}"
        f" to {run.ended_at - began_at:.3f} {run.kind or 'running'}"
        f"{f', noted {run.noted_at - began_at:.3f}' if run.noted_at else ''}"
        f"{', late' if run.is_late else ''}"
        f", of term {run.term}, which renewed its lease until"
        f" {renewed_at - began_at:.3f}; highest there: {token}"
    )


def _check_runs(runs_by_task: dict[str, list[Run]]) -> list[str]:
    """Check that no task runs twice at once, or again after its end was noted."""
    violations = []
    for runs in runs_by_task.values():
        for number, earlier in enumerate(runs):
            for later in runs[number + 1 :]:
                overlaps = not earlier.ended_at or later.began_at < earlier.ended_at
                has_lapsed = any(
                    earlier.ended_at <= at <= earlier.noted_at
                    for at in earlier.worker.lapsed_at
                )
                is_noted = earlier.kind == "done" and earlier.noted_at > 0
                if overlaps or (is_noted and not has_lapsed):
                    origin = runs[0].began_at
                    violations.append(
                        f"TWICE: {_describe(earlier, origin)};"
                        f" {_describe(later, origin)}"
                    )
    return violations


def _check_capacity(
    observations: Observations, runs_by_task: dict[str, list[Run]]
) -> list[str]:
    """Check that no start exceeds what the other runs leave of a worker's capacity."""
    rows_by_worker: dict[str, list[tuple[float, int, int, int, Run]]] = defaultdict(
        list
    )
    for task, runs in runs_by_task.items():
        job_id, _, number, _ = task.split(".")
        if job_id not in observations.job_by_id:
            continue  # reported as UNASKED
        step = observations.job_by_id[job_id].body["steps"][int(number)]
        processors, memory = step["cpu"], step["memMb"]
        for run in runs:
            rows = rows_by_worker[run.worker.id]
            rows.append((run.began_at, 1, processors, memory, run))
            if run.ended_at:
                rows.append((run.ended_at, 0, -processors, -memory, run))
    violations = []
    for rows in rows_by_worker.values():
        used = {"cpu": 0, "memMb": 0}
        for _, is_start, processors, memory, run in sorted(rows, key=lambda r: r[:2]):
            used["cpu"] += processors
            used["memMb"] += memory
            capacity = run.worker.capacity
            if is_start and any(used[name] > capacity[name] for name in used):
                origin = observations.began_at
                violations.append(f"CAPACITY: {used} with {_describe(run, origin)}")
    return violations


def _check_preempted(
    observations: Observations, runs_by_task: dict[str, list[Run]]
) -> list[str]:
    """Check that preempted tasks are done in the end, unless their job is cancelled.

    Jobs whose acceptance no client has seen are not waited for.
    """
    return [
        f"PREEMPTED: {task} is never done"
        for task in set(observations.preempted)
        if (job := observations.job_by_id.get(task.partition(".")[0])) is not None
        and job.accepted_at
        and not job.cancel_sent_at
        and not any(run.kind == "done" for run in runs_by_task.get(task, ()))
    ]


def _check_jobs(
    observations: Observations, runs_by_task: dict[str, list[Run]]
) -> list[str]:
    violations = []
    for task, runs in runs_by_task.items():
        job = observations.job_by_id.get(task.partition(".")[0])
        if job is None or runs[0].payload != job.body["spec"]:
            violations.append(f"UNASKED: {task} was started")
        elif job.is_refused:
            violations.append(f"REFUSED: {task} was started")
        else:
            violations += _check_times(job, task, runs, runs_by_task)
            violations += _check_cancel(observations, job, runs)
    for job in observations.job_by_id.values():
        violations += _check_states(job, runs_by_task)
        violations += _check_completed(observations, job, runs_by_task)
    return violations


def _check_times(
    job: Job, task: str, runs: list[Run], runs_by_task: dict[str, list[Run]]
) -> list[str]:
    """Check that a task starts after the steps that it depends on."""
    _, occurrence, number, _ = task.split(".")
    violations = []
    for earlier in job.body["steps"][int(number)].get("after", ()):
        for position in range(job.body["steps"][earlier]["count"]):
            name = f"{job.id}.{occurrence}.{earlier}.{position}"
            done = [run for run in runs_by_task.get(name, ()) if run.kind == "done"]
            if not done or min(run.ended_at for run in done) > runs[0].began_at:
                violations.append(f"ORDER: {task} starts before {name} is done")
    return violations


def _check_cancel(observations: Observations, job: Job, runs: list[Run]) -> list[str]:
    return [
        f"UNASKED: {run.task} starts {run.began_at - job.cancelled_at:.1f} s after its"
        f" job was cancelled"
        for run in runs
        if job.cancelled_at
        and not run.is_late
        and run.began_at > job.cancelled_at + CANCEL_S
        and observations.is_calm(None, run.began_at, run.began_at)
    ]


def _check_states(job: Job, runs_by_task: dict[str, list[Run]]) -> list[str]:
    violations = []
    for at, ip, state in job.states:
        if state == "410" and job.accepted_at and at > job.accepted_at + VISIBLE_S:
            violations.append(f"LOST: {job.id} is unknown at {ip}")
        if state == "failed" or (state == "cancelled" and not job.cancel_sent_at):
            violations.append(f"LOST: {job.id} is shown as {state}")
        if job.cancelled_at and at > job.cancelled_at and state in UNFINISHED_STATES:
            violations.append(
                f"UNASKED: {job.id} is shown as {state}"
                f" {at - job.cancelled_at:.1f} s after it was cancelled"
            )
        if state != "completed":
            continue
        for task in job.list_tasks():
            runs = runs_by_task.get(task, ())
            if not any(run.kind == "done" and run.ended_at <= at for run in runs):
                violations.append(f"MIXED: {job.id} is completed, but {task} isn't")
                break
    if job.accepted_at and not job.cancel_sent_at and not _is_final(job):
        last = job.states[-1][2] if job.states else "never asked for"
        violations.append(f"LOST: {job.id} has not ended: {last}")
    return violations


def _check_completed(
    observations: Observations, job: Job, runs_by_task: dict[str, list[Run]]
) -> list[str]:
    shown = [at for at, _, state in job.states if state == "completed"]
    if not shown:
        return []
    return [
        f"TWICE: {task} starts {run.began_at - min(shown):.1f} s after its job was"
        f" shown as completed"
        for task in job.list_tasks()
        for run in runs_by_task.get(task, ())
        if run.began_at > min(shown) + COMPLETED_SLACK_S
        and not run.is_late
        and observations.is_calm(None, run.began_at, run.began_at)
    ]


def _is_final(job: Job) -> bool:
    return any(state in ("completed", "failed") for _, _, state in job.states)


def _check_places(
    observations: Observations, runs_by_task: dict[str, list[Run]]
) -> list[str]:
    return [
        f"EVAC: {run.task} starts in {run.worker.zone}"
        f" {run.began_at - evacuation.acknowledged_at:.1f} s after its evacuation"
        for evacuation in observations.evacuations
        for runs in runs_by_task.values()
        for run in runs
        if run.worker.zone == evacuation.zone
        and not run.is_late
        and evacuation.acknowledged_at + EVACUATE_S < run.began_at
        and run.began_at < evacuation.ended_at
        and observations.is_calm(None, run.began_at, run.began_at)
    ]


def _check_outages(
    observations: Observations, runs_by_task: dict[str, list[Run]]
) -> list[str]:
    """Check that an outage of the store for all ends no work."""
    return [
        f"LAPSED: {_describe(run, outage.began_at)}, in an outage of the store of"
        f" {outage.ended_at - outage.began_at:.1f} s"
        for outage in observations.outages
        for runs in runs_by_task.values()
        for run in runs
        if run.kind == "lapsed"
        and outage.began_at < run.ended_at < outage.ended_at + APPLY_S
        and observations.is_calm_beside(outage, run.worker.id, run.ended_at)
    ]


def _check_stops(observations: Observations) -> list[str]:
    """Check that a process that is stopped responds to all calls that it has read."""
    return [
        f"LOST: {call.method} {call.path} at {call.ip} has no answer"
        f" {call.ended_at - call.sent_at:.2f} s after it was sent,"
        f" {call.ended_at - stop.began_at:.2f} s after SIGTERM"
        for call in observations.unanswered_calls
        for stop in observations.stops
        if stop.ip == call.ip
        and stop.began_at <= call.ended_at <= stop.ended_at + LOSS_SLACK_S
        and call.ended_at - call.sent_at < CALL_TIMEOUT_S
        and _measure_wait_s(observations, call) > LOSS_SLACK_S
        and observations.is_calm_but_for_planned_work(
            call.ip, call.sent_at, call.ended_at
        )
    ]


def _measure_wait_s(observations: Observations, call: UnansweredCall) -> float:
    """Return how long a call lasted, without the time in which the soak stood still."""
    stalled_s = observations.stalls.measure_s(call.sent_at, call.ended_at)
    return call.ended_at - call.sent_at - stalled_s


def _check_probes(observations: Observations) -> list[str]:
    """Check that processes handle calls by a configuration that may be in force."""
    violations = []
    newest_shown: dict[tuple[str, int], list[tuple[int, float]]] = defaultdict(list)
    refusals: Counter[int] = Counter()
    for probe in sorted(observations.probes, key=lambda probe: probe.sent_at):
        if probe.status == 200:
            refusals[probe.route] = 0
        if probe.status == 503 and _is_unserved(probe, observations):
            refusals[probe.route] += 1
            if refusals[probe.route] == UNSERVED_REFUSALS:
                violations.append(
                    f"CONFIG (not served): {_describe_probe(probe, observations, 0)}"
                )
        if probe.status not in (200, 401, 404):
            continue
        known = [v for v in observations.versions if v.sent_at <= probe.answered_at]
        oldest = max(
            (v.number for v in known if v.acknowledged_at + APPLY_S < probe.sent_at),
            default=0,
        )
        since, until = probe.sent_at, probe.answered_at
        is_calm = observations.is_calm({STORE, probe.ip}, since, until)
        shown = newest_shown[(probe.ip, probe.incarnation)]
        floor = max(
            (n for n, at in shown if at + DOWNGRADE_SLACK_S < probe.sent_at), default=0
        )
        matching = [v for v in known if _answers(v, probe) == probe.status]
        if is_calm and not any(v.number >= oldest for v in matching):
            violations.append(f"CONFIG: {_describe_probe(probe, observations, oldest)}")
        elif not any(v.number >= floor for v in matching):
            violations.append(
                f"CONFIG (older again): {_describe_probe(probe, observations, floor)}"
            )
        possible = [v.number for v in matching if v.number >= floor]
        if possible:
            shown.append((min(possible), probe.answered_at))
    return violations


def _is_unserved(probe: Probe, observations: Observations) -> bool:
    """Whether a call was refused though its route holds and nothing is disturbed."""
    since, until = probe.sent_at - APPLY_S, probe.answered_at
    held = [v for v in observations.versions if v.sent_at <= until]
    recent = [v for v in held if v.acknowledged_at >= since]
    newest_before = [v for v in held if v.acknowledged_at < since][-1:]
    return observations.is_calm(None, since, until) and all(
        _answers(version, probe) == 200 for version in newest_before + recent
    )


def _answers(version: Version, probe: Probe) -> int:
    """Return the status that a version gives a probe."""
    if probe.route not in version.routes:
        return 404
    return 200 if probe.key in version.keys else 401


def _describe_probe(probe: Probe, observations: Observations, least: int) -> str:
    at = probe.sent_at - observations.began_at
    return (
        f"{probe.ip} ({probe.incarnation}) answers {probe.status} to route"
        f" {probe.route} with key {probe.key} at {at:.3f}, though version {least} holds"
    )
