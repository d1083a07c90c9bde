"""A machine that reaches no server passes claims on; a peer freezes."""

import asyncio
import signal
import sys
from pathlib import Path

from harness.callers import (
    BROKEN,
    HELD,
    NOT_RUN,
    PROMISES,
    TROUBLE,
    Answer,
    Record,
    configure,
    run_case,
    send,
    start_server,
)
from harness.processes import Venture
from harness.proxies import Paths, StoreView

_CONTACT_S = 3.0
_FREEZE_S = 4.0
_CLAIMS = 12
_DEADLINE_MS = 2500


async def main() -> int:
    record = Record(str(Path(__file__).parent))
    async with Venture() as venture:
        await venture.start_platform()
        first = venture.add_machine('front-mitt-a-1', 'mitt-a')
        others = [
            venture.add_machine('front-mitt-b-1', 'mitt-b'),
            venture.add_machine('front-mitt-c-1', 'mitt-c'),
        ]
        paths = Paths(venture.machines)
        await configure(venture)
        servers = [
            await start_server(
                venture, paths, f'filing-{number}', 'filing-api',
                '--work-ms', '150',
            )
            for number in (1, 2, 3)
        ]
        views = []
        for machine in venture.machines:
            view = StoreView(venture.store_address, machine)
            views.append(view)
            await venture.start_machine(machine, await view.start())
            await venture.wait_until_ready(machine)
        await asyncio.sleep(_CONTACT_S)
        try:
            return await _play(venture, paths, first, others, servers, record)
        finally:
            for view in views:
                await view.stop()


async def _play(venture, paths, first, others, servers, record) -> int:
    if TROUBLE:
        record.note(f'{first.name} is partitioned from all servers')
        paths.cut(first)
    for number in range(10):
        # Lookups by which the machine notices the partition.
        answer = await send(
            venture, first, 'GET', f'/status/{number}', f'look-{number}',
            _DEADLINE_MS,
        )
        record.note(f'lookup {answer.request_id} answered {answer.status}')
        await asyncio.sleep(_CONTACT_S / 10)
    if answer.status != 200:
        record.note('lookups are not served: the case did not run')
        return NOT_RUN
    claims = [
        asyncio.create_task(
            send(
                venture, first, 'POST', f'/submit/{number}', f'claim-{number}',
                _DEADLINE_MS, b'claim',
            )
        )
        for number in range(_CLAIMS)
    ]
    record.note(f'{_CLAIMS} claims sent to {first.name}')
    await asyncio.sleep(0.06)
    if TROUBLE:
        record.note(f'{others[0].name} freezes for {_FREEZE_S} s')
        others[0].running_process.signal(signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_S)
        others[0].running_process.signal(signal.SIGCONT)
        record.note(f'{others[0].name} wakes')
    answers: list[Answer] = await asyncio.gather(*claims)
    await asyncio.sleep(2)
    runs = [
        run for server in servers for run in await venture.get(server, '/runs')
    ]
    broken = 0
    for answer in answers:
        own = [run for run in runs if run['id'] == answer.request_id]
        ran = ', '.join(
            f'ran at {run["server"]} from {record.at(run["began_at_s"])}'
            for run in own
        )
        is_broken = bool(own) and answer.status in PROMISES
        broken += is_broken
        record.note(
            f'{answer.request_id}: answered {answer.status} at '
            f'{record.at(answer.ended_at_s)}; {ran or "did not run"}'
            + (' <- REFUSED broken' if is_broken else '')
        )
    if not runs:
        return NOT_RUN
    record.note(
        f'{broken} of {_CLAIMS} claims were told "not run" and have run'
    )
    return BROKEN if broken else HELD


if __name__ == '__main__':
    sys.exit(run_case(main))
