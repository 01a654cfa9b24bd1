"""The reduced state as one value, to be written to the log and read again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..members.view import View
from ..model.configuration import Configuration
from ..model.records import MemberInfo
from ..model.resources import Resources
from .jobs import Job, JobSummary, KeyedRequest, MonthlyPeak
from .log_state import ChangeResult, ChangeSummary

if TYPE_CHECKING:
    from .log_state import LogState


@dataclass(frozen=True, slots=True)
class Part:
    """A holder's part of a team's limit."""

    team: str
    holder: str
    amount: Resources


@dataclass(frozen=True, slots=True)
class NamedAttempt:
    """A non-idempotent request under its key."""

    team: str
    idempotency_key: str
    attempt: KeyedRequest


@dataclass(frozen=True, slots=True)
class NamedChange:
    """What became of a change, by its id."""

    change_id: str
    result: ChangeResult


@dataclass(frozen=True, slots=True)
class Ratio:
    """A learned ratio of run time to declaration."""

    team: str
    work_class: str
    ratio: float


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """Everything in a log state.

    :param offset: next offset to apply to it
    """

    offset: int
    configuration: Configuration
    view_number: int
    members: tuple[MemberInfo, ...]
    recorded_owner_by_worker: dict[str, str]
    unreconciled_workers: tuple[str, ...]
    parts: tuple[Part, ...]
    limits: tuple[Part, ...]
    jobs: tuple[Job, ...]
    summaries: tuple[JobSummary, ...]
    attempts: tuple[NamedAttempt, ...]
    peak: MonthlyPeak
    ratios: tuple[Ratio, ...]
    sequence_by_writer: dict[str, int]
    changes: tuple[NamedChange, ...]
    history: tuple[ChangeSummary, ...]


def make_snapshot(state: LogState) -> StateSnapshot:
    """Return a value that holds all of a state."""
    allotments = state.allotments
    return StateSnapshot(
        state.offset,
        state.configuration,
        state.view.number,
        tuple(state.view.members_by_id.values()),
        dict(state.recorded_owner_by_worker),
        tuple(sorted(state.unreconciled_workers)),
        tuple(
            Part(team, holder, amount)
            for team, parts in allotments.allotments_by_team.items()
            for holder, amount in parts.items()
        ),
        tuple(
            Part(team, "", limit) for team, limit in allotments.limit_by_team.items()
        ),
        tuple(state.job_by_id.values()),
        tuple(state.summary_by_job.values()),
        tuple(
            NamedAttempt(*key, item)
            for key, item in state.request_by_idempotency_key.items()
        ),
        state.peak,
        tuple(
            Ratio(*owner, ratio)
            for owner, ratio in state.estimates.ratio_by_team_and_class.items()
        ),
        dict(state.sequence_by_writer),
        tuple(NamedChange(key, item) for key, item in state.result_by_change.items()),
        tuple(state.history),
    )


def load_snapshot(state: LogState, snapshot: StateSnapshot) -> None:
    """Replace all of a state by an image."""
    state.offset = snapshot.offset
    state.configuration = snapshot.configuration
    state.view = View(
        snapshot.view_number, {info.member: info for info in snapshot.members}
    )
    state.recorded_owner_by_worker = dict(snapshot.recorded_owner_by_worker)
    state.unreconciled_workers = set(snapshot.unreconciled_workers)
    allotments = state.allotments
    allotments.limit_by_team = {item.team: item.amount for item in snapshot.limits}
    allotments.allotments_by_team = {item.team: {} for item in snapshot.limits}
    for part in snapshot.parts:
        allotments.allotments_by_team[part.team][part.holder] = part.amount
    state.job_by_id = {job.spec.job: job for job in snapshot.jobs}
    state.summary_by_job.clear()
    state.summary_by_job.update((item.job, item) for item in snapshot.summaries)
    state.request_by_idempotency_key.clear()
    state.request_by_idempotency_key.update(
        ((item.team, item.idempotency_key), item.attempt) for item in snapshot.attempts
    )
    state.peak = snapshot.peak
    state.estimates.ratio_by_team_and_class = {
        (item.team, item.work_class): item.ratio for item in snapshot.ratios
    }
    state.sequence_by_writer.clear()
    state.sequence_by_writer.update(snapshot.sequence_by_writer)
    state.result_by_change.clear()
    state.result_by_change.update((i.change_id, i.result) for i in snapshot.changes)
    state.history.clear()
    state.history.extend(snapshot.history)
    state.snapshot_offset = snapshot.offset
