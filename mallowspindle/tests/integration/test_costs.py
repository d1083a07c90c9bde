"""Every cost is charged to the partners under the split in force."""

import asyncio
import signal
from decimal import Decimal

from mallowspindle.bench.caller import Answer, bearer, chat_body, chat_to_end
from mallowspindle.bench.venture import ROOT_DOCUMENT, Venture, token_of
from mallowspindle.ledger.records import LedgerEntry
from mallowspindle.ledger.report import LedgerReport, read_report
from mallowspindle.ledger.splitting import split_amount

EFFECTS_STREAMS = 8
TOKENS = 200
NODES = ('entry-1', 'entry-2', 'entry-3')
OTHER_SPLIT_DOCUMENT = ROOT_DOCUMENT.replace('= 60', '= 10').replace(
    '= 40', '= 90'
)
SHARES = {
    'old': {'north': Decimal(60), 'south': Decimal(40)},
    'new': {'north': Decimal(10), 'south': Decimal(90)},
}


async def test_split_changed_in_mid_stream(small_venture: Venture) -> None:
    answer = Answer()
    caller = _start_caller(small_venture, answer)
    await _wait_for_tokens(small_venture, answer, 30)
    old = small_venture.tree.path_version('venture')
    new = (await small_venture.publish('venture', OTHER_SPLIT_DOCUMENT)).version
    await caller
    report = await _wait_for_request(small_venture, answer.request_id)
    entries = report.explain(answer.request_id)
    tokens = [entry for entry in entries if entry.kind == 'tokens']
    assert {entry.version for entry in tokens} == {old, new}
    assert sum(entry.tokens for entry in tokens) == TOKENS
    for entry in entries:
        shares = SHARES['old' if entry.version == old else 'new']
        assert entry.parts == split_amount(entry.amount_micro, shares)


async def test_owner_lost_during_log_outage(small_venture: Venture) -> None:
    """Kill the owner while the log is down and after the split has changed."""
    answer = Answer()
    caller = _start_caller(small_venture, answer)
    await _wait_for_tokens(small_venture, answer, 30)
    changed = await small_venture.publish('venture', OTHER_SPLIT_DOCUMENT)
    await small_venture.wait_in_force('entry-1', changed.version)
    await _wait_for_tokens(small_venture, answer, len(answer.tokens) + 20)
    await small_venture.set_faults('log', down=True)
    small_venture.process('entry-1').send_signal(signal.SIGKILL)
    await caller
    assert len(answer.tokens) == TOKENS
    await small_venture.set_faults('log', down=False, lose_answers=3)
    report = await _wait_for_request(small_venture, answer.request_id)
    entries = report.explain(answer.request_id)
    tokens = [entry for entry in entries if entry.kind == 'tokens']
    assert sum(entry.tokens for entry in tokens) == TOKENS
    assert len({entry.version for entry in tokens}) == 2
    assert all(_parts_add_up(entry) for entry in entries)


async def test_call_cost_is_recorded_once(small_venture: Venture) -> None:
    headers = {**bearer(token_of('haulier')), 'Idempotency-Key': 'one'}
    for url in _urls(small_venture):
        async with small_venture.session.post(
            f'{url}/v1/services/claims/submit', json={}, headers=headers
        ) as response:
            assert response.status == 200
    report = await read_report(small_venture.log_client, EFFECTS_STREAMS)
    (entry,) = report.explain('one')
    assert entry.parts == {'north': 600, 'south': 400}


def _start_caller(venture: Venture, answer: Answer) -> asyncio.Task[Answer]:
    body = chat_body('letter', TOKENS)
    work = chat_to_end(
        venture.session, _urls(venture), token_of('farm'), body, answer
    )
    return asyncio.create_task(work)


async def _wait_for_tokens(
    venture: Venture, answer: Answer, count: int
) -> None:
    async def has_tokens() -> bool:
        return len(answer.tokens) >= count

    await venture.wait_until(has_tokens)


async def _wait_for_request(venture: Venture, request_id: str) -> LedgerReport:
    async def is_recorded() -> bool:
        report = await read_report(venture.log_client, EFFECTS_STREAMS)
        return bool(report.explain(request_id))

    await venture.wait_until(is_recorded)
    return await read_report(venture.log_client, EFFECTS_STREAMS)


def _urls(venture: Venture) -> list[str]:
    return [venture.process(name).url for name in NODES]


def _parts_add_up(entry: LedgerEntry) -> bool:
    return sum(entry.parts.values()) == entry.amount_micro
