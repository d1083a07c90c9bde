"""Followers of a stream, by own reads and by peers' news."""

import pytest

from mallowspindle.catalog.following import StreamFollower
from mallowspindle.log.errors import LogError
from mallowspindle.log.records import KeyedRecord
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
