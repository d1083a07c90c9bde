"""Streams that nobody logged are refused after all entry VMs were killed.

Two software versions are in service. Four of five entry VMs are killed; callers
begin streams at the one that is left; it is killed a second later. All start
again, and once they are in touch the callers take their streams up.
"""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness_3.fleet import HOST, KEY, Fleet  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SURVIVOR = 'front-garching-1'
NAMES = (
    SURVIVOR,
    'front-garching-2',
    'front-freising-1',
    'front-freising-2',
    'front-erding-1',
)
STREAMS = 24
EVENTS = 150
SECOND_KILL_S = 1.0
DOWN_S = 0.2
CONTACT_S = 3.0
BORN = 1_700_000_000_000
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'letters',
            'host': HOST,
            'path_prefix': '/letters/',
            'kind': 'streaming',
            'timeout_ms': 15000,
            'target_latency_ms': 1200,
            'service': 'models',
            'max_attempts': 2,
            'sticky': True,
            'resumable': True,
            'gap_aim_ms': 400,
        }
    ],
    'services': [
        {
            'name': 'models',
            'max_connections': 240,
            'engine': {
                'slots': 32,
                'kv_capacity_tokens': 508079,
                'kv_bytes': 163840,
                'moves': True,
                'backups': True,
            },
        }
    ],
    'tenants': [{'name': 'farm', 'api_keys': [KEY]}],
}


class Stream:
    """One stream of a caller."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self.name = name
        self.ids: list[int] = []
        self.versions: set[str] = set()
        self.status = ''

    async def send(self, port: int, request_id: str, more: str = '') -> None:
        """Send a request, and read its stream until it ends or breaks off."""
        self.status = ''
        try:
            async with asyncio.timeout(15):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', port
                )
                writer.write(
                    (
                        f'POST /letters/x HTTP/1.1\r\nHost: {HOST}\r\n'
                        f'Request-Id: {request_id}\r\nDeadline-Ms: 15000\r\n'
                        f'Authorization: Token {KEY}\r\nModel: m\r\n{more}'
                        f'Token-Count: 600,{EVENTS}\r\n'
                        f'Prompt-Prefix: {abs(hash(self.name)):x}:600\r\n'
                        'Content-Length: 0\r\n\r\n'
                    ).encode()
                )
                head = await reader.readuntil(b'\r\n\r\n')
                self.status = head.split()[1].decode()
                while self.status == '200':
                    size = int((await reader.readline()).strip() or b'0', 16)
                    part = await reader.readexactly(size + 2)
                    if not size:
                        break
                    for line in part.decode().split('\n'):
                        if line.startswith('id: '):
                            self.ids.append(int(line[4:]))
                        elif line.startswith('data: '):
                            self.versions.add(line.split()[1])
                writer.close()
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            self.status = f'{self.status} {type(error).__name__}'.strip()


async def take_up(fleet: Fleet, stream: Stream, former_id: str) -> bool:
    """Take a stream up at a random entry VM; return whether it goes on."""
    port = fleet.ports[random.choice(NAMES)]['front']
    known = len(stream.ids)
    more = f'Resumes: {former_id}\r\nLast-Event-Id: {stream.ids[-1]}\r\n'
    await stream.send(port, f'{former_id}-again', more)
    fleet.note(
        stream.name, 'taken up after event', known, 'answered', stream.status,
        'versions', sorted(stream.versions), 'events now', len(stream.ids),
    )
    return len(stream.ids) > known


async def begin(fleet: Fleet, number: int) -> bool:
    """Send a new request to a random entry VM; return whether it begins."""
    stream = Stream(fleet, f'new-{number}')
    port = fleet.ports[random.choice(NAMES)]['front']
    await stream.send(port, f'new-{number}')
    fleet.note(stream.name, 'answered', stream.status, 'events', len(stream.ids))
    return bool(stream.ids)


async def play(fleet: Fleet) -> int:
    """Return 1 if too few streams that were taken up go on, else 0."""
    await fleet.start_platform()
    await fleet.put('keyed.op', 'config', CONFIGURATION)
    for number in range(4):
        name, version = f'model-{number}', f'v{1 + number % 2}'
        port = await fleet.start_standin(
            name,
            'review/harness_3/versioned.py',
            '--id',
            name,
            '--version',
            version,
            '--first-ms',
            '100',
        )
        entry = {
            'service': 'models',
            'address': f'127.0.0.1:{port}',
            'zone': 'garching',
            'version': version,
            'slots': 32,
            'state': 'ready',
            'born': BORN,
        }
        await fleet.put('keyed.servers', name, entry)
    for name in NAMES:
        await fleet.start_gateway(name, name.split('-')[1])
    await fleet.wait_ready(*NAMES)
    await asyncio.sleep(4)
    if TROUBLE:
        for name in NAMES:
            if name != SURVIVOR:
                fleet.processes[name].send(signal.SIGKILL)
        fleet.note('killed all but', SURVIVOR)
    port = fleet.ports[SURVIVOR]['front']
    streams = [Stream(fleet, f'letter-{each}') for each in range(STREAMS)]
    tries = [
        asyncio.create_task(stream.send(port, stream.name))
        for stream in streams
    ]
    if not TROUBLE:
        await asyncio.gather(*tries)
        whole = sum(len(stream.ids) == EVENTS for stream in streams)
        fleet.note('streams that came to their end:', whole, 'of', STREAMS)
        return 0 if whole == STREAMS else 2
    await asyncio.sleep(SECOND_KILL_S)
    fleet.processes[SURVIVOR].send(signal.SIGKILL)
    fleet.note('killed', SURVIVOR)
    await asyncio.gather(*tries)
    await asyncio.sleep(DOWN_S)
    for name in NAMES:
        await fleet.processes[name].child.wait()
    await asyncio.gather(*map(fleet.start_gateway, NAMES))
    await fleet.wait_ready(*NAMES)
    fleet.note('all entry VMs are ready again')
    await asyncio.sleep(CONTACT_S + 0.1)
    begun = [stream for stream in streams if stream.ids]
    results = await asyncio.gather(
        *(take_up(fleet, stream, stream.name) for stream in begun),
        *(begin(fleet, number) for number in range(STREAMS)),
    )
    went_on = sum(results[: len(begun)])
    new = sum(results[len(begun) :])
    fleet.note(
        'streams taken up:', len(begun), 'went on:', went_on,
        'new ones:', STREAMS, 'began:', new,
    )
    if len(begun) < 12 or not new:
        return 2
    return 1 if went_on / len(begun) < new / STREAMS / 2 else 0


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
