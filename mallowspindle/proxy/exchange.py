"""One request of a caller: pick a server, send, relay, repeat, end."""

import asyncio
from functools import partial
from itertools import count

from aiohttp import ClientError
from aiohttp.web import BaseRequest, Response, StreamResponse
from multidict import CIMultiDict

from mallowspindle.backends.service import Pick
from mallowspindle.backends.view import BackendView, InFlightRequest, Relocation
from mallowspindle.catalog.configuration import Organisation, Route, RouteKind
from mallowspindle.outcomes import NotRun, Unknown
from mallowspindle.policies.admission import (
    QueueEstimate,
    refusal_retry_after_s,
)
from mallowspindle.policies.copies import is_worth_copying
from mallowspindle.policies.splitting import choose_service
from mallowspindle.proxy import replies
from mallowspindle.proxy.connections import MatchedResponse
from mallowspindle.proxy.context import ProxyContext
from mallowspindle.proxy.errors import CallerGone
from mallowspindle.proxy.events import EventSplitter, OutOfOrder
from mallowspindle.proxy.messages import (
    AnswerHead,
    CallerRequest,
    Dispatch,
    MovedRun,
)
from mallowspindle.proxy.outcomes import (
    Answered,
    AttemptOutcome,
    Diverged,
    Relayed,
    Unreachable,
)
from mallowspindle.proxy.records import ExchangeLog
from mallowspindle.proxy.upstream import SendMark
from mallowspindle.utils.telemetry import meter

_OK = 200
_SERVER_ERROR = 500
# Pauses told to callers: how long a full or missing server usually stays so.
_FULL_PAUSE_S = 0.4
# Time kept back for the way of the answer to the caller.
_RETURN_S = 0.02
# A second attempt needs at least this time to be worth its place.
_LEAST_ATTEMPT_S = 0.05

attempts_total = meter.create_counter('attempts')


