"""The server side of connections from peers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Self

from mallowspindle.config.common import CommonSettings
from mallowspindle.intake.bounds import IntakeBounds
from mallowspindle.intake.reading import TurnReader
from mallowspindle.intake.refusals import Reason, note_refusal
from mallowspindle.intake.turns import ReadTurns
from mallowspindle.peers.codec import ErrorReply, peer_codec
from mallowspindle.peers.errors import PeerError
from mallowspindle.peers.frames import FrameStream
from mallowspindle.peers.handshake import Credentials, handshake_as_server
from mallowspindle.peers.transit import ConnectionClock, TransitBound, aged
from mallowspindle.utils.codec import CodecError

log = logging.getLogger(__name__)
_HANDSHAKE_TIMEOUT_S = 2.0
# Connections without a handshake, which peers complete within milliseconds.
_MAX_UNPROVEN = 128
# Twice as much is read of a frame before its reader has to take it. Greetings
# have up to 512 bytes.
_READ_BUFFER_BYTES = 16_384
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

    def __init__(
        self,
        credentials: Credentials,
        max_frame_bytes: int,
        max_unproven: int = _MAX_UNPROVEN,
    ) -> None:
        self._credentials = credentials
        self._max_frame_bytes = max_frame_bytes
        self._max_unproven = max_unproven
        # Connections without a handshake, the oldest first.
        self._unproven: dict[FrameStream, None] = {}
        # Apart from those of callers, whose load must not delay peers.
        self._turns = ReadTurns()
        self._handlers: dict[type, Handler] = {}
        self._server: asyncio.Server | None = None
        self._connections: set[FrameStream] = set()

    @classmethod
    def from_config(cls, config: CommonSettings) -> Self:
        """Construct the server from the settings of its node."""
        return cls(
            Credentials(config.node.name, config.peers.shared_key.encode()),
            config.peers.max_frame_bytes,
            IntakeBounds.from_config(config.intake).unproven_peers,
        )

    def handle(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type."""
        self._handlers[message_type] = handler

    async def start(self, host: str, port: int) -> int:
        """Start to listen; return the port."""
        self._server = await asyncio.get_running_loop().create_server(
            self._new_protocol, host, port
        )
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._connections):
            stream.close()

    def _new_protocol(self) -> TurnReader:
        reader = asyncio.StreamReader(_READ_BUFFER_BYTES)
        protocol = asyncio.StreamReaderProtocol(reader, self._serve)
        return TurnReader(protocol, self._turns)

    def _begin_handshake(self, stream: FrameStream) -> None:
        """Count a connection; end the oldest one beyond the maximum."""
        if len(self._unproven) >= self._max_unproven:
            note_refusal(Reason.UNPROVEN, 'peers')
            oldest = next(iter(self._unproven))
            self._unproven.pop(oldest)
            oldest.abort()
        self._unproven[stream] = None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = FrameStream(reader, writer, self._max_frame_bytes)
        stream.limit_unsent()
        self._connections.add(stream)
        self._begin_handshake(stream)
        clock = ConnectionClock()
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_S):
                peer = await handshake_as_server(
                    stream, self._credentials, clock
                )
            self._unproven.pop(stream, None)
            await self._answer_calls(stream, peer, clock)
        except (PeerError, TimeoutError, ValueError) as error:
            log.debug('peer connection ended: %s', error)
        finally:
            self._drop(stream)

    def _drop(self, stream: FrameStream) -> None:
        self._unproven.pop(stream, None)
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
