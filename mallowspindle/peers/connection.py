"""One open connection to a peer, and the calls that wait for replies."""

import asyncio
import logging
import time
from itertools import count
from typing import Any

from mallowspindle.peers.codec import peer_codec
from mallowspindle.peers.errors import (
    PeerError,
    PeerTimeout,
    PeerUnreachable,
)
from mallowspindle.peers.frames import FrameStream
from mallowspindle.utils.codec import CodecError

log = logging.getLogger(__name__)

# Calls that may wait for one peer, as many as requests in progress at a node
# by default. More are refused, not queued behind a peer that is blocked.
_MAX_WAITING = 2000


class PeerConnection:
    """Sends calls and gives each the reply of its number."""

    def __init__(self, address: str, stream: FrameStream) -> None:
        self._address = address
        self._stream = stream
        self._numbers = count()
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._unanswered_since_s: float | None = None
        self._answered = False
        self._lost = False
        self._writing = asyncio.Lock()
        self._sent_bytes = 0
        self._reader = asyncio.create_task(
            self._read_replies(), name=f'peer link {address}'
        )

    @property
    def lost(self) -> bool:
        """Whether the connection is of no use any longer."""
        return self._lost

    @property
    def answered(self) -> bool:
        """Whether any call was answered on this connection."""
        return self._answered

    @property
    def sent_bytes(self) -> int:
        """Bytes sent on this connection."""
        return self._sent_bytes

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait in this process to be sent."""
        return self._stream.queued_bytes

    @property
    def silent_s(self) -> float:
        """Seconds in which no reply came although a call waited for one."""
        if self._unanswered_since_s is None:
            return 0
        return time.monotonic() - self._unanswered_since_s

    async def call(self, message: object, timeout_s: float) -> Any:
        """Send a message and return the peer's reply."""
        if len(self._waiting) >= _MAX_WAITING:
            raise PeerUnreachable(f'{self._address}: too many calls wait')
        number = next(self._numbers)
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[number] = reply
        reply.add_done_callback(_retrieve_exception)
        if self._unanswered_since_s is None:
            self._unanswered_since_s = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                await self._send([number, *peer_codec.to_wire(message)])
                return await reply
        except TimeoutError as error:
            raise PeerTimeout(f'{self._address} did not answer') from error
        finally:
            self._waiting.pop(number, None)

    async def _send(self, frame: list[Any]) -> None:
        """Write a frame when those before it have left this process mostly.

        A call that times out before is not sent at all, so that a slow link
        doesn't carry what nobody waits for.
        """
        async with self._writing:
            await self._stream.drain()
            self._sent_bytes += self._stream.put(frame)

    def close(self, error: PeerError) -> None:
        """End the connection at once; waiting calls fail with ``error``."""
        self._lose(error)
        self._reader.cancel()

    async def _read_replies(self) -> None:
        try:
            while True:
                number, *wire = await self._stream.read()
                self._note_reply(number, peer_codec.from_wire(wire))
        except (PeerError, CodecError, ValueError) as error:
            log.info('link to %s lost: %s', self._address, error)
            self._lose(PeerTimeout(f'link to {self._address} lost'))

    def _note_reply(self, number: int, reply: object) -> None:
        self._answered = True
        waiting = self._waiting.pop(number, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)
        self._unanswered_since_s = time.monotonic() if self._waiting else None

    def _lose(self, error: PeerError) -> None:
        self._lost = True
        self._stream.abort()
        for waiting in self._waiting.values():
            if not waiting.done():
                waiting.set_exception(error)


def _retrieve_exception(reply: asyncio.Future[Any]) -> None:
    """Take the error of a call whose writing has failed already."""
    if not reply.cancelled():
        reply.exception()
