"""What heartbeats tell of news."""

from mallowspindle.membership.gossip import RecentNews


def test_a_loss_that_this_node_found_is_told_to_all() -> None:
    """Replays a node lost among 77: its eight watchers kept it to themselves."""
    news: RecentNews[str] = RecentNews()
    news.add('entry-1', 'is lost')
    assert news.take('') == ['is lost']
    assert news.take('entry-2') == ['is lost']


def test_a_peer_is_not_told_what_it_told_itself() -> None:
    news: RecentNews[str] = RecentNews()
    news.add('entry-1', 'has joined', 'entry-2')
    assert not news.take('entry-2')
    assert news.take('entry-3') == ['has joined']
    assert not news.take('entry-3')
