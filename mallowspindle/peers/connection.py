"""An open connection to a peer, with the calls that await replies on it."""

import asyncio
import logging
import time
from itertools import count
from typing import Any

from mallowspindle.peers.backlog import SendBacklog
from mallowspindle.peers.codec import (
    EncodedMessage,
    ErrorReply,
    peer_codec,
)
from mallowspindle.peers.errors import (
    PeerError,
    PeerTimeout,
    PeerUnreachable,
)
from mallowspindle.peers.frames import FrameStream
from mallowspindle.peers.transit import (
    ConnectionClock,
    DatedMessage,
    PeerTime,
    Stamp,
    aged,
    read_peer_time,
)
from mallowspindle.utils.clock import boot_clock_s
from mallowspindle.utils.codec import CodecError, list_header, pack

log = logging.getLogger(__name__)

_MS = 1000
# The tag and the fields of a message without a stamp.
_UNSTAMPED = 2
# Limit on pending calls to one peer, equal to the default limit on requests in
# progress at a node. Further calls fail at once instead of queueing behind a
# blocked peer.
_MAX_PENDING_CALLS = 2000
# Frames that are noted before the kernel is asked which of them have left. It
# takes 19 us to ask, so it is not done for each frame.
_MAX_NOTED_FRAMES = 64


class PeerConnection:
    """Sends numbered calls and matches replies to them by number.

    Messages with an age are stamped if the peer has sent its time.
    """

    def __init__(
        self,
        address: str,
        stream: FrameStream,
        clock: ConnectionClock,
        peer_time: PeerTime | None,
    ) -> None:
        self._address = address
        self._stream = stream
        self._clock = clock
        self._peer_time = peer_time
        self._call_numbers = count()
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._unanswered_since_s: float | None = None
        self._answered = False
        self._answered_call_at_s = 0.0
        self._lost = False
        self._write_lock = asyncio.Lock()
        self._sent_bytes = 0
        self._backlog = SendBacklog()
        self._reader_task = asyncio.create_task(
            self._read_replies(), name=f'peer link {address}'
        )

    @property
    def lost(self) -> bool:
        """Whether the connection is no longer usable."""
        return self._lost

    @property
    def answered(self) -> bool:
        """Whether any reply has arrived on this connection."""
        return self._answered

    @property
    def answered_call_at_s(self) -> float:
        """When the newest call with a reply was sent, on the boot clock."""
        return self._answered_call_at_s

    @property
    def sent_bytes(self) -> int:
        """Bytes sent on this connection."""
        return self._sent_bytes

    @property
    def queued_bytes(self) -> int:
        """Bytes buffered in this process that are still to be sent."""
        return self._stream.queued_bytes

    @property
    def backlog(self) -> SendBacklog:
        """The frames that have not left this node yet."""
        self._backlog.update(self._stream.unsent_bytes)
        return self._backlog

    @property
    def silent_s(self) -> float:
        """Seconds without a reply while at least one call was pending."""
        if self._unanswered_since_s is None:
            return 0
        return time.monotonic() - self._unanswered_since_s

    async def call(
        self, message: object, timeout_s: float, made_at_s: float | None = None
    ) -> Any:
        """Send a message and return the peer's reply.

        Ages in the message are as of ``made_at_s`` on the boot clock, those in
        the reply as of now.
        """
        if made_at_s is None:
            made_at_s = boot_clock_s()
        if len(self._pending) >= _MAX_PENDING_CALLS:
            raise PeerUnreachable(f'{self._address}: too many pending calls')
        number = next(self._call_numbers)
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        reply.add_done_callback(_mark_exception_retrieved)
        if self._unanswered_since_s is None:
            self._unanswered_since_s = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                sent_at_s = await self._send(number, message, made_at_s)
                # The peer has made its reply later than that.
                answer = aged(await reply, boot_clock_s() - sent_at_s)
        except TimeoutError as error:
            raise PeerTimeout(
                f'{self._address} did not reply in time'
            ) from error
        finally:
            self._pending.pop(number, None)
        self._answered_call_at_s = max(self._answered_call_at_s, sent_at_s)
        return answer

    async def _send(
        self, number: int, message: object, made_at_s: float
    ) -> float:
        """Write a frame once most of the earlier ones have left this process.

        A call that times out before that is never sent, so that a slow link
        does not carry messages whose callers have given up. Return when it was
        written on the boot clock.
        """
        if not isinstance(message, EncodedMessage):
            message = EncodedMessage(message)
        items = [pack(number), message.parts]
        size = _UNSTAMPED + 1
        async with self._write_lock:
            await self._stream.drain()
            sent_at_s = boot_clock_s()
            if _is_dated(message.message) and self._peer_time:
                waited_ms = max(0, int((sent_at_s - made_at_s) * _MS))
                stamp = Stamp(self._clock.now_ms(), waited_ms, *self._peer_time)
                items.append(pack(stamp))
                size += 1
            frame = b''.join((list_header(size), *items))
            frame_bytes = self._stream.enqueue_encoded(frame)
            self._sent_bytes += frame_bytes
            self._backlog.add(message.kind, frame_bytes)
            if len(self._backlog) > _MAX_NOTED_FRAMES:
                self._backlog.update(self._stream.unsent_bytes)
            return sent_at_s

    def close(self, error: PeerError) -> None:
        """Abort the connection; pending calls fail with ``error``."""
        self._abort(error)
        self._reader_task.cancel()

    async def _read_replies(self) -> None:
        try:
            while True:
                number, wire = await self._stream.read_numbered()
                if len(wire) > _UNSTAMPED:
                    self._peer_time = read_peer_time(wire.pop(), self._clock)
                self._handle_reply(number, _decode_reply(wire))
        except (PeerError, ValueError) as error:
            log.info('link to %s lost: %s', self._address, error)
            self._abort(PeerTimeout(f'link to {self._address} lost'))

    def _handle_reply(self, number: int, reply: object) -> None:
        self._answered = True
        pending = self._pending.pop(number, None)
        if pending is not None and not pending.done():
            pending.set_result(reply)
        self._unanswered_since_s = time.monotonic() if self._pending else None

    def _abort(self, error: PeerError) -> None:
        self._lost = True
        self._stream.abort()
        for pending in self._pending.values():
            if not pending.done():
                pending.set_exception(error)


def _is_dated(message: object) -> bool:
    return isinstance(message, DatedMessage) and message.is_dated


def _decode_reply(wire: Any) -> object:
    """Return a reply; an error if a peer of another build sent it."""
    try:
        return peer_codec.from_wire(wire)
    except CodecError as error:
        return ErrorReply(f'reply not understood: {error}')


def _mark_exception_retrieved(reply: asyncio.Future[Any]) -> None:
    """Keep asyncio from logging the exception as never retrieved.

    A call that failed while sending does not await its reply.
    """
    if not reply.cancelled():
        reply.exception()
