"""Counts the requests that began in each usage window."""

from collections import Counter
from collections.abc import Callable

# Windows that are kept and reported; the report of a window is due two windows
# after its end.
_KEPT_WINDOWS = 6


class UsageCounter:
    """Counts each organisation's requests by the window they began in."""

    def __init__(self, window_s: float, clock: Callable[[], float]) -> None:
        self._window_s = window_s
        self._clock = clock
        self._windows: dict[int, Counter[str]] = {}

    @property
    def window_s(self) -> float:
        """The length of a window."""
        return self._window_s

    def current_window(self) -> int:
        """Return the number of the current window."""
        return int(self._clock() // self._window_s)

    def count_request(self, organisation: str, age_s: float = 0) -> None:
        """Count a request that began ``age_s`` ago."""
        window = int((self._clock() - age_s) // self._window_s)
        if window not in self._windows:
            self._windows[window] = Counter()
            self._forget_old(window)
        self._windows[window][organisation] += 1

    def windows(self) -> dict[int, dict[str, int]]:
        """Return the counts of the windows that are kept."""
        return {
            window: dict(counts) for window, counts in self._windows.items()
        }

    def _forget_old(self, newest: int) -> None:
        self._windows = {
            window: counts
            for window, counts in self._windows.items()
            if window > newest - _KEPT_WINDOWS
        }
