"""How much of one client is parsed before others are served."""

import asyncio
from typing import Any

import pytest

from mallowspindle.intake.reading import TurnReader
from mallowspindle.intake.turns import READ_BYTES, SLICE_BYTES, ReadTurns

# Parsing one slice takes most of a turn, as chunks of one byte do.
_COST_S = 0.0003
# Two slices when bytes arrive, and two in a turn of the same iteration.
_MAX_BYTES_PER_ITERATION = 4 * SLICE_BYTES
_ITERATIONS = 50


class _Clock:
    """CPU time that only parsing takes."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def thread_time(self) -> float:
        return self.now_s


class _CostlyProtocol(asyncio.Protocol):
    """Counts what it gets, at the cost of CPU time."""

    def __init__(self, clock: _Clock) -> None:
        self._clock = clock
        self.received_bytes = 0

    def data_received(self, data: bytes) -> None:
        self.received_bytes += len(data)
        self._clock.now_s += _COST_S


class _Transport(asyncio.Transport):
    """A connection whose client always has more to send."""

    def __init__(self) -> None:
        super().__init__()
        self.is_reading_paused = False

    def pause_reading(self) -> None:
        self.is_reading_paused = True

    def resume_reading(self) -> None:
        self.is_reading_paused = False

    def is_closing(self) -> bool:
        return False


async def test_a_costly_client_gets_few_bytes_of_an_iteration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the bytes of one client that hold up all others."""
    clock: Any = _Clock()
    monkeypatch.setattr('mallowspindle.intake.reading.time', clock)
    monkeypatch.setattr('mallowspindle.intake.turns.time', clock)
    protocol = _CostlyProtocol(clock)
    transport = _Transport()
    reader = TurnReader(protocol, ReadTurns())
    reader.connection_made(transport)
    sizes = []
    for _ in range(_ITERATIONS):
        before = protocol.received_bytes
        if not transport.is_reading_paused:
            reader.buffer_updated(READ_BYTES)
        await asyncio.sleep(0)
        sizes.append(protocol.received_bytes - before)
    assert max(sizes) <= _MAX_BYTES_PER_ITERATION
    # It goes on all the same.
    assert sum(sizes) >= _ITERATIONS // 2 * SLICE_BYTES
