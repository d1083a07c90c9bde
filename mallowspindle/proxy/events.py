"""Splits a stream of server-sent events at event boundaries."""

import re
from itertools import pairwise

from mallowspindle.intake.body import BodyBuffer

_COMPLETE_EVENTS = re.compile(rb'.*\n\r?\n', re.DOTALL)
_BOUNDARY = re.compile(rb'\n\r?\n')
_ID_LINE = re.compile(rb'^id:([^\r\n]*)', re.MULTILINE)
_DATA_LINE = re.compile(rb'^data', re.MULTILINE)


# An event that ends with a chunk may begin its end this far before.
_SEAM_BYTES = 2
# Events hold some tokens each. A server in trouble may send bytes without end.
_MAX_EVENT_BYTES = 1_000_000


class OversizedEvent(Exception):
    """An event is longer than any that a server would send."""


class OutOfOrder(Exception):
    """A continuation's first event does not follow the last one emitted."""


class EventSplitter:
    """Emits complete events only, so that a stream can resume after each one.

    A stream may consist of several responses, each one continuing where the
    one before was cut. ``last_event_id`` is the event after which the caller
    itself resumes the stream, if it does.
    """

    def __init__(self, last_event_id: str | None = None) -> None:
        self._pending = BodyBuffer()
        # The last bytes of those.
        self._seam = b''
        self._last_event_id = last_event_id
        # Whether ``_last_event_id`` belongs to an event emitted here.
        self._has_emitted_id = False
        # Whether each id so far was the one before plus one; None before the
        # second id.
        self._ids_consecutive: bool | None = None
        self._can_resume = True
        self._checks_continuation = False

    @property
    def last_event_id(self) -> str | None:
        """The id of the last emitted event, or the one that the caller sent."""
        return self._last_event_id

    @property
    def pending(self) -> bytes:
        """Bytes of an incomplete event."""
        return self._pending.join()

    @property
    def pending_bytes(self) -> int:
        """The number of bytes of an incomplete event."""
        return self._pending.size

    @property
    def can_resume(self) -> bool:
        """Whether no data was emitted after the last event with an id."""
        return self._can_resume

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that ``chunk`` completes, unchanged.

        Raises ``OutOfOrder`` if a continuation repeats or skips events, and
        ``OversizedEvent`` if an event does not end.
        """
        buffered = chunk
        if self._pending.size:
            joint = self._seam + chunk
            if _BOUNDARY.search(joint) is None:
                self._keep(chunk, joint)
                return b''
            buffered = self._pending.join() + chunk
            self.discard_pending()
        found = _COMPLETE_EVENTS.match(buffered)
        end = found.end() if found else 0
        if end < len(buffered):
            rest = buffered[end:]
            self._keep(rest, rest)
        events = buffered[:end]
        if events:
            self._record_events(events)
        return events

    @property
    def awaits_continuation(self) -> bool:
        """Whether a continuation has brought no event yet."""
        return self._checks_continuation

    def finish(self) -> bytes:
        """Return the last event of a whole response if it lacks its end.

        Raises ``OutOfOrder`` if it does not continue the stream: it may be the
        text of an error.
        """
        pending = self._pending.join()
        if self._checks_continuation and pending.strip():
            self._check_continuation(_ids_in(pending))
        return pending

    def start_response(self) -> None:
        """Prepare for the next response; discard an incomplete event."""
        self.discard_pending()
        self._checks_continuation = self._has_emitted_id

    def discard_pending(self) -> None:
        """Discard an incomplete event."""
        self._pending.clear()
        self._seam = b''

    def _keep(self, piece: bytes, joint: bytes) -> None:
        """Keep a piece of an incomplete event; ``joint`` has its end."""
        self._pending.append(piece)
        self._seam = joint[-_SEAM_BYTES:]
        if self._pending.size > _MAX_EVENT_BYTES:
            self.discard_pending()
            raise OversizedEvent(f'an event has over {_MAX_EVENT_BYTES} bytes')

    def _record_events(self, events: bytes) -> None:
        ids = _ids_in(events)
        if not ids and not _DATA_LINE.search(events):
            # Comments do not affect the order of events.
            return
        if self._checks_continuation:
            self._check_continuation(ids)
            self._checks_continuation = False
        self._can_resume = _ends_with_id(events)
        if ids:
            self._record_ids(ids)

    def _check_continuation(self, ids: list[str]) -> None:
        """Check the first id of a continuation against the last emitted id.

        A repeated or missing id, or a lower numeric one, is an error. A gap
        between numeric ids is allowed unless all ids so far were consecutive.
        """
        last = self._last_event_id
        found = ids[0] if ids else None
        difference = _id_difference(last, found)
        if difference is None:
            in_order = found not in {None, last}
        else:
            in_order = difference == 1 or (
                difference > 1 and not self._ids_consecutive
            )
        if not in_order:
            raise OutOfOrder(f'event {found} came after event {last}')

    def _record_ids(self, ids: list[str]) -> None:
        previous = [self._last_event_id] if self._has_emitted_id else []
        for earlier, later in pairwise([*previous, *ids]):
            consecutive = _id_difference(earlier, later) == 1
            self._ids_consecutive = (
                consecutive and self._ids_consecutive is not False
            )
        self._last_event_id = ids[-1]
        self._has_emitted_id = True


def _ids_in(events: bytes) -> list[str]:
    return [
        field.strip().decode('utf-8', 'replace')
        for field in _ID_LINE.findall(events)
    ]


def _id_difference(earlier: str | None, later: str | None) -> int | None:
    """Return the difference of two ids; None if they are not numeric."""
    if earlier is None or later is None:
        return None
    if not (earlier.isdecimal() and later.isdecimal()):
        return None
    return int(later) - int(earlier)


def _ends_with_id(events: bytes) -> bool:
    """Return whether no event with data follows the last one with an id."""
    starts = [found.start() for found in _ID_LINE.finditer(events)]
    if not starts:
        return False
    later = _BOUNDARY.split(events[starts[-1] :], maxsplit=1)[-1]
    return _DATA_LINE.search(later) is None
