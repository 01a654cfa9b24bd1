"""Copies of the member with one rule broken, to show that the judge can fail."""

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
    """Do not wait, as a new owner, for the old owner's authority to lapse."""
    member.membership.compute_ready_at = lambda key: NEVER  # type: ignore[method-assign]


def _views_skipped(member: Member) -> None:
    """Wait, as a new owner, for the owner in the last view only."""
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
    """Go on once the last owner stopped, whoever came before it."""
    membership: Any = member.membership
    original = membership._compute_authority_lapse

    def lapse_of(owner: str, past: Any) -> float:
        last = membership._past[-1]
        successor = last.view.choose_member("any") if last.view.members_by_id else ""
        peer = membership.peer_by_id.get(successor)
        if peer is not None and peer.adopted_view >= membership.view.number:
            return float(peer.adopted_at)
        return float(original(owner, past))

    membership._compute_authority_lapse = lapse_of


def _voter_counts_itself(member: Member) -> None:
    """Count the member's own assurance although it voted for a later view."""
    membership: Any = member.membership
    original = membership._assurance_times

    def times() -> list[float]:
        voted = membership.voted_view
        membership.voted_view = 0
        try:
            return list(original())
        finally:
            membership.voted_view = voted

    membership._assurance_times = times


def _voter_assures_again(member: Member) -> None:
    """Go on giving assurances after a vote for a later view."""
    membership: Any = member.membership
    original = membership.on_assurance_asked

    def on_asked(sender: Any, message: Any) -> None:
        voted = membership.voted_view
        membership.voted_view = 0
        try:
            original(sender, message)
        finally:
            membership.voted_view = voted

    membership.on_assurance_asked = on_asked
    _replace_message_handler(member, "AssuranceAsked", on_asked)


def _age_from_answer(member: Member) -> None:
    """Age an assurance from its arrival, not from when it was asked for."""
    membership: Any = member.membership
    original = membership.on_assurance

    def on_assurance(sender: str, message: Any) -> None:
        original(sender, replace(message, asked=member.context.now))

    _replace_message_handler(
        member, "Assurance", lambda s, m: on_assurance(s.member, m)
    )


def _votes_not_counted(member: Member) -> None:
    """Append a view without the votes of others, and accept it."""
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
    propose = proposals._propose

    def eager(members: Any, me: Any) -> None:
        propose(members, me)
        proposals._proposal.votes.update(membership.view.members_by_id)
        membership.voted_view = 0
        proposals._append_if_approved()

    proposals._propose = eager


def _not_fresh(member: Member) -> None:
    """Use the configuration without knowing whether it is current."""
    member.membership.is_fresh = lambda: True  # type: ignore[method-assign]


def _reconcile_not_read_back(member: Member) -> None:
    """Use a worker before its record is read back."""
    takeover: Any = member.owned_workers
    original = takeover._append_reconciled

    def append(worker: Any) -> None:
        original(worker)
        takeover._open(worker)

    takeover._append_reconciled = append


def _transfer_not_withheld(member: Member) -> None:
    """Let a donor use what it gives away until the record is read back."""
    quotas: Any = member.quotas

    def find_ceiling(team: str) -> Any:
        return member.context.state.allotments.find_allotment(
            team, member.context.member
        )

    quotas.find_ceiling = find_ceiling


def _handed_over_not_counted(member: Member) -> None:
    """Stop counting the attempts of a worker that is lost to another member."""
    takeover: Any = member.owned_workers
    original = takeover._release_worker

    def give_up(worker: Any) -> None:
        original(worker)
        for attempt in takeover._attempts_in_transfer.pop(worker.name, []):
            member.quotas.add_usage(attempt.team, NO_RESOURCES - attempt.need)

    takeover._release_worker = give_up


def _lease_not_awaited(member: Member) -> None:
    """Give up an attempt on a silent worker before its lease lapsed."""
    follow_up: Any = member.attempt_tracker
    takeover: Any = member.owned_workers
    original = takeover.mark_unreachable

    def mark(worker: Any) -> None:
        original(worker)
        for attempt in list(worker.attempt_by_key.values()):
            if attempt.phase == "running":
                follow_up._report_lost(worker, attempt, "its worker does not answer")

    takeover.mark_unreachable = mark


def _any_view_granted(member: Member) -> None:
    """Take grants of any view, and wait for nobody as a new home."""
    owner: Any = member.grant_dispatcher
    homes: Any = member.job_coordinator
    original = owner.on_granted

    def on_granted(message: Any) -> None:
        number = member.membership.view.number
        grants = tuple(replace(grant, view=number) for grant in message.grants)
        original(replace(message, grants=grants))

    _replace_message_handler(member, "TasksGranted", lambda _, m: on_granted(m))
    recovery = homes.recovery
    settle = recovery._settle

    def settle_early() -> None:
        recovery._awaited.clear()
        member.context.state.unreconciled_workers.clear()
        settle()

    recovery._settle = settle_early


def _not_run_when_unknown(member: Member) -> None:
    """Tell a caller "not run" when no word came."""
    requests: Any = member.request_coordinator

    def give_up(request: Any) -> None:
        request.may_have_run = False
        requests._refuse(request, "deadline", "no word came")

    requests._give_up = give_up


def _started_before_read_back(member: Member) -> None:
    """Start a non-idempotent request before its record is read back."""
    requests: Any = member.request_coordinator
    original = requests._begin

    def begin(call: int, spec: Any) -> None:
        original(call, spec)
        request = requests.open_by_id.get(spec.job)
        if request is not None and not request.owner:
            requests._route(request)

    requests._begin = begin


def _repeats_applied(member: Member) -> None:
    """Let a batch that was appended twice take effect twice."""
    state: Any = member.context.state

    class Forgetful(dict):  # type: ignore[type-arg]
        def get(self, key: Any, default: Any = None) -> Any:
            return 0

        def move_to_end(self, key: Any) -> None:
            pass

    state.sequence_by_writer = Forgetful()


def _retried_when_unknown(member: Member) -> None:
    """Try a non-idempotent request again after an unknown outcome."""
    requests: Any = member.request_coordinator
    original = requests.on_attempt_over

    def on_over(message: AttemptOver) -> None:
        request = requests.open_by_id.get(message.key.partition("/")[0])
        if request is not None:
            request.spec = replace(request.spec, idempotent=True)
        original(message)

    requests.on_attempt_over = on_over


def _replace_message_handler(
    member: Member, name: str, handler: Callable[..., None]
) -> None:
    handlers = member._handler_by_message
    for kind in list(handlers):
        if kind.__name__ == name:
            handlers[kind] = handler


MUTATION_BY_NAME: dict[str, Callable[[Member], None]] = {
    breaker.__name__.strip("_"): breaker
    for breaker in (
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
"""Every broken rule by its name."""


def make_mutant(name: str) -> Callable[[MemberSettings], Member]:
    """Return a maker of members with one rule broken."""

    def make(settings: MemberSettings) -> Member:
        member = Member(settings)
        MUTATION_BY_NAME[name](member)
        return member

    return make
