"""Splits a stream of server-sent events at its event boundaries."""

import re
from itertools import pairwise

_WHOLE_EVENTS = re.compile(rb'.*\n\r?\n', re.DOTALL)
_BOUNDARY = re.compile(rb'\n\r?\n')
_ID_LINE = re.compile(rb'^id:([^\r\n]*)', re.MULTILINE)
_DATA_LINE = re.compile(rb'^data', re.MULTILINE)


class OutOfOrder(Exception):
    """The events of a further answer do not follow those given out."""


class EventSplitter:
    """Gives out whole events, so that a stream can go on after each one.

    ``last_event_id`` is where the caller itself goes on, if it does.
    """

    def __init__(self, last_event_id: str | None = None) -> None:
        self._pending = b''
        self._last_event_id = last_event_id
        # Whether the id is that of an event given out here.
        self._own_id = False
        # Whether all ids so far went up by one; None before the second.
        self._gapless: bool | None = None
        self._can_resume = True
        self._joining = False

    @property
    def last_event_id(self) -> str | None:
        """The id of the last event given out."""
        return self._last_event_id

    @property
    def pending(self) -> bytes:
        """Bytes of an event that is not complete."""
        return self._pending

    @property
    def can_resume(self) -> bool:
        """Whether an id tells all that has been given out."""
        return self._can_resume

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that ``chunk`` completes, unchanged.

        ``OutOfOrder`` if a further answer repeats or skips events.
        """
        text = self._pending + chunk
        found = _WHOLE_EVENTS.match(text)
        end = found.end() if found else 0
        self._pending = text[end:]
        events = text[:end]
        if events:
            self._note_events(events)
        return events

    def resume(self) -> None:
        """Begin with a further answer; forget an event that was cut."""
        self._pending = b''
        self._joining = self._own_id

    def _note_events(self, events: bytes) -> None:
        ids = [
            field.strip().decode('utf-8', 'replace')
            for field in _ID_LINE.findall(events)
        ]
        if not ids and not _DATA_LINE.search(events):
            # Comments tell nothing of the order.
            return
        if self._joining:
            self._check_joint(ids)
            self._joining = False
        self._can_resume = _ends_with_id(events)
        if ids:
            self._note_ids(ids)

    def _check_joint(self, ids: list[str]) -> None:
        """Compare the first id with the last one given out."""
        last = self._last_event_id
        found = ids[0] if ids else None
        step = _step(last, found)
        if step is None:
            in_order = found not in {None, last}
        else:
            in_order = step == 1 or (step > 1 and not self._gapless)
        if not in_order:
            raise OutOfOrder(f'event {found} came after event {last}')

    def _note_ids(self, ids: list[str]) -> None:
        known = [self._last_event_id] if self._own_id else []
        for earlier, later in pairwise([*known, *ids]):
            by_one = _step(earlier, later) == 1
            self._gapless = by_one and self._gapless is not False
        self._last_event_id = ids[-1]
        self._own_id = True


def _step(earlier: str | None, later: str | None) -> int | None:
    """Return how far apart two ids are; None if they are no numbers."""
    if earlier is None or later is None:
        return None
    if not (earlier.isdecimal() and later.isdecimal()):
        return None
    return int(later) - int(earlier)


def _ends_with_id(events: bytes) -> bool:
    """Tell whether no event with data follows the last one with an id."""
    starts = [found.start() for found in _ID_LINE.finditer(events)]
    if not starts:
        return False
    later = _BOUNDARY.split(events[starts[-1] :], maxsplit=1)[-1]
    return _DATA_LINE.search(later) is None
