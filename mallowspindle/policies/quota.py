"""How much of an organisation's quota a node may admit.

Load pattern: one organisation sends many times its usual through nodes that
get uneven parts of it. Each node admits the share of the quota that its
callers ask for, as all nodes have told it; a node that hears nothing of the
others keeps to an equal share.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

# Part of the share that is spread evenly, so that a node whose callers begin
# to send is not without any quota until the others have heard of it.
_EVEN_PART = 0.25
# Time over which the demand of an organisation is averaged.
_AVERAGED_S = 2.0


@dataclass(frozen=True, slots=True)
class QuotaShare:
    """The part of a quota that one node may admit."""

    rate_per_s: float
    burst: float


def share_of(own_rate: float, peer_rates: list[float], nodes: int) -> float:
    """Return the share of a quota for a node with ``own_rate`` of demand."""
    even = 1 / max(1, nodes)
    total = own_rate + sum(peer_rates)
    if not total:
        return even
    return _EVEN_PART * even + (1 - _EVEN_PART) * own_rate / total


class TokenBucket:
    """Admits what a share allows, up to its burst at once."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._level: float | None = None
        self._filled_at_s = clock()

    def wait_s(self, cost: float, share: QuotaShare) -> float:
        """Take ``cost`` and return 0, or return when to come back."""
        now_s = self._clock()
        elapsed_s = now_s - self._filled_at_s
        self._filled_at_s = now_s
        level = share.burst if self._level is None else self._level
        level = min(share.burst, level + elapsed_s * share.rate_per_s)
        # One request may take more than the burst of a small share; the
        # bucket then goes below zero and the next ones wait.
        if level >= min(cost, share.burst):
            self._level = level - cost
            return 0
        self._level = level
        missing = min(cost, share.burst) - level
        return missing / max(share.rate_per_s, 1)


class DemandMeter:
    """The rate at which callers ask, averaged over the last seconds."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._rate_per_s = 0.0
        self._noted_at_s = clock()

    @property
    def rate_per_s(self) -> float:
        """The present rate."""
        elapsed_s = self._clock() - self._noted_at_s
        return self._rate_per_s * max(0, 1 - elapsed_s / _AVERAGED_S)

    def note(self, cost: float) -> None:
        """Count what a caller asks."""
        self._rate_per_s = self.rate_per_s + cost / _AVERAGED_S
        self._noted_at_s = self._clock()
