"""HTTP client classes that match responses to requests by id.

Backend servers may send late or duplicate responses on a reused connection;
these classes drop them.
"""

import asyncio
import logging
import re
import socket
from contextvars import ContextVar
from dataclasses import dataclass
from functools import partial
from typing import Any

from aiohttp import (
    ClientPayloadError,
    ClientRequest,
    ClientResponse,
    ClientTimeout,
    TCPConnector,
)
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from aiohttp.tracing import Trace

from mallowspindle.intake.turns import ReadTurns
from mallowspindle.proxy.bounded import BoundedProtocol
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

stray_answers_total = meter.create_counter('stray_answers')


@dataclass(slots=True)
class SendState:
    """How far a request has come at a server.

    ``sent`` is whether any byte of it may have been sent, ``responding`` whether
    the head of a response to it has arrived. The head counts even if the
    connection is lost before it is processed. The other fields are of the
    connection, None until there is one: ``reused`` is whether it has carried
    other requests, ``carried`` whether it has carried this one, which the
    connector rules out.
    """

    sent: bool = False
    responding: bool = False
    local_port: int | None = None
    reused: bool | None = None
    carried: bool | None = None


# The state of the request that the current task sends.
current_send_state: ContextVar[SendState] = ContextVar('send_state')

# Idle connections are closed before most servers close them, so that a request
# is seldom sent on a connection that the server is closing. A connection with a
# shorter or equal server timeout (Keep-Alive header) is not reused.
IDLE_TIMEOUT_S = 4.0
# A connection is closed after so many requests, which bounds its record of them.
_MAX_REQUESTS = 500
_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=([0-9]{1,9})')


# A connection whose other end acknowledges nothing is ended after this time, so
# that one that hangs is noticed. Sound servers may fall silent for a second.
_SILENCE_TIMEOUT_S = 2.5
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    # Decides about unacknowledged bytes, and about keep-alive probes whatever
    # their count.
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(_SILENCE_TIMEOUT_S * 1000),
    ),
)


