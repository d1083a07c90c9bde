"""``make slopes``: bytes, processor time and memory per unit of work.

Each slope is measured at several sizes; ``docs/CAPACITY.md`` multiplies
them by the sizes that the system is built for.
"""

import asyncio
import gc
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

from mallowspindle.attempts.request import (
    AttemptRef,
    GenerationRequest,
    Kind,
    OwnedRequest,
    Progress,
    Segment,
)
from mallowspindle.bench.caller import bearer, chat_body, chat_to_end
from mallowspindle.bench.proxy import FaultProxy
from mallowspindle.bench.usage import Usage, usage_of
from mallowspindle.bench.venture import Venture, token_of
from mallowspindle.effects.records import (
    CallKey,
    CallOutcome,
    Claim,
    effects_codec,
)
from mallowspindle.effects.table import KeyTable
from mallowspindle.membership.messages import Heartbeat, MemberInfo
from mallowspindle.peers.codec import peer_codec
from mallowspindle.recovery.messages import ProgressBatch, ProgressItem
from mallowspindle.settings.records import Change, settings_codec
from mallowspindle.settings.tree import NEVER_SET, SettingsTree
from mallowspindle.utils.codec import unpack

_MICRO = 1e6
_ROUNDS = 5
_CALLS = 200
_ORGANISATION = 'farm'
_DOCUMENT = '[limits]\nrequests_per_s = {0}\n'


def show(name: str, size: object, value: float, unit: str) -> None:
    """Print one measured slope."""
    sys.stdout.write(f'{name:<44}{size!s:>10}{value:>14.2f} {unit}\n')
    sys.stdout.flush()


def micros_per_call(work: Callable[[], Any]) -> float:
    """Return the median processor microseconds of a call."""
    samples = []
    for _ in range(_ROUNDS):
        begun_s = time.process_time()
        for _ in range(_CALLS):
            work()
        samples.append((time.process_time() - begun_s) / _CALLS)
    return statistics.median(samples) * _MICRO


def round_trip_micros(message: object) -> float:
    """Return the processor microseconds to encode and decode a message."""
    encoded = peer_codec.encode(message)
    return micros_per_call(
        partial(peer_codec.encode, message)
    ) + micros_per_call(partial(peer_codec.decode, encoded))


def member(number: int) -> MemberInfo:
    """Return a member with values of realistic length."""
    return MemberInfo(
        name=f'entry-{number:04}',
        region='se-mitt',
        zone='se-mitt-a',
        peer_address='10.20.30.40:7001',
        http_address='10.20.30.40:8001',
        incarnation=1_790_000_000_000,
        beat=number,
        settings_through=100_000,
        in_progress=12,
    )


def measure_heartbeats() -> None:
    """Measure a heartbeat by the number of members that it tells of."""
    for size in (0, 8, 32):
        members = [member(index) for index in range(size)]
        beat = Heartbeat(member(0), members=members)
        encoded = peer_codec.encode(beat)
        show('heartbeat: bytes', size, len(encoded), 'B')
        show(
            'heartbeat: encode and decode',
            size,
            round_trip_micros(beat),
            'us',
        )


def measure_claims() -> None:
    """Measure a claim with its outcome, by records in a batch."""
    for size in (1, 10, 50):
        records = [
            record
            for index in range(size)
            for record in _claim_and_outcome(index)
        ]
        payload = effects_codec.encode_all(records)
        show('claim and outcome: bytes', size, len(payload) / size, 'B each')
        table = KeyTable(1000)

        def fold(batch: bytes = payload, into: KeyTable = table) -> None:
            for record in effects_codec.decode_all(batch):
                into.fold(0, record)

        show(
            'claim and outcome: decode and fold',
            size,
            micros_per_call(fold) / size,
            'us each',
        )


def measure_settings() -> None:
    """Measure a change of the settings, by documents in the tree."""
    for size in (10, 100, 1000):
        tree = SettingsTree()
        for index in range(size):
            made = Change(f'c{index}', f'v/p/{index}', '', NEVER_SET, 'a', 0)
            tree.fold(index, made)
        change = partial(_change_settings, tree)
        show('settings change: fold', size, micros_per_call(change), 'us')
        snapshot = settings_codec.encode(tree.snapshot())
        show('settings snapshot: bytes', size, len(snapshot) / size, 'B/doc')


