"""Limits that servers state: which nodes use a limited server, how often.

Load pattern: a server in need states how many requests per second it accepts
from all nodes together, while each node sends it what it used to. What other
nodes send is known up to a second late, so a sum over all nodes can't hold the
limit. Equal shares of many nodes can't either: each would be below one request
in the time in which the limit counts, and all could be used at once.

Therefore only some nodes use a limited server, the first ones of a rendezvous
order of the live nodes, and each paces itself at an equal share. They are so
few that the limit holds even if all of them use their shares at the same time.
While two nodes know different members, the number of senders exceeds that
number only by the members in which they differ.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

# A server whose limit is 0 still gets a request now and then, since only a
# response tells that the limit has ended.
MIN_LIMIT_PER_S = 0.2
# What operators tolerate in any window: so many times the limit, and so many
# requests more.
_WINDOW_S = 4.0
_TOLERANCE_FACTOR = 1.5
_TOLERANCE_REQUESTS = 5
# Part of the tolerance that is left to senders in which nodes differ.
_SPARE_REQUESTS = 2
# Minimum span over which a share is counted, so that requests that arrive close
# together use it as well.
_MIN_SPAN_S = 1.0
# Maximum number of requests in a span, which bounds the memory of each server.
MAX_COUNT = 64


@dataclass(frozen=True, slots=True)
class Pace:
    """At most ``count`` requests within any ``span_s`` seconds."""

    count: int
    span_s: float

    @property
    def max_in_window(self) -> int:
        """The maximum number of requests in a window of the tolerance."""
        return self.count * math.ceil(_WINDOW_S / self.span_s)

    def wait_s(self, sent_at_s: Sequence[float], now_s: float) -> float:
        """Return the time until the next request may be sent.

        ``sent_at_s`` are the times of the requests sent so far, in order.
        """
        if len(sent_at_s) < self.count:
            return 0
        return max(0, sent_at_s[-self.count] + self.span_s - now_s)


def pace_of_sender(limit_per_s: float, senders: int) -> Pace:
    """Return the pace of each of ``senders`` nodes that share a limit."""
    share_per_s = max(limit_per_s, MIN_LIMIT_PER_S) / senders
    count = min(MAX_COUNT, math.ceil(share_per_s * _MIN_SPAN_S))
    return Pace(count, count / share_per_s)


def count_senders(limit_per_s: float, nodes: int) -> int:
    """Return how many of ``nodes`` use a server with this limit.

    It is the highest number whose paces keep the tolerance together, and 0 if
    there are no nodes.
    """
    tolerated = limit_per_s * _TOLERANCE_FACTOR * _WINDOW_S
    tolerated += _TOLERANCE_REQUESTS - _SPARE_REQUESTS
    candidates = range(min(nodes, int(tolerated)), 1, -1)
    safe = (
        senders
        for senders in candidates
        if senders * pace_of_sender(limit_per_s, senders).max_in_window
        <= tolerated
    )
    return next(safe, min(nodes, 1))
