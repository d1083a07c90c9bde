"""Which node reads the store next, and how soon a rate is measured."""

import pytest

from mallowspindle.policies.polling import polling_delay_s
from mallowspindle.policies.rates import RateMeter
from mallowspindle.tests.clock import FakeClock

# Every node must know of a leaving server within this time.
DRAIN_BOUND_S = 2
# Time in which records reach a peer, with a margin for slow nodes.
REPORT_DELAY_S = 0.2
# Interval at which nodes check whether they should read.
POLL_CHECK_INTERVAL_S = 0.05


def test_ranks_wait_for_records_of_previous_rank() -> None:
    delays = [polling_delay_s(0.5, rank) for rank in range(3)]
    assert delays == sorted(delays)
    assert delays[1] > delays[0] + REPORT_DELAY_S


@pytest.mark.parametrize('rank', [1, 5, 76])
def test_every_rank_reads_within_drain_bound(rank: int) -> None:
    assert polling_delay_s(0.5, rank) < DRAIN_BOUND_S * 0.75
    assert polling_delay_s(0.5, rank, 77) < DRAIN_BOUND_S * 0.75


def test_reads_of_last_ranks_are_spread() -> None:
    delays = [polling_delay_s(0.5, rank, 77) for rank in range(77)]
    assert delays == sorted(delays)
    last = [
        delay for delay in delays if delays[-1] - delay < POLL_CHECK_INTERVAL_S
    ]
    assert len(last) <= 77 / 4


def test_rate_is_measured_soon_after_first_amount() -> None:
    clock = FakeClock()
    meter = RateMeter(6, clock)
    for _ in range(20):
        meter.note(1)
        clock.advance(0.1)
    assert meter.rate_per_s() == pytest.approx(10, rel=0.1)
    clock.advance(10)
    assert not meter.rate_per_s()
