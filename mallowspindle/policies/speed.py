"""Speed of servers: how long a request takes at each of them.

Load pattern: servers that share their machines with others. A third of them
may need 2.5 times as long for some hundred milliseconds to some seconds, and
some are always faster than others. Servers state their present slowdown in
each response, but a node hears of most servers only through peers, up to a
second late.

The pace of a server is the time that it takes for one unit of work: a plain
request, or a second of prefill at the usual rate. It is the time that its
responses took over the work that was expected of them, both summed over all
nodes and fading with time. With few responses it tends to the pace of all
servers of the service. The stated slowdown is multiplied in; its difference
from the mean counts less the older it is.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

# Time after which a past response counts half. Servers have the same hardware
# for their whole life, so the pace changes only with the kind of requests.
_HALF_LIFE_S = 10.0
# Work at the mean pace that is added to that of one server, so that a few odd
# responses do not decide: plain requests, and seconds of prefill.
PLAIN_PRIOR = 20.0
PREFILL_PRIOR = 0.5
# Times of peers are rounded to ms, so that a fast server's may add up to 0.
_MIN_PACE = 0.001
# Time in which the difference of a stated slowdown from the mean falls to 1/e.
# Slowdowns last from 0.6 s to some seconds.
_SLOWDOWN_MEMORY_S = 1.0
# The time that a response took counts at most so many times as expected, since
# longer ones tell of lost packets or queues rather than of speed.
_MAX_RATIO = 8.0


class Taken(NamedTuple):
    """What responses took, and the units of work that were expected of them."""

    taken_s: float
    work: float


NOTHING = Taken(0, 0)


@dataclass(slots=True)
class PaceMeter:
    """Fading sums of what the responses of one server took."""

    taken_s: float = 0
    work: float = 0
    updated_at_s: float = -math.inf

    def note(self, taken_s: float, work: float, now_s: float) -> None:
        """Record a response."""
        known = self.sums(now_s)
        self.taken_s = known.taken_s + taken_s
        self.work = known.work + work
        self.updated_at_s = now_s

    def sums(self, now_s: float) -> Taken:
        """Return the sums, faded since the last response."""
        if not self.work:
            return NOTHING
        kept = 0.5 ** ((now_s - self.updated_at_s) / _HALF_LIFE_S)
        return Taken(self.taken_s * kept, self.work * kept)


def mean_pace(servers: Iterable[Taken], default: float) -> float:
    """Return the pace of all servers of a service together."""
    sums = list(servers)
    work = sum(taken.work for taken in sums)
    if not work:
        return default
    return max(_MIN_PACE, sum(taken.taken_s for taken in sums) / work)


def learnt_pace(server: Taken, mean: float, prior: float) -> float:
    """Return the pace of a server, near the mean if little is known of it.

    ``prior`` is the work at the mean pace that counts beside the server's own.
    """
    return (server.taken_s + prior * mean) / (server.work + prior)


def bounded_time_s(taken_s: float, expected_s: float) -> float:
    """Return the time that a response counts as."""
    return min(taken_s, expected_s * _MAX_RATIO)


def present_slowdown(stated: float, age_s: float, mean: float) -> float:
    """Return the expected slowdown ``age_s`` after it was stated."""
    return mean + (stated - mean) * math.exp(-age_s / _SLOWDOWN_MEMORY_S)


def turns_of(ahead: float, slots: int) -> float:
    """Return how many times the service time a plain request takes."""
    return max(1, (ahead + 1) / slots)
