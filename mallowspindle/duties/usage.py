"""Adds up the usage counted by all entry VMs.

A restarted node has lost its own counts and those of its peers, and a node
that hangs sends none. So every node passes on the counts of silent nodes and
of earlier incarnations.
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
# A node that has sent nothing for this long is silent: twice the longest time
# between two reports.
_SILENT_AFTER_S = 2.2

# The process that counted: a node's name and its incarnation.
CountSource = tuple[str, int]
Counts = dict[str, int]


class UsageTotals:
    """The newest counts of each incarnation of each node, by window."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._windows: dict[int, dict[CountSource, Counts]] = {}
        self._newest_incarnations: dict[str, int] = {}
        self._last_news_at_s: dict[str, float] = {}

    def merge_news(self, news: UsageNews) -> None:
        """Merge the counts of a node and those that it passes on."""
        self._last_news_at_s[news.node] = self._clock()
        self.merge_counts(news.node, news.incarnation, news.usage)
        for report in news.passed_on:
            self.merge_counts(report.node, report.incarnation, report.usage)

    def merge_counts(
        self, node: str, incarnation: int, usage: Iterable[WindowCounts]
    ) -> None:
        """Merge the counts of one incarnation of a node; they only grow."""
        newest = max(
            incarnation, self._newest_incarnations.get(node, incarnation)
        )
        self._newest_incarnations[node] = newest
        for entry in usage:
            by_source = self._windows.setdefault(entry.window, {})
            known = by_source.get((node, incarnation), {})
            if sum(entry.counts.values()) >= sum(known.values()):
                by_source[node, incarnation] = entry.counts
        for expired in sorted(self._windows)[:-_KEPT_WINDOWS]:
            self._windows.pop(expired)

    def passed_on(self) -> list[PassedOnUsage]:
        """Return the counts of silent nodes and of earlier incarnations."""
        return [
            PassedOnUsage(*source, [WindowCounts(window, counts)])
            for window, by_source in self._windows.items()
            for source, counts in by_source.items()
            if self._is_silent(source)
        ]

    def windows(self) -> list[int]:
        """Return the windows that have counts, oldest first."""
        return sorted(self._windows)

    def _is_silent(self, source: CountSource) -> bool:
        node, incarnation = source
        last_news_at_s = self._last_news_at_s.get(node, 0)
        is_overdue = self._clock() - last_news_at_s > _SILENT_AFTER_S
        return is_overdue or incarnation < self._newest_incarnations[node]

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of each organisation in a window."""
        total: Counter[str] = Counter()
        for counts in self._windows.get(window, {}).values():
            total.update(counts)
        return dict(total)
