"""Adds up the usage that all entry VMs count.

A node that is restarted forgets what it counted and heard, and one that hangs
tells nobody. So the others tell on the counts of lives that are over or silent.
"""

import time
from collections import Counter
from collections.abc import Callable, Iterable

from mallowspindle.duties.messages import (
    PassedOnUsage,
    UsageNews,
    WindowCounts,
)

_KEPT_WINDOWS = 8
# A node from which nothing came for this long is silent: twice the longest
# pause between two reports.
_SILENT_AFTER_S = 2.2

# One life of a node: its name and its incarnation.
Life = tuple[str, int]
Counts = dict[str, int]


class UsageTable:
    """The newest counts of each life of each node, by window."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._windows: dict[int, dict[Life, Counts]] = {}
        self._newest: dict[str, int] = {}
        self._heard_at_s: dict[str, float] = {}

    def learn(self, news: UsageNews) -> None:
        """Take over what a node has counted and heard."""
        self._heard_at_s[news.node] = self._clock()
        self.put(news.node, news.incarnation, news.usage)
        for told in news.passed_on:
            self.put(told.node, told.incarnation, told.usage)

    def put(
        self, node: str, incarnation: int, usage: Iterable[WindowCounts]
    ) -> None:
        """Take in the counts of one life of a node, which only grow."""
        newest = max(incarnation, self._newest.get(node, incarnation))
        self._newest[node] = newest
        for window in usage:
            lives = self._windows.setdefault(window.window, {})
            known = lives.get((node, incarnation), {})
            if sum(window.counts.values()) >= sum(known.values()):
                lives[node, incarnation] = window.counts
        for old in sorted(self._windows)[:-_KEPT_WINDOWS]:
            self._windows.pop(old)

    def passed_on(self) -> list[PassedOnUsage]:
        """Return the counts of nodes that can't tell them themselves."""
        return [
            PassedOnUsage(*life, [WindowCounts(window, counts)])
            for window, lives in self._windows.items()
            for life, counts in lives.items()
            if self._is_silent(life)
        ]

    def windows(self) -> list[int]:
        """Return the windows in which anything was counted, oldest first."""
        return sorted(self._windows)

    def _is_silent(self, life: Life) -> bool:
        node, incarnation = life
        heard_at_s = self._heard_at_s.get(node, 0)
        hangs = self._clock() - heard_at_s > _SILENT_AFTER_S
        return hangs or incarnation < self._newest[node]

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of each organisation in a window."""
        total: Counter[str] = Counter()
        for counts in self._windows.get(window, {}).values():
            total.update(counts)
        return dict(total)
