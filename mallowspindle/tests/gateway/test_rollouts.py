"""Rollouts with real processes, with one failure at a time."""

import asyncio
import json
import signal
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import suppress
from functools import partial
from pathlib import Path

import pytest
import pytest_asyncio
from aiohttp import ClientError

from mallowspindle.commands.output import Output
from mallowspindle.commands.rollouts import show
from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.observations import (
    COMPLETE_STREAM,
    EVENTS,
    find_holder,
    is_registered,
)

GATEWAYS = ('entry-1', 'entry-2')
OLD = ('shop-1', 'shop-2')
NEW = 'shop-3'
ORDER = 'rollout/shop'
_PAUSE_S = 0.02
# What operators tolerate in these tests.
_SHARE = 0.1
_SLACK = 50
# A version that fails all requests.
_ALWAYS = 1_000_000
_DURATION_S = 8
_WAIT_S = 25
_STREAMS = 400


class Load:
    """Callers that send to both gateways until they are told to stop."""

    def __init__(self, venture: GatewayVenture) -> None:
        self._venture = venture
        self._calls: set[asyncio.Task[None]] = set()
        self.sent = 0
        self.statuses: Counter[int] = Counter()

    async def run(self) -> None:
        """Send a request every ``_PAUSE_S``."""
        while True:
            self.sent += 1
            call = asyncio.create_task(self._send(self.sent))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            await asyncio.sleep(_PAUSE_S)

    async def _send(self, number: int) -> None:
        with suppress(ClientError):
            status, _, _ = await self._venture.call(
                GATEWAYS[number % 2], 'GET', '/status/x', f'load-{number}'
            )
            self.statuses[status] += 1


@pytest_asyncio.fixture
async def shop(tmp_path: Path) -> AsyncIterator[GatewayVenture]:
    """Start two gateways and two shop servers of the old version."""
    async with GatewayVenture(tmp_path) as venture:
        venture.more_settings = (
            f'[rollouts]\nexposure_share = {_SHARE}\n'
            f'exposure_slack_requests = {_SLACK}\nrollback_ms = 5000\n'
        )
        await venture.start_platform()
        await venture.configure()
        for name in OLD:
            await venture.start_server(name, 'shop')
            await venture.register(name, 'shop', version='v1')
        await venture.start_gateway('entry-1')
        await venture.start_gateway('entry-2', 'b')
        await find_holder(venture)
        yield venture


@pytest_asyncio.fixture
async def load(shop: GatewayVenture) -> AsyncIterator[Load]:
    """Send requests during the test."""
    callers = Load(shop)
    running = asyncio.create_task(callers.run())
    yield callers
    running.cancel()


async def _order(
    venture: GatewayVenture, duration_s: float = _DURATION_S, to: str = 'v2'
) -> None:
    """Write an order as operators do."""
    order = {'service': 'shop', 'to': to, 'duration_s': duration_s}
    await venture.put_record('keyed.op', ORDER, json.dumps(order).encode())


async def _start_new(venture: GatewayVenture, **faults: object) -> None:
    """Start a server of the new version, as the platform does."""
    await venture.start_standin(NEW, 'platform_server', '--server-id', NEW)
    await venture.set_faults(NEW, **faults)
    await venture.register(NEW, 'shop', version='v2')


async def _status(venture: GatewayVenture) -> dict[str, str] | None:
    value = await venture.read_record('keyed.status', ORDER)
    return json.loads(value) if value else None


async def _wait_for(
    venture: GatewayVenture, state: str, to: str = 'v2'
) -> None:
    async def is_reported() -> bool:
        return await _status(venture) == {'state': state, 'to': to}

    await venture.wait_until(is_reported, _WAIT_S)


async def _wait_for_phase(
    venture: GatewayVenture, phase: str, names: tuple[str, ...] = GATEWAYS
) -> None:
    async def is_known() -> bool:
        return all(
            venture.log_lines(name, f'rollout in phase {phase}')
            for name in names
        )

    await venture.wait_until(is_known, _WAIT_S)


async def _run_count(venture: GatewayVenture, *names: str) -> int:
    return sum([len(await venture.runs(name)) for name in names])


