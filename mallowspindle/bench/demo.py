"""``make demo``: a small venture on loopback with one reclaimed entry VM."""

import asyncio
import sys
import tempfile
from pathlib import Path

from mallowspindle.bench.caller import (
    Answer,
    bearer,
    chat_body,
    continue_chat,
    start_chat,
)
from mallowspindle.bench.venture import Venture, token_of
from mallowspindle.ledger.report import read_report

_ORGANISATION = 'haulier'
_LONG_ANSWER_TOKENS = 500
_NOTICE_S = 3.0
_EFFECTS_STREAMS = 8


def print_line(text: str) -> None:
    """Print one line and flush the output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def main() -> int:
    """Run the demo; return 0 if the reclaimed VM's stream was complete."""
    with tempfile.TemporaryDirectory() as folder:
        async with Venture(Path(folder)) as venture:
            await _start(venture)
            await _stream_short_answer(venture)
            await _submit_claim(venture)
            await _run_bundle(venture)
            complete = await _reclaim_entry_vm(venture)
            await _print_costs(venture)
    print_line('done' if complete else 'failed: the answer is not whole')
    return 0 if complete else 1


async def _start(venture: Venture) -> None:
    print_line(
        'starting 2 zones: the platform, 2 engines, 1 filing service ...'
    )
    await venture.start_platform()
    await venture.publish_defaults(_ORGANISATION)
    await asyncio.gather(
        venture.start_engine('engine-1', 'a', '--seed=1'),
        venture.start_engine('engine-2', 'b', '--seed=2'),
        venture.start_plain('claims-1', 'a'),
    )
    await venture.start_nodes({'entry-1': 'a', 'entry-2': 'b', 'entry-3': 'b'})
    listed = await venture.get(
        f'{venture.process("entry-1").url}/v1/addresses?zone=a'
    )
    print_line(
        f'callers in zone a are told to use {", ".join(listed["addresses"])}'
    )


async def _stream_short_answer(venture: Venture) -> None:
    url = venture.process('entry-1').url
    body = chat_body('Which receipts does this bundle lack?', 20)
    async for answer in start_chat(
        venture.session, url, token_of(_ORGANISATION), body
    ):
        if answer.error:
            print_line(f'chat failed: {answer.error}')
    print_line(f'streamed answer of {len(answer.tokens)} tokens: {answer.text}')


async def _submit_claim(venture: Venture) -> None:
    headers = {
        **bearer(token_of(_ORGANISATION)),
        'Idempotency-Key': 'claim-2026-0001',
    }
    for name in ('entry-1', 'entry-2'):
        url = f'{venture.process(name).url}/v1/services/claims/submit'
        async with venture.session.post(
            url, json={'claim': '2026-0001'}, headers=headers
        ) as response:
            print_line(f'claim sent to {name}: {await response.text()}')
    runs = await venture.runs('claims-1')
    print_line(f'the filing service ran it {len(runs)} time')


async def _run_bundle(venture: Venture) -> None:
    token = token_of(_ORGANISATION)
    async with venture.session.post(
        f'{venture.process("entry-1").url}/v1/bundles',
        json=chat_body('A long bundle of receipts. ' * 50, 60),
        headers=bearer(token),
    ) as response:
        location = response.headers['Location']
        print_line(f'bundle accepted with {response.status}: {location}')
    url = f'{venture.process("entry-2").url}{location}'

    async def is_done() -> bool:
        return (await venture.get(url, token))['status'] == 'done'

    await venture.wait_until(is_done)
    status = await venture.get(url, token)
    content = status['answer']['choices'][0]['message']['content']
    print_line(f'its answer of {len(content.split())} tokens, read at entry-2')


async def _reclaim_entry_vm(venture: Venture) -> bool:
    """Reclaim an entry VM during a stream; return whether it completed."""
    token = token_of(_ORGANISATION)
    body = chat_body(
        'Draft the whole claim, please. ' * 40, _LONG_ANSWER_TOKENS
    )
    url = venture.process('entry-1').url
    answer = Answer()
    async for answer in start_chat(venture.session, url, token, body):
        if len(answer.tokens) == 1:
            print_line(
                f'entry-1 is streaming and gets a notice of {_NOTICE_S:.0f} s'
            )
            await venture.reclaim('entry-1', _NOTICE_S)
    print_line(
        f'the stream stopped after {len(answer.tokens)} tokens: {answer.error}'
    )
    code = await venture.process('entry-1').wait()
    print_line(f'entry-1 has ended with exit code {code}')
    if answer.continue_at:
        target = answer.continue_at[0].split('/v1/')[0]
        print_line(f'the caller goes on at {target}')
        async for state in continue_chat(
            venture.session, target, token, answer
        ):
            if state.error:
                print_line(f'not continued: {state.error}')
    print_line(
        f'the answer has {len(answer.tokens)} tokens of {_LONG_ANSWER_TOKENS}'
    )
    return answer.done and len(answer.tokens) == _LONG_ANSWER_TOKENS


async def _print_costs(venture: Venture) -> None:
    async def is_written() -> bool:
        report = await read_report(venture.log_client, _EFFECTS_STREAMS)
        return len(report.by_request()) >= 4

    await venture.wait_until(is_written)
    report = await read_report(venture.log_client, _EFFECTS_STREAMS)
    print_line(f'cost: {report.total_micro()} millionths of the currency')
    for partner, amount in sorted(report.by_partner().items()):
        print_line(f'  {partner} owes {amount}')
    print_line(f'recomputed tokens: {report.recomputed_tokens()}')


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
