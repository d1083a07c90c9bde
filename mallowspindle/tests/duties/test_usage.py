"""Usage is added up over nodes and their incarnations."""

from mallowspindle.duties.messages import UsageNews, WindowCounts
from mallowspindle.duties.usage import UsageTotals
from mallowspindle.tests.clock import FakeClock
from mallowspindle.usage import UsageCounter


def _news(node: str, incarnation: int, farm: int) -> UsageNews:
    return UsageNews(node, incarnation, usage=[WindowCounts(7, {'farm': farm})])


def test_newer_counts_replace_older_of_the_same_incarnation() -> None:
    totals = UsageTotals()
    totals.merge_news(_news('one', 1, 3))
    totals.merge_news(_news('one', 1, 5))
    totals.merge_news(_news('two', 1, 2))
    assert totals.total(7) == {'farm': 7}


def test_counts_of_an_earlier_incarnation_remain() -> None:
    totals = UsageTotals()
    totals.merge_news(_news('one', 1, 3))
    totals.merge_news(_news('one', 2, 1))
    assert totals.total(7) == {'farm': 4}


def test_peers_pass_on_the_counts_of_a_restarted_node() -> None:
    """A restarted holder has lost the counts of its last incarnation."""
    peer, restarted = UsageTotals(), UsageTotals()
    peer.merge_news(_news('one', 1, 3))
    peer.merge_news(_news('one', 2, 1))
    news = UsageNews('two', 1, passed_on=peer.passed_on())
    restarted.merge_news(news)
    restarted.merge_counts('one', 2, [WindowCounts(7, {'farm': 2})])
    assert restarted.total(7) == {'farm': 5}


def test_peers_pass_on_the_counts_of_a_silent_node() -> None:
    """The successor of a frozen holder may have just started."""
    clock = FakeClock()
    peer, started = UsageTotals(clock), UsageTotals(clock)
    peer.merge_news(_news('one', 1, 3))
    clock.advance(0.5)
    assert not peer.passed_on()
    clock.advance(2)
    started.merge_news(UsageNews('two', 1, passed_on=peer.passed_on()))
    assert started.total(7) == {'farm': 3}


def test_late_older_counts_are_ignored() -> None:
    totals = UsageTotals()
    totals.merge_news(_news('one', 1, 5))
    totals.merge_news(_news('one', 1, 3))
    assert totals.total(7) == {'farm': 5}


def test_a_request_counts_in_the_window_it_began_in() -> None:
    clock = FakeClock(1002.0)
    counter = UsageCounter(5, clock)
    counter.count_request('farm')
    counter.count_request('farm', age_s=3)
    assert counter.windows() == {200: {'farm': 1}, 199: {'farm': 1}}
