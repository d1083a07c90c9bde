"""One window's usage is reported twice, with different counts."""

import asyncio
import random
import signal
import sys
import time
from collections import defaultdict
from itertools import count
from pathlib import Path

from harness_2.documents import MACHINE, configuration, route
from harness_2.http import call
from harness_2.server import Server, whole_answer
from harness_2.world import (
    Record,
    World,
    caller_headers,
    is_disturbed,
    run,
)

# The users' sheets: "20 s of history".
KEEP_S = 20.0
WINDOW_S = 5
NODES = ('entry-1', 'entry-2', 'entry-3', 'entry-4')
# Requests a second at each node.
RATE_PER_S = 25.0
# The sheet of vagmoms-reclaim freezes machines for 4 s.
FREEZE_S = 4.0
# The freeze begins so long before the end of a window.
BEFORE_END_S = 1.0
# From the end of the freeze to the loss of the holder.
PAUSE_S = 24.0


class Traffic:
    """Callers that send requests to each node that they reach."""

    def __init__(self, world: World, record: Record) -> None:
        self._world = world
        self._record = record
        self._numbers = count(1)

    async def run(self, node: str) -> None:
        """Send requests to a node until the end."""
        while self._world.is_running(node):
            self._world.spawn(self._send(node))
            await asyncio.sleep(random.expovariate(RATE_PER_S))

    async def _send(self, node: str) -> None:
        request_id = f'order-{next(self._numbers)}'
        answer = await call(
            self._world.front(node),
            'POST',
            '/orders/new',
            caller_headers(request_id, 2500),
            b'one bird',
            timeout_s=2.5,
        )
        status = answer.status if answer else 'none'
        self._record.note(f'{node} answers {request_id}: {status}')


async def case(record: Record) -> bool:
    """Return whether the rule was broken."""
    world = World(record, MACHINE)
    try:
        return await _play(world, record)
    finally:
        await world.stop()


async def _play(world: World, record: Record) -> bool:
    await world.start_platform(keep_s=KEEP_S)
    orders = route('orders', 'unsafe', 'shop', timeout_ms=2000)
    await world.configure(configuration([orders], ['shop']))
    for name in ('server-1', 'server-2'):
        server = Server(
            world, record, name, 'shop', whole_answer(b'done', 0.01), slots=32
        )
        await server.start()
    for name in NODES:
        await world.start_daemon(name)
    for name in NODES:
        await world.wait_ready(name)
    traffic = Traffic(world, record)
    for name in NODES:
        world.spawn(traffic.run(name))
    # The nodes are far older than the history of the store.
    await asyncio.sleep(KEEP_S + 5)
    holder = (await world.duty_calls())[-1]['holder']
    frozen = next(name for name in reversed(NODES) if name != holder)
    record.note(f'the holder is {holder}')
    await asyncio.sleep((-BEFORE_END_S - time.time()) % WINDOW_S)
    window = int(time.time() // WINDOW_S)
    if is_disturbed():
        record.note(f'{frozen} freezes, window {window}')
        world.send_signal(frozen, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    if is_disturbed():
        record.note(f'{frozen} wakes')
        world.send_signal(frozen, signal.SIGCONT)
    await asyncio.sleep(PAUSE_S)
    if is_disturbed():
        record.note(f'{holder} is lost for good')
        world.send_signal(holder, signal.SIGKILL)
    await asyncio.sleep(11)
    return _is_broken(record, await world.duty_calls())


def _is_broken(record: Record, calls: list[dict]) -> bool:
    """Return whether two accepted reports of a window differ."""
    reports: defaultdict[int, list[dict]] = defaultdict(list)
    for accepted in calls:
        if accepted['duty'] != 'usage':
            continue
        body = accepted['body']
        record.note(
            f'accepted: window {body["window_id"]} {body["counts"]} from '
            f'{accepted["holder"]}, token {accepted["token"]}'
        )
        reports[body['window_id']].append(body['counts'])
    broken = {
        window: counts
        for window, counts in reports.items()
        if any(other != counts[0] for other in counts)
    }
    record.note(f'windows with two different reports: {broken or "none"}')
    return bool(broken)


if __name__ == '__main__':
    sys.exit(run(Path(__file__).parent, case))