async def test_a_good_version_takes_over_in_time(
    shop: GatewayVenture, load: Load
) -> None:
    """Guards against a rollout that stops half-way, or cuts requests."""
    began_at_s = asyncio.get_running_loop().time()
    await _order(shop)
    await _start_new(shop)
    await _wait_for(shop, 'running')
    await _wait_for_phase(shop, 'canary')
    await asyncio.sleep(2)
    exposed = await _run_count(shop, NEW)
    assert 0 < exposed <= _SHARE * load.sent + _SLACK
    await _wait_for(shop, 'completed')
    assert asyncio.get_running_loop().time() - began_at_s < _DURATION_S
    await _wait_for_phase(shop, 'completed')
    old = await _run_count(shop, *OLD)
    await asyncio.sleep(1)
    assert await _run_count(shop, *OLD) == old
    assert set(load.statuses) == {200}


async def test_a_bad_version_is_rolled_back_within_its_exposure(
    shop: GatewayVenture,
    load: Load,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against failures of a version that no node stops."""
    await _order(shop)
    await _start_new(shop, truncate=_ALWAYS)
    await _wait_for(shop, 'rolled_back')
    await _wait_for_phase(shop, 'rolled back')
    await asyncio.sleep(0.3)
    runs = await _run_count(shop, NEW)
    assert 0 < runs <= _SHARE * load.sent + _SLACK
    await asyncio.sleep(1)
    assert await _run_count(shop, NEW) == runs
    node = shop.process('entry-2').endpoint('peers')
    await show(tmp_path / 'entry-2.ini', node, Output.JSON)
    (row,) = json.loads(capsys.readouterr().out)
    assert (row['to'], row['phase'], row['barred']) == (
        'v2',
        'rolled back',
        ['v2'],
    )
    assert row['reason'].startswith('status failed')


async def test_an_unjudged_version_does_not_replace_lost_servers(
    shop: GatewayVenture,
) -> None:
    """Guards against a switch because the old servers are gone."""
    await _order(shop)
    await _wait_for_phase(shop, 'hold')
    await _start_new(shop)
    for name in OLD:
        await shop.put_record('keyed.servers', name, b'')
    await _wait_for_phase(shop, 'canary')

    async def is_refused() -> bool:
        status, _, _ = await shop.call('entry-1', 'GET', '/status/x', 'gone')
        return status == 503

    await shop.wait_until(is_refused)
    before = await _run_count(shop, NEW)
    for number in range(20):
        await shop.call('entry-1', 'GET', '/status/x', f'refused-{number}')
        await shop.call('entry-2', 'GET', '/status/x', f'refused-{number}')
    # The canary may still get its share.
    assert await _run_count(shop, NEW) - before <= 12


async def test_another_node_goes_on_when_the_deciding_one_dies(
    shop: GatewayVenture, load: Load
) -> None:
    """Guards against a rollout that ends with the node that decides."""
    holder = await find_holder(shop)
    await _order(shop, 14)
    await _start_new(shop)
    await _wait_for_phase(shop, 'canary')
    shop.process(holder).send_signal(signal.SIGKILL)
    await _wait_for(shop, 'completed')


async def test_a_node_without_news_sends_nothing_to_the_canary(
    shop: GatewayVenture, load: Load
) -> None:
    """Guards against a node that is cut off from the one that decides."""
    holder = await find_holder(shop)
    await _order(shop, 14)
    await _start_new(shop)
    await _wait_for_phase(shop, 'canary')
    shop.process(holder).send_signal(signal.SIGSTOP)
    await asyncio.sleep(1.3)
    runs = await _run_count(shop, NEW)
    served = load.statuses[200]
    await asyncio.sleep(1)
    assert await _run_count(shop, NEW) == runs
    assert load.statuses[200] > served
    shop.process(holder).send_signal(signal.SIGCONT)
    await _wait_for(shop, 'completed')


async def test_an_order_back_stops_the_new_version(
    shop: GatewayVenture, load: Load
) -> None:
    """Guards against two rollouts of one service at once."""
    await _order(shop)
    await _start_new(shop)
    await _wait_for_phase(shop, 'canary')
    await _order(shop, to='v1')
    await _wait_for(shop, 'completed', to='v1')
    await _wait_for_phase(shop, 'completed')
    runs = await _run_count(shop, NEW)
    await asyncio.sleep(1)
    assert await _run_count(shop, NEW) == runs
    assert set(load.statuses) == {200}


async def test_streams_end_before_the_old_servers_are_given_up(
    shop: GatewayVenture,
) -> None:
    """Guards against streams that a completion cuts."""
    for name, version in (('model-1', 'v1'), ('model-2', 'v2')):
        await shop.start_standin(
            name, 'platform_server', '--server-id', name, f'--events={EVENTS}'
        )
        await shop.set_faults(name, slow_events_s=0.3)
        if version == 'v1':
            await shop.register(name, 'models', version=version)
            await shop.wait_until(partial(is_registered, shop, name))
    order = {'service': 'models', 'to': 'v2', 'duration_s': _DURATION_S}
    await shop.put_record(
        'keyed.op', 'rollout/models', json.dumps(order).encode()
    )
    await shop.register('model-2', 'models', version='v2')
    texts = await asyncio.gather(
        *(_stream_later(shop, number) for number in range(_STREAMS))
    )
    assert texts.count(COMPLETE_STREAM) == _STREAMS
    assert (await shop.read_record('keyed.status', 'rollout/models')) == (
        json.dumps({'state': 'completed', 'to': 'v2'}).encode()
    )
    assert await _run_count(shop, 'model-2')


async def _stream_later(venture: GatewayVenture, number: int) -> str:
    """Send a request in its turn, and return its whole stream."""
    await asyncio.sleep(number * (_DURATION_S + 1) / _STREAMS)
    gateway = GATEWAYS[number % 2]
    path = f'/questions/{number}'
    _, _, text = await venture.call(gateway, 'POST', path, f'stream-{number}')
    return text


async def test_a_bad_version_is_stopped_while_the_store_is_down(
    shop: GatewayVenture, load: Load
) -> None:
    """Guards against a verdict that waits for the store."""
    await _order(shop, 14)
    await _start_new(shop)
    await _wait_for_phase(shop, 'canary')
    await shop.set_faults('store', down=True)
    await shop.set_faults(NEW, truncate=_ALWAYS)
    await _wait_for_phase(shop, 'rolled back')
    await asyncio.sleep(0.3)
    runs = await _run_count(shop, NEW)
    await shop.set_faults('store', down=False)
    await _wait_for(shop, 'rolled_back')
    assert await _run_count(shop, NEW) == runs


async def test_a_verdict_outlasts_a_restart_of_all_nodes(
    shop: GatewayVenture, load: Load
) -> None:
    """Guards against a bad version that serves again after a restart."""
    await _order(shop)
    await _start_new(shop, truncate=_ALWAYS)
    await _wait_for(shop, 'rolled_back')
    for name in GATEWAYS:
        await shop.process(name).kill()
    runs = await _run_count(shop, NEW)
    await shop.start_gateway('entry-1')
    await shop.start_gateway('entry-2', 'b')
    served = load.statuses[200]
    await asyncio.sleep(2)
    assert load.statuses[200] > served
    assert await _run_count(shop, NEW) == runs


async def test_unusable_orders_change_nothing(shop: GatewayVenture) -> None:
    """Guards against an order that stops a service which it does not name."""
    odd = {'service': 'unknown', 'to': 'v2', 'duration_s': 9}
    await shop.put_record(
        'keyed.op', 'rollout/unknown', json.dumps(odd).encode()
    )
    await shop.put_record('keyed.op', ORDER, b'{"service": "shop"}')

    async def are_ignored() -> bool:
        messages = (
            'rollout order ignored',
            'rollout order ignored, the service is not known',
        )
        return all(
            any(shop.log_lines(name, message) for name in GATEWAYS)
            for message in messages
        )

    await shop.wait_until(are_ignored)
    status, _, _ = await shop.call('entry-1', 'GET', '/status/x', 'plain')
    assert status == 200
    assert await _status(shop) is None
