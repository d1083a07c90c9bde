"""Which news is sent to which peer."""

from mallowspindle.membership.gossip import RecentNews


def test_a_loss_found_by_this_node_is_sent_to_all() -> None:
    """Of 77 nodes, only the eight watchers of a lost one learnt of the loss."""
    news: RecentNews[str] = RecentNews()
    news.add('entry-1', 'is lost')
    assert news.take('') == ['is lost']
    assert news.take('entry-2') == ['is lost']


def test_news_is_not_sent_back_to_its_source() -> None:
    news: RecentNews[str] = RecentNews()
    news.add('entry-1', 'has joined', 'entry-2')
    assert not news.take('entry-2')
    assert news.take('entry-3') == ['has joined']
    assert not news.take('entry-3')
