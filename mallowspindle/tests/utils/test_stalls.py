"""How long what is read may have waited."""

import pytest

from mallowspindle.tests.clock import FakeClock
from mallowspindle.utils.stalls import StallWatch


def _watch() -> tuple[StallWatch, FakeClock]:
    clock = FakeClock()
    stalls = StallWatch(clock)
    for _ in range(5):
        clock.advance(0.2)
        stalls.tick()
    return stalls, clock


def test_nothing_has_waited_while_the_loop_runs() -> None:
    stalls, clock = _watch()
    assert stalls.possible_delay_s == 0
    clock.advance(0.3)
    assert stalls.possible_delay_s == 0


@pytest.mark.parametrize('ticked', [True, False])
def test_what_is_read_after_a_pause_may_have_waited_so_long(
    ticked: bool,
) -> None:
    """The tick may come before or after what has waited."""
    stalls, clock = _watch()
    clock.advance(4)
    if ticked:
        stalls.tick()
    assert stalls.possible_delay_s == 4
    stalls.tick()
    clock.advance(0.2)
    stalls.tick()
    assert stalls.possible_delay_s == 0
