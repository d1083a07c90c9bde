"""Tests of streams while servers of two software versions serve."""

import asyncio
import signal
from collections.abc import Collection, Sequence
from contextlib import suppress
from functools import partial
from typing import Any

import pytest
import pytest_asyncio
from aiohttp import ClientError

from mallowspindle.bench.proxy import FaultMode, FaultProxy
from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.observations import (
    EVENTS,
    has_version,
    stream_text,
)

_VERSIONS = {
    'model-1': 'v1',
    'model-2': 'v1',
    'model-3': 'v2',
    'model-4': 'v2',
}
_ALL_SERVERS = tuple(_VERSIONS)
_STREAMS = 24
# What the operators tolerate: so many streams with events of two versions, and
# half of the share of new streams that begin, for those that are taken up.
_TOLERATED_STREAMS = 2
_RESUMED_FRACTION = 0.5
_CUT_AFTER = 2
_EVENT_PAUSE_S = 0.4


@pytest_asyncio.fixture
async def mixed_venture(venture: GatewayVenture) -> GatewayVenture:
    """Let servers of two versions serve, which keep copies of runs."""
    engine = {'slots': 8, 'kv_capacity_tokens': 10_000, 'backups': True}
    services = [{'name': 'models', 'max_connections': 100, 'engine': engine}]
    await venture.configure(version=8, services=services)
    await venture.wait_until(lambda: has_version(venture, 8))
    for name in ('model-3', 'model-4'):
        await venture.start_server(name, 'models', f'--events={EVENTS}')
    for name, version in _VERSIONS.items():
        await venture.register(name, 'models', version=version)
    for gateway in ('entry-1', 'entry-2'):
        await venture.wait_until(partial(_knows_all, venture, gateway))
    return venture


async def _knows_all(venture: GatewayVenture, gateway: str) -> bool:
    """Return whether a gateway knows the version of each server."""
    return await _knows(venture, gateway, _VERSIONS)


async def _knows(
    venture: GatewayVenture, gateway: str, versions: dict[str, str]
) -> bool:
    lines = venture.log_lines(gateway, 'backend server registered')
    known = {line['server']: line['software'] for line in lines}
    return known.items() >= versions.items()


async def _runs(
    venture: GatewayVenture, servers: Collection[str] = _ALL_SERVERS
) -> list[tuple[str, dict[str, Any]]]:
    """Return the runs of model servers with the server's version."""
    return [
        (_VERSIONS[name], run)
        for name in servers
        for run in await venture.runs(name)
    ]


def _mixed(runs: list[tuple[str, dict[str, Any]]]) -> set[str]:
    """Return the streams that have runs at servers of several versions.

    Runs of a caller's attempts count for the one that began the stream.
    """
    versions: dict[str, set[str]] = {}
    for version, run in runs:
        stream = run['headers'].get('Resumes', run['id'])
        versions.setdefault(stream, set()).add(version)
    return {stream for stream, found in versions.items() if len(found) > 1}


async def _cut_all(venture: GatewayVenture) -> None:
    for name in _VERSIONS:
        await venture.set_faults(
            name, cuts=_STREAMS, cut_after_tokens=_CUT_AFTER
        )


async def test_second_attempts_of_streams_stay_at_their_software_version(
    mixed_venture: GatewayVenture,
) -> None:
    """Guards against events of two versions within one response."""
    venture = mixed_venture
    await venture.start_gateway('entry-3', retry_slack=1000)
    await venture.wait_until(partial(_knows_all, venture, 'entry-3'))
    await _cut_all(venture)
    texts = [
        await _read(venture, 'entry-3', '/letters/x', f'r{number}')
        for number in range(_STREAMS)
    ]
    runs = await _runs(venture)
    assert len(runs) > _STREAMS
    assert len(_mixed(runs)) <= _TOLERATED_STREAMS
    # Each attempt brings two events, and a stream has two attempts.
    assert texts.count(stream_text(2 * _CUT_AFTER)) >= _STREAMS / 2


async def test_copies_of_streams_stay_at_their_software_version(
    mixed_venture: GatewayVenture,
) -> None:
    """Guards against copies at servers of another version."""
    venture = mixed_venture
    await _cut_all(venture)
    for number in range(_STREAMS):
        await _read(venture, 'entry-1', '/questions/x', f'r{number}')
    runs = await _runs(venture)
    assert any('Kv-From' in run['headers'] for _, run in runs)
    assert len(_mixed(runs)) <= _TOLERATED_STREAMS


