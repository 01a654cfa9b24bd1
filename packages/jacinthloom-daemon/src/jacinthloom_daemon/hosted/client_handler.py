"""Handle client calls: validate them, forward them to the planner, respond."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from jacinthloom_core.planner.specs import JobSpecError, check_job

from ..metrics import LatencyHistogram
from ..platform.client_calls import (
    Action,
    CallRefusedError,
    ClientCall,
    build_response,
    build_state_response,
    build_waiting_response,
    parse_call,
)
from ..platform.errors import InvalidDataError
from ..platform.schemas import decode_job
from . import log, messages
from .planner_client import NoPlannerError, UnansweredError

if TYPE_CHECKING:
    from jacinthloom_core.planner.rules import Rules
    from jacinthloom_wire.http_server import Request, ServerResponse

    from .feeds import OperatorFeed
    from .planned_stop import PlannedStop
    from .planner_client import PlannerClient

PLANNER_TIMEOUT_S = 1.5
"""Seconds that a call waits for a planner: an election and loading the records."""

RESPONSE_MARGIN_S = 0.25
"""Seconds of a caller's time budget reserved for delivering the response; at most half
of the budget."""

RETRY_AFTER_S = 1
"""Seconds after which to retry when this host can't serve: another one likely can."""


class ClientHandler:
    """Handle the HTTP calls of clients."""

    def __init__(
        self,
        feed: OperatorFeed,
        planner_client: PlannerClient,
        planned_stop: PlannedStop,
    ) -> None:
        self._feed = feed
        self._planner_client = planner_client
        self._planned_stop = planned_stop
        self.counters: Counter[str] = Counter()
        self.stop_counters: Counter[str] = Counter()
        """Calls that a planned stop has ended, by outcome."""
        self.latency = LatencyHistogram(
            "jacinthloom_call_seconds", "Time from a client's call to its answer."
        )

    async def handle(self, request: Request) -> ServerResponse:
        """Handle one call."""
        began = time.perf_counter()
        rules = self._feed.rules
        if not rules.version:
            reason = "no configuration has been loaded yet"
            self._log_refusal(request, 503, reason, rules)
            return build_response(503, reason, RETRY_AFTER_S)
        try:
            call = parse_call(request, rules)
            response = await self._serve(call, request, rules)
        except CallRefusedError as error:
            response = build_response(error.status, str(error))
            self._log_refusal(request, error.status, str(error), rules)
        except asyncio.CancelledError:
            log.write("call_cut_off", method=request.method, path=request.path)
            raise
        self.counters[f"{request.method} {response.status}"] += 1
        self.latency.record(time.perf_counter() - began)
        return response

    async def _serve(
        self, call: ClientCall, request: Request, rules: Rules
    ) -> ServerResponse:
        message: messages.PlannerCall
        if call.action is Action.SUBMIT:
            message = self._decode_submission(call, request)
        elif call.action is Action.CANCEL:
            message = messages.Cancel(0, call.job)
        elif call.action is Action.SHOW:
            message = messages.Show(0, call.job)
        else:
            message = messages.Count(0, call.queue.name)
        answer = await self._call_planner(message, call.budget_s)
        if answer.status >= 500 or answer.status == 429:
            self._log_refusal(request, answer.status, answer.reason, rules)
        if answer.state:
            return build_state_response(answer.state)
        if call.action is Action.COUNT and answer.status == 200:
            return build_waiting_response(answer.waiting)
        response = build_response(answer.status, answer.reason, answer.retry_after_s)
        return replace(
            response, closes_connection=self._planner_client.has_lost_planner
        )

    def _decode_submission(self, call: ClientCall, request: Request) -> messages.Submit:
        now_ms = int(time.time() * 1000)
        try:
            spec = decode_job(
                request.body, call.job, call.queue.name, call.client_account, now_ms
            )
            check_job(spec)
        except (InvalidDataError, JobSpecError) as error:
            raise CallRefusedError(400, str(error)) from error
        return messages.Submit(0, spec)

    async def _call_planner(
        self, message: messages.PlannerCall, budget_s: float
    ) -> messages.Answer:
        """Send a call to the planner, and to its successor if there is no response.

        Retries are safe because the store holds what a planner has accepted.
        """
        if budget_s <= 0:
            return messages.Answer(
                0, 503, "the time budget of the call is zero", RETRY_AFTER_S
            )
        margin_s = min(RESPONSE_MARGIN_S, budget_s / 2)
        deadline = time.monotonic() + budget_s - margin_s
        was_sent = False
        while (remaining_s := deadline - time.monotonic()) > 0:
            wait_s = remaining_s if was_sent else min(remaining_s, PLANNER_TIMEOUT_S)
            try:
                return await self._planner_client.call(message, wait_s, remaining_s)
            except NoPlannerError:
                break
            except UnansweredError:
                was_sent = True
        return self._refuse(was_sent)

    def _refuse(self, was_sent: bool) -> messages.Answer:
        """Return the response to a call that no planner has responded to."""
        cause = ""
        if self._planned_stop.has_begun:
            cause = "this host is stopping, and "
            self.stop_counters["unknown" if was_sent else "refused"] += 1
        if was_sent:
            reason = "the planner did not respond in time; the outcome is unknown"
            return messages.Answer(0, 504, cause + reason)
        reason = "no planner is available"
        return messages.Answer(0, 503, cause + reason, RETRY_AFTER_S)

    def _log_refusal(
        self, request: Request, status: int, reason: str, rules: Rules
    ) -> None:
        log.write(
            "call_refused",
            method=request.method,
            path=request.path,
            status=status,
            reason=reason,
            rules=rules.version,
        )
