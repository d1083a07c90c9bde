"""Runs one stand-in as a process that announces its port."""

import asyncio
import json
import signal
import sys

from aiohttp.web import Application, AppRunner, TCPSite


async def serve(app: Application, host: str, port: int) -> None:
    """Serve ``app`` until SIGTERM; print ``{"port": n}`` once listening."""
    runner = AppRunner(app, shutdown_timeout=0.5, access_log=None)
    await runner.setup()
    site = TCPSite(runner, host, port)
    await site.start()
    bound = runner.addresses[0][1]
    sys.stdout.write(f'{json.dumps({"port": bound})}\n')
    sys.stdout.flush()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    await stopped.wait()
    await runner.cleanup()
