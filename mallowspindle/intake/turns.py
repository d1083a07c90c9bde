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


class TurnTaker(Protocol):
    """A connection that waits for its turn."""

    def take_turn(self, *, crowded: bool) -> None:
        """Go on reading; ``crowded`` if more wait than get a turn at once."""


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
        crowded = len(self._waiting) > _TURNS_PER_ITERATION
        for _ in range(min(_TURNS_PER_ITERATION, len(self._waiting))):
            self._waiting.popleft().take_turn(crowded=crowded)
            if time.thread_time() > ends_at_s:
                break
        if self._waiting:
            self._schedule()
