"""Run times corrected by what a team's class really took."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.work import WorkSpec

RATIO_FLOOR = 0.25
"""Least factor that a correction applies to a declared run time."""

RATIO_CEILING = 4.0
"""Largest factor that a correction applies to a declared run time."""

GAIN = 0.05
"""Weight of one observation in a streaming mean."""

DEFAULT_RUN_TIME_S = 60.0
"""Run time assumed where none was declared and none observed."""


class RunTimeEstimator:
    """Learn, for each team and class, run time against declaration.

    The estimate of one team's class never depends on another team's.
    """

    def __init__(self) -> None:
        self.ratio_by_team_and_class: dict[tuple[str, str], float] = {}

    def observe(self, spec: WorkSpec, ran_s: float) -> None:
        """Learn from a task that ended well."""
        owner = (spec.team, spec.work_class)
        declared = spec.run_time_s or DEFAULT_RUN_TIME_S
        seen = min(RATIO_CEILING, max(RATIO_FLOOR, ran_s / declared))
        known = self.ratio_by_team_and_class.get(owner, 1.0)
        self.ratio_by_team_and_class[owner] = known + GAIN * (seen - known)

    def estimate_run_time(self, spec: WorkSpec) -> float:
        """Return the expected run time of one task, in seconds."""
        declared = spec.run_time_s or DEFAULT_RUN_TIME_S
        return declared * self.ratio_by_team_and_class.get(
            (spec.team, spec.work_class), 1.0
        )
