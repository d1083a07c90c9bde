"""One budget of bytes for the answers that a process holds.

Load pattern: servers that send without end, many at once, and callers that read
large answers slowly.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mallowspindle.intake.budget import LARGE_SHARE, ByteBudget, Holding

# The rest is for the answer that goes on without regard to the room: a whole
# one of 8 MB where the budget is 20 MB.
_SHARED_PART = 0.5
# Above this part of the budget, whole answers that wait for their callers keep
# others from going on.
_WHOLE_PART = 0.25
# An answer that is received alone but brings nothing for this long lets
# another one go first.
_STALL_S = 0.5
# A caller that reads nothing for this long does not read on soon: some fall
# silent for a second.
_UNREAD_S = 2.0


@dataclass(eq=False)
class AnswerHolding(Holding):
    """What one answer holds of the budget, until its caller has got it.

    ``unsent`` tells how many bytes of a whole answer wait for its caller; it is
    None while the answer is received. ``is_usual`` is whether the server has
    stated a length of up to ``SMALL_BYTES``.
    """

    is_usual: bool = False
    unsent: Callable[[], int] | None = None
    unsent_bytes: int = 0

    @property
    def is_whole(self) -> bool:
        """Whether the answer waits for its caller only."""
        return self.unsent is not None

    def note_unsent(self, now_s: float) -> None:
        """Record whether the caller has read on."""
        if self.unsent is None:
            return
        unsent_bytes = self.unsent()
        if unsent_bytes != self.unsent_bytes:
            self.unsent_bytes = unsent_bytes
            self.progress_s = now_s


class AnswerBudget(ByteBudget):
    """Bytes of answers that are not forwarded yet.

    Without room, answers wait to be read on. Of those that wait, the one that
    holds most goes on without regard to the room, so that large answers end
    one after another instead of waiting for each other. Room comes from answers
    that end, from whole ones whose callers have stopped reading, and once
    others have waited for long, from the unfinished ones that hold most. What
    is shared by answers without a stated end leaves room for usual ones.
    """

    def __init__(self, total_bytes: int) -> None:
        super().__init__(int(total_bytes * _SHARED_PART))
        self._all_bytes = total_bytes
        self._max_whole_bytes = total_bytes * _WHOLE_PART
        self._first: Holding | None = None

    def release(self, holding: Holding) -> None:
        """Free all that an answer holds."""
        super().release(holding)
        if holding is self._first:
            self._first = None
            if self._waiting and self._tick is not None:
                self._tick.cancel()
                self._tick = None
                self._schedule(0)

    def _limit_bytes(self, holding: Holding) -> float:
        if holding is self._first:
            return float('inf')
        if isinstance(holding, AnswerHolding) and holding.is_usual:
            return self._all_bytes
        return super()._limit_bytes(holding)

    @property
    def _limit_of_large(self) -> float:
        return self._total_bytes * LARGE_SHARE

    def _make_room(self) -> None:
        self._choose_first(asyncio.get_running_loop().time())
        super()._make_room()

    def _choose_first(self, now_s: float) -> None:
        first = self._first
        if first is not None and now_s - first.progress_s <= _STALL_S:
            return
        self._first = None
        whole_bytes = sum(
            each.held_bytes
            for each in self._holdings
            if isinstance(each, AnswerHolding) and each.is_whole
        )
        if whole_bytes > self._max_whole_bytes:
            return
        self._first = max(self._waiting, key=_size, default=None)

    def _turn_order(self) -> list[Holding]:
        """Return those that wait, in the order in which they go on."""
        return sorted(
            self._waiting,
            key=lambda each: (each is not self._first, *_rank(each)),
        )

    def _candidates(self, now_s: float) -> list[Holding]:
        """Return the answers to give up if room is short, in this order."""
        evictable = [
            each
            for each in self._holdings
            if isinstance(each, AnswerHolding) and each.is_evictable()
        ]
        for holding in evictable:
            holding.note_unsent(now_s)
        whole = [each for each in evictable if each.is_whole]
        unread = [each for each in whole if now_s - each.progress_s > _UNREAD_S]
        unread.sort(key=lambda each: each.burden(now_s), reverse=True)
        if not self._is_overdue(now_s):
            return list[Holding](unread)
        unfinished = set[Holding](evictable).difference(whole)
        first = self._first
        if first is not None and first.held_bytes <= self._limit_of_large:
            unfinished.discard(first)
        return [*unread, *sorted(unfinished, key=_rank, reverse=True)]


def _size(holding: Holding) -> int:
    return holding.held_bytes


def _rank(holding: Holding) -> tuple[bool, int]:
    """Return the place in the order: usual answers first, then small ones."""
    is_usual = isinstance(holding, AnswerHolding) and holding.is_usual
    return not is_usual, holding.held_bytes
