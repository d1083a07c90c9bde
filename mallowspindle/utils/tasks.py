"""Helpers for asyncio tasks."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Background tasks of one owner, whose failures are logged."""

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
        task.add_done_callback(self._on_done)
        return task

    async def wait(self) -> None:
        """Wait until all current tasks have finished."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def wait_for_any(self, timeout_s: float) -> None:
        """Wait until one of the current tasks has finished, or for a time."""
        if self._tasks:
            await asyncio.wait(
                self._tasks,
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have finished."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(
                'task %s failed', task.get_name(), exc_info=task.exception()
            )


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for an event; return False if it is not set within ``timeout_s``.

    ``asyncio.wait_for`` before Python 3.12 ignores a cancellation of the task
    that arrives at the moment at which the event is set; this one ends.
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
    """Call ``work`` forever, with a pause of ``interval_s`` after each call.

    Failures are logged, not raised.
    """
    while True:
        try:
            await work()
        except Exception:
            log.exception('periodic work failed')
        await asyncio.sleep(interval_s)
