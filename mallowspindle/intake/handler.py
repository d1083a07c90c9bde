"""Server side of HTTP connections that hold bytes of a shared budget."""

from collections.abc import Callable
from functools import partial
from typing import Any

from aiohttp import StreamReader
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web import (
    BaseRequest,
    RequestHandler,
    RequestPayloadError,
    Response,
    StreamResponse,
)

from mallowspindle.intake.budget import Holding
from mallowspindle.intake.reading import GatedTransport, Pause
from mallowspindle.intake.refusals import Reason, note_refusal
from mallowspindle.intake.service import IntakeService

_MALFORMED = 400
_INTERNAL_ERROR = 500
# Maximum size of the request line and of a header field. Limits on the size of
# all headers are checked for each complete head.
MAX_LINE_BYTES = 32_768
# What may arrive without completing a head, or bringing data of a body: a
# request line and headers up to the usual limits. Also what may arrive behind
# a request in progress before reading is paused.
_MAX_IDLE_BYTES = 65_536
# A new connection may be without a head for this long, also while the event
# loop is busy.
_FRESH_S = 1.0
# Raw bytes, parsed names and values.
_HEAD_COPIES = 2
# Bytes that aiohttp buffers of a body, twice, before it pauses reading.
_BODY_BUFFER_BYTES = 16_384

_HEAD_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
_BAD_REQUEST = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
_NO_ROOM = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


