"""Splits a stream of server-sent events at its event boundaries."""

_BOUNDARIES = (b'\n\n', b'\r\n\r\n')
_ID_FIELD = b'id:'
_ID_LINE = b'\nid:'


class EventSplitter:
    """Gives out whole events, so that a stream can go on after each one."""

    def __init__(self, last_event_id: str | None = None) -> None:
        self._pending = b''
        self._last_event_id = last_event_id

    @property
    def last_event_id(self) -> str | None:
        """The id of the last event given out."""
        return self._last_event_id

    @property
    def pending(self) -> bytes:
        """Bytes of an event that is not complete."""
        return self._pending

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that ``chunk`` completes, unchanged."""
        text = self._pending + chunk
        end = max(
            text.rfind(boundary) + len(boundary) if boundary in text else 0
            for boundary in _BOUNDARIES
        )
        self._pending = text[end:]
        events = text[:end]
        if events:
            self._note_id(events)
        return events

    def drop_pending(self) -> None:
        """Forget an event that was cut; the stream goes on elsewhere."""
        self._pending = b''

    def _note_id(self, events: bytes) -> None:
        start = events.rfind(_ID_LINE) + 1
        if not events.startswith(_ID_FIELD, start):
            return
        line_end = events.find(b'\n', start)
        field = events[start + len(_ID_FIELD) : line_end]
        self._last_event_id = field.strip().decode('utf-8', 'replace')
