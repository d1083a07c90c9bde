"""Hedging: when a second server gets a request that has not been answered.

Load pattern: servers that share their machines with others, so that a few
requests in a hundred take ten times as long as usual, which nothing tells in
advance. A request that may run twice is sent to a second server once it has
taken longer than nearly all requests of its route lately, and the first answer
counts.

If all servers are slow, every request would be late and hedged, which would
make them slower still. So hedges are limited to a small share of the requests,
which is saved up for a few requests at most, and there are none while no server
is free.
"""

import time
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

# Percentile of the route's times after which a hedge is sent.
_PERCENTILE = 95
# Answers that must be known for it: two of them are above it.
_MIN_ANSWERS = 40
# Each histogram covers this time; the last two count.
_SPAN_S = 15.0
# For how long the percentile is kept, since it takes 0.15 ms to compute.
_VALIDITY_S = 1.0
_MAX_MS = 60_000
_DIGITS = 2
_MS = 1000
# Hedges that a quiet time saves up.
_MAX_SAVED = 3.0
# Wait for a slot, as a share of the objective, from which on a service counts
# as short of capacity.
_MAX_BACKLOG_FRACTION = 0.1


class RouteTimes:
    """The times that the answers of one route took lately."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._current = _new_histogram()
        self._former = _new_histogram()
        self._began_at_s = clock()
        self._usual_s: float | None = None
        self._computed_at_s = clock() - _VALIDITY_S

    def note(self, taken_s: float) -> None:
        """Record an answer, or an attempt that was given up after a time."""
        now_s = self._clock()
        if now_s - self._began_at_s >= _SPAN_S:
            self._former = self._current
            self._current = _new_histogram()
            self._began_at_s = now_s
        self._current.record_value(min(_MAX_MS, max(1, round(taken_s * _MS))))

    def usual_s(self) -> float | None:
        """Return the time after which a hedge is sent; None if not known."""
        now_s = self._clock()
        if now_s - self._computed_at_s >= _VALIDITY_S:
            self._computed_at_s = now_s
            self._usual_s = self._percentile_s()
        return self._usual_s

    def _percentile_s(self) -> float | None:
        both = _new_histogram()
        both.add(self._former)
        both.add(self._current)
        if both.get_total_count() < _MIN_ANSWERS:
            return None
        return both.get_value_at_percentile(_PERCENTILE) / _MS


class HedgeShare:
    """Limits the hedges of a service to a share of its requests."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = 0.0

    def note_request(self) -> None:
        """Count a request, which pays for a part of a hedge."""
        self._saved = min(_MAX_SAVED, self._saved + self._share)

    def has_room(self) -> bool:
        """Return whether one more hedge is within the share."""
        return self._saved >= 1

    def spend(self) -> None:
        """Count a hedge."""
        self._saved -= 1


def is_short_of_capacity(backlog_s: float, objective_s: float) -> bool:
    """Return whether requests wait at the best server of a service."""
    return backlog_s > objective_s * _MAX_BACKLOG_FRACTION


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_MS, _DIGITS)
