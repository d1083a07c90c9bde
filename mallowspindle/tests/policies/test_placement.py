"""Placement of requests by predicted time, and of copies of runs."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from mallowspindle.policies.placement import (
    Candidate,
    Placement,
    choose_server,
)

IDLE = Candidate('idle', 'a', 64, 0, 0, 0)
LONG = Placement('a', 12_000, 5_400)


def test_cached_prefix_outweighs_short_backlog() -> None:
    cached = replace(IDLE, server_id='cached', cached_tokens=5_400)
    waiting = replace(cached, backlog_s=0.02)
    assert choose_server([IDLE, waiting], LONG).server_id == 'cached'


def test_long_backlog_outweighs_cached_prefix() -> None:
    """Guards against overloading the only server that caches a hot prefix."""
    cached = replace(
        IDLE, server_id='cached', cached_tokens=5_400, backlog_s=0.5
    )
    assert choose_server([IDLE, cached], LONG).server_id == 'idle'


def test_owner_gets_uncached_shared_prefix() -> None:
    owner = replace(IDLE, server_id='owner', is_owner=True)
    assert choose_server([IDLE, owner], LONG).server_id == 'owner'


@pytest.mark.parametrize(
    'worse',
    [
        replace(IDLE, server_id='full', full=True),
        replace(IDLE, server_id='cold', cold=True),
    ],
)
def test_penalised_server_is_chosen_last(worse: Candidate) -> None:
    busy = replace(IDLE, server_id='busy', backlog_s=0.3)
    assert choose_server([worse, busy], LONG).server_id == 'busy'


def test_copy_is_kept_in_another_zone() -> None:
    """Guards against losing a run and its copy with the servers of a zone."""
    same_zone = replace(IDLE, server_id='beside')
    other_zone = replace(IDLE, server_id='apart', zone='b', running=30)
    chosen = choose_server([same_zone, other_zone], LONG, 'copy_keeper')
    assert chosen.server_id == 'apart'


def test_copy_is_kept_by_least_loaded_server() -> None:
    busy = replace(IDLE, server_id='busy', zone='b', running=30)
    quiet = replace(IDLE, server_id='quiet', zone='c', running=3)
    chosen = choose_server([busy, quiet], LONG, 'copy_keeper')
    assert chosen.server_id == 'quiet'


def _servers(count: int) -> list[Candidate]:
    return [
        replace(IDLE, server_id=f'i-{number}', backlog_s=number * 0.01)
        for number in range(count)
    ]


def test_unreported_work_spreads_choice() -> None:
    """Guards against many nodes choosing one server by the same stale sums."""
    random.seed(1)
    placement = replace(LONG, unreported_s=4)
    chosen = Counter(
        choose_server(_servers(20), placement).server_id for _ in range(400)
    )
    assert len(chosen) == 20
    assert max(chosen.values()) < 400 / 5
    assert chosen['i-0'] > chosen['i-19']


def test_servers_above_fill_level_are_not_drawn() -> None:
    random.seed(1)
    placement = replace(LONG, unreported_s=0.12)
    chosen = {
        choose_server(_servers(20), placement).server_id for _ in range(400)
    }
    assert chosen == {'i-0', 'i-1', 'i-2', 'i-3', 'i-4'}


def test_cheapest_server_is_chosen_without_unreported_work() -> None:
    chosen = {choose_server(_servers(20), LONG).server_id for _ in range(50)}
    assert chosen == {'i-0'}


def test_owner_keeps_shared_prefix_despite_unreported_work() -> None:
    owner = replace(IDLE, server_id='owner', is_owner=True)
    placement = replace(LONG, unreported_s=2)
    chosen = {
        choose_server([IDLE, owner, IDLE], placement).server_id
        for _ in range(50)
    }
    assert chosen == {'owner'}
