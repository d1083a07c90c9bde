"""Slopes of whole daemons: under streams, under keyed calls, at rest."""

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

from mallowspindle.bench.caller import bearer, chat_body, chat_to_end
from mallowspindle.bench.proxy import FaultProxy
from mallowspindle.bench.table import print_row
from mallowspindle.bench.usage import Usage, usage_of
from mallowspindle.bench.venture import Venture, token_of
from mallowspindle.utils.codec import unpack

_MICRO = 1e6
_ORGANISATION = 'farm'


async def measure_processes() -> None:
    """Measure daemons under load, and at rest."""
    for copies in ('none', 'acceptance'):
        with tempfile.TemporaryDirectory() as folder:
            async with Venture(Path(folder)) as venture:
                await _start(venture, copies)
                await _measure_streams(venture, copies)
                if copies == 'acceptance':
                    await _measure_calls(venture)
                    await _measure_rest(venture)
                    await _measure_polls(venture)


async def _start(venture: Venture, copies: str) -> None:
    venture.overrides = {'recovery': {'copies': copies}}
    await venture.start_platform()
    await venture.publish_defaults(_ORGANISATION)
    await asyncio.gather(
        *(
            venture.start_engine(
                f'engine-{number}', 'a', '--max-batch=64', '--step-s=0.02'
            )
            for number in range(2)
        ),
        venture.start_plain('claims-1', 'a'),
    )
    await venture.start_nodes({'entry-1': 'a', 'entry-2': 'b'})


async def _measure_streams(venture: Venture, copies: str) -> None:
    """Measure tokens streamed by entry-1; entry-2 holds the copies."""
    url = venture.process('entry-1').url
    for streams in (8, 32, 64):
        tokens = 150

        async def load(many: int = streams, length: int = tokens) -> None:
            await asyncio.gather(
                *(
                    chat_to_end(
                        venture.session,
                        [url],
                        token_of(_ORGANISATION),
                        chat_body(f'letter {number}', length),
                    )
                    for number in range(many)
                )
            )

        owner, holder = await _cpu_of(venture, load)
        total = streams * tokens
        size = f'{streams}'
        print_row(
            f'token at its owner, copies {copies}',
            size,
            owner / total * _MICRO,
            'us each',
        )
        print_row(
            f'token at the holder, copies {copies}',
            size,
            holder / total * _MICRO,
            'us each',
        )


async def _measure_calls(venture: Venture) -> None:
    """Measure claims: the log's appends and the daemons' processor time."""
    url = f'{venture.process("entry-1").url}/v1/services/claims/submit'
    for callers in (1, 20, 60):
        before = await _appends(venture)
        each = 10

        async def file_some(caller: int, count: int, size: int) -> None:
            for number in range(count):
                headers = {
                    **bearer(token_of(_ORGANISATION)),
                    'Idempotency-Key': f'{size}-{caller}-{number}',
                }
                async with venture.session.post(
                    url, json={}, headers=headers
                ) as response:
                    await response.read()

        async def load(many: int = callers, count: int = each) -> None:
            await asyncio.gather(
                *(file_some(caller, count, many) for caller in range(many))
            )

        begun_s = time.monotonic()
        owner, other = await _cpu_of(venture, load)
        elapsed_s = time.monotonic() - begun_s
        calls = callers * each
        appends = await _appends(venture) - before
        print_row('claim: appends to the log', callers, appends / calls, 'each')
        print_row(
            "claim: at the caller's node", callers, owner / calls * 1e6, 'us'
        )
        print_row('claim: at another node', callers, other / calls * 1e6, 'us')
        print_row('claim: rate reached', callers, calls / elapsed_s, '/s')


async def _measure_rest(venture: Venture) -> None:
    """Measure what a node spends while nobody calls."""
    seconds = 10
    owner, _ = await _cpu_of(venture, lambda: asyncio.sleep(seconds))
    print_row(
        'node at rest: processor', 2, owner / seconds * 100, '% of a core'
    )
    memory = usage_of(venture.process('entry-1').pid).resident_bytes
    print_row('node at rest: memory', 2, memory / 1e6, 'MB')
    sent_before = await _control_bytes(venture)
    await asyncio.sleep(seconds)
    sent = await _control_bytes(venture) - sent_before
    print_row('node at rest: bytes to peers', 2, sent / seconds, 'B/s')


async def _measure_polls(venture: Venture) -> None:
    """Measure load reports: a node at rest, by the servers it polls."""
    proxy = await FaultProxy.start(venture.process('engine-0').address)
    seconds = 8
    for servers in (3, 23, 63):
        for number in range(servers - 3):
            await venture.list_vm(
                f'listed-{number}', 'engine', 'a', proxy.address, serves='none'
            )
        await asyncio.sleep(3)
        begun_bytes = proxy.passed_bytes
        owner, _ = await _cpu_of(venture, partial(asyncio.sleep, seconds))
        print_row(
            'node at rest: processor', servers, owner / seconds * 100, '%'
        )
        polls = (servers - 3) * 2 * 2 * seconds
        if polls:
            passed = (proxy.passed_bytes - begun_bytes) / polls
            print_row('load report: bytes both ways', servers, passed, 'B each')
    await proxy.stop()


async def _cpu_of(
    venture: Venture, load: Callable[[], Awaitable[None]]
) -> tuple[float, float]:
    """Return the processor seconds of both nodes during a load."""
    nodes = [venture.process(name).pid for name in ('entry-1', 'entry-2')]
    before = [usage_of(pid) for pid in nodes]
    await load()
    after = [usage_of(pid) for pid in nodes]
    spent = [
        _spent(begun, ended) for begun, ended in zip(before, after, strict=True)
    ]
    return spent[0], spent[1]


def _spent(begun: Usage, ended: Usage) -> float:
    return ended.cpu_s - begun.cpu_s


async def _appends(venture: Venture) -> int:
    async with venture.session.get(
        f'{venture.process("log").url}/stats'
    ) as response:
        return int(unpack(await response.read())['appends'])


async def _control_bytes(venture: Venture) -> float:
    url = f'{venture.process("entry-1").url}/metrics'
    async with venture.session.get(url) as response:
        lines = (await response.text()).splitlines()
    values = [
        float(line.split()[-1])
        for line in lines
        if line.startswith('control_bytes_sent')
    ]
    return sum(values)
