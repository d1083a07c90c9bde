"""How many requests may be sent a second time.

Load pattern: a failing service gets each request again and again, so that the
repeats alone keep it overloaded. Repeats stay a small share of the requests,
over all nodes together; each node spends an equal part of what is allowed
beyond that share.
"""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """Repeats allowed in each window: a share of requests, and some more."""

    ratio: float
    window_s: float
    slack: float


class RetryBudget:
    """Requests and repeats of one service at this node."""

    # Part of the allowance that is used: nodes count their requests in
    # windows that differ a little from one another.
    _USED_PART = 0.7

    def __init__(
        self, terms: BudgetTerms, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._terms = terms
        self._clock = clock
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_request(self) -> None:
        """Count a caller's request."""
        self._requests.append(self._clock())

    def try_spend(self, nodes: int) -> bool:
        """Take one repeat off the budget; False if nothing is left."""
        now_s = self._clock()
        horizon_s = now_s - self._terms.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < horizon_s:
                times.popleft()
        allowed = self._terms.ratio * len(self._requests)
        allowed += self._terms.slack / max(1, nodes)
        if len(self._repeats) + 1 > allowed * self._USED_PART:
            return False
        self._repeats.append(now_s)
        return True
