"""Mutants of the member, each with one rule broken, to test the invariant checks."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from jacinthloom_core import Member
from jacinthloom_core.model.messages import AttemptOver
from jacinthloom_core.model.resources import NO_RESOURCES

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core import MemberSettings

NEVER = float("-inf")


def _no_takeover_wait(member: Member) -> None:
    """Skip a new owner's wait until the old owner's authority lapses."""
    member.membership.compute_ready_at = lambda key: NEVER  # type: ignore[method-assign]


def _views_skipped(member: Member) -> None:
    """Make a new owner wait only for the owner in the latest past view."""
    membership: Any = member.membership
    original = membership.compute_ready_at

    def compute(key: str) -> float:
        past = membership._past
        membership._past = type(past)(list(past)[-1:])
        try:
            return float(original(key))
        finally:
            membership._past = past

    membership.compute_ready_at = compute


def _release_forgets_wait(member: Member) -> None:
    """Let a new owner proceed once the last owner released, whoever preceded it."""
    membership: Any = member.membership
    original = membership._compute_authority_lapse

    def compute_lapse(owner: str, past: Any) -> float:
        last = membership._past[-1]
        successor = last.view.choose_member("any") if last.view.members_by_id else ""
        peer = membership.peer_by_id.get(successor)
        if peer is not None and peer.adopted_view >= membership.view.number:
            return float(peer.adopted_at)
        return float(original(owner, past))

    membership._compute_authority_lapse = compute_lapse


def _voter_counts_itself(member: Member) -> None:
    """Count the member's own assurance although it voted for a later view."""
    membership: Any = member.membership
    original = membership._assurance_times

    def list_assurance_times() -> list[float]:
        voted = membership.voted_view
        membership.voted_view = 0
        try:
            return list(original())
        finally:
            membership.voted_view = voted

    membership._assurance_times = list_assurance_times


def _voter_assures_again(member: Member) -> None:
    """Keep giving assurances after a vote for a later view."""
    membership: Any = member.membership
    original = membership.on_assurance_asked

    def on_assurance_asked(sender: Any, message: Any) -> None:
        voted = membership.voted_view
        membership.voted_view = 0
        try:
            original(sender, message)
        finally:
            membership.voted_view = voted

    membership.on_assurance_asked = on_assurance_asked
    _replace_message_handler(member, "AssuranceAsked", on_assurance_asked)


def _age_from_answer(member: Member) -> None:
    """Measure the age of an assurance from its arrival, not from its request."""
    membership: Any = member.membership
    original = membership.on_assurance

    def on_assurance(sender: str, message: Any) -> None:
        original(sender, replace(message, asked=member.context.now))

    _replace_message_handler(
        member,
        "Assurance",
        lambda sender, message: on_assurance(sender.member, message),
    )


def _votes_not_counted(member: Member) -> None:
    """Append and accept a view without the votes of the other members."""
    state: Any = member.context.state
    original = state._handlers

    def apply_view(record: Any) -> str:
        return str(
            state._apply_view(replace(record, votes=tuple(state.view.members_by_id)))
        )

    for kind in list(original):
        if kind.__name__ == "ViewProposed":
            original[kind] = apply_view
    membership: Any = member.membership
    proposals: Any = member.proposals
    original_propose = proposals._propose

    def propose(members: Any, candidate: Any) -> None:
        original_propose(members, candidate)
        proposals._proposal.votes.update(membership.view.members_by_id)
        membership.voted_view = 0
        proposals._append_if_approved()

    proposals._propose = propose


def _not_fresh(member: Member) -> None:
    """Use the configuration without checking that it is fresh."""
    member.membership.is_fresh = lambda: True  # type: ignore[method-assign]


def _reconcile_not_read_back(member: Member) -> None:
    """Use a worker before its reconciliation record is read back from the log."""
    owned_workers: Any = member.owned_workers
    original = owned_workers._append_reconciled

    def append(worker: Any) -> None:
        original(worker)
        owned_workers._open(worker)

    owned_workers._append_reconciled = append


def _transfer_not_withheld(member: Member) -> None:
    """Let a donor use a transferred allotment until the record is read back."""
    quotas: Any = member.quotas

    def find_ceiling(team: str) -> Any:
        return member.context.state.allotments.find_allotment(
            team, member.context.member
        )

    quotas.find_ceiling = find_ceiling


