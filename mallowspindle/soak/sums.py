"""Sums over all servers of a service in sliding windows."""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain

from mallowspindle.soak.bounds import RetryBounds
from mallowspindle.soak.callers import SERVICES
from mallowspindle.soak.records import Arrival, Observations

# Requests are counted in the window of the repeats, half a window before and
# a window before; whichever has most counts.
_REQUEST_WINDOWS = (0, 0.5, 1)


@dataclass(frozen=True, slots=True)
class RetryWindow:
    """Repeats in a window of one service, and how many are allowed.

    ``continued`` of the repeats go on from the memory of another server.
    """

    service: str
    began_at_s: float
    repeats: int
    allowed: float
    continued: int

    @property
    def excess(self) -> float:
        """How many repeats there are beyond what is allowed."""
        return self.repeats - self.allowed


def worst_windows(seen: Observations) -> list[RetryWindow]:
    """Return the window of each service with the most excess repeats."""
    found = (
        _worst_window(seen, service)
        for service in sorted(set(SERVICES.values()))
    )
    return [window for window in found if window is not None]


def _worst_window(seen: Observations, service: str) -> RetryWindow | None:
    repeats = _repeats(
        each for each in seen.arrivals if each.service == service
    )
    times = [each.at_s for each in repeats]
    requests = sorted(
        each.sent_at_s
        for each in chain(seen.tries, seen.last_tries, seen.route_tries)
        if SERVICES[each.kind] == service
    )
    window_s = seen.retry_bounds.window_s
    windows = (
        RetryWindow(
            service,
            began_at_s,
            _count(times, began_at_s, window_s),
            _allowed(requests, began_at_s, seen.retry_bounds),
            _count(
                [each.at_s for each in repeats if each.continues],
                began_at_s,
                window_s,
            ),
        )
        # The extremes are at windows that begin or end with a repeat.
        for at_s in times
        for began_at_s in (at_s, at_s - window_s)
    )
    return max(windows, key=lambda window: window.excess, default=None)


def _repeats(arrivals: Iterable[Arrival]) -> list[Arrival]:
    """Return the arrivals beyond the first of each request, in order."""
    known: set[str] = set()
    repeats = []
    for arrival in sorted(arrivals, key=lambda each: each.at_s):
        if arrival.request_id in known:
            repeats.append(arrival)
        known.add(arrival.request_id)
    return repeats


def _allowed(
    requests: list[float], began_at_s: float, bounds: RetryBounds
) -> float:
    most = max(
        _count(requests, began_at_s - part * bounds.window_s, bounds.window_s)
        for part in _REQUEST_WINDOWS
    )
    return bounds.ratio * most + bounds.slack


def _count(times: list[float], began_at_s: float, window_s: float) -> int:
    first = bisect_left(times, began_at_s)
    return bisect_left(times, began_at_s + window_s) - first
