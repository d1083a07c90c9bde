"""Accepted requests survive the loss of VMs with and without notice."""

import asyncio
import signal
from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest
import pytest_asyncio

from mallowspindle.bench.caller import Answer, bearer, chat_body, chat_to_end
from mallowspindle.bench.venture import OPERATOR_TOKEN, Venture, token_of

ORGANISATION = 'farm'
TOKENS = 250


@dataclass(frozen=True)
class ReclaimScenario:
    """What happens to the entry VM during a stream."""

    notice_s: float | None = None
    kill_after_s: float | None = None
    reclaim_takers: bool = False
    zone: bool = False
    log_down: bool = False


SCENARIOS = {
    'notice of 30 s': ReclaimScenario(notice_s=30),
    'notice of 5 s': ReclaimScenario(notice_s=5),
    'notice of 1 s': ReclaimScenario(notice_s=1),
    'killed without notice': ReclaimScenario(kill_after_s=0),
    'killed half-way through the hand-over': ReclaimScenario(
        notice_s=1, kill_after_s=0.4
    ),
    'taker reclaimed in turn': ReclaimScenario(notice_s=1, reclaim_takers=True),
    'zone at once, log down': ReclaimScenario(
        notice_s=1, zone=True, log_down=True
    ),
}


@pytest_asyncio.fixture
async def four_zones(venture: Venture) -> AsyncIterator[Venture]:
    await venture.start_platform()
    await venture.publish_defaults(ORGANISATION)
    await asyncio.gather(
        *(
            venture.start_engine(f'engine-{zone}', zone, f'--seed={number}')
            for number, zone in enumerate('abc')
        )
    )
    await venture.start_nodes(
        {'entry-a': 'a', 'entry-b': 'b', 'entry-c': 'c', 'entry-d': 'd'}
    )
    yield venture


@pytest.mark.parametrize('scenario', SCENARIOS.values(), ids=SCENARIOS.keys())
async def test_accepted_work_survives(
    four_zones: Venture, scenario: ReclaimScenario
) -> None:
    names = ('entry-a', 'entry-b', 'entry-c', 'entry-d')
    urls = [four_zones.process(name).url for name in names]
    token = token_of(ORGANISATION)
    if scenario.log_down:
        await four_zones.set_faults('log', down=True)
    location = await _send_bundle(four_zones, urls[0])
    caller = asyncio.create_task(
        chat_to_end(
            four_zones.session, urls, token, chat_body('a farm letter', TOKENS)
        )
    )
    await asyncio.sleep(0.5)
    await _reclaim_vms(four_zones, scenario)
    answer = await caller
    _assert_complete(answer)

    async def bundle_done() -> bool:
        status = await four_zones.get(f'{urls[-1]}{location}', token)
        return status is not None and status['status'] == 'done'

    await four_zones.wait_until(bundle_done)
    status = await four_zones.get(f'{urls[-1]}{location}', token)
    content = status['answer']['choices'][0]['message']['content']
    assert len(content.split()) == TOKENS
    stored = await four_zones.get(
        f'{urls[-1]}/v1/requests/{answer.request_id}', token
    )
    text = stored['answer']['choices'][0]['message']['content']
    assert text == answer.text


async def test_engine_killed_during_stream(four_zones: Venture) -> None:
    url = four_zones.process('entry-a').url
    token = token_of(ORGANISATION)
    caller = asyncio.create_task(
        chat_to_end(
            four_zones.session, [url], token, chat_body('a letter', TOKENS)
        )
    )

    async def find_busy() -> list[str]:
        servers = await four_zones.get(
            f'{url}/operator/servers', OPERATOR_TOKEN
        )
        return [row['vm_id'] for row in servers if row['own_attempts']]

    async def is_busy() -> bool:
        return bool(await find_busy())

    await four_zones.wait_until(is_busy)
    busy = await find_busy()
    await four_zones.process(busy[0]).kill()
    _assert_complete(await caller)


async def test_cut_engine_stream_resumes_in_same_attempt(
    four_zones: Venture,
) -> None:
    for zone in 'abc':
        await four_zones.set_faults(
            f'engine-{zone}', cut_after_tokens=20, cuts=3
        )
    url = four_zones.process('entry-b').url
    answer = await chat_to_end(
        four_zones.session,
        [url],
        token_of(ORGANISATION),
        chat_body('a letter', 100),
    )
    assert answer.done
    assert len(answer.tokens) == 100
    metrics = await four_zones.session.get(f'{url}/metrics')
    lines = (await metrics.text()).splitlines()
    attempt_lines = [
        line for line in lines if line.startswith('attempts_total')
    ]
    assert attempt_lines
    assert float(attempt_lines[0].split()[-1]) == 1


async def _reclaim_vms(venture: Venture, scenario: ReclaimScenario) -> None:
    if scenario.notice_s is not None:
        await venture.reclaim('entry-a', scenario.notice_s)
    if scenario.zone:
        await venture.reclaim('engine-a', 1)
        await venture.process('engine-a').kill()
    if scenario.kill_after_s is not None:
        await asyncio.sleep(scenario.kill_after_s)
        venture.process('entry-a').send_signal(signal.SIGKILL)
    if scenario.reclaim_takers:
        await venture.process('entry-a').wait()
        await venture.reclaim('entry-b', 1)
        await venture.reclaim('entry-c', 1)


async def _send_bundle(venture: Venture, url: str) -> str:
    async with venture.session.post(
        f'{url}/v1/bundles',
        json=chat_body('a bundle', TOKENS),
        headers=bearer(token_of(ORGANISATION)),
    ) as response:
        assert response.status == 202, await response.text()
        return response.headers['Location']


def _assert_complete(answer: Answer) -> None:
    assert answer.done, answer.error
    assert answer.finish_reason == 'length'
    assert len(answer.tokens) == TOKENS
