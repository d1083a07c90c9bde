"""Waits for conditions that give no event to wait for."""

import asyncio
from collections.abc import Awaitable, Callable

# Time in which a condition of a test or a demo should come true.
WAIT_S = 30.0
_POLL_S = 0.05


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float = WAIT_S
) -> None:
    """Poll a condition until it holds; ``TimeoutError`` if it never does."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(_POLL_S)
