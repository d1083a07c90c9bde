"""Streams begin through a peer, their machine reaches servers again, the peer dies."""

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

from harness.callers import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Answer,
    Record,
    configure,
    run_case,
    send,
    start_server,
    wait_until,
)
from harness.processes import Venture
from harness.proxies import Paths, StoreView

_CONTACT_S = 3.0
_STREAMS = 24
_EVENTS = 24
# A killed process is started again after this time, as the sheet has it.
_DOWN_S = 3.5
_DEADLINE_MS = 15000
# What the rule tolerates.
_TOLERATED = 2
_VERSIONS = {'pool-1': '7', 'pool-2': '7', 'pool-3': '8', 'pool-4': '8'}


def _versions_in(answer: Answer) -> list[str]:
    """Return the software versions of the servers whose events came."""
    lines = answer.body.decode().splitlines()
    found = [line.split()[1] for line in lines if line.startswith('data: ')]
    return sorted(set(found))


async def main() -> int:
    record = Record(str(Path(__file__).parent))
    async with Venture() as venture:
        await venture.start_platform()
        first = venture.add_machine('front-mitt-a-1', 'mitt-a')
        peer = venture.add_machine('front-mitt-b-1', 'mitt-b')
        paths = Paths(venture.machines)
        await configure(venture)
        servers = [
            await start_server(
                venture, paths, name, 'spindle-pool',
                '--work-ms', '300', '--events', str(_EVENTS), version=version,
            )
            for name, version in _VERSIONS.items()
        ]
        views = []
        addresses = {}
        for machine in venture.machines:
            view = StoreView(venture.store_address, machine)
            views.append(view)
            addresses[machine.name] = await view.start()
            await venture.start_machine(machine, addresses[machine.name])
            await venture.wait_until_ready(machine)
        await asyncio.sleep(_CONTACT_S)
        try:
            return await _play(
                venture, paths, first, peer, addresses[peer.name], servers, record
            )
        finally:
            for view in views:
                await view.stop()


async def _play(
    venture, paths, first, peer, peer_store, servers, record
) -> int:
    if TROUBLE:
        record.note(f'{first.name} is partitioned from all servers')
        paths.cut(first)
        # A few streams by which the machine notices the partition.
        for number in range(3):
            notices = asyncio.create_task(
                send(venture, first, 'POST', f'/dossier/{number}',
                     f'look-{number}', 1000, b'{}')
            )
            await asyncio.sleep(_CONTACT_S / 3)
        await notices
    streams = [
        asyncio.create_task(
            send(venture, first, 'POST', f'/dossier/{number}',
                 f'stream-{number}', _DEADLINE_MS, b'{}')
        )
        for number in range(_STREAMS)
    ]
    record.note(f'{_STREAMS} streams sent to {first.name}')
    await asyncio.sleep(1.0)
    if TROUBLE:
        record.note(f'{first.name} reaches the servers again')
        await paths.heal(first)

        async def reaches() -> bool:
            return bool(
                first.running_process.lines(
                    'servers of the service are reached again'
                )
            )

        if not await wait_until(reaches, _CONTACT_S):
            record.note('the path is not used again: the case did not run')
            return NOT_RUN
        await asyncio.sleep(1.0)
        record.note(f'{peer.name} is killed')
        peer.running_process.signal(signal.SIGKILL)
        await asyncio.sleep(_DOWN_S)
        await venture.start_machine(peer, peer_store)
        record.note(f'{peer.name} is started again')
    answers = await asyncio.gather(*streams)
    runs = [
        run for server in servers for run in await venture.get(server, '/runs')
    ]
    mixed = 0
    for answer in answers:
        versions = _versions_in(answer)
        at = [
            f'{run["server"]} (version {run["version"]}, after event '
            f'{run["last_event"] or 0})'
            for run in sorted(runs, key=lambda run: run['began_at_s'])
            if run['id'] == answer.request_id
        ]
        is_mixed = len(versions) > 1
        mixed += is_mixed
        record.note(
            f'{answer.request_id}: answered {answer.status}, '
            f'{"whole" if answer.whole else "broken off"}, '
            f'{answer.body.count(b"data: ")} events of versions '
            f'{" and ".join(versions)}; run at {", ".join(at)}'
            + (' <- two versions' if is_mixed else '')
        )
    record.note(f'answers: {dict(Counter(a.status for a in answers))}')
    record.note(f'{mixed} streams of two software versions, {_TOLERATED} allowed')
    if not any(answer.body for answer in answers):
        return NOT_RUN
    return BROKEN if mixed > _TOLERATED else HELD


if __name__ == '__main__':
    sys.exit(run_case(main))
