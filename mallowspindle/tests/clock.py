"""A clock that tests set."""


class FakeClock:
    """Returns the time that a test has reached."""

    def __init__(self, now_s: float = 1000.0) -> None:
        self._now_s = now_s

    def __call__(self) -> float:
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self._now_s += seconds
