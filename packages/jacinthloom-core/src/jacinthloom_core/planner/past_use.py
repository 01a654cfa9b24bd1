"""Past usage of the client accounts, which orders steps of one level and priority."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..model.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from .fleet import Worker
    from .jobs import StepRun
    from .rules import Rules
    from .specs import StepId
    from .state import PlannerState

MAX_SHIFT_SHARE = 0.25
"""Maximum shift of a latest start, as a share of the step's objective: a step of one
account passes another one's by at most a quarter of both objectives."""

PRIOR_SHARE = 1 / 12
"""Usage of the whole fleet that is assumed to have been shared as entitled, as a share
of the half-life (10 minutes of 2 hours). It keeps the first seconds of a deployment,
and those after a lost record, from counting like hours."""

SAMPLE_INTERVAL_S = 1.0
"""Seconds between two samples of the usage."""

MAX_SAMPLE_S = 10.0
"""Maximum seconds that one sample counts for. After a longer pause of the process the
current usage says little about the usage during the pause."""

STORE_INTERVAL_S = 60.0
"""Minimum seconds between two records, and so the usage that a failover may lose."""

MAX_UNSTORED_S = 300.0
"""Seconds without a batch after which a record is stored in a batch of its own."""

NOTE_INTERVAL_S = 60.0
"""Seconds between two log lines about the past usage of an account."""

MAX_HALF_LIVES = 10.0
"""Maximum decay by the wall clock, in half-lives: less than 0.1% remains then."""

MIN_USAGE_S = 0.001
"""Usage below which an account without requests is forgotten."""

MIN_NOTED_FACTOR = 0.01
"""Least factor of an account that is written to the log."""

MIN_NOTED_SHIFT_S = 0.01
"""Least shift of a step that is written to the log, below the interval of passes."""


@dataclass(frozen=True, slots=True)
class StoredPastUse:
    """Past usage as it is stored.

    :param wall_ms: Unix time of the values, in milliseconds
    :param usage_by_client_account: decayed usage, in seconds of the whole fleet
    """

    wall_ms: int
    usage_by_client_account: dict[str, float]


@dataclass(frozen=True, slots=True)
class AccountUse:
    """Past usage of a client account, compared with its weight.

    :param usage_s: decayed usage, in seconds of the whole fleet's dominant resource
    :param entitled_s: part of the decayed usage of all accounts that is due to its
        weight
    :param factor: from -1 (no usage) over 0 (as entitled) to 1 (far more)
    """

    usage_s: float
    entitled_s: float
    factor: float


