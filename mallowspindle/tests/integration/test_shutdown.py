"""Planned stops are graceful: no request cut, none doubled."""

import asyncio
import signal
from itertools import count

from mallowspindle.bench.caller import bearer, chat_body, chat_to_end
from mallowspindle.bench.venture import Venture, token_of

TOKENS = 500


async def test_rolling_restart_under_load(small_venture: Venture) -> None:
    load = _Load(small_venture)
    workers = [asyncio.create_task(load.chat_forever()) for _ in range(4)]
    workers += [asyncio.create_task(load.file_forever()) for _ in range(4)]
    await asyncio.sleep(0.5)
    for number, zone in enumerate('abc', 1):
        fresh = f'entry-{number + 3}'
        await small_venture.start_node(fresh, zone)
        await small_venture.wait_ready(fresh)
        load.nodes.append(fresh)
        old = f'entry-{number}'
        load.nodes.remove(old)
        small_venture.process(old).send_signal(signal.SIGTERM)
        assert await small_venture.process(old).wait() == 0
    load.stopped = True
    await asyncio.gather(*workers)
    assert load.answers >= 8
    assert load.filed
    assert await _takeovers(small_venture, load.nodes) == 0
    runs = await small_venture.runs('claims-1')
    assert sorted(run['key'] for run in runs) == sorted(load.filed)


async def _takeovers(venture: Venture, nodes: list[str]) -> float:
    """Handed-over requests are none of them taken over after a loss."""
    await asyncio.sleep(3)
    total = 0.0
    for name in nodes:
        url = f'{venture.process(name).url}/metrics'
        async with venture.session.get(url) as response:
            lines = (await response.text()).splitlines()
        total += sum(
            float(line.split()[-1])
            for line in lines
            if line.startswith('request_takeovers_total')
        )
    return total


class _Load:
    """Callers that obey refusals and go on where they are told."""

    def __init__(self, venture: Venture) -> None:
        self.nodes = ['entry-1', 'entry-2', 'entry-3']
        self.stopped = False
        self.answers = 0
        self.filed: list[str] = []
        self._venture = venture
        self._numbers = count()

    async def chat_forever(self) -> None:
        while not self.stopped:
            answer = await chat_to_end(
                self._venture.session,
                self._urls(),
                token_of('farm'),
                chat_body('a letter', TOKENS),
            )
            assert answer.done, answer.error
            assert len(answer.tokens) == TOKENS
            assert answer.continuations == 0
            self.answers += 1

    async def file_forever(self) -> None:
        while not self.stopped:
            key = f'claim {next(self._numbers)}'
            while await self._file(key) != 200:
                await asyncio.sleep(0.1)
            self.filed.append(key)

    def _urls(self) -> list[str]:
        turn = next(self._numbers) % len(self.nodes)
        names = self.nodes[turn:] + self.nodes[:turn]
        return [self._venture.process(name).url for name in names]

    async def _file(self, key: str) -> int:
        """File once; only a refusal as not run may be tried again."""
        headers = {**bearer(token_of('haulier')), 'Idempotency-Key': key}
        url = f'{self._urls()[0]}/v1/services/claims/submit'
        async with self._venture.session.post(
            url, json={}, headers=headers
        ) as response:
            assert response.status in {200, 503}, await response.text()
            return response.status
