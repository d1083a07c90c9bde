"""The dialling side of a connection to one peer."""

import asyncio
import logging
from itertools import count
from typing import Any

from mallowspindle.peers.codec import ErrorReply, peer_codec
from mallowspindle.peers.errors import (
    PeerError,
    PeerRefused,
    PeerTimeout,
    PeerUnreachable,
)
from mallowspindle.peers.frames import FrameStream
from mallowspindle.peers.handshake import Credentials, greet_as_client
from mallowspindle.utils.codec import CodecError

log = logging.getLogger(__name__)
_CONNECT_TIMEOUT_S = 1.0


class PeerLink:
    """Calls one peer; connects when first used and after a loss."""

    def __init__(
        self, address: str, credentials: Credentials, max_frame_bytes: int
    ) -> None:
        self._address = address
        self._credentials = credentials
        self._max_frame_bytes = max_frame_bytes
        self._stream: FrameStream | None = None
        self._reader: asyncio.Task[None] | None = None
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._numbers = count()
        self._connecting = asyncio.Lock()
        self._sent_bytes = 0

    @property
    def address(self) -> str:
        """The peer's ``host:port``."""
        return self._address

    @property
    def sent_bytes(self) -> int:
        """Bytes sent since the link was made."""
        return self._sent_bytes

    async def call(self, message: object, timeout_s: float) -> Any:
        """Send a message and return the peer's reply."""
        stream = await self._connected()
        number = next(self._numbers)
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[number] = reply
        try:
            self._sent_bytes += await stream.write(
                [number, *peer_codec.to_wire(message)]
            )
            answer = await asyncio.wait_for(reply, timeout_s)
        except TimeoutError as error:
            raise PeerTimeout(f'{self._address} did not answer') from error
        finally:
            self._waiting.pop(number, None)
        if isinstance(answer, ErrorReply):
            raise PeerRefused(answer.text)
        return answer

    async def close(self) -> None:
        """Close the connection."""
        if self._reader is not None:
            self._reader.cancel()
        self._lose(PeerUnreachable('the link was closed'))

    async def _connected(self) -> FrameStream:
        async with self._connecting:
            if self._stream is None:
                self._stream = await self._connect()
                self._reader = asyncio.create_task(
                    self._read_replies(self._stream),
                    name=f'peer link {self._address}',
                )
            return self._stream

    async def _connect(self) -> FrameStream:
        host, port = self._address.rsplit(':', 1)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                stream = FrameStream(reader, writer, self._max_frame_bytes)
                await greet_as_client(stream, self._credentials)
        except (OSError, TimeoutError, PeerError) as error:
            raise PeerUnreachable(f'{self._address}: {error}') from error
        return stream

    async def _read_replies(self, stream: FrameStream) -> None:
        try:
            while True:
                number, *wire = await stream.read()
                waiting = self._waiting.get(number)
                if waiting is not None and not waiting.done():
                    waiting.set_result(peer_codec.from_wire(wire))
        except (PeerError, CodecError, ValueError) as error:
            log.info('link to %s lost: %s', self._address, error)
            self._lose(PeerTimeout(f'link to {self._address} lost'))

    def _lose(self, error: PeerError) -> None:
        if self._stream is not None:
            self._stream.close()
        self._stream = None
        for waiting in self._waiting.values():
            if not waiting.done():
                waiting.set_exception(error)