class PastUse:
    """Usage of each client account, which decays with a half-life.

    :param half_life_s: half-life in seconds; 0 to disable
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._usage_by_client_account: dict[str, float] = {}
        self.account_use_by_name: dict[str, AccountUse] = {}
        """Weighted accounts as of the last sample; empty for fewer than two."""
        self._sampled_at: float | None = None
        self._stored_at = float("inf")
        """Time of the last record; infinite before the first sample."""
        self._noted_at = float("-inf")
        self._has_unstored_usage = False

    @property
    def is_enabled(self) -> bool:
        """Whether past usage is recorded and has an effect."""
        return self._half_life_s > 0

    def find_shift_s(self, client_account: str, objective_s: float) -> float:
        """Return the seconds to add to the latest start of an account's step."""
        row = self.account_use_by_name.get(client_account)
        return row.factor * MAX_SHIFT_SHARE * objective_s if row is not None else 0.0

    def on_tick(self, state: PlannerState, now: float) -> None:
        """Take a sample if one is due.

        Called between passes: a pass counts reserved limits as usage while it runs.
        """
        if not self.is_enabled:
            return
        elapsed_s = 0.0
        if self._sampled_at is not None:
            elapsed_s = now - self._sampled_at
            if 0 <= elapsed_s < SAMPLE_INTERVAL_S:
                return
        self._sampled_at = now
        if self._stored_at > now:  # no record yet, or the clock has jumped back
            self._stored_at = now - STORE_INTERVAL_S
        self._noted_at = min(self._noted_at, now)
        requesting = {
            step.occurrence.job.spec.tenant for step in state.ready_by_id.values()
        }
        capacity = sum_listed_capacity(state.worker_by_id.values())
        self._add(state.usage_by_client_account, capacity, max(0.0, elapsed_s))
        self._forget(requesting)
        self._compare(requesting, state.rules)
        if now - self._noted_at >= NOTE_INTERVAL_S:
            self._noted_at = now
            self._note_accounts(state)

    def _add(
        self, usage: Mapping[str, list[int]], capacity: Resources, elapsed_s: float
    ) -> None:
        """Decay the recorded usage, and add that of the time since the last sample."""
        decay = 2.0 ** (-elapsed_s / self._half_life_s)
        for account in self._usage_by_client_account:
            self._usage_by_client_account[account] *= decay
        counted_s = min(elapsed_s, MAX_SAMPLE_S)
        # Integral of the decaying usage over the time that the sample counts for.
        weight_s = self._max_usage_s * (1 - 2.0 ** (-counted_s / self._half_life_s))
        for account, amounts in usage.items():
            # Workers with tasks may not be listed yet: no account exceeds the fleet.
            share = min(1.0, Resources(*amounts).dominant_share(capacity))
            if share > 0:
                before_s = self._usage_by_client_account.get(account, 0.0)
                self._usage_by_client_account[account] = before_s + share * weight_s
                self._has_unstored_usage |= weight_s > 0

    @property
    def _max_usage_s(self) -> float:
        """Usage of an account that has always used the whole fleet."""
        return self._half_life_s / math.log(2)

    def _forget(self, requesting: set[str]) -> None:
        """Remove the accounts that neither have past usage nor request anything."""
        for account in list(self._usage_by_client_account):
            is_small = self._usage_by_client_account[account] < MIN_USAGE_S
            if is_small and account not in requesting:
                del self._usage_by_client_account[account]

    def _compare(self, requesting: set[str], rules: Rules) -> None:
        """Compare the usage of the weighted accounts with their weights."""
        weight_by_name: dict[str, float] = {}
        for name in self._usage_by_client_account.keys() | requesting:
            account = rules.client_account_by_name.get(name)
            if account is not None and account.weight > 0:
                weight_by_name[name] = account.weight
        self.account_use_by_name = {}
        if len(weight_by_name) < 2:
            return
        usage_by_name = {
            name: self._usage_by_client_account.get(name, 0.0)
            for name in weight_by_name
        }
        # The sums are in order of name, so that they are the same in every process.
        names = sorted(weight_by_name)
        total_weight = sum(weight_by_name[name] for name in names)
        total_s = sum(usage_by_name[name] for name in names)
        prior_s = PRIOR_SHARE * self._half_life_s
        for name in names:
            share = weight_by_name[name] / total_weight
            usage_s = usage_by_name[name]
            ratio = (usage_s + share * prior_s) / (share * (total_s + prior_s))
            self.account_use_by_name[name] = AccountUse(
                usage_s, share * total_s, 1 - 2.0 ** (1 - ratio)
            )

    def _note_accounts(self, state: PlannerState) -> None:
        for name, row in self.account_use_by_name.items():
            if abs(row.factor) >= MIN_NOTED_FACTOR:
                state.note(
                    "past_use",
                    client_account=name,
                    usage_s=round(row.usage_s, 2),
                    entitled_s=round(row.entitled_s, 2),
                    factor=round(row.factor, 3),
                )

    # Durable state

    def take_record(
        self, now: float, wall_ms: int, is_batch_due: bool
    ) -> StoredPastUse | None:
        """Return the values to store now, or None if no record is due.

        :param wall_ms: Unix time in milliseconds
        :param is_batch_due: whether a batch is stored anyway
        """
        if not self.is_enabled or not self._has_unstored_usage:
            return None
        interval_s = STORE_INTERVAL_S if is_batch_due else MAX_UNSTORED_S
        if now - self._stored_at < interval_s:
            return None
        self._stored_at = now
        self._has_unstored_usage = False
        return StoredPastUse(wall_ms, dict(self._usage_by_client_account))

    def restore(self, stored: StoredPastUse, now: float, wall_ms: int) -> float:
        """Restore the values that an earlier planner stored.

        :param wall_ms: Unix time in milliseconds
        :returns: seconds by which the values were decayed
        """
        longest_s = MAX_HALF_LIVES * self._half_life_s
        age_s = min(longest_s, max(0.0, (wall_ms - stored.wall_ms) / 1000))
        decay = 2.0 ** (-age_s / self._half_life_s)
        # The half-life may have been longer when the record was stored.
        self._usage_by_client_account = {
            account: min(self._max_usage_s, usage_s) * decay
            for account, usage_s in stored.usage_by_client_account.items()
        }
        self._stored_at = now - min(STORE_INTERVAL_S, age_s)
        return age_s


def sum_listed_capacity(workers: Iterable[Worker]) -> Resources:
    """Return the capacity of the listed workers."""
    processors = memory = accelerators = 0
    for worker in workers:
        if worker.is_listed and worker.entry is not None:
            capacity = worker.entry.capacity
            processors += capacity.processors
            memory += capacity.memory
            accelerators += capacity.accelerators
    return Resources(processors, memory, accelerators)


def note_shifted_steps(state: PlannerState, waiting: Iterable[StepId]) -> None:
    """Write a log line for each step that past usage has moved, once.

    :param waiting: steps that the last pass did not place, or not entirely
    """
    account_use_by_name = state.past_use.account_use_by_name
    if not account_use_by_name:
        return
    for step_id in waiting:
        step: StepRun | None = state.ready_by_id.get(step_id)
        if step is None or step.is_shift_noted:
            continue
        account = step.occurrence.job.spec.tenant
        row = account_use_by_name.get(account)
        if row is None or abs(step.past_use_shift_s) < MIN_NOTED_SHIFT_S:
            continue
        step.is_shift_noted = True
        state.note(
            "step_shifted",
            step=list(step_id),
            client_account=account,
            usage_s=round(row.usage_s, 2),
            entitled_s=round(row.entitled_s, 2),
            factor=round(row.factor, 3),
            objective_s=round(step.objective_s, 2),
            latest_start_s=round(step.latest_start_s, 2),
            shift_s=round(step.past_use_shift_s, 2),
        )
