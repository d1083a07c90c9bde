"""Streams that a node has begun and that the log does not have yet."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from mallowspindle.streams.messages import StreamBegun, StreamKey

# Streams of one message.
_MAX_BATCH = 500
# While the log is away, streams are offered again less and less often.
_MAX_PAUSE_S = 2.0
# Streams of a node at its share of the largest load in some minutes.
_MAX_OWED = 20_000

LogStreams = Callable[[Sequence[StreamBegun]], Awaitable[Sequence[bool]]]


@dataclass(slots=True, eq=False)
class _Owed:
    """A stream that is offered at ``due_s``, and ``pause_s`` after that."""

    begun: StreamBegun
    due_s: float
    pause_s: float


@dataclass(frozen=True, slots=True)
class OwingPace:
    """How fast streams are logged, in seconds.

    A node collects its own for ``collect_s``, the node that logs them those of
    all for ``batch_s``; after ``confirm_s`` the log should have them.
    """

    collect_s: float
    batch_s: float
    confirm_s: float


class OwedStreams:
    """Offers streams to the nodes that log them until the log has them.

    ``log_streams`` offers some streams and returns which of them the log has.
    A node that has accepted a stream may die before it has logged it.
    """

    def __init__(
        self,
        log_streams: LogStreams,
        pace: Callable[[], OwingPace],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log_streams = log_streams
        self._pace = pace
        self._clock = clock
        self._owed: dict[StreamKey, _Owed] = {}
        self._wake = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._owed)

    def add(self, begun: StreamBegun) -> None:
        """Have a stream logged; a later one with the same id replaces it."""
        self._owed.pop(begun.key, None)
        self._owed[begun.key] = _Owed(
            begun, self._clock(), self._pace().confirm_s
        )
        if len(self._owed) > _MAX_OWED:
            self._owed.pop(next(iter(self._owed)))
        self._wake.set()

    def streams(self) -> list[StreamBegun]:
        """Return the streams that the log may lack."""
        return [owed.begun for owed in self._owed.values()]

    async def run(self) -> None:
        """Offer streams until cancelled."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(self._pace().collect_s)
            self._wake.clear()
            await self._offer_due()
            self._wake_when_due()

    def _wake_when_due(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._owed:
            due_s = min(owed.due_s for owed in self._owed.values())
            self._timer = asyncio.get_running_loop().call_later(
                due_s - self._clock(), self._wake.set
            )

    async def _offer_due(self) -> None:
        now_s = self._clock()
        due = [owed for owed in self._owed.values() if owed.due_s <= now_s]
        for start in range(0, len(due), _MAX_BATCH):
            batch = due[start : start + _MAX_BATCH]
            logged = await self._log_streams([owed.begun for owed in batch])
            for owed, is_logged in zip(batch, logged, strict=True):
                self._note_offered(owed, is_logged=is_logged)

    def _note_offered(self, owed: _Owed, *, is_logged: bool) -> None:
        key = owed.begun.key
        if is_logged and self._owed.get(key) is owed:
            self._owed.pop(key)
        owed.due_s = self._clock() + owed.pause_s
        owed.pause_s = min(2 * owed.pause_s, _MAX_PAUSE_S)
