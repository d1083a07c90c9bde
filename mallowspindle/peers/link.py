"""The client side of the connection to one peer."""

import asyncio
import logging
import time
from typing import Any

from mallowspindle.peers.backlog import SendBacklog
from mallowspindle.peers.codec import ErrorReply
from mallowspindle.peers.connection import PeerConnection
from mallowspindle.peers.errors import (
    PeerError,
    PeerRefused,
    PeerTimeout,
    PeerUnreachable,
)
from mallowspindle.peers.frames import FrameStream
from mallowspindle.peers.handshake import Credentials, handshake_as_client
from mallowspindle.peers.transit import ConnectionClock
from mallowspindle.utils.clock import boot_clock_s

log = logging.getLogger(__name__)
_CONNECT_TIMEOUT_S = 1.0
# A connection is replaced when a call times out and no reply has arrived for
# this long. It is two heartbeat intervals, and half the time after which a
# silent peer is taken for lost.
_INITIAL_SILENCE_LIMIT_S = 1.0
# If a timeout is noticed later than this, this node is short of CPU time. The
# reply may have arrived and not been read yet, so the connection is kept.
_MAX_TIMEOUT_DELAY_S = 0.1
# The silence limit doubles up to this while new connections get no reply
# either, so that a slow peer has few handshakes to handle.
_MAX_SILENCE_LIMIT_S = 8.0
# A backlog of this age is logged when a call times out, at most this often.
_LOGGED_BACKLOG_S = 0.5
_LOG_INTERVAL_S = 5.0


class PeerLink:
    """Sends calls to one peer.

    The link connects on first use, and again after it lost its connection.
    """

    def __init__(
        self, address: str, credentials: Credentials, max_frame_bytes: int
    ) -> None:
        self._address = address
        self._credentials = credentials
        self._max_frame_bytes = max_frame_bytes
        self._connection: PeerConnection | None = None
        self._connect_lock = asyncio.Lock()
        self._silence_limit_s = _INITIAL_SILENCE_LIMIT_S
        self._closed_connections_bytes = 0
        self._answered_call_at_s = 0.0
        self._logged_at_s = float('-inf')

    @property
    def address(self) -> str:
        """The peer's ``host:port``."""
        return self._address

    @property
    def sent_bytes(self) -> int:
        """Bytes sent since the link was created."""
        if self._connection is None:
            return self._closed_connections_bytes
        return self._closed_connections_bytes + self._connection.sent_bytes

    @property
    def answered_call_at_s(self) -> float:
        """When the newest call with a reply was sent, on the boot clock."""
        return self._answered_call_at_s

    @property
    def queued_bytes(self) -> int:
        """Bytes buffered in this process that are still to be sent."""
        return self._connection.queued_bytes if self._connection else 0

    @property
    def backlog(self) -> SendBacklog | None:
        """What the connection has still to send; None without one."""
        connection = self._connection
        if connection is None or connection.lost:
            return None
        return connection.backlog

    async def call(
        self, message: object, timeout_s: float, made_at_s: float | None = None
    ) -> Any:
        """Send a message and return the peer's reply.

        Ages in the message are as of ``made_at_s`` on the boot clock; without
        it, as of now.
        """
        if made_at_s is None:
            made_at_s = boot_clock_s()
        connection = await self._get_connection()
        due_at_s = time.monotonic() + timeout_s
        try:
            reply = await connection.call(message, timeout_s, made_at_s)
        except PeerTimeout:
            self._log_backlog(connection)
            if time.monotonic() < due_at_s + _MAX_TIMEOUT_DELAY_S:
                self._close_if_silent(connection)
            raise
        self._answered_call_at_s = max(
            self._answered_call_at_s, connection.answered_call_at_s
        )
        if isinstance(reply, ErrorReply):
            raise PeerRefused(reply.text)
        return reply

    async def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close(PeerUnreachable('the link was closed'))

    async def _get_connection(self) -> PeerConnection:
        async with self._connect_lock:
            if self._connection is None or self._connection.lost:
                connection = await self._connect()
                self._closed_connections_bytes = self.sent_bytes
                self._connection = connection
            return self._connection

    async def _connect(self) -> PeerConnection:
        host, port = self._address.rsplit(':', 1)
        clock = ConnectionClock()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                stream = FrameStream(reader, writer, self._max_frame_bytes)
                stream.limit_unsent()
                peer_time = await handshake_as_client(
                    stream, self._credentials, clock
                )
        except (OSError, TimeoutError, PeerError) as error:
            raise PeerUnreachable(f'{self._address}: {error}') from error
        return PeerConnection(self._address, stream, clock, peer_time)

    def _log_backlog(self, connection: PeerConnection) -> None:
        now_s = time.monotonic()
        backlog = connection.backlog
        if (
            connection.lost
            or backlog.age_s < _LOGGED_BACKLOG_S
            or now_s - self._logged_at_s < _LOG_INTERVAL_S
        ):
            return
        self._logged_at_s = now_s
        log.warning(
            'link to %s has a backlog',
            self._address,
            extra={
                'oldest_s': round(backlog.age_s, 2),
                'bytes': dict(backlog.bytes_by_kind()),
            },
        )

    def _close_if_silent(self, connection: PeerConnection) -> None:
        """Close a connection that has been silent for too long.

        Such a connection may never carry a reply again.
        """
        if connection.lost:
            return
        if connection.answered:
            self._silence_limit_s = _INITIAL_SILENCE_LIMIT_S
        if connection.silent_s < self._silence_limit_s:
            return
        log.info('link to %s is silent, closed', self._address)
        self._silence_limit_s = min(
            2 * self._silence_limit_s, _MAX_SILENCE_LIMIT_S
        )
        connection.close(PeerTimeout(f'link to {self._address} is silent'))
