"""Human-readable explanations of why a job waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..policy.pacer import Pacer
    from .home_job import HomeJob
    from .homes import Homes

MILLI = 1000


def explain_job(
    context: Context,
    membership: Membership,
    homes: Homes,
    pacer: Pacer,
    job: str,
) -> str:
    """Return one sentence on why the tasks of a job wait."""
    home = homes.job_by_id.get(job)
    if home is None:
        return "Its home did not respond; try again in a few seconds."
    running = sum(item.phase == "running" for item in home.placed_by_index.values())
    ended = len(home.job.ended)
    left = home.spec.tasks - running - ended
    if left <= 0:
        return f"All of its {home.spec.tasks} tasks run or have ended ({ended} ended)."
    cause = _find_cause(context, membership, homes, pacer, home)
    return f"{left} of its {home.spec.tasks} tasks are waiting: {cause}."


def _find_cause(
    context: Context,
    membership: Membership,
    homes: Homes,
    pacer: Pacer,
    home: HomeJob,
) -> str:
    spec = home.spec
    if not membership.is_fresh():
        return "this member can't verify that its configuration is current"
    if not membership.has_authority:
        return "this member may not start work, because too few members respond"
    if home.recovering:
        return "its home changed, and its running tasks are being determined"
    shape = homes.find_obstacle(spec)
    if shape:
        return shape
    part = context.state.allotments.part_by_team.get(spec.team)
    if part is not None and homes.is_limited(spec):
        return f"team {spec.team} is at its limit"
    if spec.is_deferrable and not pacer.allows_gang(spec) and not pacer.allows(spec):
        level = pacer.level.processors / MILLI
        return (
            f"it is deferrable, and usage is capped at {level:.1f} processors, which "
            "meets every deadline"
        )
    if home.reason:
        return f"the last attempt was unsuccessful: {home.reason}"
    return "no worker has enough free capacity"
