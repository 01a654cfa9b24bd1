"""Whether work is accepted, and for whom."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..model.answers import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..context import Context
    from ..members.membership import Membership
    from ..model.work import WorkSpec

OPEN_TEAM = ""
"""Team that work on open classes counts against."""


class Admission:
    """Check key, class, bounds and freshness before anything else."""

    def __init__(self, context: Context, membership: Membership) -> None:
        self._context = context
        self._membership = membership

    def admit(
        self, key: str, spec: WorkSpec, count_waiting: Callable[[str], int]
    ) -> WorkSpec | Refusal:
        """Return the work with its team and deadline filled in, or why not.

        :param key: key as presented, ``KEYID.SECRET``
        :param count_waiting: requests or tasks of a team that wait here
        """
        refusal = self._check_state()
        if refusal is not None:
            return refusal
        configuration = self._context.state.configuration
        work_class = configuration.classes_by_name.get(spec.work_class)
        if work_class is None:
            return Refusal("unknown_class", f"there is no class {spec.work_class!r}")
        team = OPEN_TEAM
        if key or not work_class.open:
            found = configuration.find_team_by_key(key)
            if found is None:
                return Refusal("unknown_key", "the key is unknown or was withdrawn")
            team = found.name
        if (work_class.kind == "request") != (spec.kind == "request"):
            return Refusal(
                "wrong_kind",
                f"class {work_class.name} is for {work_class.kind} work",
            )
        spec = replace(spec, kind=work_class.kind)
        limit = configuration.teams_by_name[team].limit if team else None
        if limit is not None and not spec.concurrent_need.fits_in(limit):
            return Refusal(
                "too_large",
                f"what must run at once is more than the limit of team {team}",
            )
        waiting = count_waiting(team)
        if waiting >= self._context.settings.queue_bound:
            return Refusal("team_queue_full", f"team {team} has {waiting} waiting here")
        return replace(
            spec,
            team=team,
            deadline=work_class.compute_deadline(self._context.wall),
            urgent=work_class.is_urgent,
            key_id=key.partition(".")[0],
        )

    def identify(self, key: str) -> str | Refusal:
        """Return the team that a key stands for, or why it stands for none."""
        refusal = self._check_state()
        if refusal is not None and refusal.code != "leaving":
            return refusal
        team = self._context.state.configuration.find_team_by_key(key)
        if team is None:
            return Refusal("unknown_key", "the key is unknown or was withdrawn")
        return team.name

    def _check_state(self) -> Refusal | None:
        if self._context.leaving:
            return Refusal("leaving", "this entry host is leaving; use another one")
        if not self._membership.is_fresh():
            return Refusal(
                "stale",
                "this entry host can't tell whether its configuration is current",
            )
        return None
