"""``make reclaims``: requests lost with an entry VM, by copies and notice.

For each setting of copies and each length of notice, one entry VM is lost while
it serves streams and bundles. A request is lost if its caller, which queries
every other entry VM, never gets a complete answer.
"""

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import ClientError

from mallowspindle.bench.caller import (
    Answer,
    bearer,
    chat_body,
    continue_chat,
    start_chat,
)
from mallowspindle.bench.venture import Venture, token_of
from mallowspindle.ledger.report import read_report

COPIES = ('none', 'notice', 'acceptance')
NOTICES_S = (5.0, 1.0, 0.0)
_STREAMS = 12
_BUNDLES = 4
_TOKENS = 300
_MAX_ATTEMPTS = 15
_RETRY_DELAY_S = 0.4
_ORGANISATION = 'farm'
_EFFECTS_STREAMS = 8


@dataclass
class ReclaimResult:
    """The effect of one lost entry VM on the requests."""

    lost: int = 0
    recomputed_tokens: int = 0
    longest_gaps_s: list[float] = field(default_factory=list)


async def measure(copies: str, notice_s: float) -> ReclaimResult:
    """Reclaim and kill entry-1 during its streams."""
    with tempfile.TemporaryDirectory() as folder:
        async with Venture(Path(folder)) as venture:
            await _start(venture, copies)
            result = ReclaimResult()
            streams = [
                asyncio.create_task(_follow_stream(venture, number, result))
                for number in range(_STREAMS)
            ]
            bundles = [await _send_bundle(venture) for _ in range(_BUNDLES)]
            await asyncio.sleep(1)
            await _reclaim_entry_vm(venture, notice_s)
            await asyncio.gather(*streams)
            for location in bundles:
                result.lost += not await _is_complete(venture, location)
            await asyncio.sleep(1)
            report = await read_report(venture.log_client, _EFFECTS_STREAMS)
            result.recomputed_tokens = report.recomputed_tokens()
            return result


async def _start(venture: Venture, copies: str) -> None:
    venture.overrides = {'recovery': {'copies': copies}}
    await venture.start_platform()
    await venture.publish_defaults(_ORGANISATION)
    await asyncio.gather(
        *(
            venture.start_engine(f'engine-{number}', 'abc'[number])
            for number in range(3)
        )
    )
    await venture.start_nodes({'entry-1': 'a', 'entry-2': 'b', 'entry-3': 'c'})


async def _reclaim_entry_vm(venture: Venture, notice_s: float) -> None:
    if notice_s:
        await venture.reclaim('entry-1', notice_s)
        await asyncio.sleep(notice_s)
    venture.process('entry-1').send_signal(signal.SIGKILL)


async def _follow_stream(
    venture: Venture, number: int, result: ReclaimResult
) -> None:
    """Follow one stream to its end, continued elsewhere if interrupted."""
    answer = Answer()
    gap_s = 0.0
    token_count = 0
    last_token_s = time.monotonic()
    for attempt in range(_MAX_ATTEMPTS):
        try:
            async for state in _open_stream(venture, number, attempt, answer):
                answer = state
                if len(answer.tokens) > token_count:
                    token_count = len(answer.tokens)
                    gap_s = max(gap_s, time.monotonic() - last_token_s)
                    last_token_s = time.monotonic()
        except ClientError as error:
            answer.error = str(error)
        if answer.done:
            result.longest_gaps_s.append(gap_s)
            return
        await asyncio.sleep(_RETRY_DELAY_S)
    result.lost += 1


def _open_stream(
    venture: Venture, number: int, attempt: int, answer: Answer
) -> AsyncIterator[Answer]:
    if not attempt:
        body = chat_body(f'letter {number} ' * 100, _TOKENS)
        url = venture.process('entry-1').url
        return start_chat(venture.session, url, token_of(_ORGANISATION), body)
    url = venture.process(f'entry-{attempt % 2 + 2}').url
    return continue_chat(venture.session, url, token_of(_ORGANISATION), answer)


async def _send_bundle(venture: Venture) -> str:
    async with venture.session.post(
        f'{venture.process("entry-1").url}/v1/bundles',
        json=chat_body('bundle ' * 200, _TOKENS),
        headers=bearer(token_of(_ORGANISATION)),
    ) as response:
        return response.headers['Location']


async def _is_complete(venture: Venture, location: str) -> bool:
    url = f'{venture.process("entry-2").url}{location}'
    for _ in range(_MAX_ATTEMPTS):
        status = await venture.get(url, token_of(_ORGANISATION))
        if status is not None and status['status'] == 'done':
            return True
        await asyncio.sleep(_RETRY_DELAY_S)
    return False


def main() -> None:
    """Print a row for each setting of copies and length of notice."""
    sys.stdout.write(
        f'{"copies":<12}{"notice s":>9}{"lost":>6}{"of":>4}'
        f'{"recomputed":>12}{"gap s, median":>15}{"gap s, most":>13}\n'
    )
    for copies in COPIES:
        for notice_s in NOTICES_S:
            result = asyncio.run(measure(copies, notice_s))
            gaps = sorted(result.longest_gaps_s) or [0]
            sys.stdout.write(
                f'{copies:<12}{notice_s:>9.0f}{result.lost:>6}'
                f'{_STREAMS + _BUNDLES:>4}{result.recomputed_tokens:>12}'
                f'{gaps[len(gaps) // 2]:>15.2f}{gaps[-1]:>13.2f}\n'
            )
            sys.stdout.flush()


if __name__ == '__main__':
    main()
