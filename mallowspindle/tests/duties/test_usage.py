"""Usage is added up over nodes and their lives."""

from mallowspindle.duties.messages import UsageNews, WindowCounts
from mallowspindle.duties.usage import UsageTable
from mallowspindle.tests.clock import FakeClock
from mallowspindle.usage import UsageCounter


def _state(node: str, incarnation: int, farm: int) -> UsageNews:
    return UsageNews(node, incarnation, usage=[WindowCounts(7, {'farm': farm})])


def test_newer_counts_replace_older_ones_of_the_same_life() -> None:
    table = UsageTable()
    table.learn(_state('one', 1, 3))
    table.learn(_state('one', 1, 5))
    table.learn(_state('two', 1, 2))
    assert table.total(7) == {'farm': 7}


def test_counts_of_a_life_that_ended_remain() -> None:
    table = UsageTable()
    table.learn(_state('one', 1, 3))
    table.learn(_state('one', 2, 1))
    assert table.total(7) == {'farm': 4}


def test_peers_tell_a_restarted_node_what_it_had_counted() -> None:
    """Replays the planned restart of the holder of the duties."""
    peer, restarted = UsageTable(), UsageTable()
    peer.learn(_state('one', 1, 3))
    peer.learn(_state('one', 2, 1))
    told = UsageNews('two', 1, passed_on=peer.passed_on())
    restarted.learn(told)
    restarted.put('one', 2, [WindowCounts(7, {'farm': 2})])
    assert restarted.total(7) == {'farm': 5}


def test_peers_tell_what_a_node_had_counted_that_hangs() -> None:
    """Replays a holder that freezes as its successor has just started."""
    clock = FakeClock()
    peer, started = UsageTable(clock), UsageTable(clock)
    peer.learn(_state('one', 1, 3))
    clock.advance(0.5)
    assert not peer.passed_on()
    clock.advance(2)
    started.learn(UsageNews('two', 1, passed_on=peer.passed_on()))
    assert started.total(7) == {'farm': 3}


def test_counts_that_come_late_do_not_shrink() -> None:
    table = UsageTable()
    table.learn(_state('one', 1, 5))
    table.learn(_state('one', 1, 3))
    assert table.total(7) == {'farm': 5}


def test_a_request_counts_where_it_began() -> None:
    clock = FakeClock(1002.0)
    counter = UsageCounter(5, clock)
    counter.count_request('farm')
    counter.count_request('farm', age_s=3)
    assert counter.windows() == {200: {'farm': 1}, 199: {'farm': 1}}
