"""What a peer connection has still to send: how much, of what, since when."""

import fcntl
import socket
import struct
import time
from asyncio import WriteTransport
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

# A kernel accepts up to 4 MB for each connection by default, which takes 3 s on
# a link of 10 Mbit/s. It sends what it has accepted, also if the caller has
# given up since.
_MAX_UNSENT_IN_KERNEL = 16_384
# Frames are queued in this process up to this size, then callers wait.
_MAX_QUEUED = 32_768
# Of ``linux/tcp.h``; the socket module has it from Python 3.12 on.
_TCP_NOTSENT_LOWAT = 25
# Of ``linux/sockios.h``: bytes in the send buffer that were never sent.
_UNSENT_BYTES = 0x894B
_INT = struct.Struct('i')


class _Frame(NamedTuple):
    """A queued frame; ``through`` is the stream's size up to its end."""

    through: int
    size: int
    kind: str
    queued_at_s: float


class SendBacklog:
    """The frames of a connection that have not left this node, oldest first."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._frames: deque[_Frame] = deque()
        self._through = 0

    def __len__(self) -> int:
        return len(self._frames)

    @property
    def age_s(self) -> float:
        """Seconds since the oldest frame was queued; 0 without any."""
        if not self._frames:
            return 0
        return self._clock() - self._frames[0].queued_at_s

    def add(self, kind: str, size: int) -> None:
        """Note a frame that was queued."""
        self._through += size
        frame = _Frame(self._through, size, kind, self._clock())
        self._frames.append(frame)

    def update(self, unsent_bytes: int) -> None:
        """Drop the frames that have left, given the bytes that have not."""
        sent_bytes = self._through - unsent_bytes
        while self._frames and self._frames[0].through <= sent_bytes:
            self._frames.popleft()

    def bytes_by_kind(self) -> Counter[str]:
        """Return the sizes of the frames by the kind of their messages.

        A frame that has left in part counts as a whole.
        """
        sizes: Counter[str] = Counter()
        for frame in self._frames:
            sizes[frame.kind] += frame.size
        return sizes


def limit_unsent(transport: WriteTransport) -> None:
    """Bound the bytes that a connection holds before they are sent."""
    transport.set_write_buffer_limits(high=_MAX_QUEUED)
    sock = transport.get_extra_info('socket')
    if sock is not None:
        # Without the option, only memory bounds what the kernel accepts.
        with suppress(OSError):
            sock.setsockopt(
                socket.IPPROTO_TCP, _TCP_NOTSENT_LOWAT, _MAX_UNSENT_IN_KERNEL
            )


def unsent_bytes(transport: WriteTransport) -> int:
    """Return the bytes that are queued in this process and in the kernel."""
    queued = transport.get_write_buffer_size()
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return queued
    try:
        answer = fcntl.ioctl(sock.fileno(), _UNSENT_BYTES, _INT.pack(0))
    except OSError:
        return queued
    return queued + int(_INT.unpack(answer)[0])
