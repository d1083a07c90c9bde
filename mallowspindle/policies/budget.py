"""Retry budgets: how many requests may be sent again.

Load pattern: a service fails and each request is retried again and again, so
that the retries alone keep the service overloaded. Retries are limited to a
small share of the requests over all nodes. A fixed allowance beyond that share
is divided equally among the nodes.

A node that was started again has forgotten what it spent, and all nodes may have
been started again together. So its part of the allowance grows with the time
since its start, and it has none before it knows how many nodes share it.
"""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """Limits of the retries in each window.

    All nodes together may retry ``ratio`` of the requests in ``window_s``, and
    ``slack`` requests more.
    """

    ratio: float
    window_s: float
    slack: float


class RetryBudget:
    """Requests and retries of one service at this node."""

    # Fraction of the allowance that is used. The rest is a margin, since the
    # windows of the nodes are not aligned.
    _USED_FRACTION = 0.7
    # What a restarted node uses at once, and how much more in each second. Both
    # together with what its former process spent in the window stay near the
    # allowance, also if all nodes restart twice within one window.
    _RESTARTED_FRACTION = 0.12
    _GROWTH_PER_S = 0.025

    def __init__(
        self,
        terms: BudgetTerms,
        clock: Callable[[], float] = time.monotonic,
        *,
        first_start: bool = False,
        started_at_s: float | None = None,
    ) -> None:
        self._terms = terms
        self._clock = clock
        self._first_start = first_start
        self._started_at_s = clock() if started_at_s is None else started_at_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self) -> None:
        """Count a caller's request."""
        self._requests.append(self._clock())

    def try_spend(self, nodes: int) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        now_s = self._clock()
        horizon_s = now_s - self._terms.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < horizon_s:
                times.popleft()
        allowed = self._terms.ratio * len(
            self._requests
        ) * self._USED_FRACTION + self._terms.slack / max(
            1, nodes
        ) * self._slack_fraction(nodes)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_s)
        return True

    def _slack_fraction(self, nodes: int) -> float:
        """Return which part of this node's share of the allowance it uses."""
        uptime_s = self._clock() - self._started_at_s
        if self._first_start:
            return self._USED_FRACTION
        if nodes <= 1 and uptime_s < self._terms.window_s:
            return 0
        grown = self._RESTARTED_FRACTION + self._GROWTH_PER_S * uptime_s
        return min(self._USED_FRACTION, grown)
