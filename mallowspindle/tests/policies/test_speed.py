"""The pace of servers, and the choice among uneven ones."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from mallowspindle.policies.placement import (
    Candidate,
    Placement,
    choose_server,
)
from mallowspindle.policies.speed import (
    NOTHING,
    PaceMeter,
    Taken,
    bounded_time_s,
    learnt_pace,
    mean_pace,
    present_slowdown,
    turns_of,
)

IDLE = Candidate('idle', 'a', 4, 0, 0, 0, pace=0.06)
PLAIN = Placement('a', 0, 0, plain=True)


def test_pace_of_unheard_server_is_that_of_its_service() -> None:
    """Guards against guesses for a server of which nothing is known."""
    mean = mean_pace([Taken(6, 100), Taken(12, 100)], default=1)
    assert mean == pytest.approx(0.09)
    assert learnt_pace(NOTHING, mean, 20) == pytest.approx(0.09)


def test_service_without_responses_has_default_pace() -> None:
    assert mean_pace([NOTHING], default=0.1) == pytest.approx(0.1)


def test_pace_is_never_zero() -> None:
    """Guards against a division by the pace of servers that answer at once."""
    mean = mean_pace([Taken(0, 100)], default=0.1)
    assert mean > 0
    assert learnt_pace(Taken(0, 100), mean, 20) > 0


def test_one_odd_response_hardly_changes_the_pace() -> None:
    assert learnt_pace(Taken(0.5, 1), 0.06, 20) * 1000 < 90


def test_many_responses_outweigh_the_mean() -> None:
    assert learnt_pace(Taken(96, 1000), 0.06, 20) == pytest.approx(0.096, 0.02)


def test_past_responses_fade() -> None:
    """Guards against a server that is avoided for its past for ever."""
    own = PaceMeter()
    own.note(3, 20, 0)
    assert own.sums(10) == pytest.approx((1.5, 10))
    assert learnt_pace(own.sums(100), 0.06, 20) == pytest.approx(0.06, 0.01)


def test_response_that_took_very_long_counts_bounded() -> None:
    assert bounded_time_s(100, 0.1) == pytest.approx(0.8)


@pytest.mark.parametrize(
    ('age_s', 'slowdown'), [(0, 2.5), (1, 1.68), (20, 1.2)]
)
def test_slowdown_tends_to_mean_with_age(age_s: float, slowdown: float) -> None:
    """Guards against decisions by a state that has changed since."""
    found = present_slowdown(2.5, age_s, 1.2)
    assert found == pytest.approx(slowdown, 0.01)


@pytest.mark.parametrize(
    ('ahead', 'turns'), [(0, 1), (3, 1), (4, 1.25), (11, 3)]
)
def test_requests_beyond_the_slots_wait(ahead: int, turns: float) -> None:
    assert turns_of(ahead, 4) == pytest.approx(turns)


def test_busy_fast_server_is_better_than_idle_slow_one() -> None:
    slow = replace(IDLE, server_id='slow', pace=0.15)
    busy = replace(IDLE, server_id='busy', running=6)
    chosen = choose_server([slow, busy], PLAIN, 'plain_pace')
    assert chosen.server_id == 'busy'


def test_long_queue_at_fast_server_is_worse_than_idle_slow_one() -> None:
    slow = replace(IDLE, server_id='slow', pace=0.15)
    busy = replace(IDLE, server_id='busy', running=12)
    chosen = choose_server([slow, busy], PLAIN, 'plain_pace')
    assert chosen.server_id == 'slow'


def test_unreported_requests_spread_by_speed() -> None:
    """Guards against all nodes choosing the same fast server at a moment."""
    random.seed(1)
    servers = [
        replace(IDLE, server_id='fast-1'),
        replace(IDLE, server_id='fast-2'),
        replace(IDLE, server_id='slow', pace=0.15),
    ]
    placement = replace(PLAIN, unreported_s=30)
    chosen = Counter(
        choose_server(servers, placement, 'plain_pace').server_id
        for _ in range(600)
    )
    assert chosen['fast-1'] == pytest.approx(chosen['fast-2'], rel=0.3)
    assert 0 < chosen['slow'] < chosen['fast-1'] / 2


def test_prompt_goes_to_faster_engine() -> None:
    prompt = Placement('a', 12_000, 0)
    slow = replace(IDLE, server_id='slow', slots=16, pace=1.6)
    fast = replace(IDLE, server_id='fast', slots=16, pace=0.6, backlog_s=0.05)
    chosen = choose_server([slow, fast], prompt, 'prefill_pace')
    assert chosen.server_id == 'fast'
