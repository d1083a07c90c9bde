"""What a connection has still to send."""

from mallowspindle.peers.backlog import SendBacklog
from mallowspindle.tests.clock import FakeClock


def test_frames_leave_in_order() -> None:
    """Guards against counters that name the wrong kind or age."""
    clock = FakeClock()
    backlog = SendBacklog(clock)
    backlog.add('node-state', 100)
    clock.advance(1)
    backlog.add('venture-state', 300)
    backlog.add('node-state', 50)
    assert backlog.age_s == 1
    backlog.update(unsent_bytes=351)
    assert backlog.bytes_by_kind() == {'node-state': 150, 'venture-state': 300}
    backlog.update(unsent_bytes=350)
    assert backlog.age_s == 0
    assert backlog.bytes_by_kind() == {'node-state': 50, 'venture-state': 300}
    clock.advance(2)
    assert backlog.age_s == 2
    backlog.update(unsent_bytes=0)
    assert not backlog.bytes_by_kind()
    assert backlog.age_s == 0
