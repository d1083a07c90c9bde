"""Receives the responses of servers and forwards streams to the caller."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import cast

from aiohttp.web import BaseRequest, StreamResponse

from mallowspindle.backends.view import BackendView, InFlightRequest
from mallowspindle.catalog.configuration import Organisation, Route, RouteKind
from mallowspindle.intake.handler import BoundedHandler
from mallowspindle.outcomes import NotRun, Unknown
from mallowspindle.proxy import replies
from mallowspindle.proxy.bodies import HeldAnswer, read_body, skip_body
from mallowspindle.proxy.connections import MatchedResponse
from mallowspindle.proxy.context import ProxyContext
from mallowspindle.proxy.continuation import Continuation
from mallowspindle.proxy.errors import BadResponse, CallerDisconnected
from mallowspindle.proxy.events import EventSplitter, OutOfOrder, OversizedEvent
from mallowspindle.proxy.faults import AnswerGivenUp, Fault, note_given_up
from mallowspindle.proxy.messages import CallerRequest, ResponseHead
from mallowspindle.proxy.outcomes import (
    UNAVAILABLE_RETRY_AFTER_S,
    Answered,
    AttemptOutcome,
    Diverged,
    PeerAnswered,
    Relayed,
    Unreachable,
)
from mallowspindle.utils.bodies import tells_its_length

_OK = 200
_SERVER_ERROR = 500
# A server that crashes because of a prompt does so when it begins to respond,
# so it has outlived the prompt this time after the first event.
_SETTLING_TIME_S = 0.5


class ResponseRelay:
    """The response to one caller, from all attempts at servers."""

    def __init__(
        self,
        context: ProxyContext,
        web_request: BaseRequest,
        request: CallerRequest,
        route: Route,
        organisation: Organisation | None,
        splitter: EventSplitter,
        continuation: Continuation,
    ) -> None:
        self._context = context
        self._web_request = web_request
        self._request = request
        self._route = route
        self._organisation = organisation
        self._splitter = splitter
        self._continuation = continuation
        self._response: StreamResponse | None = None
        self._usage_counted = False
        self._settles_at_s = 0.0

    @property
    def response(self) -> StreamResponse | None:
        """The stream to the caller; None until it has begun."""
        return self._response

    async def receive(
        self,
        answer: MatchedResponse,
        view: BackendView,
        in_flight: InFlightRequest,
    ) -> AttemptOutcome:
        """Return the outcome of an attempt; events of streams are forwarded.

        Raise ``CallerDisconnected`` if the caller has left.
        """
        self._context.backends.record_answering(view)
        head = self._decode_head(answer, {self._request.request_id})
        if isinstance(head, Unknown):
            return head
        if not head.misdirected:
            self._context.backends.record_statements(view, head)
        if head.not_run:
            await skip_body(answer)
            kind = Unreachable if head.misdirected else NotRun
            return kind(
                f'server answered {head.status}', UNAVAILABLE_RETRY_AFTER_S
            )
        try:
            if head.status == _OK and self._route.kind is RouteKind.STREAM:
                return await self._relay(answer, head, view, in_flight)
            if head.status < _SERVER_ERROR:
                self._context.backends.record_response(view, in_flight)
            self._count_usage()
            body = await self._read_whole(answer)
        except AnswerGivenUp as error:
            self._splitter.discard_pending()
            # A server that still sends has not crashed.
            self._settle(in_flight)
            return Unknown(str(error))
        if answer.truncated:
            return Unknown('the connection was reset within the answer')
        self._settle(in_flight)
        return Answered(head, body)

    async def receive_from_peer(
        self, answer: MatchedResponse
    ) -> AttemptOutcome:
        """Return the outcome of a request that a peer has passed on.

        The peer counts its use.
        """
        head = self._decode_head(answer, {None, self._request.request_id})
        if isinstance(head, Unknown):
            return head
        if not tells_its_length(answer):
            # Nodes always tell it, so this is none, or its answer is damaged.
            answer.close()
            return Unknown('the answer of the peer does not tell its length')
        try:
            if head.status != _OK or self._route.kind is not RouteKind.STREAM:
                return PeerAnswered(head, await self._read_whole(answer))
            return await self._relay_from_peer(answer, head)
        except AnswerGivenUp as error:
            self._splitter.discard_pending()
            return Unknown(str(error))

    async def _relay_from_peer(
        self, answer: MatchedResponse, head: ResponseHead
    ) -> AttemptOutcome:
        origin = self._context.peers.take_origin(head.headers)
        with self._hold(answer) as held:
            async for chunk in answer.content.iter_any():
                self._usage_counted = True
                events = self._feed(chunk)
                if isinstance(events, Unknown):
                    answer.close()
                    return events
                if events and self._response is None:
                    self._continuation.note_begun_at_peer(origin)
                if events:
                    await self._write(head, events)
                if held.concerns(self._splitter.pending_bytes):
                    await held.hold(self._splitter.pending_bytes)
        return await self._finish(head)

    async def _read_whole(self, answer: MatchedResponse) -> bytes:
        """Return the body, which is held until the caller has read it."""
        with self._hold(answer, until_answered=True) as held:
            return await read_body(answer, held)

    @contextmanager
    def _hold(
        self, answer: MatchedResponse, *, until_answered: bool = False
    ) -> Iterator[HeldAnswer]:
        """Yield what holds the bytes of an answer."""
        held = HeldAnswer(
            self._context.answers, answer, self._request.request_id
        )
        try:
            yield held
        except BaseException:
            held.release()
            raise
        if until_answered and held.is_counted:
            held.deliver(self._web_request)
            connection = cast(BoundedHandler, self._web_request.protocol)
            connection.call_at_end(held.release)
        else:
            held.release()

    def _decode_head(
        self, answer: MatchedResponse, expected_ids: set[str | None]
    ) -> ResponseHead | Unknown:
        """Return the head of the answer, or why it is unusable."""
        try:
            head = self._context.http_codec.decode_response_head(
                answer.status, answer.headers
            )
        except BadResponse as error:
            answer.close()
            return Unknown(str(error))
        if head.request_id not in expected_ids:
            answer.close()
            return Unknown(f'answer to another request: {head.request_id}')
        return head

    async def _relay(
        self,
        answer: MatchedResponse,
        head: ResponseHead,
        view: BackendView,
        in_flight: InFlightRequest,
    ) -> AttemptOutcome:
        """Forward complete events to the caller as they arrive."""
        with self._hold(answer) as held:
            async for chunk in answer.content.iter_any():
                self._note_chunk(view, in_flight)
                events = self._feed(chunk)
                if isinstance(events, Unknown):
                    answer.close()
                    return events
                if events:
                    self._note_begun(view)
                    await self._write(head, events)
                if held.concerns(self._splitter.pending_bytes):
                    await held.hold(self._splitter.pending_bytes)
        if answer.truncated or await self._ended_early(answer, in_flight):
            return Unknown('the connection ended within the stream')
        if answer.framed:
            self._settle(in_flight)
        elif not in_flight.settled:
            await self._context.quarantine.record_unframed_end(
                view.server, self._request
            )
        return await self._finish(head)

    async def _finish(self, head: ResponseHead) -> AttemptOutcome:
        """Forward what is left of a whole stream, if it continues it."""
        try:
            rest = self._splitter.finish()
        except OutOfOrder as error:
            return Diverged(str(error))
        await self._write(head, rest)
        return Relayed()

    def _feed(self, chunk: bytes) -> bytes | Unknown:
        """Return the events that a chunk completes, or why it is unusable."""
        try:
            return self._splitter.feed(chunk)
        except OutOfOrder as error:
            return Diverged(str(error))
        except OversizedEvent as error:
            raise note_given_up(Fault.EVENT) from error

    def _note_chunk(
        self, view: BackendView, in_flight: InFlightRequest
    ) -> None:
        """Record the first event, and whether the server has outlived it."""
        now_s = asyncio.get_running_loop().time()
        if in_flight.watch is not None:
            in_flight.watch.note_chunk()
        if not in_flight.streaming:
            self._context.backends.record_response(view, in_flight)
            in_flight.note_first_event()
            in_flight.began_at_s = now_s
            self._settles_at_s = now_s + _SETTLING_TIME_S
            self._count_usage()
        elif now_s >= self._settles_at_s:
            self._settle(in_flight)

    def _note_begun(self, view: BackendView) -> None:
        if self._response is None:
            self._continuation.note_begun(view.server)

    def _settle(self, in_flight: InFlightRequest) -> None:
        """Record once that the server has outlived the prompt."""
        if not in_flight.settled:
            in_flight.settled = True
            self._context.quarantine.record_answer(self._request)

    async def _ended_early(
        self, answer: MatchedResponse, in_flight: InFlightRequest
    ) -> bool:
        """Return whether an unframed response ended before its run did.

        It ends by closing the connection, as it does if the server crashes.
        """
        if answer.framed:
            return False
        has_event = self._response is not None
        is_new = self._request.last_event_id is None
        return (
            (is_new and not has_event)
            or self._splitter.awaits_continuation
            or bool(self._splitter.pending.strip())
            or await in_flight.was_stopped_for_move()
        )

    async def _write(self, head: ResponseHead, events: bytes) -> None:
        """Send events to the caller; the first ones start the response."""
        try:
            if self._response is None:
                response = replies.stream(head)
                if self._request.relayed_by is not None:
                    response.headers.update(
                        self._context.peers.origin_headers(
                            self._continuation.origin
                        )
                    )
                await response.prepare(self._web_request)
                self._response = response
            if events:
                await self._response.write(events)
        except OSError as error:
            raise CallerDisconnected from error

    def _count_usage(self) -> None:
        if self._usage_counted or self._organisation is None:
            return
        self._usage_counted = True
        self._context.usage.count_request(self._organisation.name)
