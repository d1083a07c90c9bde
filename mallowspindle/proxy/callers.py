"""Connections of callers, and how long they may take to send a head."""

import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any, cast

from aiohttp.web import BaseRequest, RequestHandler, Server, StreamResponse

from mallowspindle.catalog.configuration import CallerLimits

log = logging.getLogger(__name__)

# The answer to a head that did not come in time: no request was read.
_HEAD_TOO_LATE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)

Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]


class CallerConnection(RequestHandler):
    """A connection that knows since when it is idle or sends a head."""

    __slots__ = ('_head_since_s', '_idle_since_s', '_serving')

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._serving = False
        self._idle_since_s = time.monotonic()
        self._head_since_s: float | None = None

    def data_received(self, data: bytes) -> None:
        """Note the first bytes of a head."""
        if not self._serving and self._head_since_s is None:
            self._head_since_s = time.monotonic()
        super().data_received(data)

    def note_begun(self) -> None:
        """Note that a whole head has been read."""
        self._serving = True
        self._head_since_s = None

    def note_ended(self) -> None:
        """Note that the request has been answered."""
        self._serving = False
        self._idle_since_s = time.monotonic()

    def end_if_slow(self, limits: CallerLimits) -> None:
        """Close the connection if its caller takes too long."""
        now_s = time.monotonic()
        if self._serving or self.transport is None:
            return
        if self._head_since_s is None:
            if now_s - self._idle_since_s > limits.idle_timeout_s:
                self.transport.close()
        elif now_s - self._head_since_s > limits.header_timeout_s:
            log.info('the head of a request took too long')
            self.transport.write(_HEAD_TOO_LATE)
            self.transport.close()


class CallerServer(Server):
    """Makes a ``CallerConnection`` of each connection."""

    def __init__(self, handler: Handler, **options: Any) -> None:
        super().__init__(handler, handler_cancellation=True, **options)
        self._options = options

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._options)

    def end_slow(self, limits: CallerLimits) -> None:
        """Close the connections whose callers take too long."""
        for connection in self.connections:
            cast(CallerConnection, connection).end_if_slow(limits)
