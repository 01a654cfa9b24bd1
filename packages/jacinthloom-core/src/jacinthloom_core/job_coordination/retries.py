"""Retry budgets and backoff."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..members.view import rendezvous_weight

if TYPE_CHECKING:
    from ..context import Context

INITIAL_BACKOFF_S = 0.5
"""Seconds before the first retry of a task."""

MAX_BACKOFF_S = 60.0
"""Maximum seconds before a retry of a task."""

RETRY_BURST = 50.0
"""Capacity of a team's token bucket: retries that it may make at once."""

RETRIES_PER_S = 2.0
"""Refill rate of a team's token bucket, in retries per second."""

JITTER_STEPS = 1 << 16
"""Number of distinct jitter values."""


def compute_jitter(key: str) -> float:
    """Return a factor from 0.5 to 1 that depends only on a key."""
    weight = int.from_bytes(rendezvous_weight("jitter", key)[:2], "big")
    return 0.5 + 0.5 * weight / JITTER_STEPS


def compute_backoff(key: str, failures: int) -> float:
    """Return the seconds to wait before a retry, with jitter.

    :param failures: attempts that failed so far
    """
    doublings = max(0, failures - 1)
    delay = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**doublings)
    return delay * compute_jitter(f"{key}#{failures}")


class RetryBudget:
    """Limits the retry rate of each team, so that a bad job can't flood the fleet."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._tokens_by_team: dict[str, float] = {}
        self._refilled_at_by_team: dict[str, float] = {}

    def take_token(self, team: str) -> float:
        """Take one token; return the extra delay in seconds if none was left."""
        now = self._context.now
        refilled_at = self._refilled_at_by_team.get(team, now)
        tokens = self._tokens_by_team.get(team, RETRY_BURST)
        tokens = min(RETRY_BURST, tokens + (now - refilled_at) * RETRIES_PER_S) - 1.0
        self._refilled_at_by_team[team] = now
        self._tokens_by_team[team] = tokens
        return max(0.0, -tokens / RETRIES_PER_S)
