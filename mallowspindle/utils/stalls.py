"""Tells how long this process stood still, or was too busy to read."""

import asyncio
from collections.abc import Callable

from mallowspindle.utils.clock import boot_clock_s

_TICK_S = 0.2
# A shorter delay is within the tolerance of callers and operators.
_MIN_STALL_S = 0.5
# What has waited during a stall is read within this time after it.
_READING_S = 0.1


class StallWatch:
    """Measures the pauses of the event loop.

    What is read right after a pause may have waited for as long. The clock also
    runs while the VM is suspended.
    """

    def __init__(self, clock: Callable[[], float] = boot_clock_s) -> None:
        self._clock = clock
        # None until the first tick.
        self._ticked_at_s: float | None = None
        self._stall_s = 0.0
        self._stalled_until_s = float('-inf')

    @property
    def possible_delay_s(self) -> float:
        """How long something that is read now may have waited; mostly 0."""
        now_s = self._clock()
        pause_s = self._pause_s(now_s)
        if pause_s > _MIN_STALL_S:
            # The tick that notes the pause is still due.
            return pause_s
        if now_s - self._stalled_until_s < _READING_S:
            return self._stall_s
        return 0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(_TICK_S)

    def tick(self) -> None:
        """Note the time since the last tick."""
        now_s = self._clock()
        pause_s = self._pause_s(now_s)
        if pause_s > _MIN_STALL_S:
            self._stall_s = pause_s
            self._stalled_until_s = now_s
        self._ticked_at_s = now_s

    def _pause_s(self, now_s: float) -> float:
        return 0 if self._ticked_at_s is None else now_s - self._ticked_at_s
