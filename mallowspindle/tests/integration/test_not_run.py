"""A call answered as "not run" did not run, and no call runs twice."""

import asyncio
import signal
from typing import Any

import pytest_asyncio

from mallowspindle.bench.caller import bearer
from mallowspindle.bench.venture import OPERATOR_TOKEN, Venture, token_of

ORGANISATION = 'haulier'
NOT_RUN = 'urn:mallowspindle:problem:not-run'
UNKNOWN = 'urn:mallowspindle:problem:unknown-outcome'
NODES = ('entry-1', 'entry-2', 'entry-3')


@pytest_asyncio.fixture
async def filing_venture(venture: Venture) -> Venture:
    venture.overrides = {'effects': {'call_timeout_s': 1, 'claim_timeout_s': 2}}
    await venture.start_platform()
    await venture.publish_defaults(ORGANISATION)
    await venture.start_plain('claims-1', 'a')
    await venture.start_nodes({'entry-1': 'a', 'entry-2': 'b', 'entry-3': 'c'})
    return venture


# For each point of failure: the faults, the expected problem type and the
# expected number of runs.
FAILURE_POINTS: dict[str, tuple[dict[str, dict[str, Any]], str, int]] = {
    'service refuses': ({'claims-1': {'refuse': 5}}, NOT_RUN, 0),
    'answer lost': ({'claims-1': {'lose_answers': 1}}, UNKNOWN, 1),
    'answer crossed': ({'claims-1': {'cross': 1}}, UNKNOWN, 1),
    'timeout after the request': ({'claims-1': {'slow_s': 3}}, UNKNOWN, 1),
    'cut in mid-request': ({'claims-1': {'down': True}}, UNKNOWN, 0),
    'log refuses': ({'log': {'refuse': 20}}, NOT_RUN, 0),
    'log down': ({'log': {'down': True}}, NOT_RUN, 0),
    'append answer lost': ({'log': {'lose_answers': 1}}, '', 1),
    'append lands late': (
        {'log': {'lose_answers': 1000, 'late_s': 3}},
        NOT_RUN,
        0,
    ),
}
NO_FAULTS = {
    'claims-1': {
        'refuse': 0,
        'lose_answers': 0,
        'cross': 0,
        'slow_s': 0,
        'down': False,
    },
    'log': {'refuse': 0, 'down': False, 'lose_answers': 0, 'late_s': 0},
}


async def test_every_point_of_failure(filing_venture: Venture) -> None:
    for point, (faults, expected, runs) in FAILURE_POINTS.items():
        for name, options in faults.items():
            await filing_venture.set_faults(name, **options)
        status, kind, retry_after = await _submit(
            filing_venture, 'entry-1', point
        )
        for name, options in NO_FAULTS.items():
            await filing_venture.set_faults(name, **options)
        assert kind == expected, (point, status, kind)
        assert (kind == NOT_RUN) == bool(retry_after), point
        assert await _count_runs(filing_venture, point) == runs, point
        await _assert_retry(filing_venture, point, expected, runs)


async def _assert_retry(
    venture: Venture, point: str, expected: str, runs: int
) -> None:
    """Assert that a retry with the same key never runs the call twice.

    A call that did not run is run, and an unknown outcome stays unknown.
    """
    if expected == UNKNOWN:
        _, kind, _ = await _submit(venture, 'entry-2', point)
        assert kind == UNKNOWN, point
        assert await _count_runs(venture, point) == runs
        return

    async def is_submitted() -> bool:
        status, _, _ = await _submit(venture, 'entry-2', point)
        return status == 200

    await venture.wait_until(is_submitted)
    assert await _count_runs(venture, point) == 1, point


async def test_connection_refused_is_not_run(filing_venture: Venture) -> None:
    await filing_venture.process('claims-1').kill()
    status, kind, retry_after = await _submit(
        filing_venture, 'entry-1', 'nobody home'
    )
    assert (status, kind) == (503, NOT_RUN)
    assert retry_after


