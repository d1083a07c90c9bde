"""Forecasts of the use of a quota, and the room that they leave."""

import pytest

from mallowspindle.policies.quota_forecast import (
    KnownNodes,
    LostUse,
    QuotaRoom,
    ToleratedTerms,
    UseForecast,
)

_TERMS = ToleratedTerms(
    rate_per_s=1000, burst=500, window_s=8, tolerance=2500, report_age_s=0.7
)
_IDLE = UseForecast((0, 0, 0), 0, 0)
_LONG_UPTIME_S = 100.0


def _room(
    own: UseForecast, peers: UseForecast, uptimes_s: tuple[float, ...]
) -> QuotaRoom:
    return QuotaRoom.of(
        _TERMS,
        own,
        peers,
        (0, 0, 0),
        reporting_fraction=1,
        uptimes_s=uptimes_s,
        resumes_stream=True,
    )


def test_limits_leave_the_reserve_to_errors() -> None:
    assert _TERMS.granted == pytest.approx(11_000)
    assert _TERMS.limits == pytest.approx((4_750, 6_750, 10_000))


@pytest.mark.parametrize('uptime_s', [0, 1, 2.9, 3.1, 4.9, 5.1, 8])
def test_restarted_nodes_stay_within_what_is_granted(uptime_s: float) -> None:
    """Guards against passing the bound whenever all nodes are killed."""
    before = next(
        limit
        for span_s, limit in zip(
            (0, *_TERMS.spans_s), (0, *_TERMS.limits), strict=True
        )
        if span_s >= 8 - uptime_s
    )
    usable = _TERMS.limits[-1] * _TERMS.usable_fraction(uptime_s)
    assert before + usable <= _TERMS.granted


def test_use_that_leaves_a_span_is_not_counted() -> None:
    forecast = UseForecast.of_peers(
        (3000, 5000, 8000), (1000, 1000, 1000), 1000, 1000, 3, 0.7
    )
    assert forecast.used == pytest.approx((3000, 5000, 8000))


def test_a_surge_of_peers_is_taken_to_go_on() -> None:
    forecast = UseForecast.of_peers(
        (3000, 3000, 3000), (0, 0, 0), 3000, 3000, 3, 0.5
    )
    assert forecast.used == pytest.approx((4500, 4500, 4500))


def test_demand_beyond_the_room_is_admitted_in_proportion() -> None:
    """Guards against all nodes taking the same room at once."""
    peers = UseForecast((3000, 5000, 9_300), 1000, 5000)
    own = UseForecast((0, 0, 0), 0, 1000)
    room = _room(own, peers, (_LONG_UPTIME_S,))
    assert room.probability == pytest.approx(1700 / 6000)
    assert room.admits(700, room.probability - 0.01)
    assert not room.admits(700, room.probability)
    assert not room.admits(701, 0)


def test_work_larger_than_the_short_spans_is_admitted_if_alone() -> None:
    own = UseForecast((0, 0, 0), 0, 1000)
    assert _room(own, _IDLE, (_LONG_UPTIME_S,)).admits(9000, 0.5)
    assert not _room(
        own, UseForecast((1, 1, 1), 0, 0), (_LONG_UPTIME_S,)
    ).admits(9000, 0.5)


def test_use_of_a_silent_peer_stays_until_it_leaves_the_window() -> None:
    """Guards against a busy node that is cut off and forgotten."""
    lost = LostUse((3, 5, 8))
    lost.observe(KnownNodes(7, 0), (300, 500, 800), 0)
    lost.observe(KnownNodes(6, 0), (0, 0, 0), 0)
    assert lost.by_span(0) == pytest.approx([300, 500, 800])
    assert lost.by_span(4) == pytest.approx([0, 100, 400])


def test_use_of_a_peer_that_is_heard_again_is_counted_once() -> None:
    lost = LostUse((3, 5, 8))
    lost.observe(KnownNodes(7, 0), (300, 500, 800), 0)
    lost.observe(KnownNodes(6, 0), (0, 0, 0), 0)
    lost.observe(KnownNodes(7, 0), (300, 500, 800), 0)
    assert lost.by_span(0) == pytest.approx([0, 0, 0])
