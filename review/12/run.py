"""Streams hold events of two software versions.

An entry VM is killed, and its callers take their streams up at another one. A
release begins: a server of the new version registers. A server of the old
version crashes before the first events of the streams that were taken up,
and these go on at the new version.
"""

import asyncio
import json
import os
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness_3.fleet import (  # noqa: E402
    HOST,
    KEY,
    Fleet,
    get,
    post,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
NAMES = ('front-garching-1', 'front-freising-1', 'front-erding-1')
OLD_SERVERS = 4
NEW_SERVERS = ('model-new-1',)
STREAMS = 96
EVENTS = 60
MAX_MIXED = 2
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


class Caller:
    """One caller, who takes a stream up once if its channel breaks."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self.ids: list[int] = []
        self.versions: list[str] = []
        self.ending = ''

    async def run(self) -> None:
        """Send the request, and take its stream up at another entry VM."""
        first_id = f'letter-{self._number}-a'
        if await self._try(NAMES[0], first_id, ''):
            return
        taken_up = f'Resumes: {first_id}\r\n' if self.ids else ''
        if taken_up:
            taken_up += f'Last-Event-Id: {self.ids[-1]}\r\n'
        await self._try(NAMES[1], f'letter-{self._number}-b', taken_up)

    async def _try(self, name: str, request_id: str, more: str) -> bool:
        """Return whether the stream came to its end."""
        port = self._fleet.ports[name]['front']
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
                        f'Prompt-Prefix: {self._number + 1000:x}:600\r\n'
                        'Content-Length: 0\r\n\r\n'
                    ).encode()
                )
                head = await reader.readuntil(b'\r\n\r\n')
                status = head.split()[1].decode()
                if status != '200':
                    self.ending = status
                    writer.close()
                    return False
                while True:
                    size = int((await reader.readline()).strip() or b'0', 16)
                    part = await reader.readexactly(size + 2)
                    if not size:
                        break
                    for line in part.decode().split('\n'):
                        if line.startswith('id: '):
                            self.ids.append(int(line[4:]))
                        elif line.startswith('data: '):
                            self.versions.append(line.split()[1])
                writer.close()
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            self.ending = type(error).__name__
            return False
        self.ending = 'whole'
        return True


async def start_server(fleet: Fleet, name: str, version: str) -> int:
    """Start a server that is not registered yet; return its port."""
    return await fleet.start_standin(
        name,
        'review/harness_3/versioned.py',
        '--id',
        name,
        '--version',
        version,
    )


async def register(fleet: Fleet, name: str, port: int, version: str) -> None:
    """Register a server."""
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


async def play(fleet: Fleet) -> int:
    """Return 1 if too many streams hold events of two versions, else 0."""
    await fleet.start_platform()
    await fleet.put('keyed.op', 'config', CONFIGURATION)
    ports = {}
    for number in range(OLD_SERVERS):
        name = f'model-{number}'
        ports[name] = await start_server(fleet, name, 'v1')
        await register(fleet, name, ports[name], 'v1')
    new_ports = {
        name: await start_server(fleet, name, 'v2') for name in NEW_SERVERS
    }
    for name in NAMES:
        await fleet.start_gateway(name, name.split('-')[1])
    await fleet.wait_ready(*NAMES)
    await asyncio.sleep(2)
    callers = [Caller(fleet, number) for number in range(STREAMS)]
    streams = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(2.5)
    if TROUBLE:
        fleet.processes[NAMES[0]].send(signal.SIGKILL)
        fleet.note('killed', NAMES[0])
    await asyncio.sleep(0.3)
    for name, port in new_ports.items():
        await register(fleet, name, port, 'v2')
        fleet.note(name, 'has registered (v2)')
        await asyncio.sleep(0.3)
    await asyncio.sleep(0.5)
    if TROUBLE:
        await post(ports['model-0'], '/crash', b'')
        fleet.note('model-0 (v1) has crashed')
    await asyncio.gather(*streams)
    for name, port in {**ports, **new_ports}.items():
        for _ in range(40):
            try:
                _, body = await get(port, '/record')
                break
            except (OSError, EOFError):
                await asyncio.sleep(0.2)
        for run in json.loads(body):
            fleet.note('run', json.dumps(run))
    mixed = 0
    for number, caller in enumerate(callers):
        found = Counter(caller.versions)
        mixed += len(found) > 1
        in_order = caller.ids == list(range(1, len(caller.ids) + 1))
        fleet.note(
            f'letter-{number}', caller.ending, 'events', dict(found),
            'in order' if in_order else caller.ids,
        )
    fleet.note('streams of two versions:', mixed, 'allowed', MAX_MIXED)
    return 1 if mixed > MAX_MIXED else 0


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