def measure_progress() -> None:
    """Measure the message that copies tokens, by tokens in a batch."""
    for size in (1, 16, 64):
        batch = ProgressBatch(
            [
                ProgressItem(f'req-{index:036}', 0, 100, ['token '])
                for index in range(size)
            ]
        )
        encoded = peer_codec.encode(batch)
        show('copied token: bytes', size, len(encoded) / size, 'B each')
        show(
            'copied token: encode and decode',
            size,
            round_trip_micros(batch) / size,
            'us each',
        )


def measure_held_requests() -> None:
    """Measure the memory of a request at its owner, by prompt and answer."""
    for tokens in (10, 300, 1000):
        count = 200
        gc.collect()
        tracemalloc.start()
        held = [_owned(number, tokens) for number in range(count)]
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        show('request held: memory', tokens, used / len(held), 'B each')
    show(
        'request: life cycle object',
        1,
        micros_per_call(lambda: _owned(0, 0)),
        'us each',
    )


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
        show(
            f'token at its owner, copies {copies}',
            size,
            owner / total * _MICRO,
            'us each',
        )
        show(
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
        show('claim: appends to the log', callers, appends / calls, 'each')
        show("claim: at the caller's node", callers, owner / calls * 1e6, 'us')
        show('claim: at another node', callers, other / calls * 1e6, 'us')
        show('claim: rate reached', callers, calls / elapsed_s, '/s')


async def _measure_rest(venture: Venture) -> None:
    """Measure what a node spends while nobody calls."""
    seconds = 10
    owner, _ = await _cpu_of(venture, lambda: asyncio.sleep(seconds))
    show('node at rest: processor', 2, owner / seconds * 100, '% of a core')
    memory = usage_of(venture.process('entry-1').pid).resident_bytes
    show('node at rest: memory', 2, memory / 1e6, 'MB')
    sent_before = await _control_bytes(venture)
    await asyncio.sleep(seconds)
    sent = await _control_bytes(venture) - sent_before
    show('node at rest: bytes to peers', 2, sent / seconds, 'B/s')


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
        show('node at rest: processor', servers, owner / seconds * 100, '%')
        polls = (servers - 3) * 2 * 2 * seconds
        if polls:
            passed = (proxy.passed_bytes - begun_bytes) / polls
            show('load report: bytes both ways', servers, passed, 'B each')
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


def _change_settings(tree: SettingsTree) -> None:
    base = tree.node_version('v/p/0')
    number = tree.through + 1
    document = _DOCUMENT.format(number)
    tree.fold(number, Change(f'c{number}', 'v/p/0', document, base, 'anna', 0))


def _claim_and_outcome(index: int) -> tuple[Claim, CallOutcome]:
    key = CallKey('haulier', 'claims', f'claim-2026-{index:08}')
    claim_id = f'claim-{index:036}'
    claim = Claim(key, claim_id, 'entry-0001/1790000000000', time.time())
    body = b'{"filed": 1, "path": "submit"}'
    outcome = CallOutcome(key, claim_id, 200, 'application/json', body)
    return claim, outcome


def _owned(number: int, tokens: int) -> OwnedRequest:
    request = GenerationRequest(
        request_id=f'req-{number:036}',
        organisation='farm',
        organisation_path='venture/north/farm',
        model='letters',
        kind=Kind.CHAT,
        body=chat_body(f'{number} ' * 500, tokens),
        max_tokens=tokens,
        priority=0,
        accepted_at_s=time.time(),
    )
    attempt = AttemptRef(
        f'attempt-{number:036}',
        'engine-1',
        '10.20.30.40:8000',
        0,
        2_000_000_000,
        20_000,
        False,
        500,
        0,
        {'north': '60', 'south': '40'},
        [Segment(0, 1, {'north': '60', 'south': '40'})],
    )
    words = [f'w{number}-{index} ' for index in range(tokens)]
    return OwnedRequest(request, 0, Progress(words, [attempt]))


def main() -> None:
    """Measure and print all slopes."""
    sys.stdout.write(f'{"what":<44}{"size":>10}{"value":>14} unit\n')
    measure_heartbeats()
    measure_claims()
    measure_settings()
    measure_progress()
    measure_held_requests()
    asyncio.run(measure_processes())


if __name__ == '__main__':
    main()
