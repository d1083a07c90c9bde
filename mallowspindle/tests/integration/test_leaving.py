"""A leaving backend server gets no new requests after 3 seconds."""

import asyncio

from mallowspindle.bench.caller import chat_body, chat_to_end
from mallowspindle.bench.venture import OPERATOR_TOKEN, Venture, token_of

MAX_DELAY_S = 3.0
NODES = ('entry-1', 'entry-2', 'entry-3')


async def test_sign_at_one_node_reaches_all(venture: Venture) -> None:
    """Only entry-1 reads load reports, and the VM list lags by 30 s."""
    await venture.start_platform(vm_list_lag_s=30)
    await venture.publish_defaults('farm')
    for name in ('engine-1', 'engine-2'):
        await venture.start_engine(name, 'a')
    no_load_reports = {'routing': {'load_interval_s': 1000}}
    await venture.start_node('entry-1', 'a')
    await venture.start_node('entry-2', 'b', **no_load_reports)
    await venture.start_node('entry-3', 'c', **no_load_reports)
    await venture.wait_ready(*NODES)
    await venture.reclaim('engine-1', 30)
    await venture.set_faults('engine-1', leaving=True)
    await asyncio.sleep(MAX_DELAY_S)
    refused_before = await _count_refused(venture)
    for name in NODES:
        await _chat(venture, name)
        assert await _knows_leaving(venture, name)
    assert await _count_refused(venture) == refused_before


async def test_node_without_peers_learns_of_leaving_server(
    venture: Venture,
) -> None:
    await venture.start_platform(vm_list_lag_s=30)
    await venture.publish_defaults('farm')
    for name in ('engine-1', 'engine-2'):
        await venture.start_engine(name, 'a')
    await venture.start_node('entry-1', 'a')
    without_seeds = {'peers': {'seeds': ''}}
    await venture.start_node('entry-2', 'b', **without_seeds)
    await venture.wait_ready('entry-1')
    await venture.wait_ready('entry-2')
    await venture.set_faults('engine-1', leaving=True)
    await asyncio.sleep(MAX_DELAY_S)
    refused_before = await _count_refused(venture)
    for name in ('entry-1', 'entry-2'):
        await _chat(venture, name)
    assert await _count_refused(venture) == refused_before


async def _chat(venture: Venture, name: str) -> None:
    url = venture.process(name).url
    for number in range(4):
        answer = await chat_to_end(
            venture.session,
            [url],
            token_of('farm'),
            chat_body(f'letter {number}', 3),
        )
        assert answer.done, answer.error


async def _count_refused(venture: Venture) -> int:
    report = await venture.get(f'{venture.process("engine-1").url}/load')
    return int(report['refused'])


async def _knows_leaving(venture: Venture, name: str) -> bool:
    url = f'{venture.process(name).url}/operator/servers'
    servers = await venture.get(url, OPERATOR_TOKEN)
    return any(
        server['vm_id'] == 'engine-1' and server['leaving']
        for server in servers
    )
