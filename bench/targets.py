"""Compare the busiest minute and the missed targets of a day with baselines."""

from __future__ import annotations

from statistics import median

from .baselines import (
    ScheduleOutcome,
    run_earliest_deadline_first,
    run_first_come_first_served,
)
from .day import run_day
from .result import Result
from .traces import Deployment, compute_hindsight_peak, make_surtido, make_tshwane

MAX_PEAK_RATIO = 1.10
MAX_PEAK_RATIO_WRONG_RUN_TIMES = 1.25
MAX_URGENT_WAIT_S = 7.7
RUN_TIME_ERROR_FACTOR = 4.0


def measure_tshwane(seed: int) -> list[Result]:
    """Run the Statistics Office's day with exact declared run times."""
    return _measure_deployment(make_tshwane(seed), "tshwane", MAX_PEAK_RATIO, seed)


def measure_tshwane_wrong_run_times(seed: int) -> list[Result]:
    """Run the Statistics Office's day with wrong declared run times."""
    deployment = make_tshwane(seed, RUN_TIME_ERROR_FACTOR)
    return _measure_deployment(
        deployment, "tshwane_wrong_sizes", MAX_PEAK_RATIO_WRONG_RUN_TIMES, seed
    )


def measure_surtido(seed: int) -> list[Result]:
    """Run the logistics firm's day with exact declared run times."""
    return _measure_deployment(make_surtido(seed), "surtido", MAX_PEAK_RATIO, seed)


def measure_surtido_wrong_run_times(seed: int) -> list[Result]:
    """Run the logistics firm's day with wrong declared run times."""
    deployment = make_surtido(seed, RUN_TIME_ERROR_FACTOR)
    return _measure_deployment(
        deployment, "surtido_wrong_sizes", MAX_PEAK_RATIO_WRONG_RUN_TIMES, seed
    )


def _measure_deployment(
    deployment: Deployment, name: str, bound: float, seed: int
) -> list[Result]:
    lower_bound = compute_hindsight_peak(deployment)
    ours = run_day(deployment, seed)
    first = run_first_come_first_served(deployment)
    earliest = run_earliest_deadline_first(deployment)
    peak = Result(
        f"busiest_minute_{name}",
        ours.peak_millicores / lower_bound,
        "times hindsight",
        bound,
        "lower",
        "first come first served; "
        f"earliest deadline is {earliest.peak_millicores / lower_bound:.2f}",
        first.peak_millicores / lower_bound,
        seed,
    )
    return [peak, *_make_target_results(name, ours, first, seed)]


def _make_target_results(
    name: str, ours: ScheduleOutcome, first: ScheduleOutcome, seed: int
) -> list[Result]:
    rows = [
        Result(
            f"targets_missed_{name}",
            ours.late_jobs,
            f"of {ours.batch_jobs}",
            0,
            "lower",
            "first come first served",
            first.late_jobs,
            seed,
        )
    ]
    for work_class, waits in sorted(ours.waits_by_class.items()):
        ordered = sorted(waits)
        bound = MAX_URGENT_WAIT_S if work_class == "lookup" else None
        baseline = max(first.waits_by_class.get(work_class, [0.0]))
        for label, value, limit in (
            ("median", median(ordered), None),
            ("p99", ordered[int(len(ordered) * 0.99)], None),
            ("worst", ordered[-1], bound),
        ):
            rows.append(
                Result(
                    f"wait_{label}_{work_class}_{name}",
                    value,
                    "s",
                    limit,
                    "lower",
                    "worst of first come first served",
                    baseline,
                    seed,
                )
            )
    return rows
