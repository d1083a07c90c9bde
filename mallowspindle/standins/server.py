"""Run a stand-in as a process that prints its port."""

import asyncio
import json
import signal
import sys

from aiohttp.web import Application, AppRunner, TCPSite


async def serve(app: Application, host: str, port: int) -> None:
    """Serve ``app`` until SIGTERM or SIGINT.

    Print ``{"port": n}`` once it listens.
    """
    runner = AppRunner(app, shutdown_timeout=0.5, access_log=None)
    await runner.setup()
    site = TCPSite(runner, host, port)
    await site.start()
    bound_port = runner.addresses[0][1]
    sys.stdout.write(f'{json.dumps({"port": bound_port})}\n')
    sys.stdout.flush()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    await stop_requested.wait()
    await runner.cleanup()
