"""Accepted settings are soon in force at all nodes and never revert."""

import asyncio
import signal
import time

from mallowspindle.bench.venture import OPERATOR_TOKEN, ROOT_DOCUMENT, Venture
from mallowspindle.settings.publisher import new_change, publish
from mallowspindle.settings.reader import catch_up
from mallowspindle.settings.records import SETTINGS_STREAM
from mallowspindle.settings.tree import ChangeResult, SettingsTree

MAX_IN_FORCE_DELAY_S = 3.0
NODES = ('entry-1', 'entry-2', 'entry-3')


async def test_change_is_in_force_everywhere(small_venture: Venture) -> None:
    for share in (10, 20, 30):
        result = await small_venture.publish('venture', _split(share))
        assert result.accepted
        accepted_at_s = time.monotonic()
        for name in NODES:
            await _wait_in_force(small_venture, name, result.version)
        assert time.monotonic() - accepted_at_s < MAX_IN_FORCE_DELAY_S


async def test_one_of_many_concurrent_changes_is_accepted(
    small_venture: Venture,
) -> None:
    for _ in range(3):
        results = await asyncio.gather(
            *(
                _publish_competing_change(small_venture, number)
                for number in range(50)
            )
        )
        winners = [result for result in results if result.accepted]
        assert len(winners) == 1
        losers = [result for result in results if not result.accepted]
        assert all('in force' in result.reason for result in losers)


async def test_lost_append_answers_change_once(small_venture: Venture) -> None:
    await small_venture.set_faults('log', lose_answers=2)
    result = await small_venture.publish('venture', _split(41))
    assert result.accepted
    tree = SettingsTree()
    await catch_up(tree, small_venture.log_client)
    assert tree.path_version('venture') == result.version


async def test_frozen_node_catches_up_and_never_reverts(
    small_venture: Venture,
) -> None:
    frozen = small_venture.process('entry-3')
    frozen.send_signal(signal.SIGSTOP)
    first = await small_venture.publish('venture', _split(11))
    await small_venture.publish('venture', _split(12))
    await small_venture.post(
        f'{small_venture.process("log").url}/expire',
        {'stream': SETTINGS_STREAM, 'before': first.version},
    )
    last = await small_venture.publish('venture', _split(13))
    frozen.send_signal(signal.SIGCONT)
    await _wait_in_force(small_venture, 'entry-3', last.version)
    settings_through = await _settings_through(small_venture, 'entry-3')
    assert settings_through >= last.version


async def test_settings_survive_expired_records(venture: Venture) -> None:
    venture.overrides = {'native': {'settings_snapshot_interval_s': 0.3}}
    await venture.start_platform()
    await venture.publish_defaults('farm')
    await venture.start_engine('engine-1', 'a')
    await venture.start_nodes({'entry-1': 'a', 'entry-2': 'b'})
    last = await venture.publish('venture', _split(25))

    async def has_snapshot() -> bool:
        page = await venture.log_client.read(SETTINGS_STREAM, 0)
        return page.next_offset > last.version + 2

    await venture.wait_until(has_snapshot)
    await venture.post(
        f'{venture.process("log").url}/expire',
        {'stream': SETTINGS_STREAM, 'before': last.version + 1},
    )
    tree = SettingsTree()
    await catch_up(tree, venture.log_client)
    assert tree.path_version('venture') == last.version
    await venture.start_node('entry-3', 'c')
    await _wait_in_force(venture, 'entry-3', last.version)


async def test_node_started_during_log_outage_asks_peers(
    small_venture: Venture,
) -> None:
    last = await small_venture.publish('venture', _split(33))
    await _wait_in_force(small_venture, 'entry-1', last.version)
    await small_venture.set_faults('log', down=True)
    await small_venture.start_node('entry-4', 'a')
    await _wait_in_force(small_venture, 'entry-4', last.version)


async def test_node_with_stale_settings_refuses_requests(
    venture: Venture,
) -> None:
    venture.overrides = {'limits': {'settings_stale_after_s': 1}}
    await venture.start_platform()
    await venture.publish_defaults('farm')
    await venture.start_engine('engine-1', 'a')
    await venture.start_nodes({'entry-1': 'a', 'entry-2': 'b', 'entry-3': 'c'})
    await venture.set_faults('log', down=True)
    for name in ('entry-2', 'entry-3'):
        venture.process(name).send_signal(signal.SIGSTOP)

    async def is_stale() -> bool:
        url = venture.process('entry-1').url
        health = await venture.get(f'{url}/health')
        return not health['settings_fresh']

    await venture.wait_until(is_stale)
    url = f'{venture.process("entry-1").url}/v1/chat/completions'
    async with venture.session.post(url, json={}) as response:
        assert response.status == 503
        assert 'Retry-After' in response.headers


async def _publish_competing_change(
    venture: Venture, number: int
) -> ChangeResult:
    tree = SettingsTree()
    await catch_up(tree, venture.log_client)
    base = tree.path_version('venture')
    await asyncio.sleep(0.2)
    change = new_change('venture', _split(number), base, f'operator {number}')
    return await publish(tree, venture.log_client, change)


async def _wait_in_force(venture: Venture, name: str, version: int) -> None:
    async def in_force() -> bool:
        return await _settings_through(venture, name) >= version

    await venture.wait_until(in_force)


async def _settings_through(venture: Venture, name: str) -> int:
    url = f'{venture.process(name).url}/operator/nodes'
    known = await venture.get(url, OPERATOR_TOKEN)
    return int(known[0]['settings_through'])


def _split(share: int) -> str:
    changed = ROOT_DOCUMENT.replace('north = 60', f'north = {share}')
    return changed.replace('south = 40', f'south = {100 - share}')
