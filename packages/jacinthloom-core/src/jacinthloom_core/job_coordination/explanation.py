"""Say in a sentence why a job waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..policy.pacer import Pacer
    from .home_job import HomeJob
    from .job_coordinator import JobCoordinator

MILLI = 1000


def explain_job(
    context: Context,
    membership: Membership,
    homes: JobCoordinator,
    pacer: Pacer,
    job: str,
) -> str:
    """Return one sentence from the state that decides about a job."""
    home = homes.job_by_id.get(job)
    if home is None:
        return "Its home has not answered; ask again in a few seconds."
    running = sum(item.phase == "running" for item in home.placed_by_index.values())
    ended = len(home.job.ended)
    left = home.spec.tasks - running - ended
    if left <= 0:
        return f"All of its {home.spec.tasks} tasks run or have ended ({ended} ended)."
    cause = _find_cause(context, membership, homes, pacer, home)
    return f"{left} of its {home.spec.tasks} tasks wait: {cause}."


def _find_cause(
    context: Context,
    membership: Membership,
    homes: JobCoordinator,
    pacer: Pacer,
    home: HomeJob,
) -> str:
    spec = home.spec
    if not membership.is_fresh():
        return "this member can't tell whether its configuration is current"
    if not membership.has_authority:
        return "too few members answer for any of them to start work"
    if home.recovering:
        return "its home changed, and what runs of it is being found out"
    shape = homes.find_obstacle(spec)
    if shape:
        return shape
    part = context.state.allotments.allotments_by_team.get(spec.team)
    if part is not None and homes.is_limited(spec):
        return f"team {spec.team} is at its limit"
    if spec.is_deferrable and not pacer.allows_gang(spec) and not pacer.may_start(spec):
        level = pacer.usage_cap.processors / MILLI
        return (
            f"it can wait: the fleet is held to {level:.1f} processors, which is "
            "enough for every deadline"
        )
    if home.reason:
        return f"last time, {home.reason}"
    return "no worker has room for it now"
