"""Quotas: how much of an organisation's quota a node may admit.

Load pattern: one organisation sends many times its usual load, distributed
unevenly over the nodes. Every node reports what it admitted in the last
window, and admits requests as long as the sum stays below the quota, whichever
node receives them. A node that gets reports from only a fraction of the others
limits the sum to that fraction of the quota.

A flood uses up the whole window at once, and if all nodes are killed then,
they forget what they admitted. Therefore the same rate is also enforced over a
shorter span, so that restarted nodes have forgotten little.
"""

import time
from bisect import bisect_left
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial

# Length of the buckets in which admitted work is counted and leaves the window.
_BUCKET_S = 0.25
# Span over which the current rate of a node is measured.
_RATE_SPAN_S = 1.0
# Span over which a node's usual rate is averaged: long prompts come rarely.
_LONG_RATE_SPAN_S = 3.0
# Length of the shorter span as a fraction of the window. Its rate and burst,
# plus what restarted nodes admit in the rest of the window, stay within the
# tolerance that the platform grants.
_SHORT_SPAN_FRACTION = 0.375

# Part of the quota that new requests leave to streams that go on, right after
# all nodes were restarted. It falls with what they have forgotten.
KEPT_FRACTION = 0.45

# Maximum credit of all nodes together as a fraction of the quota if there is no
# room. It is below the tolerance that the platform grants.
MIN_CREDIT_FRACTION = 0.2


@dataclass(frozen=True, slots=True)
class PeerUsage:
    """What a peer admitted in the last span, as reported ``age_s`` ago."""

    used: float
    rate_per_s: float
    age_s: float

    @property
    def estimate(self) -> float:
        """The work admitted by now if the peer continues at its last rate."""
        return self.used + self.rate_per_s * self.age_s


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """The quota of all nodes together in any window."""

    rate_per_s: float
    burst: float
    window_s: float

    @property
    def window_limit(self) -> float:
        """The maximum that may be admitted in any window."""
        return self.rate_per_s * self.window_s + self.burst

    @property
    def short(self) -> 'QuotaTerms':
        """The terms of the shorter span."""
        return replace(self, window_s=self.window_s * _SHORT_SPAN_FRACTION)


class AdmittedWork:
    """What this node admitted for one organisation in the last window.

    Work is counted in buckets of ``bucket_s`` and leaves the window with them.
    """

    def __init__(
        self,
        window_s: float,
        clock: Callable[[], float] = time.monotonic,
        bucket_s: float = _BUCKET_S,
    ) -> None:
        self._window_s = window_s
        self._clock = clock
        self._bucket_s = bucket_s
        # Starts of the buckets, and the sums of all work up to their ends.
        self._began_at_s: list[float] = []
        self._sums: list[float] = []
        self._dropped = 0.0

    def note(self, cost: float) -> None:
        """Count a request that was admitted."""
        now_s = self._clock()
        if self._began_at_s and now_s - self._began_at_s[-1] < self._bucket_s:
            self._sums[-1] += cost
            return
        expired = bisect_left(self._began_at_s, now_s - self._window_s - 1)
        if expired:
            self._dropped = self._sums[expired - 1]
            self._began_at_s = self._began_at_s[expired:]
            self._sums = self._sums[expired:]
        self._sums.append(self._total + cost)
        self._began_at_s.append(now_s)

    def used(self) -> float:
        """Return what was admitted in the last window."""
        return self.used_within(self._window_s)

    def lately_used(self) -> float:
        """Return what was admitted in the shorter span."""
        return self.used_within(self._window_s * _SHORT_SPAN_FRACTION)

    def used_within(self, span_s: float) -> float:
        """Return what was admitted in a span, partly expired buckets included."""
        return self._sum_since(span_s + self._bucket_s)

    def expiring_per_s(self, span_s: float) -> float:
        """Return what leaves a span in the next second."""
        return self.used_within(span_s) - self.used_within(span_s - 1)

    def rate_per_s(self) -> float:
        """Return the current rate."""
        return self._sum_since(_RATE_SPAN_S) / _RATE_SPAN_S

    def rate_before(self, age_s: float) -> float:
        """Return the average rate in a span that ended ``age_s`` ago."""
        earlier = self._sum_since(age_s + _LONG_RATE_SPAN_S)
        return (earlier - self._sum_since(age_s)) / _LONG_RATE_SPAN_S

    def time_until_freed_s(self, cost: float) -> float:
        """Return the time until ``cost`` of the oldest work has expired."""
        now_s = self._clock()
        first = bisect_left(self._began_at_s, now_s - self._window_s - 1)
        before = self._sums[first - 1] if first else self._dropped
        freed = bisect_left(self._sums, before + cost)
        if freed == len(self._sums):
            return self._window_s
        return max(0, self._began_at_s[freed] + self._window_s - now_s)

    @property
    def _total(self) -> float:
        return self._sums[-1] if self._sums else self._dropped

    def _sum_since(self, span_s: float) -> float:
        first = bisect_left(self._began_at_s, self._clock() - span_s)
        before = self._sums[first - 1] if first else self._dropped
        return self._total - before


