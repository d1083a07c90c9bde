"""Callers, the operator's configuration and the record of a case."""

import asyncio
import os
import time
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import ClientError

from harness.processes import HOST, KEY, TENANT, Machine, Venture
from harness.proxies import Paths

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Statuses that promise that a request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))

ROUTES = [
    {
        'name': 'dossier-draft',
        'host': HOST,
        'path_prefix': '/dossier/',
        'kind': 'streaming',
        'timeout_ms': 15000,
        'target_latency_ms': 1200,
        'gap_aim_ms': 400,
        'service': 'spindle-pool',
        'max_attempts': 2,
        'resumable': True,
        'sticky': True,
    },
    {
        'name': 'claim-submit',
        'host': HOST,
        'path_prefix': '/submit/',
        'kind': 'unsafe',
        'timeout_ms': 1200,
        'target_latency_ms': 150,
        'service': 'filing-api',
        'max_attempts': 1,
    },
    {
        'name': 'claim-status',
        'host': HOST,
        'path_prefix': '/status/',
        'kind': 'safe',
        'timeout_ms': 1200,
        'target_latency_ms': 150,
        'service': 'filing-api',
        'max_attempts': 2,
    },
]


@dataclass
class Answer:
    """What a caller saw of one request."""

    request_id: str
    machine: str
    sent_at_s: float
    status: int | None = None
    ended_at_s: float = 0
    whole: bool = False
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)


class Record:
    """The record of a case, which is also printed."""

    def __init__(self, folder: str) -> None:
        self._path = Path(folder) / 'record.txt'
        self._path.write_text('')
        self._began_at_s = time.time()

    def note(self, text: str) -> None:
        line = f'{time.time() - self._began_at_s:8.3f} s  {text}'
        print(line, flush=True)
        with self._path.open('a') as record:
            record.write(f'{line}\n')

    def at(self, moment_s: float) -> str:
        return f'{moment_s - self._began_at_s:.3f} s'


async def configure(venture: Venture, **changes: Any) -> None:
    """Write the operator's configuration."""
    document = {
        'version': 1,
        'routes': ROUTES,
        'services': [
            {'name': 'spindle-pool', 'max_connections': 360},
            {'name': 'filing-api', 'max_connections': 96},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY]}],
    }
    await venture.put('keyed.op', 'config', {**document, **changes})


async def start_server(
    venture: Venture,
    paths: Paths,
    name: str,
    service: str,
    *arguments: str,
    version: str = '1',
) -> str:
    """Start and register a server; return its own address."""
    address = await venture.start_standin(
        'harness.server', '--id', name, '--version', version, *arguments
    )
    entry = {
        'service': service,
        'address': await paths.add_server(address),
        'zone': 'mitt-a',
        'version': version,
        'slots': 64,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': 1,
        'born': int(time.time() * 1000),
    }
    await venture.put('keyed.servers', name, entry)
    return address


async def send(
    venture: Venture,
    machine: Machine,
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b'',
) -> Answer:
    """Send one request as a caller does and return what came back."""
    headers = {
        'Host': HOST,
        'Request-Id': request_id,
        'Deadline-Ms': str(deadline_ms),
        'Authorization': f'Token {KEY}',
    }
    answer = Answer(request_id, machine.name, time.time())
    url = f'http://{machine.listen["front"]}{path}'
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            async with venture.session.request(
                method, url, headers=headers, data=body or None
            ) as response:
                answer.status = response.status
                answer.headers = dict(response.headers)
                async for chunk in response.content.iter_any():
                    answer.body += chunk
                answer.whole = True
    except (ClientError, OSError, TimeoutError):
        pass
    answer.ended_at_s = time.time()
    return answer


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float
) -> bool:
    """Poll a condition; return whether it came true in time."""
    ends_at_s = time.time() + timeout_s
    while time.time() < ends_at_s:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


def run_case(play: Callable[[], Awaitable[int]], limit_s: float = 100) -> int:
    """Return the exit status of a case; an error of its own is ``NOT_RUN``."""

    async def within_limit() -> int:
        async with asyncio.timeout(limit_s):
            return await play()

    try:
        return asyncio.run(within_limit())
    except Exception:
        traceback.print_exc()
        return NOT_RUN
