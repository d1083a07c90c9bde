"""Averages of what callers ask."""

import time
from collections import deque
from collections.abc import Callable


class RateMeter:
    """The sum of amounts over a sliding span, as a rate."""

    def __init__(
        self, span_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._span_s = span_s
        self._clock = clock
        self._amounts: deque[tuple[float, float]] = deque()

    def note(self, amount: float) -> None:
        """Count an amount now."""
        self._amounts.append((self._clock(), amount))

    def per_s(self) -> float:
        """Return the rate over the span."""
        horizon_s = self._clock() - self._span_s
        while self._amounts and self._amounts[0][0] < horizon_s:
            self._amounts.popleft()
        return sum(amount for _, amount in self._amounts) / self._span_s