def is_within(
    terms: QuotaTerms,
    own_used: float,
    peers: Sequence[PeerUsage],
    *,
    reporting_fraction: float,
    uptimes_s: Sequence[float],
    resumes_stream: bool = True,
) -> bool:
    """Return whether ``own_used`` and the peers' use are within the quota.

    ``reporting_fraction`` is the fraction of the nodes, this one included,
    whose work is known; ``uptimes_s`` are the uptimes of those nodes. A
    restarted node has forgotten what it admitted before, so its share of the
    quota for the part of the window before its start counts as used up. Of
    what is left then, new requests leave a part to streams that are taken up
    (``resumes_stream``): their callers come back all at once, most of them with long
    prompts, which find no room beside many short new ones.
    """
    return own_used <= room_of_node(
        terms,
        peers,
        reporting_fraction=reporting_fraction,
        uptimes_s=uptimes_s,
        resumes_stream=resumes_stream,
    )


def room_of_node(
    terms: QuotaTerms,
    peers: Sequence[PeerUsage],
    *,
    reporting_fraction: float,
    uptimes_s: Sequence[float],
    resumes_stream: bool = True,
) -> float:
    """Return what the peers leave of the quota for this node.

    See ``is_within`` for the arguments.
    """
    forgotten_s = [max(0, terms.window_s - uptime_s) for uptime_s in uptimes_s]
    forgotten_fraction = sum(forgotten_s) / (len(forgotten_s) * terms.window_s)
    allowed = terms.window_limit * min(
        reporting_fraction, 1 - forgotten_fraction
    )
    if not resumes_stream:
        allowed *= 1 - KEPT_FRACTION * forgotten_fraction
    return allowed - sum(peer.estimate for peer in peers)


@dataclass(frozen=True, slots=True)
class PeerUsageSpans:
    """What a peer admitted in the window and in the shorter span."""

    window: PeerUsage
    short: PeerUsage


def has_room(
    terms: QuotaTerms,
    own: AdmittedWork,
    cost: float,
    peers: Sequence[PeerUsageSpans],
    *,
    reporting_fraction: float,
    uptimes_s: Sequence[float],
    resumes_stream: bool = True,
) -> bool:
    """Return whether the window and the shorter span have room for ``cost``.

    A single request may exceed the limit of the shorter span. It is admitted if
    the window has room and nothing else was admitted in the shorter span.
    """
    lately_used = own.lately_used()
    short_uses = [peer.short for peer in peers]
    fits = partial(
        is_within,
        reporting_fraction=reporting_fraction,
        uptimes_s=uptimes_s,
        resumes_stream=resumes_stream,
    )
    if not fits(terms, own.used() + cost, [peer.window for peer in peers]):
        return False
    if not lately_used + sum(use.used for use in short_uses):
        return True
    return fits(terms.short, lately_used + cost, short_uses)


class Credit:
    """What this node may admit before the others know of it.

    In a large venture all nodes may see the same room at once, and each learns
    late what the others admitted meanwhile. So the room is divided among them:
    the credit of a node grows by an equal part of the room in each ``lag_s``,
    the time until the others know what it admitted.
    """

    def __init__(
        self, lag_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._lag_s = lag_s
        self._clock = clock
        self._credit = 0.0
        # The first request finds the credit of a node that was idle before.
        self._updated_at_s = clock() - lag_s

    def take(
        self, cost: float, known_rate_per_s: float, room: float, minimum: float
    ) -> bool:
        """Take ``cost``; return False if there is not enough credit.

        The others expect this node to go on at ``known_rate_per_s``, and leave
        it ``room`` beyond that. Up to ``minimum`` is kept even without room. A
        cost beyond the credit is lent, and paid back by later growth: a request
        can't be divided.
        """
        now_s = self._clock()
        elapsed_s = now_s - self._updated_at_s
        self._updated_at_s = now_s
        growth_per_s = known_rate_per_s + max(0, room) / self._lag_s
        grown = self._credit + growth_per_s * elapsed_s
        self._credit = min(grown, max(room, minimum))
        if self._credit <= 0:
            return False
        self._credit -= cost
        return True
