"""Run-time estimates: declared run times, corrected by observed ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.work import WorkSpec

MIN_RATIO = 0.25
"""Smallest correction factor for a declared run time."""

MAX_RATIO = 4.0
"""Largest correction factor for a declared run time."""

SMOOTHING_FACTOR = 0.05
"""Weight of one observation in the exponential moving average."""

DEFAULT_RUN_TIME_S = 60.0
"""Run time assumed for work that declares none, in seconds."""


class RunTimeEstimator:
    """Learns the ratio of actual to declared run time, for each team and class.

    The estimates of one team never depend on another team's.
    """

    def __init__(self) -> None:
        self.ratio_by_team_and_class: dict[tuple[str, str], float] = {}

    def observe(self, spec: WorkSpec, ran_s: float) -> None:
        """Update the ratio with the run time of a successful task."""
        key = (spec.team, spec.work_class)
        declared = spec.run_time_s or DEFAULT_RUN_TIME_S
        ratio = min(MAX_RATIO, max(MIN_RATIO, ran_s / declared))
        mean = self.ratio_by_team_and_class.get(key, 1.0)
        self.ratio_by_team_and_class[key] = mean + SMOOTHING_FACTOR * (ratio - mean)

    def estimate_run_time(self, spec: WorkSpec) -> float:
        """Return the estimated run time of one task, in seconds."""
        declared = spec.run_time_s or DEFAULT_RUN_TIME_S
        return declared * self.ratio_by_team_and_class.get(
            (spec.team, spec.work_class), 1.0
        )
