"""The server side of connections from peers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from mallowspindle.peers.codec import ErrorReply, peer_codec
from mallowspindle.peers.errors import PeerError
from mallowspindle.peers.frames import FrameStream
from mallowspindle.peers.handshake import Credentials, handshake_as_server
from mallowspindle.peers.transit import ConnectionClock, TransitBound, aged
from mallowspindle.utils.codec import CodecError

log = logging.getLogger(__name__)
_HANDSHAKE_TIMEOUT_S = 2.0
# Kinds of messages of one connection that are logged as not understood.
_MAX_LOGGED = 20
# The tag and the fields of a message without a stamp.
_UNSTAMPED = 2

Handler = Callable[[Any], Awaitable[object]]


class _MessageReader:
    """Decodes the messages of one connection."""

    def __init__(self, peer: str, clock: ConnectionClock) -> None:
        self._peer = peer
        self._transit = TransitBound(clock)
        self._logged: set[str] = set()

    def read(self, wire: list[Any]) -> Any:
        """Return a message with its present age, or an error for the peer."""
        try:
            message = peer_codec.from_wire(wire[:_UNSTAMPED])
            if len(wire) > _UNSTAMPED:
                return aged(message, self._transit.delay_s(wire[_UNSTAMPED]))
        except CodecError as error:
            # The peer may be of another build, whose other messages count.
            self._log_once(str(error))
            return ErrorReply(str(error))
        return message

    def _log_once(self, error: str) -> None:
        if error not in self._logged and len(self._logged) < _MAX_LOGGED:
            self._logged.add(error)
            log.warning(
                'message not understood',
                extra={'peer': self._peer, 'error': error},
            )


class PeerServer:
    """Accepts connections and passes each message to its handler."""

    def __init__(self, credentials: Credentials, max_frame_bytes: int) -> None:
        self._credentials = credentials
        self._max_frame_bytes = max_frame_bytes
        self._handlers: dict[type, Handler] = {}
        self._server: asyncio.Server | None = None
        self._connections: set[FrameStream] = set()

    def handle(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    async def start(self, host: str, port: int) -> int:
        """Start to listen; return the port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._connections):
            stream.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = FrameStream(reader, writer, self._max_frame_bytes)
        stream.limit_unsent()
        self._connections.add(stream)
        clock = ConnectionClock()
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                peer = await handshake_as_server(
                    stream, self._credentials, clock
                )
            await self._answer_calls(stream, peer, clock)
        except (PeerError, TimeoutError, ValueError) as error:
            log.debug('peer connection ended: %s', error)
        finally:
            self._connections.discard(stream)
            stream.close()

    async def _answer_calls(
        self, stream: FrameStream, peer: str, clock: ConnectionClock
    ) -> None:
        reader = _MessageReader(peer, clock)
        while True:
            number, wire = await stream.read_numbered()
            is_stamped = len(wire) > _UNSTAMPED
            message = reader.read(wire)
            reply = (
                message
                if isinstance(message, ErrorReply)
                else await self.dispatch_message(message)
            )
            frame = [number, *peer_codec.to_wire(reply)]
            if is_stamped:
                frame.append(clock.now_ms())
            await stream.write(frame)

    async def dispatch_message(self, message: object) -> object:
        """Return the reply of the message's handler, or an ``ErrorReply``."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return ErrorReply(f'no handler for {type(message).__name__}')
        try:
            return await handler(message)
        except Exception as error:
            log.exception('handler of %s failed', type(message).__name__)
            return ErrorReply(f'{type(error).__name__}: {error}')
