"""Retry budgets: how many requests may be sent again.

Load pattern: a service fails and each request is retried again and again, so
that the retries alone keep the service overloaded. Retries are limited to a
small share of the requests over all nodes, and a fixed slack beyond it.

Each node retries a share of its own requests, whatever it knows of the others.
The slack is shared by grants in the log: see ``mallowspindle.policies.grants``.
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


class RetryShare:
    """Requests of one service at this node, and the retries that they allow."""

    # Fraction of the ratio that is used. The retries of a window follow from
    # requests of that window and of the one before, which may be those of former
    # processes. Each retry takes requests that no other one takes, so that half
    # of the ratio suffices whichever processes start, and when.
    _USED_FRACTION = 0.5

    def __init__(
        self, terms: BudgetTerms, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._terms = terms
        self._clock = clock
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    @property
    def request_count(self) -> int:
        """The requests in the current window."""
        self._forget_old()
        return len(self._requests)

    @property
    def retry_count(self) -> int:
        """The retries of this share in the current window."""
        self._forget_old()
        return len(self._retries)

    def note_request(self) -> None:
        """Count a caller's request."""
        self._forget_old()
        self._requests.append(self._clock())

    def try_spend(self) -> bool:
        """Spend one retry; return False if the share is exhausted."""
        self._forget_old()
        allowed = self._terms.ratio * self._USED_FRACTION * len(self._requests)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(self._clock())
        return True

    def _forget_old(self) -> None:
        horizon_s = self._clock() - self._terms.window_s
        for times_s in (self._requests, self._retries):
            while times_s and times_s[0] < horizon_s:
                times_s.popleft()
