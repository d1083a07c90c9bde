"""Handles one request: picks servers, retries, and relays the response."""

import asyncio
from functools import partial
from itertools import count

from aiohttp import ClientError
from aiohttp.web import BaseRequest, Response, StreamResponse
from multidict import CIMultiDict

from mallowspindle.backends.view import (
    BackendView,
    InFlightRequest,
    Pick,
    Relocation,
)
from mallowspindle.catalog.configuration import Organisation, Route, RouteKind
from mallowspindle.outcomes import NotRun, Unknown
from mallowspindle.policies.admission import (
    QueueEstimate,
    refusal_retry_after_s,
)
from mallowspindle.policies.copies import is_worth_copying
from mallowspindle.policies.splitting import choose_service
from mallowspindle.proxy import replies
from mallowspindle.proxy.connections import SendState
from mallowspindle.proxy.context import ProxyContext
from mallowspindle.proxy.continuation import Continuation, UnknownBegin
from mallowspindle.proxy.errors import CallerDisconnected
from mallowspindle.proxy.events import EventSplitter
from mallowspindle.proxy.hops import PeerHop
from mallowspindle.proxy.messages import (
    CallerRequest,
    Dispatch,
    MovedRun,
)
from mallowspindle.proxy.outcomes import (
    UNAVAILABLE_RETRY_AFTER_S,
    Answered,
    AttemptOutcome,
    Diverged,
    PeerAnswered,
    Relayed,
    Unreachable,
    outcome_of_error,
)
from mallowspindle.proxy.records import ExchangeLog
from mallowspindle.proxy.relaying import ResponseRelay
from mallowspindle.utils.telemetry import meter

_SERVER_ERROR = 500
# Part of the caller's timeout reserved for sending the response back.
_RESPONSE_RESERVE_S = 0.02
# With less time left, a retry is not worth the capacity that it takes.
_MIN_ATTEMPT_S = 0.05

attempts_total = meter.create_counter('attempts')
quarantined_total = meter.create_counter('requests_quarantined')
held_back_total = meter.create_counter('requests_held_back_by_limits')