class Exchange:
    """One request and its answer."""

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
            limit_s = min(limit_s, patience_s - _RETURN_S)
        self._ends_at_s = began_at_s + limit_s
        self._service = choose_service(route.shares)
        self._response: StreamResponse | None = None
        self._splitter = EventSplitter(request.last_event_id)
        self._log = ExchangeLog(request, route, began_at_s, self._splitter)
        self._tried: set[str] = set()
        self._runs = 0
        self._counted = False
        self._last_failure: Answered | None = None
        self._relocation: Relocation | None = None

    async def run(self, body: bytes) -> StreamResponse:
        """Return the response for the caller, which may be under way."""
        self._context.budgets.note_request(self._service)
        self._context.backends.note_demand(self._service, self._request)
        try:
            async with asyncio.timeout_at(self._ends_at_s):
                return await self._run_attempts(body)
        except TimeoutError:
            return self._time_out()
        except CallerGone:
            self._log_end('left', 'the caller closed its connection')
            return self._response or replies.unknown_outcome()

    async def _run_attempts(self, body: bytes) -> StreamResponse:
        for number in count(1):
            pick = self._context.backends.pick(
                self._service, self._request, self._tried
            )
            if pick is None:
                return self._refuse('no server is left to try')
            pause_s = self._pause_s(pick) if number == 1 else 0
            if pause_s:
                return self._refuse('the servers are behind', pause_s)
            outcome = await self._try_server(pick.view, body, number)
            if isinstance(outcome, Relayed):
                break
            if not self._may_repeat(outcome):
                return await self._conclude(outcome)
        return self._started()

    async def _try_server(
        self, view: BackendView, body: bytes, number: int
    ) -> AttemptOutcome:
        """Send the request and follow its run to where it is moved."""
        outcome = await self._attempt(view, body)
        if not isinstance(outcome, NotRun):
            self._runs += 1
        self._note(view, outcome, number)
        while self._relocation is not None:
            moved = self._relocation
            self._relocation = None
            outcome = await self._attempt(moved.target, body, moved.run)
            self._note(moved.target, outcome, number)
            if isinstance(outcome, NotRun):
                # The run that was to go on there has run before.
                self._relocation = moved.fallback
                outcome = Unknown(f'a moved run found no place: {outcome}')
        return outcome

    async def _attempt(
        self, view: BackendView, body: bytes, continues: MovedRun | None = None
    ) -> AttemptOutcome:
        self._tried.add(view.server.server_id)
        self._splitter.resume()
        mark = SendMark()
        request = self._request
        keeper = self._copy_keeper(view)
        headers = self._dispatch_headers(view, continues, keeper)
        url = f'http://{view.server.address}{request.target}'
        with self._context.backends.track_request(view, request) as work:
            try:
                async with self._context.upstream.send(
                    request.method, url, headers, body, mark
                ) as answer:
                    outcome = await self._take(answer, work)
            except (ClientError, OSError, TimeoutError) as error:
                if self._is_overdue():
                    raise TimeoutError from error
                outcome = self._lost(error, mark)
            if self._may_go_on(outcome):
                moved = await work.relocation()
                self._relocation = moved or self._copied_run(keeper)
        return outcome

    def _may_go_on(self, outcome: AttemptOutcome) -> bool:
        """Tell whether the run may go on elsewhere from its memory."""
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
        """Return who keeps a copy of the run that is about to begin.

        Streams that may run again need none: their prompt is read anew.
        """
        if self._route.kind is not RouteKind.STREAM or self._route.repeatable:
            return None
        request = self._request
        if not is_worth_copying(
            request.prompt_tokens or 0, request.likely_output_tokens
        ):
            return None
        return self._context.backends.pick_copy_keeper(view, request)

    def _copied_run(self, keeper: BackendView | None) -> Relocation | None:
        """Return where a lost stream goes on, if a copy may be there."""
        if keeper is None or self._response is None:
            return None
        run = MovedRun(keeper.server.address, self._request.request_id)
        return Relocation(keeper, run)

    def _lost(self, error: Exception, mark: SendMark) -> AttemptOutcome:
        reason = f'{type(error).__name__}: {error}'
        if mark.sent:
            return Unknown(reason)
        return Unreachable(reason, _FULL_PAUSE_S)

    async def _take(
        self, answer: MatchedResponse, work: InFlightRequest
    ) -> AttemptOutcome:
        head = self._context.http_codec.decode_response_head(
            answer.status, answer.headers
        )
        if head.request_id != self._request.request_id:
            answer.close()
            return Unknown(f'answer to another request: {head.request_id}')
        if head.not_run:
            await answer.read()
            kind = Unreachable if head.misdirected else NotRun
            return kind(f'server answered {head.status}', _FULL_PAUSE_S)
        if head.status == _OK and self._route.kind is RouteKind.STREAM:
            return await self._relay(answer, head, work)
        self._count_usage()
        body = await answer.read()
        if answer.truncated:
            return Unknown('the connection was reset within the answer')
        return Answered(head, body)

    async def _relay(
        self,
        answer: MatchedResponse,
        head: AnswerHead,
        work: InFlightRequest,
    ) -> AttemptOutcome:
        """Pass on whole events as they come."""
        async for chunk in answer.content.iter_any():
            work.note_first_event()
            self._count_usage()
            try:
                events = self._splitter.feed(chunk)
            except OutOfOrder as error:
                answer.close()
                return Diverged(str(error))
            if events:
                await self._write(head, events)
        if answer.truncated or await self._ended_early(answer, work):
            return Unknown('the connection ended within the stream')
        await self._write(head, self._splitter.pending)
        return Relayed()

    async def _ended_early(
        self, answer: MatchedResponse, work: InFlightRequest
    ) -> bool:
        """Tell whether an end without a length is not that of the run."""
        if answer.framed:
            return False
        return bool(self._splitter.pending.strip()) or await work.was_stopped()

    async def _write(self, head: AnswerHead, events: bytes) -> None:
        """Pass on bytes; ``head`` begins the answer if they are the first."""
        try:
            if self._response is None:
                response = replies.stream(head)
                await response.prepare(self._web_request)
                self._response = response
            if events:
                await self._response.write(events)
        except OSError as error:
            raise CallerGone from error

    def _count_usage(self) -> None:
        if self._counted or self._organisation is None:
            return
        self._counted = True
        self._context.usage.count_request(self._organisation.name)

    def _note(
        self, view: BackendView, outcome: AttemptOutcome, number: int
    ) -> None:
        """Log an attempt and keep what it says of the server."""
        attempts_total.add(1, {'outcome': type(outcome).__name__})
        note = partial(self._log.note_attempt, view=view, number=number)
        match outcome:
            case NotRun(reason=reason):
                if isinstance(outcome, Unreachable):
                    self._context.backends.note_unreachable(view)
                else:
                    view.note_full(_FULL_PAUSE_S)
                note('attempt not run', reason=reason)
            case Unknown() if self._relocation is not None:
                note(
                    'stream goes on elsewhere',
                    target=self._relocation.target.server.server_id,
                    memory_at=self._relocation.run.source_address,
                )
            case Unknown(reason=reason):
                view.note_failure()
                note('attempt lost', reason=reason)
            case Answered(head=head) if head.status >= _SERVER_ERROR:
                self._last_failure = outcome
                view.note_failure()
                note('server failed', status=head.status)
            case _:
                view.note_success()

    def _may_repeat(self, outcome: AttemptOutcome) -> bool:
        if self._time_left_s() < _LEAST_ATTEMPT_S:
            return False
        match outcome:
            case NotRun():
                allowed = True
            case Answered(head=head):
                allowed = head.status >= _SERVER_ERROR and self._may_rerun()
            case _:
                allowed = self._may_rerun()
        return allowed and self._context.budgets.try_spend(self._service)

    def _may_rerun(self) -> bool:
        """Tell whether the request may run at one more server."""
        route = self._route
        return (
            route.repeatable
            and self._splitter.can_resume
            and self._runs < route.max_attempts
        )

    async def _conclude(self, outcome: AttemptOutcome) -> StreamResponse:
        match outcome:
            case Answered(head=head, body=body) if self._response is None:
                return replies.complete_answer(head, body)
            case NotRun(reason=reason):
                return self._refuse(reason)
            case _:
                return self._fail(replies.unknown_outcome())

    def _pause_s(self, pick: Pick) -> float:
        """Return 0 to send the first attempt, or when to come back."""
        turn = QueueEstimate(
            pick.backlog_s, self._route.objective_s, self._time_left_s()
        )
        return refusal_retry_after_s(turn)

    def _refuse(
        self, reason: str, pause_s: float = _FULL_PAUSE_S
    ) -> StreamResponse:
        """End a request that no server took; say not run only if true."""
        if self._runs:
            return self._fail(replies.unknown_outcome())
        self._log_end('refused', reason)
        return replies.refusal(pause_s)

    def _time_out(self) -> StreamResponse:
        if self._tried or self._response is not None:
            return self._fail(replies.timed_out())
        self._log_end('refused', 'no time was left')
        return replies.refusal(_FULL_PAUSE_S)

    def _fail(self, response: Response) -> StreamResponse:
        """End a request whose fate is unknown, or cut a begun answer.

        A failure that a server has told goes before one of our own.
        """
        told = self._last_failure
        if told is not None and self._response is None:
            return replies.complete_answer(told.head, told.body)
        if self._response is None:
            self._log_end('failed', f'status {response.status}')
            return response
        self._log_end('cut', 'the stream can not go on')
        transport = self._web_request.transport
        if transport is not None:
            # Events that are written still reach the caller; the end of the
            # stream is missing, so that it can't look whole.
            transport.close()
        return self._response

    def _started(self) -> StreamResponse:
        if self._response is None:
            raise RuntimeError('the answer was not begun')
        return self._response

    def _log_end(self, ending: str, reason: str) -> None:
        self._log.note_end(ending, reason, self._runs, self._tried)

    def _time_left_s(self) -> float:
        return self._ends_at_s - asyncio.get_running_loop().time()

    def _is_overdue(self) -> bool:
        return self._time_left_s() <= 0
