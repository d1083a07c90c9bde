"""Which requests wait, and which are refused, when room is short."""

import asyncio
from dataclasses import dataclass, field

from mallowspindle.intake.budget import SMALL_BYTES, ByteBudget, Holding
from mallowspindle.tests.simulation import simulated

_TOTAL_BYTES = 1_000_000
_LARGE_BYTES = 400_000
_STALL_S = 1.5


@dataclass
class _Client:
    """A connection that records what the budget does with it."""

    budget: ByteBudget
    evicted: bool = False
    paused: bool = False
    complete: bool = False
    holding: Holding = field(init=False)

    def __post_init__(self) -> None:
        self.holding = Holding(
            self._evict, self._is_evictable, self._pause, self._resume
        )

    def send(self, size: int) -> None:
        self.budget.charge(self.holding, size)

    def _evict(self) -> None:
        self.evicted = True

    def _is_evictable(self) -> bool:
        return not self.complete and not self.evicted

    def _pause(self) -> None:
        self.paused = True

    def _resume(self) -> None:
        self.paused = False


def _clients(count: int) -> list[_Client]:
    budget = ByteBudget(_TOTAL_BYTES)
    return [_Client(budget) for _ in range(count)]


@simulated
async def test_requests_that_stall_make_room_for_others() -> None:
    """Guards against stalled bodies that hold the room until they time out."""
    stalled, progressing, late = _clients(3)
    stalled.send(_LARGE_BYTES)
    await asyncio.sleep(_STALL_S)
    progressing.send(_LARGE_BYTES)
    late.send(SMALL_BYTES * 2)
    assert late.paused
    await asyncio.sleep(0.1)
    assert stalled.evicted
    assert not late.paused
    assert not progressing.evicted


@simulated
async def test_small_requests_get_room_that_large_ones_do_not() -> None:
    """Guards against large bodies that leave no room for usual requests."""
    first, second, small = _clients(3)
    first.send(_LARGE_BYTES)
    second.send(_LARGE_BYTES)
    small.send(SMALL_BYTES)
    assert second.paused
    assert not small.paused


@simulated
async def test_requests_go_on_once_others_have_ended() -> None:
    """Guards against requests that wait although there is room."""
    first, second = _clients(2)
    first.send(_LARGE_BYTES)
    second.send(_LARGE_BYTES)
    assert second.paused
    first.budget.release(first.holding)
    await asyncio.sleep(0.1)
    assert not second.paused
    assert not second.evicted


@simulated
async def test_the_slowest_is_refused_once_all_wait_for_each_other() -> None:
    """Guards against large bodies that hold parts of the room for ever."""
    slow, fast = _clients(2)
    slow.send(SMALL_BYTES + 1)
    await asyncio.sleep(0.9)
    slow.send(_LARGE_BYTES)
    fast.send(_LARGE_BYTES)
    slow.send(1)
    assert slow.paused
    await asyncio.sleep(_STALL_S)
    assert slow.evicted
    assert not fast.evicted


@simulated
async def test_complete_requests_are_never_refused() -> None:
    """Guards against a refusal as not run of a request that has run."""
    complete, waiting = _clients(2)
    complete.complete = True
    complete.send(_TOTAL_BYTES)
    waiting.send(_LARGE_BYTES)
    await asyncio.sleep(_STALL_S)
    assert not complete.evicted
    assert waiting.evicted
    assert waiting.budget.used_bytes == _TOTAL_BYTES
