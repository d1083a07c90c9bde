"""Seconds in which this process was running."""

import time


class RunningClock:
    """Counts the time in which this process was running and could receive.

    A process that got no processor time has received nothing meanwhile, and
    must not take this for the silence of the others. Steps between two
    readings count up to ``max_step_s``, so it has to be read more often.
    """

    def __init__(self, max_step_s: float) -> None:
        self._max_step_s = max_step_s
        self._read_at_s = time.monotonic()
        self._now_s = 0.0

    def now_s(self) -> float:
        """Return the seconds counted so far."""
        read_at_s = time.monotonic()
        step_s = read_at_s - self._read_at_s
        self._read_at_s = read_at_s
        self._now_s += min(step_s, self._max_step_s)
        return self._now_s
