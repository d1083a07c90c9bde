"""Adds up the usage that all entry VMs count.

A node that is restarted forgets what it counted and heard. So the others tell
on the counts of lives that have ended.
"""

from collections import Counter
from collections.abc import Iterable

from mallowspindle.sharing.messages import (
    EndedUsage,
    NodeState,
    WindowCounts,
)

_KEPT_WINDOWS = 8

# One life of a node: its name and its incarnation.
Life = tuple[str, int]
Counts = dict[str, int]


class UsageTable:
    """The newest counts of each life of each node, by window."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[Life, Counts]] = {}
        self._newest: dict[str, int] = {}

    def learn(self, state: NodeState) -> None:
        """Take over what a node has counted and heard."""
        self.put(state.node, state.incarnation, state.usage)
        for ended in state.ended_usage:
            self.put(ended.node, ended.incarnation, ended.usage)

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

    def ended(self) -> list[EndedUsage]:
        """Return the counts of lives that a later one has followed."""
        return [
            EndedUsage(*life, [WindowCounts(window, counts)])
            for window, lives in self._windows.items()
            for life, counts in lives.items()
            if self._has_ended(life)
        ]

    def windows(self) -> list[int]:
        """Return the windows in which anything was counted, oldest first."""
        return sorted(self._windows)

    def _has_ended(self, life: Life) -> bool:
        node, incarnation = life
        return incarnation < self._newest[node]

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of each organisation in a window."""
        total: Counter[str] = Counter()
        for counts in self._windows.get(window, {}).values():
            total.update(counts)
        return dict(total)
