"""Runs coroutines on a loop whose time jumps from timer to timer."""

import asyncio
from collections.abc import Coroutine
from selectors import DefaultSelector, SelectorKey
from typing import Any, TypeVar

ResultT = TypeVar('ResultT')


class _JumpingSelector(DefaultSelector):
    """Lets time pass at once instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        """Return what is ready, after the time that was to be waited."""
        self.now_s += timeout or 0
        return super().select(0)


class _SimulatedLoop(asyncio.SelectorEventLoop):
    """A loop whose time is that of its selector."""

    def __init__(self, selector: _JumpingSelector) -> None:
        super().__init__(selector)
        self._jumping = selector

    def time(self) -> float:
        """Return the simulated time."""
        return self._jumping.now_s


def simulate(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run ``work`` in simulated time, whatever the speed of the machine."""
    with asyncio.Runner(
        loop_factory=lambda: _SimulatedLoop(_JumpingSelector())
    ) as runner:
        return runner.run(work)