async def test_callers_take_up_streams_at_their_software_version(
    mixed_venture: GatewayVenture,
) -> None:
    """Guards against nodes that do not know which version began a stream.

    The node that relayed the streams is gone.
    """
    venture = mixed_venture
    for name in _VERSIONS:
        await venture.set_faults(name, slow_events_s=_EVENT_PAUSE_S)
    streams = [
        asyncio.create_task(
            _read(venture, 'entry-1', '/letters/x', f'begun-{number}')
        )
        for number in range(_STREAMS)
    ]
    await venture.wait_until(partial(_have_begun, venture))
    await venture.process('entry-1').kill()
    received = await asyncio.gather(*streams)
    for name in _VERSIONS:
        await venture.set_faults(name, slow_events_s=0)
    went_on = 0
    resumed = [
        (number, text) for number, text in enumerate(received) if 'id: ' in text
    ]
    for number, text in resumed:
        last = text.count('id: ')
        rest = await _read(
            venture,
            'entry-2',
            '/letters/x',
            f'again-{number}',
            {'Last-Event-Id': str(last), 'Resumes': f'begun-{number}'},
        )
        went_on += stream_text(EVENTS) == text + rest
    assert len(resumed) >= 12
    assert len(_mixed(await _runs(venture))) <= _TOLERATED_STREAMS
    assert went_on >= len(resumed) * _RESUMED_FRACTION


async def test_streams_are_taken_up_after_all_nodes_were_killed(
    mixed_venture: GatewayVenture,
) -> None:
    """Guards against knowledge that only processes hold which die together."""
    venture = mixed_venture
    begun = await _begin_streams(venture)
    await _start_again(venture)
    texts = await _take_up(venture, begun)
    assert len(begun) >= 12
    assert len(_mixed(await _runs(venture))) <= _TOLERATED_STREAMS
    went_on = texts.count(stream_text(EVENTS))
    assert went_on >= len(begun) * _RESUMED_FRACTION


async def test_a_version_that_has_just_left_is_known_after_all_were_killed(
    mixed_venture: GatewayVenture,
) -> None:
    """Guards against joining streams to the only version that is left."""
    venture = mixed_venture
    begun = await _begin_streams(venture)
    for name, version in _VERSIONS.items():
        if version == 'v1':
            await venture.put_record('keyed.servers', name, b'')
    await _start_again(venture)
    await _take_up(venture, begun)
    assert len(begun) >= 12
    assert len(_mixed(await _runs(venture))) <= _TOLERATED_STREAMS


async def test_a_version_that_all_nodes_missed_is_told_from_the_former(
    venture: GatewayVenture,
) -> None:
    """Guards against joining streams after a change while no node ran.

    The former version is the only one that a node has seen until then.
    """
    for name in ('model-1', 'model-2'):
        await venture.register(name, 'models', version='v1')
    former = {'model-1': 'v1', 'model-2': 'v1'}
    for name in ('entry-1', 'entry-2'):
        await venture.wait_until(partial(_knows, venture, name, former))
    begun = await _begin_streams(venture, former)
    for name in ('model-3', 'model-4'):
        await venture.start_server(name, 'models', f'--events={EVENTS}')
        await venture.register(name, 'models', version='v2')
    for name in former:
        await venture.put_record('keyed.servers', name, b'')
    await _start_again(venture)
    await _take_up(venture, begun)
    assert len(begun) >= 12
    assert len(_mixed(await _runs(venture))) <= _TOLERATED_STREAMS


@pytest.mark.parametrize('reaches_store', [False, True])
async def test_a_node_out_of_step_does_not_join_streams(
    venture: GatewayVenture, reaches_store: bool
) -> None:
    """Guards against a node that has not heard of a version yet.

    Servers of it register, and streams begin there, while the node stands
    still, cut off from its peers and perhaps from the store.
    """
    store = await FaultProxy.start(venture.process('store').address)
    await venture.start_gateway('entry-3', store=store.address, alone=True)
    # The former servers state no version, which is one as well.
    former = {'model-1': '', 'model-2': ''}
    await venture.wait_until(partial(_knows, venture, 'entry-3', former))
    venture.process('entry-3').send_signal(signal.SIGSTOP)
    if not reaches_store:
        store.switch_mode(FaultMode.CUT)
    for name in ('model-3', 'model-4'):
        await venture.start_server(name, 'models', f'--events={EVENTS}')
        await venture.register(name, 'models', version='v2')
    added = {'model-3': 'v2', 'model-4': 'v2'}
    await venture.wait_until(partial(_knows, venture, 'entry-1', added))
    begun = await _begin_at(venture, 'entry-1')
    venture.process('entry-3').send_signal(signal.SIGCONT)
    await _take_up(venture, begun, ('entry-3',))
    await store.stop()
    assert len(begun) >= 12
    assert len(_mixed(await _runs(venture))) <= _TOLERATED_STREAMS


