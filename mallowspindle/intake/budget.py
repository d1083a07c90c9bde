"""One budget of bytes for the unfinished requests of a process.

Load pattern: clients that send large requests slowly, or never finish them.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

# A request up to this size may use the whole budget: callers' usual requests
# have up to 72 KB. Larger ones wait above a part of it.
SMALL_BYTES = 131_072
LARGE_SHARE = 0.75
# A client that has sent less than this for so long does not progress.
_PROGRESS_BYTES = 1024
_STALL_S = 1.0
_TICK_S = 0.02
# What a client may send between two ticks once it has got room.
_TURN_BYTES = 65_536


@dataclass(eq=False)
class Holding:
    """What one connection holds of the budget.

    ``evict`` refuses its request, ``is_evictable`` tells whether that is still
    possible, ``pause`` and ``resume`` control whether more is read.
    """

    evict: Callable[[], None]
    is_evictable: Callable[[], bool]
    pause: Callable[[], None]
    resume: Callable[[], None]
    held_bytes: int = 0
    since_s: float = 0.0
    progress_s: float = 0.0
    # None unless the connection waits for room.
    waits_since_s: float | None = None
    fresh_bytes: int = field(default=0, repr=False)

    @property
    def is_small(self) -> bool:
        """Whether the request has a usual size so far."""
        return self.held_bytes <= SMALL_BYTES

    def burden(self, now_s: float) -> tuple[bool, float]:
        """Return how much it holds and for how long; large ones are worse."""
        age_s = now_s - self.since_s
        return not self.is_small, self.held_bytes * age_s

    def pace(self, now_s: float) -> tuple[bool, float]:
        """Return how fast it has progressed; large ones come first."""
        age_s = max(now_s - self.since_s, _TICK_S)
        return self.is_small, self.held_bytes / age_s


class ByteBudget:
    """Bytes that all connections of a process hold together.

    Connections wait for room, in the order of their size. Room comes from
    requests that end, and from those that are refused: first large ones whose
    clients have stopped sending, by what they hold and for how long.
    """

    # A client waits for room this long before a progressing one is refused.
    max_wait_s = 1.0

    def __init__(self, total_bytes: int) -> None:
        self._total_bytes = total_bytes
        self._used_bytes = 0
        self._holdings: set[Holding] = set()
        self._waiting: set[Holding] = set()
        self._tick: asyncio.TimerHandle | None = None

    @property
    def used_bytes(self) -> int:
        """Bytes that all connections hold."""
        return self._used_bytes

    def charge(self, holding: Holding, size: int) -> None:
        """Add received bytes; pause their connection if there is no room."""
        now_s = asyncio.get_running_loop().time()
        if not holding.held_bytes:
            holding.since_s = now_s
            holding.progress_s = now_s
            self._holdings.add(holding)
        holding.held_bytes += size
        holding.fresh_bytes += size
        self._used_bytes += size
        if holding.fresh_bytes >= _PROGRESS_BYTES:
            holding.fresh_bytes = 0
            holding.progress_s = now_s
        if self._used_bytes > self._limit_bytes(holding):
            self._wait(holding, now_s)

    def release(self, holding: Holding) -> None:
        """Free all that a connection holds."""
        self._used_bytes -= holding.held_bytes
        holding.held_bytes = 0
        holding.fresh_bytes = 0
        self._holdings.discard(holding)
        if holding in self._waiting:
            self._stop_waiting(holding)

    def _limit_bytes(self, holding: Holding) -> float:
        share = 1 if holding.is_small else LARGE_SHARE
        return self._total_bytes * share

    def _wait(self, holding: Holding, now_s: float) -> None:
        if holding not in self._waiting and holding.is_evictable():
            self._waiting.add(holding)
            holding.waits_since_s = now_s
            holding.pause()
        self._schedule()

    def _stop_waiting(self, holding: Holding) -> None:
        self._waiting.discard(holding)
        holding.waits_since_s = None
        holding.progress_s = asyncio.get_running_loop().time()
        holding.resume()

    def _make_room(self) -> None:
        """Refuse requests that hold much, then let others go on."""
        now_s = asyncio.get_running_loop().time()
        self._tick = None
        if self._is_short():
            self._evict(now_s)
        room_bytes = 0
        for holding in self._turn_order():
            room_bytes += _TURN_BYTES
            if self._used_bytes + room_bytes > self._limit_bytes(holding):
                break
            self._stop_waiting(holding)
        if self._waiting:
            self._schedule()

    def _turn_order(self) -> list[Holding]:
        """Return those that wait, in the order in which they go on."""
        return sorted(self._waiting, key=_size)

    def _schedule(self, delay_s: float = _TICK_S) -> None:
        if self._tick is None:
            self._tick = asyncio.get_running_loop().call_later(
                delay_s, self._make_room
            )

    def _is_short(self) -> bool:
        """Whether any request that waits gets no room."""
        limit_bytes = min(
            map(self._limit_bytes, self._waiting), default=self._total_bytes
        )
        return self._used_bytes + _TURN_BYTES > limit_bytes

    def _evict(self, now_s: float) -> None:
        """Refuse requests until there is room, the worst ones first."""
        for holding in self._candidates(now_s):
            if not self._is_short():
                break
            self.release(holding)
            holding.evict()

    def _candidates(self, now_s: float) -> list[Holding]:
        """Return the requests to refuse if room is short, in this order.

        Those that progress follow once others have waited for long, the
        slowest ones first.
        """
        evictable = [
            holding for holding in self._holdings if holding.is_evictable()
        ]
        stalled = [
            holding
            for holding in evictable
            if holding.waits_since_s is None
            and now_s - holding.progress_s > _STALL_S
        ]
        stalled.sort(key=lambda holding: holding.burden(now_s), reverse=True)
        if not self._is_overdue(now_s):
            return stalled
        progressing = set(evictable).difference(stalled)
        return stalled + sorted(
            progressing, key=lambda holding: holding.pace(now_s)
        )

    def _is_overdue(self, now_s: float) -> bool:
        return any(
            now_s - (holding.waits_since_s or now_s) > self.max_wait_s
            for holding in self._waiting
        )


def _size(holding: Holding) -> int:
    return holding.held_bytes
