"""Helpers for asyncio tasks."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Tasks that live as long as their owner and log their failures."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(
        self, work: Coroutine[Any, Any, Any], name: str
    ) -> asyncio.Task[Any]:
        """Start ``work`` as a task."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    async def wait(self) -> None:
        """Wait until all present tasks have ended."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(
                'task %s failed', task.get_name(), exc_info=task.exception()
            )


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for an event; False if it is not set within the time.

    Unlike ``asyncio.wait_for`` before Python 3.12 this ends when the task is
    cancelled in the moment in which the event is set.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True


async def run_periodically(
    work: Callable[[], Awaitable[Any]], interval_s: float
) -> None:
    """Call ``work`` forever with pauses; failures are logged, not raised."""
    while True:
        try:
            await work()
        except Exception:
            log.exception('periodic work failed')
        await asyncio.sleep(interval_s)
