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
_MAX_UNLOGGED = 20_000

StreamLogger = Callable[[Sequence[StreamBegun]], Awaitable[Sequence[bool]]]


@dataclass(slots=True, eq=False)
class _Unlogged:
    """A stream that is offered at ``due_s``, and ``pause_s`` after that."""

    begun: StreamBegun
    due_s: float
    pause_s: float


@dataclass(frozen=True, slots=True)
class LoggingPace:
    """How fast streams are logged, in seconds.

    A node collects its own for ``collect_s``, the node that logs them those of
    all for ``batch_s``; after ``confirm_s`` the log should have them.
    """

    collect_s: float
    batch_s: float
    confirm_s: float


class UnloggedStreams:
    """Offers streams to the nodes that log them until the log has them.

    ``log_streams`` offers some streams and returns which of them the log has.
    A node that has accepted a stream may die before it has logged it.
    """

    def __init__(
        self,
        log_streams: StreamLogger,
        pace: Callable[[], LoggingPace],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log_streams = log_streams
        self._pace = pace
        self._clock = clock
        self._unlogged: dict[StreamKey, _Unlogged] = {}
        self._wake = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._unlogged)

    def add(self, begun: StreamBegun) -> None:
        """Have a stream logged; a later one with the same id replaces it."""
        self._unlogged.pop(begun.key, None)
        self._unlogged[begun.key] = _Unlogged(
            begun, self._clock(), self._pace().confirm_s
        )
        if len(self._unlogged) > _MAX_UNLOGGED:
            self._unlogged.pop(next(iter(self._unlogged)))
        self._wake.set()

    def streams(self) -> list[StreamBegun]:
        """Return the streams that the log may lack."""
        return [unlogged.begun for unlogged in self._unlogged.values()]

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
        if self._unlogged:
            due_s = min(unlogged.due_s for unlogged in self._unlogged.values())
            self._timer = asyncio.get_running_loop().call_later(
                due_s - self._clock(), self._wake.set
            )

    async def _offer_due(self) -> None:
        now_s = self._clock()
        due = [
            unlogged
            for unlogged in self._unlogged.values()
            if unlogged.due_s <= now_s
        ]
        for start in range(0, len(due), _MAX_BATCH):
            batch = due[start : start + _MAX_BATCH]
            logged = await self._log_streams(
                [unlogged.begun for unlogged in batch]
            )
            for unlogged, is_logged in zip(batch, logged, strict=True):
                self._note_offered(unlogged, is_logged=is_logged)

    def _note_offered(self, unlogged: _Unlogged, *, is_logged: bool) -> None:
        key = unlogged.begun.key
        if is_logged and self._unlogged.get(key) is unlogged:
            self._unlogged.pop(key)
        unlogged.due_s = self._clock() + unlogged.pause_s
        unlogged.pause_s = min(2 * unlogged.pause_s, _MAX_PAUSE_S)
