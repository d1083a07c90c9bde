"""How long requests may run during a drain."""

from mallowspindle.proxy.service import request_drain_time_s

GRACE_S = 8.0


def test_drain_leaves_time_for_shutdown() -> None:
    """Guards against a process that outlives its grace in a restart."""
    assert GRACE_S - request_drain_time_s(GRACE_S) >= GRACE_S / 12


def test_requests_may_run_into_last_sixth_of_drain() -> None:
    assert request_drain_time_s(GRACE_S) > GRACE_S * 5 / 6


def test_drain_without_time_ends_immediately() -> None:
    assert request_drain_time_s(0) == 0
