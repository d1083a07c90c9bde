"""Average rates over a sliding window."""

import time
from collections import deque
from collections.abc import Callable

# Minimum time over which a rate is averaged, also just after the first amount.
_MIN_MEASURED_S = 1.5


class RateMeter:
    """Measures the rate of amounts over a sliding window."""

    def __init__(
        self, span_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._span_s = span_s
        self._clock = clock
        self._amounts: deque[tuple[float, float]] = deque()
        self._began_at_s: float | None = None

    def note(self, amount: float) -> None:
        """Record an amount at the current time."""
        now_s = self._clock()
        if self._began_at_s is None:
            self._began_at_s = now_s
        self._amounts.append((now_s, amount))

    def rate_per_s(self) -> float:
        """Return the average rate over the window."""
        now_s = self._clock()
        horizon_s = now_s - self._span_s
        while self._amounts and self._amounts[0][0] < horizon_s:
            self._amounts.popleft()
        if self._began_at_s is None:
            return 0
        measured_s = max(_MIN_MEASURED_S, now_s - self._began_at_s)
        total = sum(amount for _, amount in self._amounts)
        return total / min(self._span_s, measured_s)