def _handed_over_not_counted(member: Member) -> None:
    """Stop counting the attempts on a worker that another member takes over."""
    owned_workers: Any = member.owned_workers
    original = owned_workers._release_worker

    def release_worker(worker: Any) -> None:
        original(worker)
        for attempt in owned_workers._attempts_in_transfer.pop(worker.name, []):
            member.quotas.add_usage(attempt.team, NO_RESOURCES - attempt.need)

    owned_workers._release_worker = release_worker


def _lease_not_awaited(member: Member) -> None:
    """Report an attempt on an unreachable worker lost before its lease expires."""
    attempt_tracker: Any = member.attempt_tracker
    owned_workers: Any = member.owned_workers
    original = owned_workers.mark_unreachable

    def mark_unreachable(worker: Any) -> None:
        original(worker)
        for attempt in list(worker.attempt_by_key.values()):
            if attempt.phase == "running":
                attempt_tracker._report_lost(
                    worker, attempt, "its worker does not answer"
                )

    owned_workers.mark_unreachable = mark_unreachable


def _any_view_granted(member: Member) -> None:
    """Accept grants of any view, and let a new job coordinator wait for no owner."""
    dispatcher: Any = member.grant_dispatcher
    job_coordinator: Any = member.job_coordinator
    original = dispatcher.on_granted

    def on_granted(message: Any) -> None:
        number = member.membership.view.number
        grants = tuple(replace(grant, view=number) for grant in message.grants)
        original(replace(message, grants=grants))

    _replace_message_handler(
        member, "TasksGranted", lambda _, message: on_granted(message)
    )
    recovery = job_coordinator.recovery
    original_settle = recovery._settle

    def settle() -> None:
        recovery._awaited.clear()
        member.context.state.unreconciled_workers.clear()
        original_settle()

    recovery._settle = settle


def _not_run_when_unknown(member: Member) -> None:
    """Answer "not run" to a caller although the outcome is unknown."""
    coordinator: Any = member.request_coordinator

    def give_up(request: Any) -> None:
        request.may_have_run = False
        coordinator._refuse(request, "deadline", "no response from the owner")

    coordinator._give_up = give_up


def _started_before_read_back(member: Member) -> None:
    """Start a non-idempotent request before its record is read back."""
    coordinator: Any = member.request_coordinator
    original = coordinator._begin

    def begin(call: int, spec: Any) -> None:
        original(call, spec)
        request = coordinator.open_by_id.get(spec.job)
        if request is not None and not request.owner:
            coordinator._route(request)

    coordinator._begin = begin


def _repeats_applied(member: Member) -> None:
    """Apply a batch twice that was appended twice."""
    state: Any = member.context.state

    class NoSequences(dict):  # type: ignore[type-arg]
        def get(self, key: Any, default: Any = None) -> Any:
            return 0

        def move_to_end(self, key: Any) -> None:
            pass

    state.sequence_by_writer = NoSequences()


def _retried_when_unknown(member: Member) -> None:
    """Retry a non-idempotent request after an unknown outcome."""
    coordinator: Any = member.request_coordinator
    original = coordinator.on_attempt_over

    def on_attempt_over(message: AttemptOver) -> None:
        request = coordinator.open_by_id.get(message.key.partition("/")[0])
        if request is not None:
            request.spec = replace(request.spec, idempotent=True)
        original(message)

    coordinator.on_attempt_over = on_attempt_over


def _replace_message_handler(
    member: Member, name: str, handler: Callable[..., None]
) -> None:
    handlers = member._handler_by_message
    for kind in list(handlers):
        if kind.__name__ == name:
            handlers[kind] = handler


MUTATION_BY_NAME: dict[str, Callable[[Member], None]] = {
    mutate.__name__.strip("_"): mutate
    for mutate in (
        _no_takeover_wait,
        _views_skipped,
        _release_forgets_wait,
        _voter_counts_itself,
        _voter_assures_again,
        _age_from_answer,
        _votes_not_counted,
        _not_fresh,
        _reconcile_not_read_back,
        _transfer_not_withheld,
        _handed_over_not_counted,
        _lease_not_awaited,
        _any_view_granted,
        _not_run_when_unknown,
        _started_before_read_back,
        _repeats_applied,
        _retried_when_unknown,
    )
}
"""Functions that break one rule of a member, by the name of the mutation."""


def make_mutant(name: str) -> Callable[[MemberSettings], Member]:
    """Return a factory of members with the named mutation."""

    def make(settings: MemberSettings) -> Member:
        member = Member(settings)
        MUTATION_BY_NAME[name](member)
        return member

    return make
