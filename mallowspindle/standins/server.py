"""Run a stand-in as a process that prints its port."""

import asyncio
import json
import signal
import sys
from collections.abc import Callable

from aiohttp.web import Application, AppRunner, TCPSite


class Listener:
    """Accepts the connections to a stand-in, which may refuse them all."""

    def __init__(self, app: Application, host: str, port: int) -> None:
        self._runner = AppRunner(app, shutdown_timeout=0.5, access_log=None)
        self._host = host
        self._port = port
        self._site: TCPSite | None = None

    async def start(self) -> int:
        """Listen and return the port, which stays the same later."""
        if self._site is None and self._runner.server is None:
            await self._runner.setup()
        self._site = TCPSite(self._runner, self._host, self._port)
        await self._site.start()
        self._port = int(self._runner.addresses[0][1])
        return self._port

    async def pause(self, pause_s: float) -> None:
        """Reset all connections and refuse new ones for ``pause_s``."""
        if self._site is None or self._runner.server is None:
            return
        await self._site.stop()
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.sleep(pause_s)
        await self.start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._runner.cleanup()


async def serve(
    app: Application,
    host: str,
    port: int,
    use_listener: Callable[[Listener], None] | None = None,
) -> None:
    """Serve ``app`` until SIGTERM or SIGINT.

    Print ``{"port": n}`` once it listens. ``use_listener`` gets the listener.
    """
    listener = Listener(app, host, port)
    bound_port = await listener.start()
    if use_listener is not None:
        use_listener(listener)
    sys.stdout.write(f'{json.dumps({"port": bound_port})}\n')
    sys.stdout.flush()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    await stop_requested.wait()
    await listener.close()
