"""How much of an organisation's quota a node may admit.

Load pattern: one organisation sends many times its usual through nodes that
get uneven parts of it. All nodes tell what they admitted in the last window,
so each admits as long as the sum stays below the quota, whoever gets the
callers. A node that hears only part of the others keeps to that part.

A flood uses up its window at once, and nodes that are all killed then forget
it. So a shorter span holds the same rate: little is left for them to forget.
"""

import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial

# Length of the steps in which admitted work leaves the window.
_STEP_S = 0.25
# Span over which the present rate of a node is measured.
_RATE_SPAN_S = 1.0
# Part of the window that the shorter span takes: its rate and burst, with what
# restarted nodes admit in the rest of the window, stay within what is granted.
_SHORT_PART = 0.375


@dataclass(frozen=True, slots=True)
class PeerUse:
    """What a peer admitted in the last span, as told ``age_s`` ago."""

    used: float
    rate_per_s: float
    age_s: float

    @property
    def estimate(self) -> float:
        """What the peer has admitted by now if it goes on as before."""
        return self.used + self.rate_per_s * self.age_s


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """What all nodes together may admit in any window."""

    rate_per_s: float
    burst: float
    window_s: float

    @property
    def window_limit(self) -> float:
        """The most that any window may hold."""
        return self.rate_per_s * self.window_s + self.burst

    @property
    def short(self) -> 'QuotaTerms':
        """The terms of the shorter span."""
        return replace(self, window_s=self.window_s * _SHORT_PART)


class AdmittedWork:
    """What this node admitted for one organisation in the last window."""

    def __init__(
        self, window_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._window_s = window_s
        self._clock = clock
        self._steps: deque[tuple[float, float]] = deque()

    def note(self, cost: float) -> None:
        """Count a request that was admitted."""
        now_s = self._clock()
        if self._steps and now_s - self._steps[-1][0] < _STEP_S:
            began_at_s, spent = self._steps.pop()
            self._steps.append((began_at_s, spent + cost))
        else:
            self._steps.append((now_s, cost))

    def used(self) -> float:
        """Return what was admitted in the last window."""
        return self._since(self._window_s + _STEP_S)

    def lately_used(self) -> float:
        """Return what was admitted in the shorter span."""
        return self._since(self._window_s * _SHORT_PART + _STEP_S)

    def rate_per_s(self) -> float:
        """Return the present rate."""
        return self._since(_RATE_SPAN_S) / _RATE_SPAN_S

    def time_until_freed_s(self, cost: float) -> float:
        """Return when ``cost`` of the oldest work has left the window."""
        now_s = self._clock()
        freed = 0.0
        for began_at_s, spent in self._steps:
            freed += spent
            if freed >= cost:
                return max(0, began_at_s + self._window_s - now_s)
        return self._window_s

    def _since(self, span_s: float) -> float:
        now_s = self._clock()
        while self._steps and self._steps[0][0] < now_s - self._window_s - 1:
            self._steps.popleft()
        return sum(
            spent
            for began_at_s, spent in self._steps
            if began_at_s >= now_s - span_s
        )


def is_within(
    terms: QuotaTerms,
    own_used: float,
    peers: Sequence[PeerUse],
    *,
    heard_fraction: float,
    uptimes_s: Sequence[float],
) -> bool:
    """Tell whether the quota has room for what ``own_used`` now includes.

    ``heard_fraction`` is the part of the nodes that this one hears, and
    ``uptimes_s`` how long these and itself have run. What a node admitted
    before its start is forgotten, so its part of the window before is taken
    as used up.
    """
    unknown_s = [max(0, terms.window_s - uptime_s) for uptime_s in uptimes_s]
    forgotten_part = sum(unknown_s) / (len(unknown_s) * terms.window_s)
    used = own_used + sum(peer.estimate for peer in peers)
    allowed = terms.window_limit * min(heard_fraction, 1 - forgotten_part)
    return used <= allowed


@dataclass(frozen=True, slots=True)
class PeerSpans:
    """What a peer admitted in the window and in the shorter span."""

    window: PeerUse
    short: PeerUse


def has_room(
    terms: QuotaTerms,
    own: AdmittedWork,
    cost: float,
    peers: Sequence[PeerSpans],
    *,
    heard_fraction: float,
    uptimes_s: Sequence[float],
) -> bool:
    """Tell whether the window and the shorter span have room for ``cost``.

    A request that the window has room for passes the shorter span if that
    holds nothing else: it may be larger than the whole span allows.
    """
    lately_used = own.lately_used()
    short_uses = [peer.short for peer in peers]
    within = partial(
        is_within, heard_fraction=heard_fraction, uptimes_s=uptimes_s
    )
    if not within(terms, own.used() + cost, [peer.window for peer in peers]):
        return False
    if not lately_used + sum(use.used for use in short_uses):
        return True
    return within(terms.short, lately_used + cost, short_uses)
