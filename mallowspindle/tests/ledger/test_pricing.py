"""Ledger entries depend only on the data in a request's copy."""

from mallowspindle.attempts.request import (
    AttemptInfo,
    CostSegment,
    GenerationRequest,
    Progress,
    RequestKind,
)
from mallowspindle.ledger.pricing import entries_of_request

SHARES = {'north': '60', 'south': '40'}
REQUEST = GenerationRequest(
    'req-1', 'o', 'v/p/o', 'letters', RequestKind.CHAT, {}, 10, 0, 0
)


def _attempt(name: str, offset: int, *segment_starts: int) -> AttemptInfo:
    return AttemptInfo(
        attempt_id=name,
        vm_id='vm',
        address='vm:1',
        offset=offset,
        price_micro_per_hour=3_600_000_000,
        prefill_tokens_per_s=1000,
        recompute=offset > 0,
        prompt_tokens=50,
        cached_tokens=20,
        prompt_shares=SHARES,
        segments=[
            CostSegment(first, first, SHARES) for first in segment_starts
        ],
    )


def test_each_token_is_counted_once() -> None:
    progress = Progress(
        list('abcdefghij'), [_attempt('one', 0, 0, 3), _attempt('two', 6, 6)]
    )
    entries = entries_of_request(REQUEST, progress)
    tokens = [entry.tokens for entry in entries if entry.kind == 'tokens']
    assert tokens == [3, 3, 4]
    assert [entry.kind for entry in entries].count('recompute') == 1
    assert all(
        sum(entry.parts.values()) == entry.amount_micro for entry in entries
    )


def test_entries_are_deterministic() -> None:
    progress = Progress(list('abcd'), [_attempt('one', 0, 0)])
    first = entries_of_request(REQUEST, progress)
    second = entries_of_request(REQUEST, progress)
    assert [(entry.entry_id, entry.amount_micro) for entry in first] == [
        (entry.entry_id, entry.amount_micro) for entry in second
    ]


def test_request_without_attempts_costs_nothing() -> None:
    assert entries_of_request(REQUEST, Progress()) == []
