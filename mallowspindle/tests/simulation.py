"""Runs coroutines in simulated time, which skips the waits for timers."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import wraps
from selectors import DefaultSelector, SelectorKey
from typing import Any, ParamSpec, TypeVar
from unittest.mock import patch

ResultT = TypeVar('ResultT')
Parameters = ParamSpec('Parameters')


class _SimulatedTimeSelector(DefaultSelector):
    """Advances the simulated time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        """Advance the time by ``timeout`` and return what is ready."""
        self.now_s += timeout or 0
        return super().select(0)


class _SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop that uses the simulated time of its selector."""

    def __init__(self, selector: _SimulatedTimeSelector) -> None:
        super().__init__(selector)
        self._time_selector = selector

    def time(self) -> float:
        """Return the simulated time."""
        return self._time_selector.now_s


def simulate(coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run ``coroutine`` in simulated time, whatever the machine's speed."""
    with asyncio.Runner(
        loop_factory=lambda: _SimulatedLoop(_SimulatedTimeSelector())
    ) as runner:
        return runner.run(coroutine)


def simulated(
    test: Callable[Parameters, Coroutine[Any, Any, None]],
) -> Callable[Parameters, None]:
    """Run a test in simulated time, the steady and boot clocks included."""

    @wraps(test)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        async def with_clock() -> None:
            clock = asyncio.get_running_loop().time
            with (
                patch('time.monotonic', clock),
                patch('time.clock_gettime', lambda _: clock()),
            ):
                await test(*args, **kwargs)

        simulate(with_clock())

    return run
