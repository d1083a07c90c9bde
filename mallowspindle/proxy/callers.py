"""Server side of caller connections, with idle and request head timeouts."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, cast

from aiohttp.web import BaseRequest, StreamResponse

from mallowspindle.catalog.configuration import CallerLimits
from mallowspindle.intake.handler import BoundedHandler
from mallowspindle.intake.refusals import Reason, note_refusal
from mallowspindle.intake.server import BoundedServer
from mallowspindle.intake.service import IntakeService

log = logging.getLogger(__name__)

# Written directly to the connection when a request head times out: there is no
# request yet that could be answered.
_REQUEST_TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)

_CLOSE_POLL_INTERVAL_S = 0.01

Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]


class CallerConnection(BoundedHandler):
    """A caller connection that tracks idle time and request head time."""

    __slots__ = (
        '_body_timeout',
        '_evicted',
        '_head_since_s',
        '_idle_since_s',
        '_serving',
        '_unread_bytes',
        '_unread_since_s',
    )

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._serving = False
        self._idle_since_s = time.monotonic()
        self._head_since_s: float | None = None
        self._body_timeout: asyncio.Timeout | None = None
        self._evicted = False
        self._unread_bytes = 0
        self._unread_since_s = 0.0

    @property
    def evicted(self) -> bool:
        """Whether the request is refused since there is no room for it."""
        return self._evicted

    def data_received(self, data: bytes) -> None:
        """Start the request head timer on the first bytes of a request."""
        is_head = bool(data) and not self._serving
        if is_head and self._head_since_s is None and not self._is_discarding():
            self._head_since_s = time.monotonic()
        super().data_received(data)

    def mark_request_started(self) -> None:
        """Stop the timers: a complete request head has been read."""
        self._serving = True
        self._evicted = False
        self._head_since_s = None

    @contextmanager
    def refusable_by(self, timeout: asyncio.Timeout) -> Iterator[None]:
        """Let ``timeout`` expire at once if the request loses its room."""
        self._body_timeout = timeout
        try:
            yield
        finally:
            self._body_timeout = None

    def mark_request_finished(self) -> None:
        """Start the idle timer: the request has been answered."""
        self._serving = False
        self._idle_since_s = time.monotonic()

    def close_if_idle(self) -> None:
        """Close the connection unless a whole request has been read.

        What arrives from now on stays unread, so its caller knows that it has
        not been handled.
        """
        # aiohttp waits for the next request only while there is none.
        waiter = self._waiter
        is_idle = waiter is not None and not waiter.done()
        if is_idle and self.transport is not None:
            self.transport.close()

    def close_if_timed_out(self, limits: CallerLimits) -> None:
        """Close the connection if its idle or head timeout has passed."""
        now_s = time.monotonic()
        if self.transport is None:
            return
        self._abort_if_unread(self.transport, now_s, limits)
        if self._serving or self.transport is None:
            return
        if self._head_since_s is None:
            if now_s - self._idle_since_s > limits.idle_timeout_s:
                self.transport.close()
        elif now_s - self._head_since_s > limits.header_timeout_s:
            log.info('the head of a request took too long')
            self.transport.write(_REQUEST_TIMEOUT_RESPONSE)
            self.transport.close()

    def _abort_if_unread(
        self, transport: asyncio.Transport, now_s: float, limits: CallerLimits
    ) -> None:
        """End a connection whose caller reads nothing of a response."""
        unread_bytes = transport.get_write_buffer_size()
        if not unread_bytes or unread_bytes != self._unread_bytes:
            self._unread_bytes = unread_bytes
            self._unread_since_s = now_s
        elif now_s - self._unread_since_s > limits.idle_timeout_s:
            note_refusal(Reason.UNREAD, 'callers', unread_bytes=unread_bytes)
            transport.abort()

    def _evict(self, reason: Reason) -> None:
        if self._body_timeout is None:
            super()._evict(reason)
            return
        note_refusal(reason, 'callers', held_bytes=self._counted_bytes)
        self._evicted = True
        self._body_timeout.reschedule(self._loop.time())


class CallerServer(BoundedServer):
    """An HTTP server whose connections are ``CallerConnection`` objects."""

    handler_type = CallerConnection

    def __init__(
        self, handler: Handler, intake: IntakeService | None = None
    ) -> None:
        # Bodies are passed on as they are, not decompressed.
        super().__init__(
            handler, intake, handler_cancellation=True, auto_decompress=False
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

    def close_timed_out(self, limits: CallerLimits) -> None:
        """Close all connections whose idle or head timeout has passed."""
        for connection in self.connections:
            cast(CallerConnection, connection).close_if_timed_out(limits)
