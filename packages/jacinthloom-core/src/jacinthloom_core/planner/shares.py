"""Rate of jobs that each client account is entitled to when the fleet is full."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .jobs import Job
    from .rules import Rules

BURST_S = 1.0
"""Seconds of its entitled rate that a client account may submit at once."""


@dataclass(slots=True)
class _Bucket:
    """Token bucket of a client account.

    :param tokens: jobs that the account may still submit now within its share
    :param filled_at_ms: Unix time of the last refill, in milliseconds
    """

    tokens: float
    filled_at_ms: int


class SubmissionShares:
    """Decides which jobs exceed the rate that their client account is entitled to.

    The weight of a client account is the number of jobs a second that it is entitled
    to. Jobs beyond that use what the others leave.
    """

    def __init__(self) -> None:
        self._bucket_by_client_account: dict[str, _Bucket] = {}

    def is_beyond(self, client_account: str, received_ms: int, rules: Rules) -> bool:
        """Count a job and return whether it exceeds the share of its client account.

        :param received_ms: Unix time of its submission, in milliseconds
        """
        account = rules.client_account_by_name.get(client_account)
        if account is None or account.weight <= 0:
            return False
        capacity = max(1.0, account.weight * BURST_S)
        bucket = self._bucket_by_client_account.get(client_account)
        if bucket is None:
            bucket = _Bucket(capacity, received_ms)
            self._bucket_by_client_account[client_account] = bucket
        elapsed_s = max(0, received_ms - bucket.filled_at_ms) / 1000
        bucket.filled_at_ms = max(bucket.filled_at_ms, received_ms)
        bucket.tokens = min(capacity, bucket.tokens + elapsed_s * account.weight)
        if bucket.tokens < 1:
            return True
        bucket.tokens -= 1
        return False

    def classify(self, jobs: list[Job], rules: Rules) -> None:
        """Classify jobs that an earlier planner accepted, in order of submission."""
        for job in sorted(jobs, key=lambda job: job.spec.received_ms):
            job.is_beyond_share = self.is_beyond(
                job.spec.tenant, job.spec.received_ms, rules
            )
