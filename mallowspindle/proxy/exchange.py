"""Handles one request: picks servers, retries, and ends it."""

import asyncio
from itertools import count

from aiohttp.web import StreamResponse

from mallowspindle.backends.view import Pick
from mallowspindle.catalog.configuration import RouteKind
from mallowspindle.outcomes import NotRun
from mallowspindle.policies.admission import (
    QueueEstimate,
    refusal_retry_after_s,
)
from mallowspindle.policies.splitting import choose_service
from mallowspindle.proxy import replies
from mallowspindle.proxy.continuation import UnknownBegin
from mallowspindle.proxy.endings import ExchangeEnding
from mallowspindle.proxy.errors import CallerDisconnected
from mallowspindle.proxy.hedging import HedgedAttempts
from mallowspindle.proxy.outcomes import (
    Answered,
    AttemptOutcome,
    PeerAnswered,
    Relayed,
)
from mallowspindle.proxy.state import ExchangeState
from mallowspindle.utils.telemetry import meter

# With less time left, a retry is not worth the capacity that it takes.
_MIN_ATTEMPT_S = 0.05

quarantined_total = meter.create_counter('requests_quarantined')
held_back_total = meter.create_counter('requests_held_back_by_limits')


class Exchange:
    """One request of a caller and its response."""

    def __init__(self, state: ExchangeState) -> None:
        self._state = state
        self._service = choose_service(state.route.shares)
        self._attempts = HedgedAttempts(state)
        self._end = ExchangeEnding(state)

    async def run(self, body: bytes) -> StreamResponse:
        """Return the response for the caller; a stream is already sent."""
        if self._state.request.relayed_by is None:
            self._state.context.retries.note_request(self._service)
            self._state.context.backends.note_demand(
                self._service, self._state.request
            )
        if self._state.time_left_s() <= 0:
            return self._end.time_out()
        try:
            with self._state.continuation:
                async with asyncio.timeout_at(self._state.deadline_s):
                    return await self._run_attempts(body)
        except TimeoutError:
            return self._end.time_out()
        except CallerDisconnected:
            self._end.log_end('left', 'the caller closed its connection')
            return self._state.relay.response or replies.unknown_outcome()

    async def _run_attempts(self, body: bytes) -> StreamResponse:
        for attempt_number in count(1):
            try:
                self._service = await self._state.continuation.find_service(
                    self._service
                )
            except UnknownBegin as error:
                return self._end.refuse(f'the stream can not go on: {error}')
            outcome = await self._attempt_once(body, attempt_number)
            if isinstance(outcome, StreamResponse):
                return outcome
            if isinstance(outcome, Relayed):
                break
            if not await self._may_retry(outcome):
                return self._end.final_response(outcome)
        return self._started_response()

    async def _attempt_once(
        self, body: bytes, attempt_number: int
    ) -> AttemptOutcome | StreamResponse:
        """Return the outcome of an attempt, or the final response."""
        refusal = self._state.context.quarantine.find_refusal(
            self._state.request
        )
        if refusal is not None:
            quarantined_total.add(1)
            return self._end.refuse(refusal.reason, refusal.retry_after_s)
        peer = self._state.hop.choose_peer(self._service)
        if peer is not None:
            return await self._state.hop.send(
                peer, self._service, body, self._state.time_left_s()
            )
        pick = self._pick_or_refuse(attempt_number)
        if isinstance(pick, StreamResponse):
            return pick
        return await self._attempts.send(
            pick, self._service, body, attempt_number
        )

    def _pick_or_refuse(self, attempt_number: int) -> Pick | StreamResponse:
        """Return the server for the next attempt, or the final response."""
        backends = self._state.context.backends
        pick = backends.pick(
            self._service,
            self._state.request,
            self._state.history.servers,
            self._state.continuation.software_version,
            streams=self._state.route.kind is RouteKind.STREAM,
        )
        if pick is None:
            return self._refuse_unplaced()
        retry_after_s = self._retry_after_s(pick) if attempt_number == 1 else 0
        if retry_after_s:
            return self._end.refuse('the servers are behind', retry_after_s)
        if self._state.request.last_event_id is not None:
            self._state.log.log_resumed(pick.view)
        return pick

    async def _may_retry(self, outcome: AttemptOutcome) -> bool:
        if self._state.time_left_s() < _MIN_ATTEMPT_S:
            return False
        match outcome:
            case PeerAnswered(promises_not_run=True):
                return False
            case NotRun():
                allowed = True
            case Answered():
                allowed = outcome.is_server_error and self._may_rerun()
            case _:
                allowed = self._may_rerun()
        return allowed and await self._state.context.retries.try_spend(
            self._service, self._state.time_left_s() - _MIN_ATTEMPT_S
        )

    def _may_rerun(self) -> bool:
        """Return whether the request may run once more."""
        route = self._state.route
        return (
            route.repeatable
            and self._state.splitter.can_resume
            and self._state.history.run_count < self._state.max_runs
        )

    def _retry_after_s(self, pick: Pick) -> float:
        """Return 0 to send the request, or the time until a retry."""
        queue = QueueEstimate(
            pick.backlog_s,
            self._state.route.objective_s,
            self._state.time_left_s(),
        )
        return refusal_retry_after_s(queue)

    def _refuse_unplaced(self) -> StreamResponse:
        """End a request for which no server is left."""
        retry_after_s = self._state.context.backends.limit_retry_after_s(
            self._service
        )
        if retry_after_s is None:
            version = self._state.continuation.software_version
            wanted = 'server' if version is None else f'server of {version}'
            return self._end.refuse(f'no {wanted} is left to try')
        held_back_total.add(1)
        return self._end.refuse(
            'the servers are at their limits', retry_after_s
        )

    def _started_response(self) -> StreamResponse:
        if self._state.relay.response is None:
            raise RuntimeError('the relayed response was never started')
        return self._state.relay.response
