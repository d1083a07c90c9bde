"""Tests of requests while the time of day of a VM jumps."""

import time
from unittest.mock import patch

import pytest

from mallowspindle.attempts.request import Ending, OwnedRequest, Progress
from mallowspindle.tests.attempts.test_engine import REQUEST


@pytest.mark.parametrize('jump_s', [-3600, 3600])
def test_ended_requests_are_kept_through_jumps_of_time(jump_s: float) -> None:
    """Guards against results that are dropped early or kept too long."""
    owned = OwnedRequest(REQUEST, 0, Progress())
    owned.begin()
    with patch('time.time', lambda: 1e9 + jump_s):
        owned.end(Ending())
    assert abs(owned.ended_at_s - time.monotonic()) <= 1