async def _begin_at(venture: GatewayVenture, gateway: str) -> dict[str, str]:
    """Begin streams at a node and kill it; return what came of each."""
    for name in _VERSIONS:
        await venture.set_faults(name, slow_events_s=_EVENT_PAUSE_S)
    ids = [f'begun-{number}' for number in range(_STREAMS)]
    streams = [
        asyncio.create_task(_read(venture, gateway, '/letters/x', stream_id))
        for stream_id in ids
    ]
    await venture.wait_until(partial(_have_begun, venture))
    await venture.process(gateway).kill()
    received = await asyncio.gather(*streams)
    for name in _VERSIONS:
        await venture.set_faults(name, slow_events_s=0)
    return {
        stream_id: text
        for stream_id, text in zip(ids, received, strict=True)
        if 'id: ' in text
    }


async def _begin_streams(
    venture: GatewayVenture, servers: Collection[str] = _ALL_SERVERS
) -> dict[str, str]:
    """Begin streams and kill all nodes; return what came of each, by id."""
    for name in servers:
        await venture.set_faults(name, slow_events_s=_EVENT_PAUSE_S)
    ids = [f'begun-{number}' for number in range(_STREAMS)]
    streams = [
        asyncio.create_task(
            _read(venture, f'entry-{1 + number % 2}', '/letters/x', stream_id)
        )
        for number, stream_id in enumerate(ids)
    ]
    await venture.wait_until(partial(_have_begun, venture, servers))
    await _kill_all(venture)
    received = await asyncio.gather(*streams)
    for name in servers:
        await venture.set_faults(name, slow_events_s=0)
    return {
        stream_id: text
        for stream_id, text in zip(ids, received, strict=True)
        if 'id: ' in text
    }


async def _take_up(
    venture: GatewayVenture,
    begun: dict[str, str],
    gateways: Sequence[str] = ('entry-1', 'entry-2'),
) -> list[str]:
    """Take each stream up once; return the texts of both parts."""
    texts = []
    for number, (stream_id, text) in enumerate(begun.items()):
        resuming = {
            'Last-Event-Id': str(text.count('id: ')),
            'Resumes': stream_id,
        }
        rest = await _read(
            venture,
            gateways[number % len(gateways)],
            '/letters/x',
            f'again-{number}',
            resuming,
        )
        texts.append(text + rest)
    return texts


async def _kill_all(venture: GatewayVenture) -> None:
    await asyncio.gather(
        *(venture.process(name).kill() for name in ('entry-1', 'entry-2'))
    )


async def _start_again(venture: GatewayVenture) -> None:
    await venture.start_gateway('entry-1')
    await venture.start_gateway('entry-2', 'b')


async def _have_begun(
    venture: GatewayVenture, servers: Collection[str] = _ALL_SERVERS
) -> bool:
    """Return whether all streams have sent their first event."""
    began_at_s = [run['began_at_s'] for _, run in await _runs(venture, servers)]
    if len(began_at_s) < _STREAMS:
        return False
    age_s = asyncio.get_running_loop().time() - max(began_at_s)
    return age_s > 1.5 * _EVENT_PAUSE_S


async def _read(
    venture: GatewayVenture,
    gateway: str,
    path: str,
    request_id: str,
    changes: dict[str, str] | None = None,
) -> str:
    """Return the complete events of a stream that may be cut."""
    headers = {**venture.request_headers(request_id), **(changes or {})}
    headers['Token-Count'] = '10,40'
    received = b''
    # The events that came before a cut count.
    with suppress(ClientError):
        async with venture.session.post(
            venture.url(gateway, path), headers=headers
        ) as response:
            if response.status != 200:
                return ''
            while chunk := await response.content.readany():
                received += chunk
    complete = received.rpartition(b'\n\n')
    return (complete[0] + complete[1]).decode()
