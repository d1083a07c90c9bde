"""Admission and placement under bursts of long prompts."""

import pytest

from mallowspindle.policies.admission import (
    QueueEstimate,
    refusal_retry_after_s,
)
from mallowspindle.policies.placement import (
    Candidate,
    Placement,
    choose_server,
)
from mallowspindle.policies.prefill import prefill_time_s


def _candidate(name: str, **changes: object) -> Candidate:
    defaults: dict[str, object] = {
        'server_id': name,
        'zone': 'a',
        'slots': 64,
        'running': 0,
        'backlog_s': 0,
        'cached_tokens': 0,
    }
    return Candidate(**{**defaults, **changes})  # type: ignore[arg-type]


def test_request_is_refused_if_backlog_is_too_long() -> None:
    assert not refusal_retry_after_s(QueueEstimate(0.7, 1, 15))
    pause_s = refusal_retry_after_s(QueueEstimate(2.8, 1, 15))
    assert pause_s == pytest.approx(2, abs=0.1)


def test_pause_leaves_time_for_retry() -> None:
    assert refusal_retry_after_s(QueueEstimate(30, 1, 3)) <= 1


def test_admitted_prompts_of_burst_meet_objective() -> None:
    """Guards against late first tokens in a burst of prompts.

    For twenty seconds, prompts arrive at twice the rate that two servers can
    prefill.
    """
    objective_s = 1.0
    free_at_s = {'one': 0.0, 'two': 0.0}
    waits: list[float] = []
    refused = 0
    prefill_s = prefill_time_s(12_000, 0)
    for step in range(int(20 * 4 / prefill_s)):
        now_s = step * prefill_s / 4
        candidates = [
            _candidate(name, backlog_s=max(0, at_s - now_s))
            for name, at_s in free_at_s.items()
        ]
        chosen = choose_server(candidates, Placement('a', 12_000, 0))
        if refusal_retry_after_s(
            QueueEstimate(chosen.backlog_s, objective_s, 15)
        ):
            refused += 1
            continue
        waits.append(chosen.backlog_s)
        start_s = max(now_s, free_at_s[chosen.server_id])
        free_at_s[chosen.server_id] = start_s + prefill_s
    assert max(waits) + prefill_s <= objective_s * 1.1
    # Two servers can prefill half of the prompts. Only about the other half may
    # be refused.
    assert refused <= len(waits) * 1.2


def test_short_request_avoids_server_with_long_prompt() -> None:
    busy = _candidate('busy', backlog_s=prefill_time_s(50_000, 0))
    free = _candidate('free', running=20, zone='b')
    placement = Placement('a', 800, 0)
    assert choose_server([busy, free], placement).server_id == 'free'


def test_shared_prefix_goes_to_caching_server() -> None:
    caching = _candidate('caching', cached_tokens=5000, running=4)
    other = _candidate('other')
    placement = Placement('a', 12_000, 5000)
    assert choose_server([caching, other], placement).server_id == 'caching'


def test_uncached_shared_prefix_goes_to_owner() -> None:
    owner = _candidate('owner', is_owner=True, running=2)
    other = _candidate('other')
    placement = Placement('a', 12_000, 5000)
    assert choose_server([owner, other], placement).server_id == 'owner'


def test_full_and_cold_servers_are_chosen_last() -> None:
    names = [
        choose_server(
            [_candidate('worse', **{penalty: True}), _candidate('better')],
            Placement('a', 100, 0),
        ).server_id
        for penalty in ('full', 'cold')
    ]
    assert names == ['better', 'better']
