"""When a request is sent to a second server, and how often."""

import random

import pytest

from mallowspindle.policies.hedging import (
    HedgeShare,
    RouteTimes,
    is_short_of_capacity,
)
from mallowspindle.tests.clock import FakeClock


def _times(clock: FakeClock, **counts: int) -> RouteTimes:
    """Return so many answers of each time, as in ``ms80=9``."""
    times = RouteTimes(clock)
    for name, count in counts.items():
        for _ in range(count):
            times.note(int(name.removeprefix('ms')) / 1000)
    return times


def test_few_answers_tell_no_delay() -> None:
    """Guards against hedges after a chance time of the first answers."""
    assert _times(FakeClock(), ms100=39).usual_s() is None


def test_delay_is_a_high_percentile() -> None:
    times = _times(FakeClock(), ms80=96, ms1300=4)
    assert times.usual_s() == pytest.approx(0.08, rel=0.02)
    times = _times(FakeClock(), ms80=90, ms1300=10)
    assert times.usual_s() == pytest.approx(1.3, rel=0.02)


def test_delay_follows_the_recent_answers() -> None:
    """Guards against a delay from an earlier, slower load."""
    clock = FakeClock()
    times = _times(clock, ms1000=100)
    assert times.usual_s() == pytest.approx(1, rel=0.02)
    for _ in range(3):
        clock.advance(16)
        for _ in range(100):
            times.note(0.1)
    assert times.usual_s() == pytest.approx(0.1, rel=0.02)


@pytest.mark.parametrize('taken_s', [0, -1, 1e9])
def test_odd_times_are_bounded(taken_s: float) -> None:
    times = RouteTimes(FakeClock())
    for _ in range(100):
        times.note(taken_s)
    usual_s = times.usual_s()
    assert usual_s is not None
    assert 0 < usual_s <= 61


@pytest.mark.parametrize('seed', range(5))
def test_hedges_of_many_nodes_keep_the_share(seed: int) -> None:
    """Guards against a share that each of 60 nodes exceeds by a little.

    All servers are slow, so that every request would be hedged.
    """
    rng = random.Random(seed)
    nodes = [HedgeShare(0.05) for _ in range(60)]
    requests = 6000
    hedges = 0
    for _ in range(requests):
        node = rng.choice(nodes)
        node.note_request()
        if node.has_room():
            node.spend()
            hedges += 1
    assert requests * 0.03 < hedges <= requests * 0.05


def test_quiet_time_saves_up_few_hedges() -> None:
    """Guards against a burst of hedges at the begin of a mass slowdown."""
    share = HedgeShare(0.05)
    for _ in range(10_000):
        share.note_request()
    hedges = 0
    while share.has_room():
        share.spend()
        hedges += 1
    assert hedges == 3


def test_share_of_zero_allows_no_hedge() -> None:
    share = HedgeShare(0)
    for _ in range(1000):
        share.note_request()
    assert not share.has_room()


def test_service_whose_requests_wait_is_short_of_capacity() -> None:
    assert is_short_of_capacity(0.03, 0.218)
    assert not is_short_of_capacity(0.01, 0.218)
