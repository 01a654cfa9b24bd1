"""Admission control: authentication and checks of submitted work."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..model.answers import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..context import Context
    from ..members.membership import Membership
    from ..model.work import WorkSpec

ANONYMOUS_TEAM = ""
"""Team of work that is submitted to an open class without a key."""


class Admission:
    """Checks the freshness of the configuration, and key, class and bounds of work."""

    def __init__(self, context: Context, membership: Membership) -> None:
        self._context = context
        self._membership = membership

    def admit(
        self, key: str, spec: WorkSpec, count_waiting: Callable[[str], int]
    ) -> WorkSpec | Refusal:
        """Return the work with its team and deadline filled in, or a refusal.

        :param key: key as presented, ``KEYID.SECRET``
        :param count_waiting: returns the number of requests or tasks of a team that
            count against the queue bound
        """
        refusal = self._check_state()
        if refusal is not None:
            return refusal
        configuration = self._context.state.configuration
        work_class = configuration.classes_by_name.get(spec.work_class)
        if work_class is None:
            return Refusal("unknown_class", f"class {spec.work_class!r} does not exist")
        team = ANONYMOUS_TEAM
        if key or not work_class.open:
            key_team = configuration.find_team_by_key(key)
            if key_team is None:
                return Refusal("unknown_key", "the key is unknown or was withdrawn")
            team = key_team.name
        if (work_class.kind == "request") != (spec.kind == "request"):
            return Refusal(
                "wrong_kind",
                f"class {work_class.name} accepts only {work_class.kind} work",
            )
        spec = replace(spec, kind=work_class.kind)
        limit = configuration.teams_by_name[team].limit if team else None
        if limit is not None and not spec.concurrent_need.fits_in(limit):
            return Refusal(
                "too_large",
                f"the resources needed at once exceed the limit of team {team}",
            )
        waiting = count_waiting(team)
        if waiting >= self._context.settings.queue_bound:
            return Refusal("team_queue_full", f"team {team} has {waiting} queued")
        return replace(
            spec,
            team=team,
            deadline=work_class.compute_deadline(self._context.wall),
            urgent=work_class.is_urgent,
            key_id=key.partition(".")[0],
        )

    def identify_team(self, key: str) -> str | Refusal:
        """Return the team that a key authenticates, or a refusal."""
        refusal = self._check_state()
        if refusal is not None and refusal.code != "leaving":
            return refusal
        team = self._context.state.configuration.find_team_by_key(key)
        if team is None:
            return Refusal("unknown_key", "the key is unknown or was withdrawn")
        return team.name

    def _check_state(self) -> Refusal | None:
        if self._context.leaving:
            return Refusal("leaving", "this entry host is shutting down; use another")
        if not self._membership.is_fresh():
            return Refusal(
                "stale",
                "this entry host can't verify that its configuration is current",
            )
        return None
