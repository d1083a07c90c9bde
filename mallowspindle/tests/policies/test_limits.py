"""Which nodes use a limited server, and how often."""

import math

import pytest

from mallowspindle.policies.limits import (
    MAX_COUNT,
    Pace,
    count_senders,
    pace_of_sender,
)

# What the operators tolerate in a window of 4 s.
_WINDOW_S = 4.0


@pytest.mark.parametrize('limit_per_s', [0, 0.5, 1, 3, 7, 10, 33.3, 200, 5000])
def test_limit_holds_if_all_senders_use_their_shares_at_once(
    limit_per_s: float,
) -> None:
    for nodes in range(1, 1000):
        senders = count_senders(limit_per_s, nodes)
        assert 1 <= senders <= nodes
        pace = pace_of_sender(limit_per_s, senders)
        max_in_window = pace.count * math.ceil(_WINDOW_S / pace.span_s)
        assert senders * max_in_window <= 1.5 * _WINDOW_S * limit_per_s + 5


@pytest.mark.parametrize('limit_per_s', [0.5, 1, 7, 200])
@pytest.mark.parametrize('nodes', [1, 8, 77, 410])
def test_paces_of_all_senders_add_up_to_the_limit(
    limit_per_s: float, nodes: int
) -> None:
    senders = count_senders(limit_per_s, nodes)
    pace = pace_of_sender(limit_per_s, senders)
    assert senders * pace.count / pace.span_s == pytest.approx(limit_per_s)
    assert pace.count <= MAX_COUNT


def test_no_node_uses_a_server_if_none_stays() -> None:
    assert count_senders(1, 0) == 0


def test_pace_waits_until_the_oldest_request_leaves_its_span() -> None:
    pace = Pace(2, 3)
    assert pace.wait_s([], 10) == 0
    assert pace.wait_s([9], 10) == 0
    assert pace.wait_s([8, 9], 10) == 1
    assert pace.wait_s([1, 8, 9], 11) == 0
