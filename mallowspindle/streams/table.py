"""The streams that a node knows."""

from collections import OrderedDict
from collections.abc import Callable

from mallowspindle.streams.messages import StreamBegun, StreamKey
from mallowspindle.streams.versions import STREAM_MEMORY_S

# About 60 s of the streams of a node at its share of the largest load, with
# those that peers have told it.
_MAX_STREAMS = 20_000


class StreamTable:
    """Streams that servers have begun, the oldest dropped first."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # With the time since which each is known.
        self._streams: OrderedDict[StreamKey, tuple[StreamBegun, float]] = (
            OrderedDict()
        )

    def put(self, begun: StreamBegun) -> None:
        """Record a stream; a later one with the same id replaces it."""
        self._streams.pop(begun.key, None)
        self._streams[begun.key] = begun, self._clock()
        oldest_s = self._clock() - STREAM_MEMORY_S
        while self._streams:
            _, known_since_s = next(iter(self._streams.values()))
            too_many = len(self._streams) > _MAX_STREAMS
            if known_since_s >= oldest_s and not too_many:
                break
            self._streams.popitem(last=False)

    def find(self, key: StreamKey) -> StreamBegun | None:
        """Return a stream; None if it is not known."""
        known = self._streams.get(key)
        return known[0] if known else None