class Exchange:
    """One request of a caller and its response."""

    def __init__(
        self,
        context: ProxyContext,
        web_request: BaseRequest,
        request: CallerRequest,
        route: Route,
        organisation: Organisation | None,
        began_at_s: float,
    ) -> None:
        self._context = context
        self._web_request = web_request
        self._request = request
        self._route = route
        self._organisation = organisation
        patience_s = request.patience_s
        limit_s = route.timeout_s
        if patience_s is not None:
            limit_s = min(limit_s, patience_s - _RESPONSE_RESERVE_S)
        self._deadline_s = began_at_s + limit_s
        self._service = choose_service(route.shares)
        self._splitter = EventSplitter(request.last_event_id)
        self._continuation = Continuation(
            context.streams, request, route, organisation
        )
        self._relay = ResponseRelay(
            context,
            web_request,
            request,
            route,
            organisation,
            self._splitter,
            self._continuation,
        )
        self._log = ExchangeLog(request, route, began_at_s, self._splitter)
        self._hop = PeerHop(
            context, request, self._relay, self._splitter, self._log
        )
        self._tried_servers: set[str] = set()
        self._run_count = 0
        self._last_server_error: Answered | None = None
        self._relocation: Relocation | None = None

    @property
    def _response(self) -> StreamResponse | None:
        return self._relay.response

    async def run(self, body: bytes) -> StreamResponse:
        """Return the response for the caller; a stream is already sent."""
        if self._request.relayed_by is None:
            self._context.retry_budgets.note_request(self._service)
            self._context.backends.note_demand(self._service, self._request)
        try:
            with self._continuation:
                async with asyncio.timeout_at(self._deadline_s):
                    return await self._run_attempts(body)
        except TimeoutError:
            return self._time_out()
        except CallerDisconnected:
            self._log_end('left', 'the caller closed its connection')
            return self._response or replies.unknown_outcome()

    async def _run_attempts(self, body: bytes) -> StreamResponse:
        try:
            self._service = await self._continuation.find_service(self._service)
        except UnknownBegin as error:
            return self._refuse(f'the stream can not go on: {error}')
        for attempt_number in count(1):
            outcome = await self._attempt_once(body, attempt_number)
            if isinstance(outcome, StreamResponse):
                return outcome
            if isinstance(outcome, Relayed):
                break
            if not self._may_retry(outcome):
                return await self._final_response(outcome)
        return self._started_response()

    async def _attempt_once(
        self, body: bytes, attempt_number: int
    ) -> AttemptOutcome | StreamResponse:
        """Return the outcome of an attempt, or the final response."""
        refusal = self._context.quarantine.find_refusal(self._request)
        if refusal is not None:
            quarantined_total.add(1)
            return self._refuse(refusal.reason, refusal.retry_after_s)
        peer = self._hop.choose_peer(self._service)
        if peer is not None:
            outcome = await self._hop.send(peer, body, self._time_left_s())
            self._run_count += isinstance(outcome, Unknown)
            return outcome
        pick = self._pick_or_refuse(attempt_number)
        if isinstance(pick, StreamResponse):
            return pick
        return await self._try_server(pick.view, body, attempt_number)

    def _pick_or_refuse(self, attempt_number: int) -> Pick | StreamResponse:
        """Return the server for the next attempt, or the final response."""
        backends = self._context.backends
        pick = backends.pick(
            self._service,
            self._request,
            self._tried_servers,
            self._continuation.software_version,
        )
        if pick is None:
            return self._refuse_unplaced()
        retry_after_s = self._retry_after_s(pick) if attempt_number == 1 else 0
        if retry_after_s:
            return self._refuse('the servers are behind', retry_after_s)
        if self._request.last_event_id is not None:
            self._log.log_resumed(pick.view)
        return pick

    async def _try_server(
        self, view: BackendView, body: bytes, attempt_number: int
    ) -> AttemptOutcome:
        """Send the request; if its run is moved, continue it at the target."""
        outcome = await self._attempt(view, body)
        if not isinstance(outcome, NotRun):
            self._run_count += 1
        self._record_outcome(view, outcome, attempt_number)
        while self._relocation is not None:
            moved = self._relocation
            self._relocation = None
            outcome = await self._continue_run(moved, body)
            self._record_outcome(moved.target, outcome, attempt_number)
            if isinstance(outcome, NotRun):
                # The target has not continued the run, but the run itself had
                # started before, so the outcome is unknown.
                self._relocation = moved.fallback
                outcome = Unknown(f'a moved run found no place: {outcome}')
        return outcome

    async def _continue_run(
        self, moved: Relocation, body: bytes
    ) -> AttemptOutcome:
        backends = self._context.backends
        if not self._continuation.allows(moved.target.server):
            return NotRun(
                'the server has another software version',
                UNAVAILABLE_RETRY_AFTER_S,
            )
        if self._context.quarantine.find_refusal(self._request) is not None:
            return NotRun('it has crashed servers', UNAVAILABLE_RETRY_AFTER_S)
        if moved.claimed or backends.claim(moved.target):
            return await self._attempt(moved.target, body, moved.run)
        return NotRun('the server is at its limit', UNAVAILABLE_RETRY_AFTER_S)

    async def _attempt(
        self, view: BackendView, body: bytes, continues: MovedRun | None = None
    ) -> AttemptOutcome:
        self._tried_servers.add(view.server.server_id)
        self._splitter.start_response()
        send_state = SendState()
        request = self._request
        keeper = self._copy_keeper(view)
        headers = self._dispatch_headers(view, continues, keeper)
        url = f'http://{view.server.address}{request.target}'
        with self._context.backends.track_request(view, request) as in_flight:
            try:
                async with self._context.upstream.send(
                    request.method, url, headers, body, send_state
                ) as answer:
                    outcome = await self._relay.receive(answer, view, in_flight)
            except (ClientError, OSError, TimeoutError) as error:
                if self._deadline_passed():
                    raise TimeoutError from error
                outcome = outcome_of_error(error, sent=send_state.sent)
                self._context.backends.record_lost_connection(view)
                if isinstance(outcome, Unreachable):
                    self._hop.note_failed_connection()
            if isinstance(outcome, Unknown) and not in_flight.settled:
                await self._record_lost(view, in_flight, send_state)
            if self._can_continue_run(outcome):
                moved = await in_flight.relocation()
                self._relocation = moved or self._relocation_to_copy(keeper)
        return outcome

    async def _record_lost(
        self,
        view: BackendView,
        in_flight: InFlightRequest,
        send_state: SendState,
    ) -> None:
        """Record that a server was lost before it outlived the request."""
        if not in_flight.streaming:
            self._log.log_unanswered(view, send_state.responding)
        if in_flight.move is None:
            await self._context.quarantine.record_lost(
                view.server, self._request, responding=send_state.responding
            )

    def _can_continue_run(self, outcome: AttemptOutcome) -> bool:
        """Return whether the run may continue elsewhere from its memory."""
        return (
            isinstance(outcome, Unknown)
            and not isinstance(outcome, Diverged)
            and self._splitter.can_resume
        )

    def _dispatch_headers(
        self,
        view: BackendView,
        continues: MovedRun | None,
        keeper: BackendView | None,
    ) -> CIMultiDict[str]:
        organisation = self._organisation
        dispatch = Dispatch(
            server_id=view.server.server_id,
            time_left_s=self._time_left_s(),
            organisation=organisation.name if organisation else None,
            last_event_id=self._splitter.last_event_id,
            continues=continues,
            copy_keeper=keeper.server.address if keeper else None,
        )
        return self._context.http_codec.encode_dispatch(self._request, dispatch)

    def _copy_keeper(self, view: BackendView) -> BackendView | None:
        """Return the server that keeps a copy of the run; None for no copy.

        Streams that may run again need no copy: their prompt is prefilled
        again.
        """
        if self._route.kind is not RouteKind.STREAM or self._route.repeatable:
            return None
        request = self._request
        if not is_worth_copying(
            request.prompt_tokens or 0, request.likely_output_tokens
        ):
            return None
        return self._context.backends.pick_copy_keeper(view, request)

    def _relocation_to_copy(
        self, keeper: BackendView | None
    ) -> Relocation | None:
        """Return where a lost stream continues, if a copy may exist.

        A copy is assumed to exist once the response has started.
        """
        if keeper is None or self._response is None:
            return None
        run = MovedRun(keeper.server.address, self._request.request_id)
        return Relocation(keeper, run)

    def _record_outcome(
        self, view: BackendView, outcome: AttemptOutcome, attempt_number: int
    ) -> None:
        """Log the outcome of an attempt and update the state of the server."""
        attempts_total.add(1, {'outcome': type(outcome).__name__})
        log_outcome = partial(
            self._log.log_attempt, view=view, attempt_number=attempt_number
        )
        match outcome:
            case NotRun(reason=reason):
                if isinstance(outcome, Unreachable):
                    self._context.backends.record_unreachable(view)
                else:
                    view.record_full(UNAVAILABLE_RETRY_AFTER_S)
                log_outcome('attempt not run', reason=reason)
            case Unknown() if self._relocation is not None:
                log_outcome(
                    'stream goes on elsewhere',
                    target=self._relocation.target.server.server_id,
                    target_software=(
                        self._relocation.target.server.software_version
                    ),
                    memory_at=self._relocation.run.source_address,
                )
            case Unknown(reason=reason):
                view.record_failure()
                log_outcome('attempt lost', reason=reason)
            case Answered(head=head) if head.status >= _SERVER_ERROR:
                self._last_server_error = outcome
                view.record_failure()
                log_outcome('server failed', status=head.status)
            case _:
                view.record_success()

    def _may_retry(self, outcome: AttemptOutcome) -> bool:
        if self._time_left_s() < _MIN_ATTEMPT_S:
            return False
        match outcome:
            case PeerAnswered():
                return False
            case NotRun():
                allowed = True
            case Answered(head=head):
                allowed = head.status >= _SERVER_ERROR and self._may_rerun()
            case _:
                allowed = self._may_rerun()
        return allowed and self._context.retry_budgets.try_spend(self._service)

    def _may_rerun(self) -> bool:
        """Return whether the request may run once more."""
        route = self._route
        return (
            route.repeatable
            and self._splitter.can_resume
            and self._run_count < route.max_attempts
        )

    async def _final_response(self, outcome: AttemptOutcome) -> StreamResponse:
        match outcome:
            case PeerAnswered() if outcome.promises_not_run and self._run_count:
                return self._fail(replies.unknown_outcome())
            case Answered(head=head, body=body) if self._response is None:
                return replies.complete_answer(head, body)
            case NotRun(reason=reason):
                return self._refuse(reason)
            case _:
                return self._fail(replies.unknown_outcome())

    def _retry_after_s(self, pick: Pick) -> float:
        """Return 0 to send the request, or the time until a retry."""
        queue = QueueEstimate(
            pick.backlog_s, self._route.objective_s, self._time_left_s()
        )
        return refusal_retry_after_s(queue)

    def _refuse(
        self, reason: str, retry_after_s: float = UNAVAILABLE_RETRY_AFTER_S
    ) -> StreamResponse:
        """End a request that no server accepted.

        The response says ``not run`` only if no attempt may have run.
        """
        if self._run_count:
            return self._fail(replies.unknown_outcome())
        self._log_end('refused', reason)
        return replies.refusal(retry_after_s)

    def _refuse_unplaced(self) -> StreamResponse:
        """End a request for which no server is left."""
        retry_after_s = self._context.backends.limit_retry_after_s(
            self._service
        )
        if retry_after_s is None:
            version = self._continuation.software_version
            wanted = 'server' if version is None else f'server of {version}'
            return self._refuse(f'no {wanted} is left to try')
        held_back_total.add(1)
        return self._refuse('the servers are at their limits', retry_after_s)

    def _time_out(self) -> StreamResponse:
        if self._tried_servers or self._response is not None:
            return self._fail(replies.timed_out())
        self._log_end('refused', 'no time was left')
        return replies.refusal(UNAVAILABLE_RETRY_AFTER_S)

    def _fail(self, response: Response) -> StreamResponse:
        """End a request with an unknown outcome, or cut a started response.

        An error response of a server takes precedence over ``response``.
        """
        server_error = self._last_server_error
        if server_error is not None and self._response is None:
            return replies.complete_answer(server_error.head, server_error.body)
        if self._response is None:
            self._log_end('failed', f'status {response.status}')
            return response
        self._log_end('cut', 'the stream can not go on')
        transport = self._web_request.transport
        if transport is not None:
            # Events that are already written still reach the caller. The end
            # of the stream is missing, so that it can't seem complete.
            transport.close()
        return self._response

    def _started_response(self) -> StreamResponse:
        if self._response is None:
            raise RuntimeError('the relayed response was never started')
        return self._response

    def _log_end(self, ending: str, reason: str) -> None:
        self._log.log_end(ending, reason, self._run_count, self._tried_servers)

    def _time_left_s(self) -> float:
        return self._deadline_s - asyncio.get_running_loop().time()

    def _deadline_passed(self) -> bool:
        return self._time_left_s() <= 0
