"""Retry budgets: how many requests may be sent again.

Load pattern: a service fails and each request is retried again and again, so
that the retries alone keep the service overloaded. Retries are limited to a
small share of the requests over all nodes. A fixed allowance beyond that share
is divided equally among the nodes.
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

    def __init__(
        self, terms: BudgetTerms, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._terms = terms
        self._clock = clock
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
        allowed = self._terms.ratio * len(self._requests)
        allowed += self._terms.slack / max(1, nodes)
        if len(self._retries) + 1 > allowed * self._USED_FRACTION:
            return False
        self._retries.append(now_s)
        return True
