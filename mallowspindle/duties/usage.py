"""Adds up the usage that all entry VMs count."""

from collections import Counter
from collections.abc import Iterable

from mallowspindle.sharing.messages import NodeState, WindowCounts

_KEPT_WINDOWS = 8

# One life of a node: its name and its incarnation.
Life = tuple[str, int]
Counts = dict[str, int]


class UsageTable:
    """The newest counts of each life of each node, by window."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[Life, Counts]] = {}

    def learn(self, state: NodeState) -> None:
        """Take over what a node has counted."""
        self.put(state.node, state.incarnation, state.usage)

    def put(
        self, node: str, incarnation: int, usage: Iterable[WindowCounts]
    ) -> None:
        """Replace the counts of one life of a node."""
        for window in usage:
            lives = self._windows.setdefault(window.window, {})
            lives[node, incarnation] = window.counts
        for old in sorted(self._windows)[:-_KEPT_WINDOWS]:
            self._windows.pop(old)

    def windows(self) -> list[int]:
        """Return the windows in which anything was counted, oldest first."""
        return sorted(self._windows)

    def total(self, window: int) -> dict[str, int]:
        """Return the requests of each organisation in a window."""
        total: Counter[str] = Counter()
        for counts in self._windows.get(window, {}).values():
            total.update(counts)
        return dict(total)
