"""Callers use channels that they have kept, while a machine is stopped as planned."""

import asyncio
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from harness.callers import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Record,
    configure,
    run_case,
    start_server,
)
from harness.processes import HOST, KEY, Machine, Venture
from harness.proxies import Paths, StoreView

_CONTACT_S = 3.0
_CHANNELS = 150
# Callers go on to use an address for three times the `ttl_s` that they were told,
# which is 1.5 s here.
_USED_FOR_S = 4.5
_LOSS_SLACK_S = 0.2


@dataclass
class Channel:
    """A channel that a caller keeps open between two requests."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def ask(self, request_id: str) -> str:
        """Send a lookup; return the status line, or none if the channel ends.

        The kernel resets a channel that is closed before all bytes were read.
        """
        head = (
            f'GET /status/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: {request_id}\r\nDeadline-Ms: 2500\r\n'
            f'Authorization: Token {KEY}\r\n\r\n'
        )
        try:
            self.writer.write(head.encode())
            await self.writer.drain()
            line = await self.reader.readline()
            length = 0
            while (field := await self.reader.readline()).strip():
                name, _, text = field.decode().partition(':')
                if name.lower() == 'content-length':
                    length = int(text)
            await self.reader.readexactly(length)
        except ConnectionResetError:
            return 'reset'
        except (OSError, asyncio.IncompleteReadError):
            return ''
        return line.decode().strip()


async def _open(machine: Machine) -> Channel:
    host, _, port = machine.listen['front'].rpartition(':')
    return Channel(*await asyncio.open_connection(host, int(port)))


async def _timed_ask(
    channel: Channel, number: int
) -> tuple[float, float, str]:
    """Return when a lookup was sent, when it ended, and its status line."""
    sent_at_s = time.time()
    status = await channel.ask(f'kept-{number}')
    return sent_at_s, time.time(), status


async def main() -> int:
    record = Record(str(Path(__file__).parent))
    async with Venture() as venture:
        await venture.start_platform()
        first = venture.add_machine('front-mitt-a-1', 'mitt-a')
        other = venture.add_machine('front-mitt-b-1', 'mitt-b')
        paths = Paths(venture.machines)
        await configure(venture)
        await start_server(venture, paths, 'filing-1', 'filing-api')
        await start_server(venture, paths, 'filing-2', 'filing-api')
        views = []
        for machine in (first, other):
            view = StoreView(venture.store_address, machine)
            views.append(view)
            await venture.start_machine(machine, await view.start())
            await venture.wait_until_ready(machine)
        await asyncio.sleep(_CONTACT_S)
        try:
            return await _play(first, record)
        finally:
            for view in views:
                await view.stop()


async def _play(first: Machine, record: Record) -> int:
    channels = [await _open(first) for _ in range(_CHANNELS)]
    for number, channel in enumerate(channels):
        status = await channel.ask(f'first-{number}')
        if ' 200 ' not in status:
            record.note(f'first lookup answered {status!r}: the case did not run')
            return NOT_RUN
    record.note(f'{_CHANNELS} channels have had their first answer')
    stopped_at_s = time.time()
    if TROUBLE:
        record.note(f'{first.name} gets SIGTERM')
        first.running_process.signal(signal.SIGTERM)
    asks = []
    for number, channel in enumerate(channels):
        asks.append(asyncio.create_task(_timed_ask(channel, number)))
        await asyncio.sleep(_USED_FOR_S / _CHANNELS)
    results = await asyncio.gather(*asks)
    lost = 0
    for number, (sent_at_s, ended_at_s, status) in enumerate(results):
        waited_s = ended_at_s - sent_at_s
        # The process has read the request, since the channel was not reset. A
        # request that crosses the close of its channel ends at once.
        is_lost = not status and waited_s > _LOSS_SLACK_S
        lost += is_lost
        record.note(
            f'kept-{number}: sent {sent_at_s - stopped_at_s:.3f} s after the '
            f'SIGTERM, {status or "closed without an answer"} after '
            f'{waited_s * 1000:.0f} ms' + (' <- LOST' if is_lost else '')
        )
    for line in first.running_process.lines('drained'):
        record.note(f'log of {first.name}: drained {line["time"]}, {line}')
    record.note(
        f'{lost} requests were read and closed without an answer more than '
        f'{_LOSS_SLACK_S} s later'
    )
    return BROKEN if lost else HELD


if __name__ == '__main__':
    sys.exit(run_case(main))
