"""Operators' requests for state reports and configuration changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..model.answers import ChangeAnswer, ObjectAnswer, Refusal
from ..model.effects import Reply
from ..model.operations import (
    PublishChange,
    RestartFleet,
    ShowConfiguration,
    ShowStatus,
    ShowTeams,
    ShowWorkers,
)
from ..model.records import ConfigurationChanged

if TYPE_CHECKING:
    from ..context import Context
    from ..members.membership import Membership
    from ..members.proposals import Proposals
    from ..model.events import OperatorAsked
    from ..model.records import MemberInfo
    from ..shared_log.log_state import AppliedRecord
    from ..shared_log.log_writer import LogWriter
    from .state_reporter import StateReporter

PUBLISH_TIMEOUT_S = 10.0
"""Seconds after which a change that not every member has applied is reported so."""


@dataclass(slots=True)
class _PendingChange:
    """A change that not every member has applied yet.

    :param call: id of the operator's open HTTP request
    :param expires_at: monotonic time at which it times out
    """

    call: int
    expires_at: float
    offset: int = -1
    version: int = 0


class OperatorApi:
    """Appends configuration changes, waits until members apply them, reports state."""

    def __init__(
        self,
        context: Context,
        membership: Membership,
        proposals: Proposals,
        writer: LogWriter,
        reporter: StateReporter,
        own_info: MemberInfo,
    ) -> None:
        self._context = context
        self._membership = membership
        self._proposals = proposals
        self._writer = writer
        self._reporter = reporter
        self._own_info = own_info
        self._pending_by_id: dict[str, _PendingChange] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no operator waits for a response."""
        return not self._pending_by_id

    def on_operator_asked(self, event: OperatorAsked) -> None:
        """Return a state report or append a change."""
        request = event.request
        match request:
            case PublishChange():
                self._publish(event.call, request)
            case ShowStatus():
                self._show(event.call, self._reporter.describe_status())
            case ShowConfiguration():
                self._show(event.call, self._reporter.describe_configuration())
            case ShowTeams():
                self._show(event.call, self._reporter.describe_teams())
            case ShowWorkers():
                self._show(event.call, self._reporter.describe_workers())
            case RestartFleet():
                self._proposals.restart(self._own_info)
                self._show(event.call, {"state": "published"})

    def _publish(self, call: int, request: PublishChange) -> None:
        context = self._context
        if request.change_id in context.state.result_by_change:
            self._pending_by_id[request.change_id] = _PendingChange(call, context.now)
            self._resolve_change(request.change_id)
            return
        if not self._membership.is_log_available:
            sentence = "the platform log is unavailable; nothing was changed"
            context.emit(Reply(call, Refusal("log_unavailable", sentence)))
            return
        self._pending_by_id[request.change_id] = _PendingChange(
            call, context.now + PUBLISH_TIMEOUT_S
        )
        self._writer.append(
            ConfigurationChanged(
                request.change_id,
                request.base_version,
                request.change,
                request.author,
                context.wall,
            )
        )

    def on_configuration_changed(
        self, applied: AppliedRecord, record: ConfigurationChanged
    ) -> None:
        """Respond to a change whose record was read back from the log."""
        if applied.accepted:
            version = self._context.state.configuration.version
            self._context.note("configuration", str(version), record.author)
        self._resolve_change(record.change_id)

    def _resolve_change(self, change_id: str) -> None:
        pending = self._pending_by_id.get(change_id)
        result = self._context.state.result_by_change.get(change_id)
        if pending is None or result is None:
            return
        if not result.accepted:
            del self._pending_by_id[change_id]
            answer = ChangeAnswer("refused", result.version, result.reason)
            self._context.emit(Reply(pending.call, answer))
            return
        missing = self._membership.list_members_behind(result.offset)
        view = self._membership.view
        applied = len(view.members_by_id) - len(missing)
        if applied >= view.votes_needed and not missing:
            del self._pending_by_id[change_id]
            answer = ChangeAnswer("accepted", result.version, "in force everywhere")
            self._context.emit(Reply(pending.call, answer))

    def _expire_change(self, change_id: str, pending: _PendingChange) -> None:
        del self._pending_by_id[change_id]
        result = self._context.state.result_by_change.get(change_id)
        if result is None:
            sentence = "the change was not read back; it may still take effect"
            answer = ChangeAnswer("unknown", 0, sentence)
        else:
            missing = tuple(self._membership.list_members_behind(result.offset))
            view = self._membership.view
            enough = len(view.members_by_id) - len(missing) >= view.votes_needed
            answer = ChangeAnswer(
                "accepted" if enough else "published",
                result.version,
                "members that have not applied it start no work until they do",
                missing,
            )
        self._context.emit(Reply(pending.call, answer))

    def _show(self, call: int, fields: dict[str, object]) -> None:
        self._context.emit(Reply(call, ObjectAnswer(fields)))

    def on_tick(self) -> None:
        """Respond to pending changes that are decided or timed out."""
        for change_id, pending in list(self._pending_by_id.items()):
            self._resolve_change(change_id)
            late = self._context.now >= pending.expires_at
            if change_id in self._pending_by_id and late:
                self._expire_change(change_id, pending)
