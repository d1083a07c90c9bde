"""Calculation of the ledger entries of a request's attempts."""

import time
from decimal import Decimal
from itertools import pairwise

from mallowspindle.attempts.request import (
    AttemptInfo,
    CostSegment,
    GenerationRequest,
    Progress,
)
from mallowspindle.ledger.records import LedgerEntry
from mallowspindle.ledger.splitting import split_amount

_SECONDS_PER_HOUR = 3600
DECODE_TOKENS_PER_S = 800


def entries_of_request(
    request: GenerationRequest, progress: Progress
) -> list[LedgerEntry]:
    """Return the ledger entries of all attempts of an ended request.

    They depend only on the data in the request's copy, so that every owner
    writes the same entries.
    """
    ends = [attempt.offset for attempt in progress.attempts[1:]]
    ends.append(len(progress.tokens))
    return [
        entry
        for attempt, end in zip(progress.attempts, ends, strict=False)
        for entry in _entries_of_attempt(request, attempt, end)
    ]


def _entries_of_attempt(
    request: GenerationRequest, attempt: AttemptInfo, end: int
) -> list[LedgerEntry]:
    bounds = [segment.first for segment in attempt.segments]
    bounds.append(max(end, attempt.offset))
    token_entries = [
        _tokens_entry(request, attempt, segment, until - first)
        for segment, (first, until) in zip(
            attempt.segments, pairwise(bounds), strict=True
        )
    ]
    return [_prompt_entry(request, attempt), *token_entries]


def _prompt_entry(
    request: GenerationRequest, attempt: AttemptInfo
) -> LedgerEntry:
    computed_tokens = max(0, attempt.prompt_tokens - attempt.cached_tokens)
    amount = _cost_micro(
        attempt, computed_tokens / max(1, attempt.prefill_tokens_per_s)
    )
    version = attempt.segments[0].version if attempt.segments else -1
    return LedgerEntry(
        entry_id=f'{attempt.attempt_id}/prompt',
        kind='recompute' if attempt.recompute else 'prompt',
        request_id=request.request_id,
        attempt_id=attempt.attempt_id,
        organisation=request.organisation,
        subject=request.model,
        vm_id=attempt.vm_id,
        version=version,
        tokens=computed_tokens,
        cached_tokens=attempt.cached_tokens,
        amount_micro=amount,
        at_s=time.time(),
        parts=_split_by_partner(amount, attempt.prompt_shares),
    )


def _tokens_entry(
    request: GenerationRequest,
    attempt: AttemptInfo,
    segment: CostSegment,
    tokens: int,
) -> LedgerEntry:
    amount = _cost_micro(attempt, tokens / DECODE_TOKENS_PER_S)
    return LedgerEntry(
        entry_id=f'{attempt.attempt_id}/{segment.first}',
        kind='tokens',
        request_id=request.request_id,
        attempt_id=attempt.attempt_id,
        organisation=request.organisation,
        subject=request.model,
        vm_id=attempt.vm_id,
        version=segment.version,
        tokens=tokens,
        cached_tokens=0,
        amount_micro=amount,
        at_s=time.time(),
        parts=_split_by_partner(amount, segment.shares),
    )


def _cost_micro(attempt: AttemptInfo, busy_s: float) -> int:
    return round(attempt.price_micro_per_hour * busy_s / _SECONDS_PER_HOUR)


def _split_by_partner(amount: int, shares: dict[str, str]) -> dict[str, int]:
    if not shares:
        return {}
    return split_amount(
        amount, {name: Decimal(text) for name, text in shares.items()}
    )
