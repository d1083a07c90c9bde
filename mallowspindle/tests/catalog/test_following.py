"""Followers of a stream, by own reads and by peers' news."""

import pytest

from mallowspindle.catalog.following import (
    MOST_TOLD_BYTES,
    StreamEnd,
    StreamFollower,
    StreamNews,
    message_of,
)
from mallowspindle.log.errors import LogError
from mallowspindle.log.records import KeyedRecord, LogPage
from mallowspindle.tests.catalog.fakes import FakeLog, decode_keyed

STREAM = 'servers'


class Node:
    """A follower and the records that it took in."""

    def __init__(self, source: FakeLog) -> None:
        self.state: dict[str, bytes | None] = {}
        self.follower = StreamFollower(STREAM, source, decode_keyed, self._fold)

    def _fold(self, record: KeyedRecord) -> bool:
        changed = self.state.get(record.key) != record.value
        self.state[record.key] = record.value
        return changed


async def test_reads_all_keys_then_what_is_new() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    node = Node(log)
    await node.follower.read()
    log.put(STREAM, 'one', b'2')
    log.put(STREAM, 'two', b'1')
    news = await node.follower.read()
    assert node.state == {'one': b'2', 'two': b'1'}
    assert [record.key for record in news.records] == ['one', 'two']


async def test_peers_learn_what_one_node_reads() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    peer.follower.learn(await reader.follower.read())
    log.put(STREAM, 'one', None)
    peer.follower.learn(await reader.follower.read())
    assert peer.state == {'one': None}
    assert not peer.follower.has_gap
    assert peer.follower.through == reader.follower.through


async def test_missed_news_are_a_gap_that_a_read_closes() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    peer.follower.learn(await reader.follower.read())
    log.put(STREAM, 'one', None)
    await reader.follower.read()
    log.put(STREAM, 'two', b'1')
    peer.follower.learn(await reader.follower.read())
    assert peer.follower.has_gap
    await peer.follower.read()
    assert not peer.follower.has_gap
    assert peer.state == {'one': None, 'two': b'1'}


async def test_old_news_take_nothing_back() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    old = await reader.follower.read()
    log.put(STREAM, 'one', b'2')
    await peer.follower.read()
    peer.follower.learn(old)
    assert peer.state == {'one': b'2'}


async def test_history_that_is_gone_drops_missing_keys() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    log.put(STREAM, 'two', b'1')
    node = Node(log)
    await node.follower.read()
    log.put(STREAM, 'one', None)
    log.trim(STREAM)
    news = await node.follower.read()
    assert node.state == {'one': None, 'two': b'1'}
    assert news.base is None


async def test_a_failed_read_changes_nothing() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    node = Node(log)
    await node.follower.read()
    fresh_through = node.follower.through
    log.down = True
    with pytest.raises(LogError):
        await node.follower.read()
    assert node.follower.through == fresh_through
    assert node.state == {'one': b'1'}


async def test_a_node_without_the_store_takes_a_peers_state() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    await reader.follower.read()
    state = reader.follower.state()
    assert state is not None
    peer.follower.learn(state)
    assert peer.state == {'one': b'1'}


async def test_of_large_news_peers_hear_only_that_there_are_some() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    peer.follower.learn(await reader.follower.read())
    log.put(STREAM, 'one', b'2' * (MOST_TOLD_BYTES + 1))
    message = message_of(await reader.follower.read())
    assert isinstance(message, StreamEnd)
    peer.follower.learn_end(message)
    assert peer.follower.has_gap
    await peer.follower.read(for_peers=False)
    assert not peer.follower.has_gap
    assert peer.state == reader.state
    log.put(STREAM, 'one', b'3')
    small = message_of(await reader.follower.read())
    assert isinstance(small, StreamNews)
    peer.follower.learn(small)
    assert peer.state == {'one': b'3'}


async def test_a_known_end_is_no_gap() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    node = Node(log)
    await node.follower.read()
    node.follower.learn_end(StreamEnd(STREAM, 1, 0))
    assert not node.follower.has_gap
    node.follower.learn_end(StreamEnd(STREAM, 0, 0))
    assert node.follower.through == 1


async def test_what_was_read_alone_is_told_with_the_next_news() -> None:
    """A peer that knows no less than this node last told has no gap."""
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    peer.follower.learn(await reader.follower.read())
    log.put(STREAM, 'one', b'2')
    await reader.follower.read(for_peers=False)
    log.put(STREAM, 'two', b'1')
    peer.follower.learn(await reader.follower.read())
    assert not peer.follower.has_gap
    assert peer.state == {'one': b'2', 'two': b'1'}


class _SlowLog(FakeLog):
    """Its answer arrives after what a peer told meanwhile."""

    def __init__(self) -> None:
        super().__init__()
        self.told: list[tuple[Node, StreamNews]] = []

    async def read(
        self, stream: str, offset: int, wait_s: float = 0
    ) -> LogPage:
        page = await super().read(stream, offset, wait_s)
        while self.told:
            node, news = self.told.pop()
            node.follower.learn(news)
        return page


async def test_a_late_answer_takes_nothing_back() -> None:
    log = _SlowLog()
    log.put(STREAM, 'one', b'1')
    node = Node(log)
    await node.follower.read()
    newer = [KeyedRecord('one', b'2', 1)]
    log.told.append((node, StreamNews(STREAM, 1, 2, 0, newer)))
    await node.follower.read()
    assert node.follower.through == 2
    assert node.state == {'one': b'2'}


async def test_a_node_far_behind_reads_each_key_once() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    node = Node(log)
    await node.follower.read()
    for version in range(2, 9):
        log.put(STREAM, 'one', str(version).encode())
    node.follower.learn_end(StreamEnd(STREAM, 8, 0))
    log.trim(STREAM)
    news = await node.follower.read(for_peers=False)
    # A read of the history would have failed and told all keys.
    assert news.base is not None
    assert not node.follower.has_gap
    assert node.state == {'one': b'8'}
