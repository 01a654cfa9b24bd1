"""Synchronous requests; the entry member that received one coordinates it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model.answers import Refusal, RequestAnswer
from ..model.effects import Reply
from ..model.messages import AttemptStopAsked, TasksGranted
from ..model.records import AttemptBegun, AttemptEnded
from ..model.work import Grant, attempt_key, parse_attempt_key

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..members.message_router import MessageRouter
    from ..model.answers import Answer, RefusalCode
    from ..model.events import RequestReceived
    from ..model.messages import AttemptOver, AttemptStarted, GrantReturned
    from ..model.work import Outcome, WorkSpec
    from ..shared_log.jobs import KeyedRequest
    from ..shared_log.log_state import AppliedRecord
    from ..shared_log.log_writer import LogWriter
    from ..worker_owners.grant_dispatcher import GrantDispatcher
    from .admission import Admission

OUTCOME_GRACE_S = 1.0
"""Seconds after the deadline within which the outcome of an attempt must arrive."""

MAX_LOGGED_ANSWER_CHARS = 4096
"""Longest answer of a non-idempotent request kept in the log, in characters.

Longer answers are not kept.
"""

LOCAL_SCORE_BONUS = 0.25
"""Score bonus of this member's own workers, which need no message."""

MAX_OFFERS = 6
"""Maximum number of times that a request is offered to owners."""


@dataclass(slots=True)
class OpenRequest:
    """A request that has not been answered.

    :param call: id of the open HTTP request
    :param owner: member that holds its attempt; empty if none does
    :param is_logged: whether the record of its attempt was read back from the log
    :param stopping: whether a stop of its attempt was requested at the deadline
    :param may_have_run: whether an earlier attempt ran or may have run
    :param offered_to: owners that it was offered to, in order
    """

    call: int
    spec: WorkSpec
    owner: str = ""
    attempt: int = 0
    is_logged: bool = False
    stopping: bool = False
    may_have_run: bool = False
    offered_to: list[str] = field(default_factory=list)