class MatchingProtocol(BoundedProtocol):
    """Passes on responses to the current request and drops all others.

    A server may send a second response after a complete one, even when the
    next request is already in progress. They are distinguished by the request
    id in the response. A connection that receives bytes between two requests
    is closed. The second response may be a copy of an earlier one, so the id
    tells nothing on a connection that has carried the same request before.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, turns: ReadTurns
    ) -> None:
        super().__init__(loop, turns)
        self._id_header = ''
        self._expected_id: str | None = None
        self._carried_ids: set[str] = set()
        self._was_reset = False
        self._send_state: SendState | None = None
        self._address = ''
        self._local_port: int | None = None
        self._request_count = 0

    @property
    def was_reset(self) -> bool:
        """Whether the connection ended with an error, not with a close."""
        return self._was_reset

    def expect(
        self,
        id_header: str,
        expected_id: str | None,
        send_state: SendState | None = None,
    ) -> None:
        """Drop responses that carry another id, from now on."""
        if send_state is not None:
            send_state.local_port = self._local_port
            send_state.reused = self._request_count > 0
            send_state.carried = expected_id in self._carried_ids
        self._request_count += 1
        self._send_state = send_state
        self._id_header = id_header
        self._expected_id = expected_id
        self._expect_response()
        if expected_id is not None:
            self._carried_ids.add(expected_id)
        if len(self._carried_ids) >= _MAX_REQUESTS:
            self.force_close()

    def has_carried(self, request_id: str | None) -> bool:
        """Return whether a request with this id was sent on the connection."""
        return request_id in self._carried_ids

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is active.

        aiohttp calls this with empty bytes when it resumes reading.
        """
        if data and self._response_received and self._is_body_received():
            stray_answers_total.add(1, {'kind': 'between_requests'})
            log.info(
                'stray bytes on an idle connection: closed',
                extra=self._log_fields(),
            )
            self.force_close()
            if self.transport is not None:
                self.transport.close()
            return
        super().data_received(data)
        self._fail_unreadable_body()

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass on the head of a response if it belongs to the request."""
        message = data[0]
        found_id = message.headers.get(self._id_header)
        mismatched = found_id is not None and found_id != self._expected_id
        if self._response_received or mismatched:
            stray_answers_total.add(1, {'kind': self._stray_kind(found_id)})
            log.info(
                'stray answer dropped',
                extra={
                    **self._log_fields(),
                    'found': found_id,
                    'expected': self._expected_id,
                    'carried': found_id in self._carried_ids,
                },
            )
            self.force_close()
            if _ends_with_connection(*data) and self.transport is not None:
                # All that follows is its body, the response that is due too.
                self.transport.close()
            self._stray = data[1]
            return
        keep_alive_timeout = _KEEP_ALIVE_TIMEOUT.search(
            message.headers.get('Keep-Alive', '')
        )
        if (
            keep_alive_timeout
            and int(keep_alive_timeout.group(1)) <= IDLE_TIMEOUT_S
        ):
            self.force_close()
        if not self._note_head(message.code):
            return
        if self._response_received and self._send_state is not None:
            self._send_state.responding = True
        super().feed_data(data, size)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let the kernel end a connection whose other end is silent."""
        super().connection_made(transport)
        # Without an address if the other end has already reset it.
        peer = transport.get_extra_info('peername') or ()
        self._address = ':'.join(map(str, peer[:2]))
        own = transport.get_extra_info('sockname')
        self._local_port = own[1] if own else None
        sock = transport.get_extra_info('socket')
        if sock is not None:
            for level, option, number in _KEEPALIVE_OPTIONS:
                sock.setsockopt(level, option, number)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record whether the connection ended with an error."""
        self._was_reset = exc is not None
        super().connection_lost(exc)

    def _stray_kind(self, found_id: str | None) -> str:
        if not self._response_received:
            return 'other_id'
        if found_id is not None and found_id == self._expected_id:
            return 'same_id_repeat'
        return 'no_request'

    def _log_fields(self) -> dict[str, str | int | None]:
        return {
            'address': self._address,
            'local_port': self._local_port,
            'requests': self._request_count,
        }

    def _fail_unreadable_body(self) -> None:
        """End a chunked body if what follows can't be parsed.

        aiohttp closes the connection then, but does not end a body that has
        begun: its reader would wait until the time limit.
        """
        error = self.exception()
        payload = self._payload
        if (
            isinstance(error, HttpProcessingError)
            and payload is not None
            and not payload.is_eof()
        ):
            payload.set_exception(ClientPayloadError(str(error)))

    def _is_body_received(self) -> bool:
        return self._payload is None or self._payload.is_eof()


class MatchedRequest(ClientRequest):
    """A request whose response is matched by request id.

    ``id_header`` is the header in which servers return the id. A response
    without this header is accepted.
    """

    id_header = ''

    @property
    def request_id(self) -> str | None:
        """The id that the response must carry; None if there is none."""
        return self.headers.get(self.id_header)

    async def send(self, conn: Connection) -> ClientResponse:
        """Send the request and set the id that the response must carry."""
        protocol = conn.protocol
        if isinstance(protocol, MatchingProtocol):
            protocol.expect(
                self.id_header,
                self.request_id,
                current_send_state.get(None),
            )
        return await super().send(conn)


class MatchingConnector(TCPConnector):
    """A connector whose connections use ``MatchingProtocol``.

    No connection carries the same request twice, whatever the server at its
    address is called and whoever sends the request again.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # Apart from those of callers, whose load must not delay servers.
        self._factory = partial(  # type: ignore[assignment]
            MatchingProtocol, loop=self._loop, turns=ReadTurns()
        )

    async def connect(
        self,
        req: ClientRequest,
        traces: list[Trace],
        timeout: ClientTimeout,
    ) -> Connection:
        """Return a connection that has not carried the request yet."""
        request_id = req.request_id if isinstance(req, MatchedRequest) else None
        connection = await super().connect(req, traces, timeout)
        while _has_carried(connection, request_id):
            connection.close()
            connection = await super().connect(req, traces, timeout)
        return connection


class MatchedResponse(ClientResponse):
    """A response that detects truncation by a connection reset."""

    async def start(self, connection: Connection) -> ClientResponse:
        """Read the head of the response."""
        self._answer_protocol = connection.protocol
        return await super().start(connection)

    @property
    def framed(self) -> bool:
        """Whether the response is delimited by length or chunked encoding."""
        return (
            'Content-Length' in self.headers
            or 'Transfer-Encoding' in self.headers
        )

    @property
    def truncated(self) -> bool:
        """Whether an unframed response was ended by a connection reset."""
        protocol = self._answer_protocol
        return (
            not self.framed
            and isinstance(protocol, MatchingProtocol)
            and protocol.was_reset
        )


def _has_carried(connection: Connection, request_id: str | None) -> bool:
    protocol = connection.protocol
    return isinstance(protocol, MatchingProtocol) and protocol.has_carried(
        request_id
    )


def _ends_with_connection(
    message: RawResponseMessage, payload: StreamReader
) -> bool:
    """Return whether a response has a body with neither a length nor chunks."""
    return (
        'Content-Length' not in message.headers
        and not message.chunked
        and not payload.is_eof()
    )
