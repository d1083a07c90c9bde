"""The server side of connections from peers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from mallowspindle.peers.codec import ErrorReply, peer_codec
from mallowspindle.peers.errors import PeerError
from mallowspindle.peers.frames import FrameStream
from mallowspindle.peers.handshake import Credentials, handshake_as_server
from mallowspindle.utils.codec import CodecError

log = logging.getLogger(__name__)
_HANDSHAKE_TIMEOUT_S = 2.0
# Kinds of messages of one connection that are logged as not understood.
_MAX_LOGGED = 20

Handler = Callable[[Any], Awaitable[object]]


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
        self._connections.add(stream)
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                peer = await handshake_as_server(stream, self._credentials)
            await self._answer_calls(stream, peer)
        except (PeerError, TimeoutError, ValueError) as error:
            log.debug('peer connection ended: %s', error)
        finally:
            self._connections.discard(stream)
            stream.close()

    async def _answer_calls(self, stream: FrameStream, peer: str) -> None:
        logged: set[str] = set()
        while True:
            number, *wire = await stream.read()
            try:
                message = peer_codec.from_wire(wire)
            except CodecError as error:
                # The peer may be of another build, whose other messages count.
                reply: object = ErrorReply(str(error))
                if str(error) not in logged and len(logged) < _MAX_LOGGED:
                    logged.add(str(error))
                    log.warning(
                        'message not understood',
                        extra={'peer': peer, 'error': str(error)},
                    )
            else:
                reply = await self.dispatch_message(message)
            await stream.write([number, *peer_codec.to_wire(reply)])

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