class BoundedHandler(RequestHandler):
    """A connection that counts what arrives before a request is complete.

    The request in progress holds bytes of the budget until it is answered.
    """

    __slots__ = (
        '_counted',
        '_counted_bytes',
        '_holding',
        '_idle_bytes',
        '_in_request',
        '_intake',
        '_listener',
        '_on_end',
        '_since_s',
    )

    def __init__(
        self,
        manager: Any,
        *,
        intake: IntakeService,
        listener: str,
        **options: Any,
    ) -> None:
        options.setdefault('read_bufsize', _BODY_BUFFER_BYTES)
        super().__init__(manager, **options)
        self._intake = intake
        self._listener = listener
        self._holding = Holding(
            partial(self._evict, Reason.ROOM),
            self._is_unfinished,
            lambda: self._pause(Pause.ROOM),
            lambda: self._resume(Pause.ROOM),
        )
        # The newest body, and how much of it is counted.
        self._counted: StreamReader | None = None
        self._counted_bytes = 0
        self._idle_bytes = 0
        self._in_request = False
        self._on_end: list[Callable[[], None]] = []
        self._since_s = self._loop.time()
        self._request_factory = partial(
            self._begin_request, self._request_factory
        )

    @property
    def since_s(self) -> float:
        """When the connection came into its present state."""
        return self._since_s

    @property
    def rank(self) -> int:
        """The place in the order in which connections are ended.

        First those that are late with a head, then bodies, heads, idle ones.
        """
        if self._counted is None:
            is_late = self._loop.time() - self._since_s > _FRESH_S
            return 0 if is_late else 2
        return 3 if self._body_is_complete() else 1

    @property
    def is_serving(self) -> bool:
        """Whether a complete request is in progress."""
        return self._is_busy and not self._is_unfinished()

    @property
    def _is_paused(self) -> bool:
        transport = self.transport
        return isinstance(transport, GatedTransport) and transport.is_paused

    @property
    def _is_busy(self) -> bool:
        return self._in_request or bool(self._messages)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, and count it."""
        super().data_received(data)
        if self.transport is not None and not self._close:
            self._count(len(data))

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Parse and read on, if reading was paused.

        aiohttp calls this for each chunk of a body that is read; the parser
        would run each time.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free what the connection holds."""
        super().connection_lost(exc)
        self._intake.budget.release(self._holding)

    def handle_error(
        self,
        request: BaseRequest,
        status: int = _INTERNAL_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Answer a request that can't be parsed, without a stack trace."""
        if not isinstance(exc, HttpProcessingError | RequestPayloadError):
            return super().handle_error(request, status, exc, message)
        note_refusal(Reason.MALFORMED, self._listener)
        response = Response(status=_MALFORMED, text='malformed request\n')
        response.force_close()
        return response

    def close_unless_serving(self) -> None:
        """End the connection for one that needs its place."""
        if self.is_serving:
            return
        is_begun = self._idle_bytes or not self._body_is_complete()
        if is_begun and self._is_unfinished():
            self._evict(Reason.CONNECTIONS)
            return
        note_refusal(Reason.CONNECTIONS, self._listener)
        self.force_close()

    def call_at_end(self, callback: Callable[[], None]) -> None:
        """Call back once the response to the request has been written."""
        self._on_end.append(callback)

    def _begin_request(self, factory: Any, *arguments: Any) -> BaseRequest:
        self._in_request = True
        self._since_s = self._loop.time()
        request: BaseRequest = factory(*arguments)
        return request

    def refuse_costly(self) -> None:
        """Refuse an unfinished request that takes much CPU time."""
        if self._is_unfinished():
            # What it sends is not worth being read any more.
            self._lingering_time = 0
            self._evict(Reason.COST)

    async def _handle_request(
        self, request: BaseRequest, *arguments: Any
    ) -> tuple[StreamResponse, bool]:
        try:
            return await super()._handle_request(request, *arguments)
        finally:
            self._end_request()

    def _end_request(self) -> None:
        """Free what the request held, and read the next one."""
        self._in_request = False
        self._since_s = self._loop.time()
        self._intake.budget.release(self._holding)
        while self._on_end:
            self._on_end.pop()()
        if not self._messages:
            self._idle_bytes = 0
        self._resume(Pause.PIPELINE)

    def _count(self, size: int) -> None:
        """Charge received bytes to the budget, within the bounds on them."""
        body = self._messages[-1][1] if self._messages else self._counted
        if body is not self._counted:
            self._counted = body
            self._counted_bytes = 0
            self._idle_bytes = 0
        body_bytes = self._count_body()
        if body_bytes or self._is_discarding():
            self._idle_bytes = 0
            return
        self._idle_bytes += size
        if body is None or body.is_eof():
            self._intake.budget.charge(self._holding, _HEAD_COPIES * size)
        if self._idle_bytes > _MAX_IDLE_BYTES:
            self._stop_idle_bytes()

    def _count_body(self) -> int:
        """Return how much of the body has arrived since the last time."""
        if self._counted is None:
            return 0
        body_bytes = self._counted.total_bytes - self._counted_bytes
        if body_bytes:
            self._counted_bytes += body_bytes
            if not self._is_discarding():
                self._intake.budget.charge(self._holding, body_bytes)
        return body_bytes

    def _stop_idle_bytes(self) -> None:
        """Stop a client that sends much without any progress."""
        if not self._is_busy:
            note_refusal(Reason.HEAD, self._listener)
            self._refuse(_HEAD_TOO_LARGE)
        elif self._messages or self._body_is_complete():
            self._pause(Pause.PIPELINE)
        elif self._current_request is not None:
            note_refusal(Reason.FRAMING, self._listener)
            self._refuse(_BAD_REQUEST)

    def _is_unfinished(self) -> bool:
        """Return whether the newest request may still be refused.

        A request that has been answered early may not, nor one that waits
        behind another, whose response is due first.
        """
        if self.transport is None or self._is_discarding():
            return False
        if not self._is_busy:
            return True
        is_newest = self._current_request is not None and not self._messages
        return is_newest and not self._body_is_complete()

    def _is_discarding(self) -> bool:
        """Return whether the rest of an answered request's body arrives."""
        return not self._is_busy and not self._body_is_complete()

    def _body_is_complete(self) -> bool:
        return self._counted is None or self._counted.is_eof()

    def _evict(self, reason: Reason) -> None:
        """Refuse the unfinished request."""
        note_refusal(reason, self._listener, held_bytes=self._counted_bytes)
        self._refuse(_NO_ROOM)

    def _refuse(self, response: bytes) -> None:
        """Write a response outside of any request, and close.

        Nothing has been written before, since no request is complete.
        """
        if self.transport is not None:
            self.transport.write(response)
            self.force_close()

    def _pause(self, reason: Pause) -> None:
        if isinstance(self.transport, GatedTransport):
            self.transport.pause(reason)

    def _resume(self, reason: Pause) -> None:
        if isinstance(self.transport, GatedTransport):
            self.transport.resume(reason)
