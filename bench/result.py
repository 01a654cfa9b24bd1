"""Results of benchmarks, which are the rows of bench/summary.json."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Literal


@dataclass(frozen=True)
class Result:
    """A measured value and its bound.

    :param bound: bound of the stated target; ``None`` if there is no target
    :param baseline: name of the alternative that was measured in the same run
    """

    name: str
    value: float
    unit: str
    bound: float | None
    better: Literal["lower", "higher"]
    baseline: str = ""
    baseline_value: float | None = None
    seed: int | None = None

    @property
    def holds(self) -> bool:
        """Whether the value is within its bound; true if it has none."""
        if self.bound is None:
            return True
        if self.better == "lower":
            return self.value <= self.bound
        return self.value >= self.bound

    def to_row(self) -> dict[str, object]:
        """Return the row for the summary, with rounded values."""
        row = asdict(self)
        row["value"] = round(self.value, 4)
        if self.baseline_value is not None:
            row["baseline_value"] = round(self.baseline_value, 4)
        row["holds"] = self.holds
        return row