async def test_same_key_to_all_nodes_at_once(filing_venture: Venture) -> None:
    for number in range(10):
        key = f'claim {number}'
        answers = await asyncio.gather(
            *(_submit(filing_venture, name, key) for name in NODES * 3)
        )
        assert {status for status, _, _ in answers} == {200}
        assert await _count_runs(filing_venture, key) == 1


async def test_frozen_claim_holder_resumes(filing_venture: Venture) -> None:
    await filing_venture.set_faults('log', slow_s=0.4)
    frozen = asyncio.create_task(_submit(filing_venture, 'entry-1', 'frozen'))
    await asyncio.sleep(0.2)
    filing_venture.process('entry-1').send_signal(signal.SIGSTOP)
    await filing_venture.set_faults('log', slow_s=0)

    async def is_unknown() -> bool:
        _, kind, _ = await _submit(filing_venture, 'entry-2', 'frozen')
        return kind == UNKNOWN

    await filing_venture.wait_until(is_unknown)
    filing_venture.process('entry-1').send_signal(signal.SIGCONT)
    await frozen
    assert await _count_runs(filing_venture, 'frozen') <= 1
    await asyncio.gather(
        *(_submit(filing_venture, name, 'frozen') for name in NODES)
    )
    assert await _count_runs(filing_venture, 'frozen') <= 1


async def test_keys_survive_restart_of_all_nodes(
    filing_venture: Venture,
) -> None:
    await _submit(filing_venture, 'entry-1', 'before')
    await filing_venture.set_faults('claims-1', slow_s=0.9)
    interrupted = asyncio.create_task(
        _submit(filing_venture, 'entry-1', 'interrupted')
    )

    async def is_running() -> bool:
        return await _count_runs(filing_venture, 'interrupted') == 1

    await filing_venture.wait_until(is_running)
    for name in NODES:
        await filing_venture.process(name).kill()
    await asyncio.gather(interrupted, return_exceptions=True)
    await filing_venture.set_faults('claims-1', slow_s=0)
    await filing_venture.start_nodes({'entry-4': 'a', 'entry-5': 'b'})

    async def is_submitted() -> bool:
        status, _, _ = await _submit(filing_venture, 'entry-4', 'before')
        return status == 200

    await filing_venture.wait_until(is_submitted)
    assert await _count_runs(filing_venture, 'before') == 1
    _, kind, _ = await _submit(filing_venture, 'entry-5', 'interrupted')
    assert kind == UNKNOWN
    assert await _count_runs(filing_venture, 'interrupted') == 1
    await _resolve(filing_venture, 'interrupted')


async def _resolve(venture: Venture, key: str) -> None:
    """List the unresolved call as an operator and record its outcome."""
    url = f'{venture.process("entry-5").url}/operator/effects'
    (listed,) = await venture.get(url, OPERATOR_TOKEN)
    assert listed['key'] == key
    resolution = {
        name: listed[name]
        for name in ('organisation', 'service', 'key', 'claim_id')
    }
    resolution.update(ran=True, evidence='seen in the portal', author='anna')
    async with venture.session.post(
        f'{url}/resolve', json=resolution, headers=bearer(OPERATOR_TOKEN)
    ) as response:
        assert response.status == 200, await response.text()
    assert await venture.get(url, OPERATOR_TOKEN) == []
    status, _, _ = await _submit(venture, 'entry-4', key)
    assert status == 409
    assert await _count_runs(venture, key) == 1


async def _submit(
    venture: Venture, node: str, key: str
) -> tuple[int, str, str | None]:
    url = f'{venture.process(node).url}/v1/services/claims/submit'
    headers = {**bearer(token_of(ORGANISATION)), 'Idempotency-Key': key}
    async with venture.session.post(
        url, json={'claim': key}, headers=headers
    ) as response:
        document = await response.json(content_type=None)
        kind = document.get('type', '')
        return response.status, kind, response.headers.get('Retry-After')


async def _count_runs(venture: Venture, key: str) -> int:
    runs = await venture.runs('claims-1')
    return sum(run['key'] == key for run in runs)
