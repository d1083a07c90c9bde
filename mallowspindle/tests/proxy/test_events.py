"""Splitting and continuing streams of server-sent events."""

import pytest

from mallowspindle.proxy.events import EventSplitter, OutOfOrder

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nweight-versions: 3\nid: 10\n\n'


@pytest.mark.parametrize('size', [1, 2, 3, 7, 100])
def test_bytes_are_unchanged_for_any_chunk_size(size: int) -> None:
    splitter = EventSplitter()
    chunks = [STREAM[at : at + size] for at in range(0, len(STREAM), size)]
    assert b''.join(map(splitter.feed, chunks)) == STREAM
    assert splitter.last_event_id == '10'
    assert not splitter.pending


def test_incomplete_event_is_held_back() -> None:
    splitter = EventSplitter('7')
    assert not splitter.feed(b'id: 8\nda')
    assert splitter.last_event_id == '7'
    splitter.start_response()
    assert splitter.feed(b'id: 8\ndata: x\n\n') == b'id: 8\ndata: x\n\n'
    assert splitter.last_event_id == '8'


def test_events_with_crlf_line_endings_are_split() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b'id: 4\r\ndata: x\r\n\r\nid: 5') == (
        b'id: 4\r\ndata: x\r\n\r\n'
    )
    assert splitter.last_event_id == '4'


def _after_two_events() -> EventSplitter:
    splitter = EventSplitter()
    splitter.feed(b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda')
    splitter.start_response()
    return splitter


@pytest.mark.parametrize(
    'event',
    [
        b'id: 1\ndata: a\n\n',
        b'id: 2\ndata: b\n\n',
        b'id: 4\ndata: d\n\n',
        b'data: b\n\n',
    ],
)
def test_continuation_that_repeats_or_skips_events_is_rejected(
    event: bytes,
) -> None:
    with pytest.raises(OutOfOrder):
        _after_two_events().feed(event)


def test_continuation_starts_with_next_event() -> None:
    splitter = _after_two_events()
    events = b'id: 3\r\ndata: c\r\n\r\nid: 4\r\ndata: d\r\n\r\n'
    assert splitter.feed(b': still reading\n\n') == b': still reading\n\n'
    assert splitter.feed(events) == events
    assert splitter.last_event_id == '4'


def test_nonconsecutive_ids_may_continue_with_gap() -> None:
    splitter = EventSplitter()
    splitter.feed(b'id: 10\ndata: a\n\nid: 20\ndata: b\n\n')
    splitter.start_response()
    assert splitter.feed(b'id: 30\ndata: c\n\n')


def test_first_response_may_start_at_any_id() -> None:
    splitter = EventSplitter('7')
    splitter.start_response()
    assert splitter.feed(b'id: 1\ndata: a\n\n')


def test_stream_resumes_only_after_event_with_id() -> None:
    splitter = EventSplitter()
    assert splitter.can_resume
    splitter.feed(b'id: 1\ndata: a\n\n: comment\n\n')
    assert splitter.can_resume
    splitter.feed(b'id: 2\ndata: b\n\ndata: c\n\n')
    assert not splitter.can_resume
    splitter.feed(b'id: 3\ndata: d\n\n')
    assert splitter.can_resume
