"""Turns in which connections are read, so that none takes all the time."""

import asyncio
import time
from collections import deque
from typing import Protocol

# What is read from a connection at one time: usual requests need up to 5 reads.
READ_BYTES = 16_384
# Bytes that are parsed before the time is looked at.
SLICE_BYTES = 2048
# CPU time for parsing what one connection has sent, before others come: 16 KiB
# of one-byte chunks take 2.3 ms, of plain bodies 0.02 ms.
TURN_S = 0.0005
# All connections that wait for a turn get so much of an iteration of the loop.
_ITERATION_S = 0.004
_TURNS_PER_ITERATION = 8
# What all connections may send in an iteration before they wait for turns.
_ITERATION_BYTES = 1_048_576

# CPU time for parsing the data of one connection while more wait than get a
# turn at once, and of all that wait: 4 MiB take 5 ms, 72 KiB in chunks of 8
# bytes 6 ms, in one-byte chunks 66 ms.
_MAX_COST_S = 0.05
_MIN_COST_S = 0.02
_ALL_COSTS_S = 3.0


class TurnTaker(Protocol):
    """A connection that waits for its turn."""

    def take_turn(self, max_cost_s: float) -> None:
        """Go on reading, unless that has taken more CPU time so far."""


class ReadTurns:
    """Gives turns, a few in each iteration of the event loop."""

    def __init__(self) -> None:
        self._waiting: deque[TurnTaker] = deque()
        self._read_bytes = 0
        self._scheduled = False
        self.buffer = memoryview(bytearray(READ_BYTES))

    @property
    def is_busy(self) -> bool:
        """Whether enough was read in this iteration."""
        return self._read_bytes > _ITERATION_BYTES

    def note_read(self, size: int) -> None:
        """Count bytes that were read in this iteration."""
        self._read_bytes += size
        self._schedule()

    def wait(self, taker: TurnTaker) -> None:
        """Queue a connection that has more to read."""
        self._waiting.append(taker)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._give_turns)

    def _give_turns(self) -> None:
        self._scheduled = False
        self._read_bytes = 0
        ends_at_s = time.thread_time() + _ITERATION_S
        max_cost_s = _max_cost_s(len(self._waiting))
        for _ in range(min(_TURNS_PER_ITERATION, len(self._waiting))):
            self._waiting.popleft().take_turn(max_cost_s)
            if time.thread_time() > ends_at_s:
                break
        if self._waiting:
            self._schedule()


def _max_cost_s(waiting: int) -> float:
    """Return the CPU time for the data of each of so many connections."""
    if waiting <= _TURNS_PER_ITERATION:
        return float('inf')
    return min(_MAX_COST_S, max(_MIN_COST_S, _ALL_COSTS_S / waiting))
