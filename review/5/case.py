"""A machine is removed as planned; then another one is stopped as planned."""

import asyncio
import signal
import sys
import time
from pathlib import Path

from harness.callers import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Record,
    configure,
    run_case,
    send,
    start_server,
    wait_until,
)
from harness.processes import Machine, Venture
from harness.proxies import Paths, StoreView

_CONTACT_S = 3.0
_GRACE_S = 8.0
# Streams are sent from shortly before the SIGTERM on, for as long as callers use an
# address that they know: three times the `ttl_s` of 1.5 s.
_USED_FOR_S = 4.4
_STREAMS = 44
# A stream takes 6 s: 20 events with pauses of 0.3 s.
_EVENTS = 20
# Requests sent up to then aren't counted if their server still works in the last
# sixth of the grace time.
_EXCUSED_S = 3.0


async def _be_silent(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Keep a channel open and answer nothing."""
    try:
        await asyncio.sleep(120)
    finally:
        writer.close()


async def main() -> int:
    record = Record(str(Path(__file__).parent))
    async with Venture() as venture:
        await venture.start_platform()
        machines = [
            venture.add_machine(f'front-mitt-{zone}-1', f'mitt-{zone}')
            for zone in 'abc'
        ]
        paths = Paths(machines)
        await configure(venture)
        servers = [
            await start_server(
                venture, paths, f'pool-{number}', 'spindle-pool',
                '--work-ms', '300', '--events', str(_EVENTS),
            )
            for number in (1, 2)
        ]
        views = []
        for machine in machines:
            view = StoreView(venture.store_address, machine)
            views.append(view)
            await venture.start_machine(machine, await view.start())
            await venture.wait_until_ready(machine)
        await asyncio.sleep(_CONTACT_S)
        try:
            return await _play(venture, machines, servers, record)
        finally:
            for view in views:
                await view.stop()


async def _play(venture, machines, servers, record) -> int:
    first, _, removed = machines
    if TROUBLE:
        await _remove(removed, record)
        await asyncio.sleep(_CONTACT_S)
    stopped_at_s = time.time()
    if TROUBLE:
        record.note(f'{first.name} gets SIGTERM')
        first.running_process.signal(signal.SIGTERM)
    streams = []
    for number in range(_STREAMS):
        streams.append(
            asyncio.create_task(
                send(venture, first, 'POST', f'/dossier/{number}',
                     f'stream-{number}', 15000, b'{}')
            )
        )
        await asyncio.sleep(_USED_FOR_S / _STREAMS)
    answers = await asyncio.gather(*streams)
    runs = [
        run for server in servers for run in await venture.get(server, '/runs')
    ]
    ran = {run['id'] for run in runs}
    lost = 0
    for answer in answers:
        sent_s = answer.sent_at_s - stopped_at_s
        is_cut = answer.request_id in ran and not answer.whole
        is_lost = is_cut and sent_s > _EXCUSED_S
        lost += is_lost
        record.note(
            f'{answer.request_id}: sent {sent_s:.3f} s after the SIGTERM, '
            f'answered {answer.status}, '
            f'{"whole" if answer.whole else "broken off"} '
            f'{answer.ended_at_s - stopped_at_s:.3f} s after it, '
            f'{answer.body.count(b"data: ")} events'
            + (' <- LOST' if is_lost else '')
        )
    for message in ('asked to stop', 'draining', 'drained'):
        for line in first.running_process.lines(message):
            record.note(f'log of {first.name}: {line["time"]} {message}')
    if not ran:
        return NOT_RUN
    record.note(
        f'{lost} streams that were sent more than {_EXCUSED_S} s after the '
        'SIGTERM were passed on to a server and broken off'
    )
    return BROKEN if lost else HELD


async def _remove(machine: Machine, record: Record) -> None:
    """Stop a machine's process for good; its address answers no more."""
    process = machine.running_process
    record.note(f'{machine.name} gets SIGTERM, to be removed for good')
    process.signal(signal.SIGTERM)

    async def has_ended() -> bool:
        return not process.running

    if not await wait_until(has_ended, _GRACE_S):
        process.signal(signal.SIGKILL)
        await wait_until(has_ended, _GRACE_S)
    # Channels to a machine without power hang.
    host, _, port = machine.listen['control'].rpartition(':')
    await asyncio.start_server(_be_silent, host, int(port))
    record.note(f'{machine.name} is gone')


if __name__ == '__main__':
    sys.exit(run_case(main))
