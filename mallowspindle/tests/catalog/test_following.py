"""Tests of stream followers: their own reads and updates from peers."""

import pytest

from mallowspindle.catalog.following import (
    MAX_UPDATE_BYTES,
    StreamEnd,
    StreamFollower,
    StreamUpdate,
    message_for_peers,
)
from mallowspindle.log.errors import LogError
from mallowspindle.log.records import KeyedRecord, LogPage
from mallowspindle.tests.catalog.fakes import FakeLog, decode_keyed

STREAM = 'servers'


class Node:
    """A follower and the records that it applied."""

    def __init__(self, source: FakeLog) -> None:
        self.state: dict[str, bytes | None] = {}
        self.follower = StreamFollower(STREAM, source, decode_keyed, self._fold)

    def _fold(self, record: KeyedRecord) -> bool:
        changed = self.state.get(record.key) != record.value
        self.state[record.key] = record.value
        return changed


async def test_reads_all_keys_first_then_only_new_records() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    node = Node(log)
    await node.follower.read()
    log.put(STREAM, 'one', b'2')
    log.put(STREAM, 'two', b'1')
    update = await node.follower.read()
    assert node.state == {'one': b'2', 'two': b'1'}
    assert [record.key for record in update.records] == ['one', 'two']


async def test_peers_apply_the_updates_of_a_reader() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    peer.follower.apply_update(await reader.follower.read())
    log.put(STREAM, 'one', None)
    peer.follower.apply_update(await reader.follower.read())
    assert peer.state == {'one': None}
    assert not peer.follower.has_gap
    assert peer.follower.through == reader.follower.through


async def test_a_missed_update_is_a_gap_that_a_read_closes() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    peer.follower.apply_update(await reader.follower.read())
    log.put(STREAM, 'one', None)
    await reader.follower.read()
    log.put(STREAM, 'two', b'1')
    peer.follower.apply_update(await reader.follower.read())
    assert peer.follower.has_gap
    await peer.follower.read()
    assert not peer.follower.has_gap
    assert peer.state == {'one': None, 'two': b'1'}


async def test_an_old_update_does_not_overwrite_newer_records() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    old = await reader.follower.read()
    log.put(STREAM, 'one', b'2')
    await peer.follower.read()
    peer.follower.apply_update(old)
    assert peer.state == {'one': b'2'}


async def test_reading_after_a_trim_removes_deleted_keys() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    log.put(STREAM, 'two', b'1')
    node = Node(log)
    await node.follower.read()
    log.put(STREAM, 'one', None)
    log.trim(STREAM)
    update = await node.follower.read()
    assert node.state == {'one': None, 'two': b'1'}
    assert update.base is None


async def test_a_failed_read_leaves_the_state_unchanged() -> None:
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


async def test_a_node_applies_the_full_state_of_a_peer() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    await reader.follower.read()
    state = reader.follower.state()
    assert state is not None
    peer.follower.apply_update(state)
    assert peer.state == {'one': b'1'}


async def test_peers_receive_only_the_end_of_a_large_update() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    peer.follower.apply_update(await reader.follower.read())
    log.put(STREAM, 'one', b'2' * (MAX_UPDATE_BYTES + 1))
    message = message_for_peers(await reader.follower.read())
    assert isinstance(message, StreamEnd)
    peer.follower.apply_end(message)
    assert peer.follower.has_gap
    await peer.follower.read(for_peers=False)
    assert not peer.follower.has_gap
    assert peer.state == reader.state
    log.put(STREAM, 'one', b'3')
    small = message_for_peers(await reader.follower.read())
    assert isinstance(small, StreamUpdate)
    peer.follower.apply_update(small)
    assert peer.state == {'one': b'3'}


async def test_an_end_that_was_already_read_is_no_gap() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    node = Node(log)
    await node.follower.read()
    node.follower.apply_end(StreamEnd(STREAM, 1, 0))
    assert not node.follower.has_gap
    node.follower.apply_end(StreamEnd(STREAM, 0, 0))
    assert node.follower.through == 1


async def test_an_update_includes_earlier_reads_not_for_peers() -> None:
    """A peer that has the last update sent by this node sees no gap."""
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    reader, peer = Node(log), Node(log)
    peer.follower.apply_update(await reader.follower.read())
    log.put(STREAM, 'one', b'2')
    await reader.follower.read(for_peers=False)
    log.put(STREAM, 'two', b'1')
    peer.follower.apply_update(await reader.follower.read())
    assert not peer.follower.has_gap
    assert peer.state == {'one': b'2', 'two': b'1'}


class _LogWithLateAnswer(FakeLog):
    """A log whose answers arrive after updates from peers."""

    def __init__(self) -> None:
        super().__init__()
        self.peer_updates: list[tuple[Node, StreamUpdate]] = []

    async def read(
        self, stream: str, offset: int, wait_s: float = 0
    ) -> LogPage:
        page = await super().read(stream, offset, wait_s)
        while self.peer_updates:
            node, update = self.peer_updates.pop()
            node.follower.apply_update(update)
        return page


async def test_a_late_answer_does_not_overwrite_newer_records() -> None:
    log = _LogWithLateAnswer()
    log.put(STREAM, 'one', b'1')
    node = Node(log)
    await node.follower.read()
    newer = [KeyedRecord('one', b'2', 1)]
    log.peer_updates.append((node, StreamUpdate(STREAM, 1, 2, 0, newer)))
    await node.follower.read()
    assert node.follower.through == 2
    assert node.state == {'one': b'2'}


async def test_a_node_far_behind_reads_all_keys_instead_of_history() -> None:
    log = FakeLog()
    log.put(STREAM, 'one', b'1')
    node = Node(log)
    await node.follower.read()
    for version in range(2, 9):
        log.put(STREAM, 'one', str(version).encode())
    node.follower.apply_end(StreamEnd(STREAM, 8, 0))
    log.trim(STREAM)
    update = await node.follower.read(for_peers=False)
    # Reading the trimmed history would have failed, leaving no base.
    assert update.base is not None
    assert not node.follower.has_gap
    assert node.state == {'one': b'8'}


async def test_a_record_that_raises_an_error_does_not_stop_the_others() -> None:
    """Guards against a follower that reads the same odd record for ever."""
    log = FakeLog()
    node = Node(log)

    def fold(record: KeyedRecord) -> bool:
        if record.value == b'odd':
            raise OverflowError('too large')
        node.state[record.key] = record.value
        return True

    follower = StreamFollower(STREAM, log, decode_keyed, fold)
    log.put(STREAM, 'one', b'odd')
    log.put(STREAM, 'two', b'1')
    await follower.read()
    log.put(STREAM, 'one', b'2')
    await follower.read()
    assert node.state == {'one': b'2', 'two': b'1'}
    assert not follower.has_gap
