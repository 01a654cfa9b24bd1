"""State reports for operators, as named fields."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import MILLICORES_PER_PROCESSOR

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..policy.fairness import FairShareTracker
    from ..policy.pacer import Pacer
    from ..worker_owners.owned_workers import OwnedWorkers


class StateReporter:
    """Builds reports on members, configuration, teams and workers."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        owned_workers: OwnedWorkers,
        fairness: FairShareTracker,
        pacer: Pacer,
    ) -> None:
        self._context = context
        self._membership = membership
        self._owned_workers = owned_workers
        self._fairness = fairness
        self._pacer = pacer

    def describe_status(self) -> dict[str, object]:
        """Describe members, view, usage cap and counters."""
        context = self._context
        membership = self._membership
        view = membership.view
        now = context.now
        phases: dict[str, int] = {}
        for worker in self._owned_workers.worker_by_name.values():
            phases[worker.phase] = phases.get(worker.phase, 0) + 1
        usage_cap = self._pacer.usage_cap
        return {
            "member": context.member,
            "view": view.number,
            "members": self._list_members(),
            "authority_s": round(
                max(0.0, membership.compute_authority_until() - now), 3
            ),
            "fresh": membership.is_fresh(),
            "log": "up" if membership.is_log_available else "down",
            "offset": context.state.offset,
            "configuration": context.state.configuration.version,
            "workers_owned": phases,
            "jobs_live": len(context.state.job_by_id),
            "level_processors": _to_processors(usage_cap.processors),
            "busiest_minute_processors": _to_processors(context.state.peak.processors),
            "fleet_processors": _to_processors(self._pacer.fleet_processors),
            "target_at_risk": usage_cap.late_class,
            "zones_out": list(context.state.configuration.zones_out),
            "counters": dict(sorted(context.counters.items())),
        }

    def _list_members(self) -> list[dict[str, str]]:
        members = []
        for name, info in sorted(self._membership.view.members_by_id.items()):
            is_self = name == self._context.member
            state = "live"
            if self._membership.suspects(name):
                state = "silent"
            members.append(
                {
                    "member": name,
                    "zone": info.zone,
                    "state": "this one" if is_self else state,
                    "http_address": info.http_address,
                }
            )
        return members

    def describe_configuration(self) -> dict[str, object]:
        """Describe the configuration and its history."""
        state = self._context.state
        return {
            "configuration": state.configuration,
            "history": [
                {
                    "version": item.version,
                    "author": item.author,
                    "wall": item.wall,
                    "text": item.text,
                }
                for item in state.history
            ],
        }

    def describe_teams(self) -> dict[str, object]:
        """Describe the share, limit and usage of each team."""
        state = self._context.state
        teams = []
        for team in sorted(state.configuration.teams_by_name.values(), key=_by_name):
            used = self._fairness.find_used(team.name)
            teams.append(
                {
                    "team": team.name,
                    "share": team.share,
                    "limit": team.limit,
                    "used": used,
                    "fraction": round(self._fairness.find_fraction(team.name), 4),
                }
            )
        return {"teams": teams}

    def describe_workers(self) -> dict[str, object]:
        """Describe the workers that this member owns."""
        workers = []
        for worker in sorted(self._owned_workers.worker_by_name.values(), key=_by_name):
            workers.append(
                {
                    "worker": worker.name,
                    "zone": worker.info.zone,
                    "state": worker.info.state,
                    "phase": worker.phase,
                    "capacity": worker.capacity,
                    "free": worker.free,
                    "attempts": len(worker.attempt_by_key),
                    "owner": self._context.member,
                }
            )
        return {"workers": workers}


def _by_name(item: object) -> str:
    return str(getattr(item, "name", ""))


def _to_processors(millicores: float) -> float:
    return round(millicores / MILLICORES_PER_PROCESSOR, 3)
