"""The dialling side of a connection to one peer."""

import asyncio
import logging
import time
from typing import Any

from mallowspindle.peers.codec import ErrorReply
from mallowspindle.peers.connection import PeerConnection
from mallowspindle.peers.errors import (
    PeerError,
    PeerRefused,
    PeerTimeout,
    PeerUnreachable,
)
from mallowspindle.peers.frames import FrameStream
from mallowspindle.peers.handshake import Credentials, greet_as_client

log = logging.getLogger(__name__)
_CONNECT_TIMEOUT_S = 1.0
# A connection on which calls time out and that gave no reply for this long is
# replaced: two heartbeats, and half of what a lost peer is judged by.
_SILENT_S = 1.0
# A time-out that is noticed later than this tells of this node's lack of
# processor time; the reply may be there, unread.
_BUSY_S = 0.1
# The silence doubles up to this while new connections give no reply either, so
# that a slow peer has few handshakes.
_MAX_SILENT_S = 8.0


class PeerLink:
    """Calls one peer; connects when first used and after a loss."""

    def __init__(
        self, address: str, credentials: Credentials, max_frame_bytes: int
    ) -> None:
        self._address = address
        self._credentials = credentials
        self._max_frame_bytes = max_frame_bytes
        self._connection: PeerConnection | None = None
        self._connecting = asyncio.Lock()
        self._patience_s = _SILENT_S
        self._closed_bytes = 0

    @property
    def address(self) -> str:
        """The peer's ``host:port``."""
        return self._address

    @property
    def sent_bytes(self) -> int:
        """Bytes sent since the link was made."""
        if self._connection is None:
            return self._closed_bytes
        return self._closed_bytes + self._connection.sent_bytes

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait in this process to be sent."""
        return self._connection.queued_bytes if self._connection else 0

    async def call(self, message: object, timeout_s: float) -> Any:
        """Send a message and return the peer's reply."""
        connection = await self._connected()
        due_at_s = time.monotonic() + timeout_s
        try:
            answer = await connection.call(message, timeout_s)
        except PeerTimeout:
            if time.monotonic() < due_at_s + _BUSY_S:
                self._close_if_silent(connection)
            raise
        if isinstance(answer, ErrorReply):
            raise PeerRefused(answer.text)
        return answer

    async def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close(PeerUnreachable('the link was closed'))

    async def _connected(self) -> PeerConnection:
        async with self._connecting:
            if self._connection is None or self._connection.lost:
                stream = await self._connect()
                self._closed_bytes = self.sent_bytes
                self._connection = PeerConnection(self._address, stream)
            return self._connection

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

    def _close_if_silent(self, connection: PeerConnection) -> None:
        """Close a connection that may have gone silent for good."""
        if connection.lost:
            return
        if connection.answered:
            self._patience_s = _SILENT_S
        if connection.silent_s < self._patience_s:
            return
        log.info('link to %s is silent, closed', self._address)
        self._patience_s = min(2 * self._patience_s, _MAX_SILENT_S)
        connection.close(PeerTimeout(f'link to {self._address} is silent'))