class RequestCoordinator:
    """Routes requests to owners and returns exactly one outcome to each caller."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        router: MessageRouter,
        writer: LogWriter,
        dispatcher: GrantDispatcher,
        admission: Admission,
    ) -> None:
        self._context = context
        self._membership = membership
        self._router = router
        self._writer = writer
        self._dispatcher = dispatcher
        self._admission = admission
        self.open_by_id: dict[str, OpenRequest] = {}
        self._open_count_by_team: dict[str, int] = {}
        self._followers_by_key: dict[tuple[str, str], list[OpenRequest]] = {}
        self._outstanding_by_owner: dict[str, int] = {}

    def on_request_received(self, event: RequestReceived) -> None:
        """Admit a request, and route it or return the outcome of its first run."""
        admitted = self._admission.admit(event.key, event.spec, self._count_waiting)
        if isinstance(admitted, Refusal):
            self._context.counters["request_refused"] += 1
            self._context.emit(Reply(event.call, admitted))
            return
        if admitted.idempotent:
            request = self._add_request(event.call, admitted)
            self._route(request)
            return
        self._begin(event.call, admitted)

    def _count_waiting(self, team: str) -> int:
        return self._open_count_by_team.get(team, 0)

    def _add_request(self, call: int, spec: WorkSpec) -> OpenRequest:
        request = OpenRequest(call, spec)
        self.open_by_id[spec.job] = request
        self._open_count_by_team[spec.team] = (
            self._open_count_by_team.get(spec.team, 0) + 1
        )
        self._context.counters["request"] += 1
        return request

    # Non-idempotent requests

    def _begin(self, call: int, spec: WorkSpec) -> None:
        """Append the attempt to the log; it is started once it is read back."""
        known = self._context.state.request_by_idempotency_key.get(
            (spec.team, spec.idempotency_key)
        )
        if known is not None:
            self._await_first_outcome(self._add_request(call, spec), known)
            return
        if not self._membership.is_log_available:
            self._context.emit(
                Reply(
                    call,
                    Refusal("log_unavailable", "the platform log is unavailable"),
                )
            )
            return
        self._add_request(call, spec)
        self._writer.append(
            AttemptBegun(spec.team, spec.idempotency_key, spec.job, self._context.wall)
        )

    def on_attempt_begun(self, applied: AppliedRecord, record: AttemptBegun) -> None:
        """Route a request whose attempt was read back, or wait for an earlier one."""
        request = self.open_by_id.get(record.request)
        if request is None:
            self._abandon_attempt(applied, record)
            return
        if applied.accepted:
            request.is_logged = True
            self._route(request)
            return
        key = (record.team, record.idempotency_key)
        self._await_first_outcome(
            request, self._context.state.request_by_idempotency_key[key]
        )

    def _abandon_attempt(self, applied: AppliedRecord, record: AttemptBegun) -> None:
        """Free the key of a request that was answered before the read-back."""
        if applied.accepted and applied.writer == self._context.member:
            self._append_attempt_end(
                record.team, record.idempotency_key, record.request, "not_run"
            )

    def _await_first_outcome(self, request: OpenRequest, known: KeyedRequest) -> None:
        self._context.counters["request_repeated"] += 1
        if known.outcome:
            self._answer_with_outcome(request, known)
            return
        key = (request.spec.team, request.spec.idempotency_key)
        self._followers_by_key.setdefault(key, []).append(request)

    def _answer_with_outcome(self, request: OpenRequest, known: KeyedRequest) -> None:
        outcome: Outcome = "unknown"
        if known.outcome == "answered":
            outcome = "answered"
        elif known.outcome == "failed":
            outcome = "failed"
        self._finish(
            request,
            RequestAnswer(
                known.request,
                outcome,
                known.answer,
                len(known.answer),
                "this is the outcome of the first request with this idempotency key",
            ),
        )

    def on_attempt_ended(self, applied: AppliedRecord, record: AttemptEnded) -> None:
        """Answer the requests that wait for the outcome of an earlier one."""
        if not applied.accepted:
            return
        key = (record.team, record.idempotency_key)
        known = self._context.state.request_by_idempotency_key.get(key)
        for request in self._followers_by_key.pop(key, []):
            if request.spec.job not in self.open_by_id:
                continue
            if known is None:
                self._refuse(request, "not_started", "the first request did not run")
            else:
                self._answer_with_outcome(request, known)

    def _append_attempt_end(
        self, team: str, key: str, request: str, outcome: Outcome, answer: str = ""
    ) -> None:
        kept = answer if len(answer) <= MAX_LOGGED_ANSWER_CHARS else ""
        self._writer.append(AttemptEnded(team, key, request, outcome, kept))

    # Routing

    def _route(self, request: OpenRequest) -> None:
        """Offer a request to the owner with the shortest expected wait."""
        if not self._membership.is_member:
            self._refuse(request, "no_authority", "this entry host is not in the view")
            return
        owner = self._choose_owner(request)
        request.owner = owner
        request.attempt += 1
        request.offered_to.append(owner)
        self._outstanding_by_owner[owner] = self._outstanding_by_owner.get(owner, 0) + 1
        grant = Grant(
            request.spec,
            0,
            request.attempt,
            self._context.member,
            self._membership.view.number,
        )
        self._router.send(owner, TasksGranted((grant,)))

    def _choose_owner(self, request: OpenRequest) -> str:
        need = request.spec.need
        best = self._context.member
        best_score = float("-inf")
        for member in self._membership.view.members_by_id:
            if member == self._context.member:
                free = self._dispatcher.free
                queued = len(self._dispatcher.queue)
            else:
                peer = self._membership.peer_by_id.get(member)
                if peer is None or peer.capacity is None or peer.leaving:
                    continue
                if self._membership.suspects(member):
                    continue
                free = peer.capacity.free
                queued = peer.capacity.queued
            waiting = queued + self._outstanding_by_owner.get(member, 0)
            fit = min(
                1.0, max(0, free.processors) / max(1, need.processors * (waiting + 1))
            )
            score = fit - waiting - 10.0 * request.offered_to.count(member)
            if member == self._context.member:
                score += LOCAL_SCORE_BONUS
            if score > best_score:
                best = member
                best_score = score
        return best

    def _find_request(self, key: str) -> OpenRequest | None:
        job, _, attempt = parse_attempt_key(key)
        request = self.open_by_id.get(job)
        if request is None or request.attempt != attempt:
            self._context.counters["late_word"] += 1
            return None
        return request

    def _release_owner(self, request: OpenRequest) -> None:
        remaining = self._outstanding_by_owner.get(request.owner, 0) - 1
        if remaining > 0:
            self._outstanding_by_owner[request.owner] = remaining
        else:
            self._outstanding_by_owner.pop(request.owner, None)
        request.owner = ""

    def on_grant_returned(self, message: GrantReturned) -> None:
        """Offer a returned request, which never ran, to another owner or refuse it."""
        request = self._find_request(message.key)
        if request is None:
            return
        self._release_owner(request)
        late = self._context.wall >= request.spec.deadline
        if late or request.stopping or len(request.offered_to) >= MAX_OFFERS:
            code: RefusalCode = "not_started"
            if late or request.stopping:
                code = "deadline"
            self._refuse(request, code, f"it was not started: {message.reason}")
            return
        self._route(request)

    def on_attempt_started(self, message: AttemptStarted) -> None:
        """Ignore the message, because a running request needs no action."""

    def on_attempt_over(self, message: AttemptOver) -> None:
        """Answer the caller, or retry an idempotent request."""
        request = self._find_request(message.key)
        if request is None:
            return
        self._release_owner(request)
        request.may_have_run = True
        if message.outcome != "answered" and self._may_retry(request):
            self._context.counters["request_retried"] += 1
            self._route(request)
            return
        outcome: Outcome = "unknown"
        if message.outcome in ("answered", "failed"):
            outcome = message.outcome
        self._finish(
            request,
            RequestAnswer(
                request.spec.job, outcome, message.result, len(message.result)
            ),
        )

    def _refuse(self, request: OpenRequest, code: RefusalCode, sentence: str) -> None:
        """Refuse a request, or report an unknown outcome if it may have run."""
        if request.may_have_run:
            job = request.spec.job
            self._finish(request, RequestAnswer(job, "unknown", "", 0, sentence))
            return
        if request.is_logged:
            spec = request.spec
            self._append_attempt_end(
                spec.team, spec.idempotency_key, spec.job, "not_run"
            )
        request.is_logged = False
        self._finish(request, Refusal(code, sentence))

    def _finish(self, request: OpenRequest, answer: Answer) -> None:
        spec = request.spec
        if request.is_logged and isinstance(answer, RequestAnswer):
            self._append_attempt_end(
                spec.team, spec.idempotency_key, spec.job, answer.outcome, answer.answer
            )
        del self.open_by_id[spec.job]
        if request.owner:
            self._release_owner(request)
        remaining = self._open_count_by_team.get(spec.team, 1) - 1
        if remaining > 0:
            self._open_count_by_team[spec.team] = remaining
        else:
            self._open_count_by_team.pop(spec.team, None)
        kind = "answered" if isinstance(answer, RequestAnswer) else "not_run"
        self._context.counters[f"request_{kind}"] += 1
        self._context.emit(Reply(request.call, answer))

    # Lost owners and deadlines

    def on_view(self) -> None:
        """Resolve the requests whose owner left the view, as no outcome can arrive."""
        members = self._membership.view.members_by_id
        for request in list(self.open_by_id.values()):
            if request.owner and request.owner not in members:
                self._on_owner_lost(request)

    def _on_owner_lost(self, request: OpenRequest) -> None:
        """Retry an idempotent request elsewhere; others may have run already."""
        self._context.note("request_owner_lost", request.spec.job, request.owner)
        self._release_owner(request)
        request.may_have_run = True
        if self._may_retry(request):
            self._context.counters["request_retried"] += 1
            self._route(request)
        else:
            self._refuse(request, "not_started", "the member that held it is gone")

    def _may_retry(self, request: OpenRequest) -> bool:
        return (
            request.spec.idempotent
            and not request.stopping
            and len(request.offered_to) < MAX_OFFERS
            and self._context.wall < request.spec.deadline
        )

    def on_tick(self) -> None:
        """Retry requests of silent owners; stop or answer those that are overdue."""
        wall = self._context.wall
        for request in list(self.open_by_id.values()):
            deadline = request.spec.deadline
            if wall < deadline:
                is_silent = self._membership.suspects(request.owner)
                if request.owner and is_silent and self._may_retry(request):
                    self._on_owner_lost(request)
                continue
            if (
                not request.owner
                and request.attempt == 0
                and not self._is_follower(request)
            ):
                self._refuse(request, "deadline", "the deadline passed")
            elif request.owner and not request.stopping:
                request.stopping = True
                key = attempt_key(request.spec.job, 0, request.attempt)
                self._router.send(request.owner, AttemptStopAsked(key))
            elif wall >= deadline + OUTCOME_GRACE_S:
                self._give_up(request)

    def _is_follower(self, request: OpenRequest) -> bool:
        key = (request.spec.team, request.spec.idempotency_key)
        return request in self._followers_by_key.get(key, [])

    def _give_up(self, request: OpenRequest) -> None:
        self._finish(
            request,
            RequestAnswer(
                request.spec.job,
                "unknown",
                "",
                0,
                "no outcome was reported in time",
            ),
        )
