"""Serializable form of the reduced state, as stored in snapshots."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..members.view import View
from ..vocabulary.configuration import Configuration
from ..vocabulary.records import MemberInfo
from ..vocabulary.resources import Resources
from .jobs import IdempotentAttempt, Job, JobSummary, Peak
from .log_state import ChangeResult, ChangeSummary

if TYPE_CHECKING:
    from .log_state import LogState


@dataclass(frozen=True, slots=True)
class AllotmentItem:
    """A holder's allotment of a team's limit."""

    team: str
    holder: str
    amount: Resources


@dataclass(frozen=True, slots=True)
class RequestItem:
    """A non-idempotent request with its team and idempotency key."""

    team: str
    idempotency_key: str
    attempt: IdempotentAttempt


@dataclass(frozen=True, slots=True)
class ChangeItem:
    """The result of a configuration change, with its id."""

    change_id: str
    result: ChangeResult


@dataclass(frozen=True, slots=True)
class RatioItem:
    """A learned ratio of actual to declared run time."""

    team: str
    work_class: str
    ratio: float


@dataclass(frozen=True, slots=True)
class StateImage:
    """All contents of a log state.

    :param offset: next log offset to apply
    """

    offset: int
    configuration: Configuration
    view_number: int
    members: tuple[MemberInfo, ...]
    holder_by_worker: dict[str, str]
    unsettled: tuple[str, ...]
    parts: tuple[AllotmentItem, ...]
    limits: tuple[AllotmentItem, ...]
    jobs: tuple[Job, ...]
    summaries: tuple[JobSummary, ...]
    attempts: tuple[RequestItem, ...]
    peak: Peak
    ratios: tuple[RatioItem, ...]
    sequence_by_writer: dict[str, int]
    changes: tuple[ChangeItem, ...]
    history: tuple[ChangeSummary, ...]


def make_image(state: LogState) -> StateImage:
    """Return the serializable form of a state."""
    allotments = state.allotments
    return StateImage(
        state.offset,
        state.configuration,
        state.view.number,
        tuple(state.view.members_by_id.values()),
        dict(state.holder_by_worker),
        tuple(sorted(state.unsettled)),
        tuple(
            AllotmentItem(team, holder, amount)
            for team, parts in allotments.part_by_team.items()
            for holder, amount in parts.items()
        ),
        tuple(
            AllotmentItem(team, "", limit)
            for team, limit in allotments.limit_by_team.items()
        ),
        tuple(state.job_by_id.values()),
        tuple(state.summary_by_job.values()),
        tuple(RequestItem(*key, item) for key, item in state.attempt_by_key.items()),
        state.peak,
        tuple(
            RatioItem(*owner, ratio)
            for owner, ratio in state.estimates.ratio_by_owner.items()
        ),
        dict(state.sequence_by_writer),
        tuple(ChangeItem(key, item) for key, item in state.result_by_change.items()),
        tuple(state.history),
    )


def load_image(state: LogState, image: StateImage) -> None:
    """Replace the contents of a state."""
    state.offset = image.offset
    state.configuration = image.configuration
    state.view = View(image.view_number, {info.member: info for info in image.members})
    state.holder_by_worker = dict(image.holder_by_worker)
    state.unsettled = set(image.unsettled)
    allotments = state.allotments
    allotments.limit_by_team = {item.team: item.amount for item in image.limits}
    allotments.part_by_team = {item.team: {} for item in image.limits}
    for part in image.parts:
        allotments.part_by_team[part.team][part.holder] = part.amount
    state.job_by_id = {job.spec.job: job for job in image.jobs}
    state.summary_by_job.clear()
    state.summary_by_job.update((item.job, item) for item in image.summaries)
    state.attempt_by_key.clear()
    state.attempt_by_key.update(
        ((item.team, item.idempotency_key), item.attempt) for item in image.attempts
    )
    state.peak = image.peak
    state.estimates.ratio_by_owner = {
        (item.team, item.work_class): item.ratio for item in image.ratios
    }
    state.sequence_by_writer.clear()
    state.sequence_by_writer.update(image.sequence_by_writer)
    state.result_by_change.clear()
    state.result_by_change.update((i.change_id, i.result) for i in image.changes)
    state.history.clear()
    state.history.extend(image.history)
    state.snapshot_offset = image.offset
