"""Server side of caller connections, with idle and request head timeouts."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, cast

from aiohttp import StreamReader
from aiohttp.web import BaseRequest, StreamResponse

from mallowspindle.catalog.configuration import CallerLimits
from mallowspindle.intake.handler import BoundedHandler
from mallowspindle.intake.refusals import Reason, note_refusal
from mallowspindle.intake.server import BoundedServer
from mallowspindle.intake.service import IntakeService
from mallowspindle.utils.running_clock import RunningClock

log = logging.getLogger(__name__)

# Written directly to the connection when a request head times out: there is no
# request yet that could be answered.
_REQUEST_TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)

_CLOSE_POLL_INTERVAL_S = 0.01
# A little more than the interval between checks for callers that are late.
_MAX_STEP_S = 0.6
# During this time the event loop reads what has arrived at all connections.
_READING_S = 0.05

Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]


class CallerConnection(BoundedHandler):
    """A caller connection that tracks how long its caller takes.

    The time in which this process stood still does not count.
    """

    __slots__ = (
        '_body',
        '_body_since_s',
        '_body_timeout',
        '_clock',
        '_evicted',
        '_head_since_s',
        '_idle_since_s',
        '_unread_bytes',
        '_unread_since_s',
    )

    def __init__(self, *args: Any, clock: RunningClock, **options: Any) -> None:
        super().__init__(*args, **options)
        self._clock = clock
        self._idle_since_s = clock.now_s()
        self._head_since_s: float | None = None
        # The body that the handler reads at present.
        self._body: StreamReader | None = None
        self._body_since_s = 0.0
        self._body_timeout: asyncio.Timeout | None = None
        self._evicted = False
        self._unread_bytes = 0
        self._unread_since_s = 0.0

    @property
    def evicted(self) -> bool:
        """Whether the request is refused since there is no room for it."""
        return self._evicted

    @property
    def _awaits_head(self) -> bool:
        """Whether all that has been received is parsed and has no whole head.

        This asks the parser: the handler of a request is a task of its own,
        which starts later.
        """
        # aiohttp waits for the next request only while there is none.
        waiter = self._waiter
        is_waiting = waiter is not None and not waiter.done()
        return is_waiting and not self._is_paused

    @property
    def _awaits_body(self) -> bool:
        """Whether the handler reads a body of which a part is missing."""
        body = self._body
        return body is not None and not body.is_eof() and not self._is_paused

    def data_received(self, data: bytes) -> None:
        """Start the request head timer on the first bytes of a request."""
        was_discarding = self._is_discarding()
        super().data_received(data)
        is_head = bool(data) and not was_discarding and not self._is_busy
        if is_head and self._head_since_s is None:
            self._head_since_s = self._clock.now_s()

    @contextmanager
    def refusable_by(
        self, timeout: asyncio.Timeout, body: StreamReader
    ) -> Iterator[None]:
        """Let ``timeout`` expire if ``body`` takes too long or has no room."""
        self._body = body
        self._body_since_s = self._clock.now_s()
        self._body_timeout = timeout
        try:
            yield
        finally:
            self._body_timeout = None
            self._body = None

    def close_if_idle(self) -> None:
        """Close the connection unless a whole request has been read.

        What arrives from now on stays unread, so its caller knows that it has
        not been handled.
        """
        if self._awaits_head:
            self.force_close()

    def is_overdue(self, limits: CallerLimits) -> bool:
        """Return whether the caller has exceeded a limit on its time.

        This holds as far as the connection has been read.
        """
        now_s = self._clock.now_s()
        if self._awaits_body:
            return now_s - self._body_since_s > limits.idle_timeout_s
        if not self._awaits_head:
            return False
        if self._head_since_s is None:
            return now_s - self._idle_since_s > limits.idle_timeout_s
        return now_s - self._head_since_s > limits.header_timeout_s

    def close_if_overdue(self, limits: CallerLimits) -> None:
        """Refuse the unfinished request, or close the idle connection."""
        if not self.is_overdue(limits):
            return
        if self._body_timeout:
            self._expire(self._body_timeout)
        elif self._head_since_s is None:
            self.force_close()
        else:
            log.info(
                'the head of a request took too long',
                extra={
                    'limit_s': limits.header_timeout_s,
                    'received_bytes': self._idle_bytes,
                },
            )
            self._refuse(_REQUEST_TIMEOUT_RESPONSE)

    def abort_if_unread(self, limits: CallerLimits) -> None:
        """End the connection if its caller reads nothing of a response."""
        if self.transport is None:
            return
        now_s = self._clock.now_s()
        unread_bytes = self.transport.get_write_buffer_size()
        if unread_bytes:
            # Its caller does not know yet that the response has ended.
            self._idle_since_s = now_s
        if unread_bytes == 0 or unread_bytes != self._unread_bytes:
            self._unread_bytes = unread_bytes
            self._unread_since_s = now_s
        elif now_s - self._unread_since_s > limits.idle_timeout_s:
            note_refusal(Reason.UNREAD, 'callers', unread_bytes=unread_bytes)
            self.transport.abort()

    def _begin_request(self, factory: Any, *arguments: Any) -> BaseRequest:
        self._evicted = False
        self._head_since_s = None
        return super()._begin_request(factory, *arguments)

    def _end_request(self) -> None:
        super()._end_request()
        self._idle_since_s = self._clock.now_s()

    def _evict(self, reason: Reason) -> None:
        if self._body_timeout is None:
            super()._evict(reason)
            return
        note_refusal(reason, 'callers', held_bytes=self._counted_bytes)
        self._evicted = True
        self._expire(self._body_timeout)

    def _expire(self, timeout: asyncio.Timeout) -> None:
        if not timeout.expired():
            timeout.reschedule(self._loop.time())

    def _process_keepalive(self) -> None:
        """Leave idle connections to the configured limits.

        The timer of aiohttp also counts time in which nothing could be read.
        """


class CallerServer(BoundedServer):
    """An HTTP server whose connections are ``CallerConnection`` objects."""

    handler_type = CallerConnection

    def __init__(
        self, handler: Handler, intake: IntakeService | None = None
    ) -> None:
        # Bodies are passed on as they are, not decompressed.
        super().__init__(
            handler,
            intake,
            handler_cancellation=True,
            auto_decompress=False,
            clock=RunningClock(_MAX_STEP_S),
        )

    async def close(self, timeout_s: float) -> None:
        """Close idle connections at once, and the others once they are idle.

        Those that are not within ``timeout_s`` are cut.
        """
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_s
        while self.connections and loop.time() < ends_at_s:
            for connection in list(self.connections):
                cast(CallerConnection, connection).close_if_idle()
            await asyncio.sleep(_CLOSE_POLL_INTERVAL_S)
        # A time-out of zero would mean to wait for ever.
        await self.shutdown(_CLOSE_POLL_INTERVAL_S)

    async def close_overdue(self, limits: CallerLimits) -> None:
        """Close the connections of callers that have exceeded a time limit.

        What they have sent in time may wait to be read, if this process stood
        still or was slow, so it is read first.
        """
        callers = [cast(CallerConnection, each) for each in self.connections]
        for connection in callers:
            connection.abort_if_unread(limits)
        overdue = [each for each in callers if each.is_overdue(limits)]
        if overdue:
            await asyncio.sleep(_READING_S)
        for connection in overdue:
            connection.close_if_overdue(limits)
