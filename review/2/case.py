"""The store comes back from an older copy, and the duties change hands twice.

Their holder is killed as the store goes away, and started again. The next holder
is stopped and started as planned, 12 s later.
"""

import asyncio
import signal
import sys
import time
from collections import defaultdict
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

_WINDOW_S = 5
_CONTACT_S = 3.0
# The copy from which the store comes back is so old.
_COPY_AGE_S = 7.0
_AWAY_S = 1.0
# The store comes back so long after the begin of a window, so that a window
# that was reported 5 to 6 s earlier is the last one that the copy lacks.
_PHASE_S = 1.9
# A killed process is started again after this time, the bound of the sheet.
_DOWN_S = 3.5
# The next holder is stopped so long after the store has come back.
_STOP_AFTER_S = 12.0
# The bound of the sheet, after which SIGKILL follows a SIGTERM.
_GRACE_S = 8.0
_RESTART_S = 1.0
_PAUSE_S = 0.05


async def _call_forever(venture: Venture, machine: Machine) -> None:
    """Send lookups to a machine, whether or not it answers."""
    calls = set()
    number = 0
    while True:
        number += 1
        call = asyncio.create_task(
            send(venture, machine, 'GET', f'/status/{number}',
                 f'{machine.name}-{number}', 2500)
        )
        calls.add(call)
        call.add_done_callback(calls.discard)
        await asyncio.sleep(_PAUSE_S)


def _find_holder(machines: list[Machine]) -> Machine | None:
    """Return the machine that took the duties over last."""
    taken = [
        (lines[-1]['fencing_number'], machine)
        for machine in machines
        if (lines := machine.running_process.lines('duties taken over'))
    ]
    return max(taken, key=lambda entry: entry[0])[1] if taken else None


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
            await start_server(venture, paths, f'filing-{number}', 'filing-api')
            for number in (1, 2)
        ]
        views = {}
        callers = []
        for machine in machines:
            view = StoreView(venture.store_address, machine)
            address = await view.start()
            views[machine.name] = view, address
            await venture.start_machine(machine, address)
            await venture.wait_until_ready(machine)
            callers.append(
                asyncio.create_task(_call_forever(venture, machine))
            )
        try:
            return await _play(venture, machines, views, servers, record)
        finally:
            for caller in callers:
                caller.cancel()
            for view, _ in views.values():
                await view.stop()


async def _play(venture, machines, views, servers, record) -> int:
    # Some whole windows, in which all machines have traffic.
    ready_at_s = time.time() + 4 * _WINDOW_S + _CONTACT_S
    back_at_s = (ready_at_s // _WINDOW_S + 1) * _WINDOW_S + _PHASE_S
    await asyncio.sleep(back_at_s - _AWAY_S - time.time())
    first = _find_holder(machines)
    if first is None:
        return NOT_RUN
    record.note(f'the duties are with {first.name}')
    if TROUBLE:
        record.note('the store is away')
        await _set_store(venture, down=True)
        await asyncio.sleep(_AWAY_S / 2)
        restart = asyncio.create_task(
            _kill(venture, first, views[first.name][1], record)
        )
        await asyncio.sleep(back_at_s - time.time())
        url = f'http://{venture.store_address}/operator-restore/{_COPY_AGE_S}'
        async with venture.session.post(url) as response:
            response.raise_for_status()
        await _set_store(venture, down=False)
        record.note(f'the store is back, from a copy {_COPY_AGE_S} s old')
        await restart
    await asyncio.sleep(back_at_s + _STOP_AFTER_S - time.time())
    second = _find_holder(machines)
    record.note(f'the duties are with {second.name}')
    if TROUBLE:
        await _stop(venture, second, views[second.name][1], record)
    await asyncio.sleep(3 * _WINDOW_S)
    return await _judge(venture, servers, record)


async def _kill(venture, machine, address, record) -> None:
    """Kill a machine's process; the platform starts it again."""
    record.note(f'the process of {machine.name} is killed')
    machine.running_process.signal(signal.SIGKILL)
    await asyncio.sleep(_DOWN_S)
    await venture.start_machine(machine, address)
    await venture.wait_until_ready(machine)
    record.note(f'{machine.name} is ready again')


async def _stop(venture, machine, address, record) -> None:
    """Stop a machine's process as the platform does, and start it again."""
    process = machine.running_process
    record.note(f'{machine.name} gets SIGTERM')
    process.signal(signal.SIGTERM)

    async def has_ended() -> bool:
        return not process.running

    if not await wait_until(has_ended, _GRACE_S):
        process.signal(signal.SIGKILL)
    await asyncio.sleep(_RESTART_S)
    await venture.start_machine(machine, address)
    await venture.wait_until_ready(machine)
    record.note(f'{machine.name} is ready again')


async def _set_store(venture: Venture, *, down: bool) -> None:
    url = f'http://{venture.store_address}/faults'
    async with venture.session.post(url, json={'down': down}) as response:
        response.raise_for_status()


async def _judge(venture, servers, record) -> int:
    runs = [
        run for server in servers for run in await venture.get(server, '/runs')
    ]
    begun = defaultdict(int)
    for run in runs:
        begun[int(run['began_at_s'] // _WINDOW_S)] += 1
    calls = await venture.get(venture.duties_address, '/calls')
    reports = defaultdict(list)
    for call in calls:
        if call['duty'] == 'usage':
            reports[call['body']['window_id']].append(call)
    broken = 0
    for window, accepted in sorted(reports.items()):
        counts = [call['body']['counts'] for call in accepted]
        is_broken = any(other != counts[0] for other in counts)
        broken += is_broken
        told = '; '.join(
            f'{call["holder"]} (token {call["token"]}) {call["body"]["counts"]}'
            for call in accepted
        )
        record.note(
            f'window {window}: {begun[window]} runs began; accepted: {told}'
            + (' <- ONE broken' if is_broken else '')
        )
    if len(reports) < 4:
        return NOT_RUN
    record.note(f'{broken} windows with two reports of different counts')
    return BROKEN if broken else HELD


if __name__ == '__main__':
    sys.exit(run_case(main))
