"""Tests of prompts with a part that crashes the servers."""

import asyncio
import json
import re
import sys
from collections import Counter
from collections.abc import AsyncIterator
from functools import partial
from itertools import count
from pathlib import Path

import pytest_asyncio
from aiohttp import ClientError

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.crashes import crashes_at_s, restarts
from mallowspindle.tests.gateway.observations import (
    COMPLETE_STREAM,
    EVENTS,
    is_draining,
    is_registered,
)

_GATEWAYS = ('entry-1', 'entry-2', 'entry-3', 'entry-4')
_SERVERS = tuple(f'model-{number}' for number in range(1, 7))
_DEADLY_PART = 'dead'
_SHARED_PART = 'a1'
# What the operators tolerate: so many requests with the part at servers later
# than the contact time after so many crashes.
_TOLERATED_CRASHES = 5
_TOLERATED_REQUESTS = 3
_CONTACT_S = 3.0
# Sound requests begin at least this fraction as often as without crashes.
_SOUND_FRACTION = 0.5
_DURATION_S = 9.0
_CRASH_S = 0.6
_DEADLY_INTERVAL_S = 0.4
_SOUND_INTERVAL_S = 0.1
# Enough for three crashes, also if some find no server, and for the servers to
# be back after each one.
_PROMPTS = 12
_APART_S = 0.4


@pytest_asyncio.fixture
async def tainted_venture(
    venture: GatewayVenture,
) -> AsyncIterator[GatewayVenture]:
    """Add gateways and servers that crash on a part; restart those."""
    await asyncio.gather(
        venture.start_gateway('entry-3', 'b'),
        venture.start_gateway('entry-4', 'b'),
        *(
            venture.start_server(name, 'models', f'--events={EVENTS}')
            for name in _SERVERS[2:]
        ),
    )
    for name in _SERVERS:
        await venture.set_faults(
            name, deadly_part=_DEADLY_PART, crash_s=_CRASH_S
        )
    async with restarts(venture, 'models', _SERVERS):
        yield venture


def _prompt(number: int, *parts: str) -> dict[str, str]:
    entries = [f'{part}:50' for part in (_SHARED_PART, *parts)]
    return {
        'Prompt-Prefix': ','.join([*entries, f'{number:x}:20']),
        'Token-Count': f'{len(entries) * 50 + 20},10',
    }


async def _send(venture: GatewayVenture, number: int, *parts: str) -> str:
    """Return how a letter ended, as status or as ``cut``."""
    gateway = _GATEWAYS[number % len(_GATEWAYS)]
    return await _send_to(venture, gateway, number, *parts)


async def _send_to(
    venture: GatewayVenture, gateway: str, number: int, *parts: str
) -> str:
    prompt = _prompt(number, *parts)
    request_id = f'request-{number}'
    try:
        status, _, text = await venture.call(
            gateway, 'POST', f'/letters/{number}', request_id, changes=prompt
        )
    except ClientError:
        return 'cut'
    return 'whole' if text == COMPLETE_STREAM else str(status)


async def _send_both(venture: GatewayVenture) -> tuple[Counter[str], float]:
    """Send deadly and sound letters; return how those of the end fared.

    The second result is the share of sound letters that were whole before the
    first deadly one.
    """
    numbers = count()

    async def send_for(duration_s: float, *parts: str) -> list[str]:
        interval_s = _DEADLY_INTERVAL_S if parts else _SOUND_INTERVAL_S
        calls = []
        for _ in range(int(duration_s / interval_s)):
            call = _send(venture, next(numbers), *parts)
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(interval_s)
        return list(await asyncio.gather(*calls))

    before = await send_for(1)
    sound, _ = await asyncio.gather(
        send_for(_DURATION_S), send_for(_DURATION_S, _DEADLY_PART)
    )
    last_seconds = sound[-int(2 / _SOUND_INTERVAL_S) :]
    return Counter(last_seconds), before.count('whole') / len(before)


async def test_a_deadly_part_does_not_crash_server_after_server(
    tainted_venture: GatewayVenture,
) -> None:
    """Guards against requests that crash servers and are sent on to others."""
    venture = tainted_venture
    fates, share_before = await _send_both(venture)
    await asyncio.sleep(_CRASH_S)
    await _check_operators_commands(venture)
    crashed_at_s: list[float] = []
    reached_at_s: list[float] = []
    for name in _SERVERS:
        crashed_at_s += await crashes_at_s(venture, name)
        reached_at_s += [
            run['began_at_s']
            for run in await venture.runs(name)
            if _DEADLY_PART in run['headers'].get('Prompt-Prefix', '')
        ]
    assert crashed_at_s
    counted_from_s = sorted(crashed_at_s)[:_TOLERATED_CRASHES][-1] + _CONTACT_S
    late = [at_s for at_s in reached_at_s if at_s > counted_from_s]
    assert len(late) <= _TOLERATED_REQUESTS
    share = fates['whole'] / fates.total()
    assert share >= share_before * _SOUND_FRACTION


async def _check_operators_commands(venture: GatewayVenture) -> None:
    """List and clear the part with the operators' commands."""
    settings = venture.write_settings(
        'entry-1', venture.gateway_settings('entry-1', 'a')
    )
    status, listed = await _run_command(
        venture, 'list', '--settings', settings, '--output', 'json'
    )
    assert status == 0
    (row,) = json.loads(listed)
    assert row['part'] == _DEADLY_PART
    assert row['crashes'] >= 3
    clear = ('clear', _DEADLY_PART, '--settings', settings)
    assert await _run_command(venture, *clear) == (0, 'dead: cleared\n')
    status, _ = await _run_command(venture, *clear)
    assert status == 1
    status, listed = await _run_command(
        venture, 'list', '--settings', settings, '--output', 'json'
    )
    assert json.loads(listed) == []


async def _run_command(
    venture: GatewayVenture, *arguments: str | Path
) -> tuple[int | None, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'mallowspindle',
        'quarantine',
        *arguments,
        '--node',
        venture.process('entry-1').endpoint('peers'),
        stdout=asyncio.subprocess.PIPE,
    )
    printed, _ = await process.communicate()
    return process.returncode, printed.decode()


async def test_a_crash_before_the_first_event_never_looks_like_an_answer(
    venture: GatewayVenture,
) -> None:
    """A response without a length ends with its connection, and so does a crash.

    It must not clear the part either.
    """
    for name in _SERVERS[:2]:
        await venture.register(name, 'models', state='draining')
    names = ('model-3', 'model-4', 'model-5', 'model-6')
    for name in names:
        await venture.start_server(
            name, 'models', f'--events={EVENTS}', '--no-length'
        )
        await venture.set_faults(name, deadly_part=_DEADLY_PART, crash_s=0.2)
        await venture.wait_until(partial(is_registered, venture, name))
    for name in _SERVERS[:2]:
        await venture.wait_until(partial(is_draining, venture, name))
    fates = []
    for number in range(_PROMPTS):
        fates.append(await _send_to(venture, 'entry-1', number, _DEADLY_PART))
        await asyncio.sleep(_APART_S)
    assert set(fates) == {'502', '503'}
    # Both parts of these prompts are in all crashes.
    refused = re.compile('part (a1|dead) of the prompt has crashed servers')
    reasons = [
        line['reason']
        for line in venture.log_lines('entry-1', 'request refused')
    ]
    assert any(map(refused.match, reasons))
