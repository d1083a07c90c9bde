"""Connections to backend servers that trust no stray bytes."""

import asyncio
import logging
import re
from functools import partial
from typing import Any

from aiohttp import ClientRequest, ClientResponse, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

log = logging.getLogger(__name__)

# Idle connections are given up before most servers close them, so that a
# request seldom meets a connection that is being closed; those that a server
# keeps for less time are not used again.
IDLE_S = 4.0
_STATED_TIMEOUT = re.compile(r'timeout=(\d+)')


class AnswerProtocol(ResponseHandler):
    """Reads answers of the request at hand and drops all others.

    A server may send a second answer behind a complete one, also late, when
    the next request is already under way; the id in the answer tells them
    apart. A connection on which bytes arrive between two requests is closed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._id_header = ''
        self._expected_id: str | None = None
        self._answered = True
        self._was_reset = False

    @property
    def was_reset(self) -> bool:
        """Whether the connection ended by an error, not by its close."""
        return self._was_reset

    def expect(self, id_header: str, expected_id: str | None) -> None:
        """Drop answers in which another id stands from now on."""
        self._id_header = id_header
        self._expected_id = expected_id
        self._answered = False

    def data_received(self, data: bytes) -> None:
        """Take in bytes; outside a request they end the connection.

        The client calls this without bytes when it resumes reading.
        """
        if data and self._answered and self._is_idle():
            log.info('stray bytes on an idle connection: closed')
            self.force_close()
            if self.transport is not None:
                self.transport.close()
            return
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Hand on the head of an answer if it is the expected one."""
        message = data[0]
        found_id = message.headers.get(self._id_header)
        stray = found_id is not None and found_id != self._expected_id
        if self._answered or stray:
            log.info(
                'stray answer dropped',
                extra={'found': found_id, 'expected': self._expected_id},
            )
            self.force_close()
            return
        stated = _STATED_TIMEOUT.search(message.headers.get('Keep-Alive', ''))
        if stated and int(stated.group(1)) <= IDLE_S:
            self.force_close()
        self._answered = message.code >= 200
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note how the connection ended."""
        self._was_reset = exc is not None
        super().connection_lost(exc)

    def _is_idle(self) -> bool:
        return self._payload is None or self._payload.is_eof()


class AnswerConnector(TCPConnector):
    """Opens connections that speak ``AnswerProtocol``."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = partial(  # type: ignore[assignment]
            AnswerProtocol, loop=self._loop
        )


class MatchedRequest(ClientRequest):
    """A request whose answer must bear its id.

    ``id_header`` is the header in which the servers return the id.
    """

    id_header = ''

    async def send(self, conn: Connection) -> ClientResponse:
        """Send the request on a connection."""
        protocol = conn.protocol
        if isinstance(protocol, AnswerProtocol):
            protocol.expect(self.id_header, self.headers.get(self.id_header))
        return await super().send(conn)


class MatchedResponse(ClientResponse):
    """An answer that knows whether its connection was reset."""

    async def start(self, connection: Connection) -> ClientResponse:
        """Read the head of the answer."""
        self._answer_protocol = connection.protocol
        return await super().start(connection)

    @property
    def framed(self) -> bool:
        """Whether the answer tells its end, not its connection."""
        return (
            'Content-Length' in self.headers
            or 'Transfer-Encoding' in self.headers
        )

    @property
    def truncated(self) -> bool:
        """Whether an answer without a length ended by a reset."""
        protocol = self._answer_protocol
        return (
            not self.framed
            and isinstance(protocol, AnswerProtocol)
            and protocol.was_reset
        )
