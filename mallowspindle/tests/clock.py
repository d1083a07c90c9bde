"""A clock that tests control."""


class FakeClock:
    """A clock whose time changes only through ``advance``."""

    def __init__(self, now_s: float = 1000.0) -> None:
        self._now_s = now_s

    def __call__(self) -> float:
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advance the time."""
        self._now_s += seconds
