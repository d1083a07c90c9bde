"""Streams are cut at event boundaries only."""

import pytest

from mallowspindle.proxy.events import EventSplitter

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nweight-versions: 3\nid: 10\n\n'


@pytest.mark.parametrize('size', [1, 2, 3, 7, 100])
def test_bytes_pass_unchanged_whatever_the_chunks(size: int) -> None:
    splitter = EventSplitter()
    chunks = [STREAM[at : at + size] for at in range(0, len(STREAM), size)]
    assert b''.join(map(splitter.feed, chunks)) == STREAM
    assert splitter.last_event_id == '10'
    assert not splitter.pending


def test_a_cut_event_is_not_given_out() -> None:
    splitter = EventSplitter('7')
    assert not splitter.feed(b'id: 8\nda')
    assert splitter.last_event_id == '7'
    splitter.drop_pending()
    assert splitter.feed(b'id: 8\ndata: x\n\n') == b'id: 8\ndata: x\n\n'
    assert splitter.last_event_id == '8'


def test_carriage_returns_end_events_too() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b'id: 4\r\ndata: x\r\n\r\nid: 5') == (
        b'id: 4\r\ndata: x\r\n\r\n'
    )
    assert splitter.last_event_id == '4'
