"""Requests on their way through a peer, when something ends in between."""

import asyncio
import socket
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

import pytest
import pytest_asyncio

from mallowspindle.tests.proxy.nodes import CutVenture, Node

_SLOW_S = 0.2
_EVENT_PAUSE_S = 0.4
_STREAMS = 12
_MAX_ATTEMPTS = 2
_PATIENCE_S = 3.0


@pytest_asyncio.fixture
async def venture() -> AsyncIterator[CutVenture]:
    """Start four nodes, the first of which reaches no server."""
    async with CutVenture(4) as venture:
        cut = venture.nodes[:1]
        venture.cut(cut, silent=False)
        for path in ('/status/1', '/letters/1'):
            await venture.send(cut[0], path)
        assert len(cut[0].backends.not_reached()) == 2
        for node in venture.nodes:
            # The next request opens the only connection to a peer.
            node.break_connections()
        await asyncio.sleep(0.05)
        yield venture


async def _relaying_peer(venture: CutVenture, path: str) -> Node:
    """Wait until a server runs a request; return the peer that sent it."""
    async with asyncio.timeout(_PATIENCE_S):
        while not await _runs_of(venture, path):
            await asyncio.sleep(0.01)
    return next(node for node in venture.nodes[1:] if node.connections())


async def _runs_of(venture: CutVenture, path: str) -> list[dict[str, Any]]:
    return [run for run in await venture.runs() if run['target'] == path]


async def test_a_stream_goes_on_through_another_peer(
    venture: CutVenture,
) -> None:
    await venture.set_faults('models', slow_events_s=_SLOW_S)
    call = asyncio.create_task(venture.send(venture.nodes[0], '/letters/2'))
    peer = await _relaying_peer(venture, '/letters/2')
    peer.break_connections()
    assert await call == 200


async def test_an_order_lost_with_its_peer_may_have_run(
    venture: CutVenture,
) -> None:
    await venture.set_faults('shop', slow_s=_SLOW_S)
    call = asyncio.create_task(venture.send(venture.nodes[0], '/orders/2'))
    peer = await _relaying_peer(venture, '/orders/2')
    peer.break_connections()
    assert await call == 502
    assert len(await _runs_of(venture, '/orders/2')) == 1


@pytest.mark.parametrize('held', ['holds_requests', 'holds_answers'])
async def test_an_order_that_times_out_at_a_peer_may_have_run(
    venture: CutVenture, held: str
) -> None:
    """Guards against "not run" for a request that a silent peer holds."""
    for peer in venture.nodes[1:]:
        setattr(peer, held, True)
    assert await venture.send(venture.nodes[0], '/orders/2') == 504
    expected_runs = 1 if held == 'holds_answers' else 0
    assert len(await _runs_of(venture, '/orders/2')) == expected_runs


async def test_an_order_that_is_read_after_its_time_does_not_run() -> None:
    """Guards against a time limit that counts from a late read.

    The node stood still while the order and the end of its caller arrived.
    """
    async with CutVenture(2) as venture:
        host, port = venture.nodes[0].address.split(':')
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(venture.raw_request('/orders/7'))
            # Callers wait for 2 s.
            time.sleep(2.5)  # noqa: ASYNC251
            answer = await asyncio.to_thread(caller.recv, 100)
        assert b' 503 ' in answer
        assert not await _runs_of(venture, '/orders/7')


async def test_a_caller_that_leaves_ends_the_work_behind_the_peer(
    venture: CutVenture,
) -> None:
    """The server notices at its next event; a whole run takes 3 s."""
    await venture.set_faults('models', slow_events_s=1)
    call = asyncio.create_task(venture.send(venture.nodes[0], '/letters/3'))
    await _relaying_peer(venture, '/letters/3')
    call.cancel()
    with pytest.raises(asyncio.CancelledError):
        await call
    async with asyncio.timeout(2):
        while not all(
            run['ended'] for run in await _runs_of(venture, '/letters/3')
        ):
            await asyncio.sleep(0.05)


async def test_a_relayed_request_is_counted_once(venture: CutVenture) -> None:
    before = _begun(venture)
    for number in range(6):
        await venture.send(venture.nodes[0], f'/status/{number}')
    assert (_begun(venture) - before)['farm'] == 6


@pytest.mark.parametrize('heals', [True, False])
async def test_streams_begun_through_a_lost_peer_stay_at_their_version(
    venture: CutVenture, heals: bool
) -> None:
    """Guards against events of two software versions in one answer.

    The stream goes on at a server, or through another peer.
    """
    venture.set_versions(models_0='v1', models_1='v2')
    await venture.set_faults('models', slow_events_s=_EVENT_PAUSE_S)
    first = venture.nodes[0]
    paths = [f'/letters/begun-{number}' for number in range(_STREAMS)]
    calls = [asyncio.create_task(venture.send(first, path)) for path in paths]
    await asyncio.sleep(0.05)
    if heals:
        venture.heal([first])
        while 'models' in first.backends.not_reached():
            await asyncio.sleep(0.01)
    # Each stream has sent an event and has others to send.
    while not await _have_sent_an_event(venture, paths):
        await asyncio.sleep(0.01)
    for peer in venture.nodes[1:]:
        peer.break_connections()
    statuses = await asyncio.gather(*calls)
    versions: dict[str, list[str]] = {}
    for run in await venture.runs():
        if run['target'] in paths:
            versions.setdefault(run['target'], []).append(run['version'])
    assert sum(len(found) > 1 for found in versions.values()) >= _STREAMS / 2
    assert all(len(set(found)) == 1 for found in versions.values())
    assert statuses.count(200) >= _STREAMS / 2


async def test_attempts_through_peers_count_as_attempts_of_the_request() -> (
    None
):
    """Guards against more runs than the route allows.

    The first node reaches one of three servers, which fails, as do all others.
    """
    async with CutVenture(4) as venture:
        first = venture.nodes[0]
        venture.cut([first], silent=False)
        venture.heal([first], 'shop-0')
        first.servers['shop-2'] = replace(
            first.servers['shop-1'], server_id='shop-2'
        )
        await venture.set_faults('shop', truncate=1000)
        paths = [f'/status/{number}' for number in range(_STREAMS)]
        for path in paths:
            assert await venture.send(first, path) >= 500
        runs = Counter(run['target'] for run in await venture.runs())

        assert max(runs.values()) == _MAX_ATTEMPTS


async def _have_sent_an_event(venture: CutVenture, paths: list[str]) -> bool:
    """Return whether all streams have run for longer than an event takes."""
    began_at_s = [
        run['began_at_s']
        for run in await venture.runs()
        if run['target'] in paths
    ]
    now_s = asyncio.get_running_loop().time()
    return (
        len(began_at_s) == len(paths)
        and now_s - max(began_at_s) > 1.2 * _EVENT_PAUSE_S
    )


def _begun(venture: CutVenture) -> Counter[str]:
    """Return the requests that all nodes count as begun, by organisation."""
    total: Counter[str] = Counter()
    for node in venture.nodes:
        total.update(node.begun())
    return total
