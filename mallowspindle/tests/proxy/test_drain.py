"""How long a drain lets requests go on."""

from mallowspindle.proxy.service import finishing_time_s

GRACE_S = 8.0


def test_a_drain_leaves_time_to_end_the_process() -> None:
    """Replays a rolling restart: one process outlived its grace."""
    assert GRACE_S - finishing_time_s(GRACE_S) >= GRACE_S / 12


def test_requests_go_on_into_the_last_sixth() -> None:
    assert finishing_time_s(GRACE_S) > GRACE_S * 5 / 6


def test_a_drain_without_time_ends_at_once() -> None:
    assert finishing_time_s(0) == 0
