"""A request is answered 408 and runs: its entry VM froze within its head.

Clients send the head of an unsafe request in two parts, 1.9 s apart, which is
inside the limit of 3 s. One entry VM freezes for 1.2 s when the second part is
on its way.
"""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness_3.fleet import (  # noqa: E402
    HOST,
    KEY,
    Fleet,
    get,
    read_response,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ROUNDS = 6
SLOW = 40
FIRST_PART_S = 1.9
FREEZE_S = 1.2
BUSY = 12
PROMISES = frozenset((408, 421, 429, 503))
NOT_RUN_ROUTE = {
    'version': 7,
    'routes': [
        {
            'name': 'orders',
            'host': HOST,
            'path_prefix': '/orders/',
            'kind': 'unsafe',
            'timeout_ms': 2500,
            'target_latency_ms': 200,
            'service': 'shop',
            'max_attempts': 1,
        }
    ],
    'services': [{'name': 'shop', 'max_connections': 110}],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [{'name': 'farm', 'api_keys': [KEY]}],
}


def head_of(request_id: str, length: int) -> str:
    """Return the head of an unsafe request."""
    return (
        f'POST /orders/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Request-Id: {request_id}\r\nDeadline-Ms: 2500\r\n'
        f'Authorization: Token {KEY}\r\nContent-Length: {length}\r\n\r\n'
    )


class Case:
    """The requests of one run of the script."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.answers: dict[str, str] = {}
        self.port = fleet.ports['front-garching-1']['front']

    async def send_slowly(self, request_id: str, delay_s: float) -> None:
        """Send a head in two parts; note the answer."""
        body = b'one bird'
        data = head_of(request_id, len(body)).encode() + body
        cut = 60
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        try:
            writer.write(data[:cut])
            self.fleet.note('sent first part', request_id)
            await asyncio.sleep(delay_s)
            writer.write(data[cut:])
            self.fleet.note('sent the rest', request_id)
            async with asyncio.timeout(8):
                status, _, _ = await read_response(reader)
            self.answers[request_id] = str(status)
        except (OSError, EOFError, TimeoutError) as error:
            self.answers[request_id] = type(error).__name__
        finally:
            writer.close()
        self.fleet.note('answered', request_id, self.answers[request_id])

    async def keep_busy(self, number: int) -> None:
        """Send usual requests on a kept connection, one after the other."""
        count = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.port
                )
                while True:
                    count += 1
                    writer.write(head_of(f'busy-{number}-{count}', 0).encode())
                    await read_response(reader)
            except (OSError, EOFError):
                await asyncio.sleep(0.05)

    async def play_round(self, number: int) -> None:
        """Let slow heads be under way while the entry VM freezes."""
        frozen = self.fleet.processes['front-garching-1']
        slow = [
            asyncio.create_task(
                self.send_slowly(f'slow-{number}-{each}', FIRST_PART_S)
            )
            for each in range(SLOW)
        ]
        await asyncio.sleep(FIRST_PART_S - 0.05)
        if TROUBLE:
            frozen.send(signal.SIGSTOP)
            self.fleet.note('frozen')
            await asyncio.sleep(FREEZE_S)
            frozen.send(signal.SIGCONT)
            self.fleet.note('awake')
        await asyncio.gather(*slow)
        await asyncio.sleep(2)


async def play(fleet: Fleet) -> int:
    """Return 1 if a request ran that was answered as not run, else 0."""
    await fleet.start_platform()
    await fleet.put('keyed.op', 'config', NOT_RUN_ROUTE)
    servers = []
    for number in range(4):
        name = f'shop-{number}'
        port = await fleet.start_standin(
            name,
            'review/harness_3/server.py',
            '--id',
            name,
            '--work-ms',
            '15',
        )
        servers.append(port)
        entry = {
            'service': 'shop',
            'address': f'127.0.0.1:{port}',
            'zone': 'garching',
            'slots': 6,
            'state': 'ready',
            'born': 1_700_000_000_000,
        }
        await fleet.put('keyed.servers', name, entry)
    names = ['front-garching-1', 'front-freising-1', 'front-erding-1']
    for name in names:
        await fleet.start_gateway(name, name.split('-')[1])
    await fleet.wait_ready(*names)
    await asyncio.sleep(2)
    case = Case(fleet)
    busy = [asyncio.create_task(case.keep_busy(each)) for each in range(BUSY)]
    await asyncio.sleep(1)
    for number in range(ROUNDS):
        await case.play_round(number)
    for task in busy:
        task.cancel()
    await asyncio.sleep(1)
    ran: dict[str, int] = {}
    for port in servers:
        _, body = await get(port, '/runs')
        for run in json.loads(body):
            ran[run['id']] = ran.get(run['id'], 0) + 1
    broken = 0
    served = 0
    for request_id, answer in sorted(case.answers.items()):
        times = ran.get(request_id, 0)
        fleet.note('request', request_id, 'answered', answer, 'ran', times)
        served += answer == '200'
        if answer.isdecimal() and int(answer) in PROMISES and times:
            broken += 1
    fleet.note('busy requests that ran', sum(k.startswith('busy') for k in ran))
    fleet.note('slow requests answered 200:', served, 'broken:', broken)
    if not TROUBLE and served < len(case.answers):
        fleet.note('some slow requests were not served in calm')
    return 1 if broken else 0


async def main() -> int:
    """Return the exit code of the script."""
    fleet = Fleet(Path(__file__).with_name('record.txt'))
    try:
        return await play(fleet)
    except Exception as error:
        fleet.note('could not run:', repr(error))
        return 2
    finally:
        await fleet.stop()


async def run_until_ended() -> int:
    """Return the exit code; SIGTERM ends the script and its processes."""
    task = asyncio.create_task(main())
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return 2


if __name__ == '__main__':
    sys.exit(asyncio.run(run_until_ended()))
