"""Human-readable explanations of why a job waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..policy.pacer import Pacer
    from .job_coordinator import JobCoordinator
    from .job_execution import JobExecution

MILLICORES_PER_PROCESSOR = 1000


def explain_job(
    context: Context,
    membership: Membership,
    job_coordinator: JobCoordinator,
    pacer: Pacer,
    job: str,
) -> str:
    """Return one sentence on why the tasks of a job wait."""
    execution = job_coordinator.job_by_id.get(job)
    if execution is None:
        return "Its coordinator did not respond; try again in a few seconds."
    running = sum(
        item.phase == "running" for item in execution.attempt_by_index.values()
    )
    ended = len(execution.job.ended)
    left = execution.spec.tasks - running - ended
    if left <= 0:
        return f"All {execution.spec.tasks} tasks run or have ended ({ended} ended)."
    cause = _find_waiting_cause(context, membership, job_coordinator, pacer, execution)
    return f"{left} of its {execution.spec.tasks} tasks are waiting: {cause}."


def _find_waiting_cause(
    context: Context,
    membership: Membership,
    job_coordinator: JobCoordinator,
    pacer: Pacer,
    execution: JobExecution,
) -> str:
    spec = execution.spec
    if not membership.is_fresh():
        return "this member can't verify that its configuration is current"
    if not membership.has_authority:
        return "this member may not start work, because too few members respond"
    if execution.is_recovering:
        return "its coordinator changed, and its running tasks are being determined"
    obstacle = job_coordinator.find_blocking_reason(spec)
    if obstacle:
        return obstacle
    part = context.state.allotments.allotments_by_team.get(spec.team)
    if part is not None and job_coordinator.is_at_team_limit(spec):
        return f"team {spec.team} is at its limit"
    if (
        spec.is_deferrable
        and not pacer.allows_gang_start(spec)
        and not pacer.allows_start(spec)
    ):
        cap = pacer.usage_cap.processors / MILLICORES_PER_PROCESSOR
        return (
            f"it is deferrable, and usage is capped at {cap:.1f} processors, which "
            "meets every deadline"
        )
    if execution.last_failure:
        return f"the last attempt was unsuccessful: {execution.last_failure}"
    return "no worker has enough free capacity"
