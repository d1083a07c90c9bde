"""Polling of conditions that send no event."""

import asyncio
from collections.abc import Awaitable, Callable

# Default time limit for a condition of a test or a demo.
WAIT_S = 30.0
_POLL_INTERVAL_S = 0.05


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float = WAIT_S
) -> None:
    """Poll a condition; raise ``TimeoutError`` if it stays false."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(_POLL_INTERVAL_S)
