"""Planned shutdowns interrupt no request and run none twice."""

import asyncio
import signal
from itertools import count

from mallowspindle.bench.caller import bearer, chat_body, chat_to_end
from mallowspindle.bench.venture import Venture, token_of

TOKENS = 500


async def test_rolling_restart_under_load(small_venture: Venture) -> None:
    load = _Load(small_venture)
    workers = [asyncio.create_task(load.run_chats()) for _ in range(4)]
    workers += [asyncio.create_task(load.submit_claims()) for _ in range(4)]
    await asyncio.sleep(0.5)
    for number, zone in enumerate('abc', 1):
        new_node = f'entry-{number + 3}'
        await small_venture.start_node(new_node, zone)
        await small_venture.wait_ready(new_node)
        load.nodes.append(new_node)
        old_node = f'entry-{number}'
        load.nodes.remove(old_node)
        small_venture.process(old_node).send_signal(signal.SIGTERM)
        assert await small_venture.process(old_node).wait() == 0
    load.stopped = True
    await asyncio.gather(*workers)
    assert load.answer_count >= 8
    assert load.submitted_keys
    assert await _count_takeovers(small_venture, load.nodes) == 0
    runs = await small_venture.runs('claims-1')
    assert sorted(run['key'] for run in runs) == sorted(load.submitted_keys)


async def _count_takeovers(venture: Venture, nodes: list[str]) -> float:
    """Count takeovers after losses; handed-over requests cause none."""
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
    """Callers that retry refusals and continue at the given addresses."""

    def __init__(self, venture: Venture) -> None:
        self.nodes = ['entry-1', 'entry-2', 'entry-3']
        self.stopped = False
        self.answer_count = 0
        self.submitted_keys: list[str] = []
        self._venture = venture
        self._numbers = count()

    async def run_chats(self) -> None:
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
            self.answer_count += 1

    async def submit_claims(self) -> None:
        while not self.stopped:
            key = f'claim {next(self._numbers)}'
            while await self._submit(key) != 200:
                await asyncio.sleep(0.1)
            self.submitted_keys.append(key)

    def _urls(self) -> list[str]:
        first = next(self._numbers) % len(self.nodes)
        names = self.nodes[first:] + self.nodes[:first]
        return [self._venture.process(name).url for name in names]

    async def _submit(self, key: str) -> int:
        """Submit once; a 503 means that the call did not run."""
        headers = {**bearer(token_of('haulier')), 'Idempotency-Key': key}
        url = f'{self._urls()[0]}/v1/services/claims/submit'
        async with self._venture.session.post(
            url, json={}, headers=headers
        ) as response:
            assert response.status in {200, 503}, await response.text()
            return response.status
