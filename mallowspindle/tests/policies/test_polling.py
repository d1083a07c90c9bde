"""Who reads the store, and how fast rates are known."""

import pytest

from mallowspindle.policies.polling import polling_delay_s
from mallowspindle.policies.rates import RateMeter
from mallowspindle.tests.clock import FakeClock

# A leaving server must be known everywhere within this time.
DRAIN_BOUND_S = 2
# Time in which news reaches a peer, with a margin for slow nodes.
TELLING_S = 0.2
# Nodes look this often whether they should read.
TICK_S = 0.05


def test_each_node_leaves_the_one_before_time_to_tell() -> None:
    delays = [polling_delay_s(0.5, rank) for rank in range(3)]
    assert delays == sorted(delays)
    assert delays[1] > delays[0] + TELLING_S


@pytest.mark.parametrize('rank', [1, 5, 76])
def test_every_node_reads_in_time_if_it_hears_nothing(rank: int) -> None:
    assert polling_delay_s(0.5, rank) < DRAIN_BOUND_S * 0.75
    assert polling_delay_s(0.5, rank, 77) < DRAIN_BOUND_S * 0.75


def test_the_last_nodes_do_not_read_together() -> None:
    delays = [polling_delay_s(0.5, rank, 77) for rank in range(77)]
    assert delays == sorted(delays)
    last = [delay for delay in delays if delays[-1] - delay < TICK_S]
    assert len(last) <= 77 / 4


def test_a_rate_is_known_soon_after_its_begin() -> None:
    clock = FakeClock()
    meter = RateMeter(6, clock)
    for _ in range(20):
        meter.note(1)
        clock.advance(0.1)
    assert meter.rate_per_s() == pytest.approx(10, rel=0.1)
    clock.advance(10)
    assert not meter.rate_per_s()
