"""Retry budgets and backoff."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..members.view import rendezvous_weight

if TYPE_CHECKING:
    from ..context import Context

FIRST_BACKOFF_S = 0.5
"""Delay before the first retry of a task."""

LONGEST_BACKOFF_S = 60.0
"""Most delay before a retry of a task."""

BUDGET_BURST = 50.0
"""Retries that a team may make at once."""

BUDGET_PER_S = 2.0
"""Retries a second that a team's budget regains."""

JITTER_STEPS = 1 << 16
"""Different values of the jitter."""


def compute_jitter(key: str) -> float:
    """Return a number from 0.5 to 1 that depends only on a key."""
    weight = int.from_bytes(rendezvous_weight("jitter", key)[:2], "big")
    return 0.5 + 0.5 * weight / JITTER_STEPS


def compute_backoff(key: str, failures: int) -> float:
    """Return the seconds to wait before a retry, with jitter.

    :param failures: attempts that failed so far
    """
    doublings = max(0, failures - 1)
    delay = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2.0**doublings)
    return delay * compute_jitter(f"{key}#{failures}")


class RetryBudget:
    """Bound the retries of each team, so that a bad job can't flood the fleet."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._left_by_team: dict[str, float] = {}
        self._filled_by_team: dict[str, float] = {}

    def take(self, team: str) -> float:
        """Take one retry; return seconds of extra delay if the budget is spent."""
        now = self._context.now
        filled = self._filled_by_team.get(team, now)
        left = self._left_by_team.get(team, BUDGET_BURST)
        left = min(BUDGET_BURST, left + (now - filled) * BUDGET_PER_S) - 1.0
        self._filled_by_team[team] = now
        self._left_by_team[team] = left
        return max(0.0, -left / BUDGET_PER_S)
