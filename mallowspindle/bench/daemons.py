"""Cost per unit of work of daemons: streams, keyed calls and at rest."""

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

from mallowspindle.bench.caller import bearer, chat_body, chat_to_end
from mallowspindle.bench.proxy import FaultProxy
from mallowspindle.bench.table import print_row
from mallowspindle.bench.usage import Usage, read_usage
from mallowspindle.bench.venture import Venture, token_of
from mallowspindle.utils.codec import unpack

_MICRO = 1e6
_ORGANISATION = 'farm'


async def measure_processes() -> None:
    """Measure daemons under load and at rest."""
    for copies in ('none', 'acceptance'):
        with tempfile.TemporaryDirectory() as folder:
            async with Venture(Path(folder)) as venture:
                await _start(venture, copies)
                await _measure_streams(venture, copies)
                if copies == 'acceptance':
                    await _measure_calls(venture)
                    await _measure_idle(venture)
                    await _measure_load_reports(venture)


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
    """Measure tokens that entry-1 streams; entry-2 holds the copies."""
    url = venture.process('entry-1').url
    for streams in (8, 32, 64):
        tokens = 150

        async def load(count: int = streams, length: int = tokens) -> None:
            await asyncio.gather(
                *(
                    chat_to_end(
                        venture.session,
                        [url],
                        token_of(_ORGANISATION),
                        chat_body(f'letter {number}', length),
                    )
                    for number in range(count)
                )
            )

        owner, holder = await _measure_cpu_s(venture, load)
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
    """Measure appends to the log and processor time of keyed calls."""
    url = f'{venture.process("entry-1").url}/v1/services/claims/submit'
    for callers in (1, 20, 60):
        before = await _appends(venture)
        calls_each = 10

        async def submit_claims(caller: int, count: int, size: int) -> None:
            for number in range(count):
                headers = {
                    **bearer(token_of(_ORGANISATION)),
                    'Idempotency-Key': f'{size}-{caller}-{number}',
                }
                async with venture.session.post(
                    url, json={}, headers=headers
                ) as response:
                    await response.read()

        async def load(size: int = callers, count: int = calls_each) -> None:
            await asyncio.gather(
                *(submit_claims(caller, count, size) for caller in range(size))
            )

        started_s = time.monotonic()
        owner, other = await _measure_cpu_s(venture, load)
        elapsed_s = time.monotonic() - started_s
        calls = callers * calls_each
        appends = await _appends(venture) - before
        print_row('claim: appends to the log', callers, appends / calls, 'each')
        print_row(
            "claim: at the caller's node", callers, owner / calls * 1e6, 'us'
        )
        print_row('claim: at another node', callers, other / calls * 1e6, 'us')
        print_row('claim: rate reached', callers, calls / elapsed_s, '/s')


async def _measure_idle(venture: Venture) -> None:
    """Measure a node without requests: processor, memory and bytes sent."""
    seconds = 10
    owner, _ = await _measure_cpu_s(venture, lambda: asyncio.sleep(seconds))
    print_row(
        'node at rest: processor', 2, owner / seconds * 100, '% of a core'
    )
    memory = read_usage(venture.process('entry-1').pid).resident_bytes
    print_row('node at rest: memory', 2, memory / 1e6, 'MB')
    bytes_before = await _control_bytes(venture)
    await asyncio.sleep(seconds)
    sent = await _control_bytes(venture) - bytes_before
    print_row('node at rest: bytes to peers', 2, sent / seconds, 'B/s')


async def _measure_load_reports(venture: Venture) -> None:
    """Measure the polling of load reports by the number of servers."""
    proxy = await FaultProxy.start(venture.process('engine-0').address)
    seconds = 8
    for servers in (3, 23, 63):
        for number in range(servers - 3):
            await venture.list_vm(
                f'listed-{number}', 'engine', 'a', proxy.address, serves='none'
            )
        await asyncio.sleep(3)
        bytes_before = proxy.forwarded_bytes
        owner, _ = await _measure_cpu_s(
            venture, partial(asyncio.sleep, seconds)
        )
        print_row(
            'node at rest: processor', servers, owner / seconds * 100, '%'
        )
        polls = (servers - 3) * 2 * 2 * seconds
        if polls:
            bytes_per_poll = (proxy.forwarded_bytes - bytes_before) / polls
            print_row(
                'load report: bytes both ways',
                servers,
                bytes_per_poll,
                'B each',
            )
    await proxy.stop()


async def _measure_cpu_s(
    venture: Venture, load: Callable[[], Awaitable[None]]
) -> tuple[float, float]:
    """Return the processor seconds that each of the two nodes uses."""
    nodes = [venture.process(name).pid for name in ('entry-1', 'entry-2')]
    before = [read_usage(pid) for pid in nodes]
    await load()
    after = [read_usage(pid) for pid in nodes]
    spent = [
        _cpu_s_between(before_load, after_load)
        for before_load, after_load in zip(before, after, strict=True)
    ]
    return spent[0], spent[1]


def _cpu_s_between(before_load: Usage, after_load: Usage) -> float:
    return after_load.cpu_s - before_load.cpu_s


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
