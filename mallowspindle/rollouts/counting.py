"""Counts of what servers of each version were sent and what came back."""

import time
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import repeat

from mallowspindle.catalog.servers import BackendServer
from mallowspindle.policies.versions import Cell, Counts, time_bucket
from mallowspindle.sharing.messages import RolloutSum

# Events after the first one over which the pace of a stream is taken: late
# enough for a mean, and early enough for a stream of some seconds.
_PACED_EVENTS = 4
# Time that is added to the predicted one before a first event, so that short
# predictions do not exaggerate the ratio.
_BASE_S = 0.1
# An attempt that is given up earlier says nothing about its server's speed.
_LATE_S = 1.0
_MS = 1000
_FAILED = 0
_UNTIMED = 1
_SEPARATOR = '\t'


class VersionCounts:
    """Counts of one service since one order."""

    def __init__(self, order: int) -> None:
        self._order = order
        self._sent: Counter[str] = Counter()
        self._running: Counter[str] = Counter()
        self._cells: dict[str, list[int]] = {}
        self._longest_ms = [0, 0]

    @property
    def order(self) -> int:
        """The position of the order since which is counted."""
        return self._order

    def begin(self, version: str) -> None:
        """Count a request that is sent."""
        self._sent[version] += 1
        self._running[version] += 1

    def end(self, version: str, elapsed_s: float, *, streams: bool) -> None:
        """Count a request that has ended."""
        self._running[version] -= 1
        longest = max(self._longest_ms[streams], int(elapsed_s * _MS))
        self._longest_ms[streams] = longest

    def add(self, server: BackendServer, measure: str, index: int) -> None:
        """Count a response, or a part of one."""
        name = _SEPARATOR.join((server.software_version, server.zone, measure))
        counts = self._cells.setdefault(name, [])
        counts.extend(repeat(0, index + 1 - len(counts)))
        counts[index] += 1

    def sums(self) -> RolloutSum:
        """Return the counts, for peers."""
        return RolloutSum(
            self._order,
            dict(self._sent),
            dict(+self._running),
            {name: list(counts) for name, counts in self._cells.items()},
            list(self._longest_ms),
        )


@dataclass(slots=True)
class AttemptWatch:
    """Measures one attempt at a server while a rollout is under way.

    Times of a server that is not warm yet are not counted: it is slow.
    ``predicted_s`` is the time in which the first event is due.
    """

    counts: VersionCounts
    server: BackendServer
    route: str
    streams: bool
    predicted_s: float = 0
    clock: Callable[[], float] = time.monotonic
    began_at_s: float = field(init=False)
    first_at_s: float | None = None
    events: int = 0
    is_paced: bool = False

    def __post_init__(self) -> None:
        """Count the request as sent."""
        self.began_at_s = self.clock()
        self.counts.begin(self.server.software_version)

    def note_chunk(self) -> None:
        """Measure the first event and the pace of the next ones."""
        if self.is_paced:
            return
        if self.first_at_s is None:
            self.first_at_s = self.clock()
            waited_s = self.first_at_s - self.began_at_s
            ratio = waited_s / (self.predicted_s + _BASE_S)
            self._add(self._first_measure, self._index(ratio * _BASE_S))
            return
        self.events += 1
        if self.events == _PACED_EVENTS:
            self._add_pace()

    def note_answer(self, *, failed: bool) -> None:
        """Count a complete answer."""
        if failed:
            self.note_lost()
        elif self.streams:
            self._add(self._first_measure, _UNTIMED)
        else:
            self._add(self._first_measure, self._index(self._elapsed_s()))

    def note_late(self) -> None:
        """Count an attempt that was given up after so long a time."""
        if self._elapsed_s() < _LATE_S:
            return
        if self.first_at_s is None:
            self._add(self._first_measure, self._index(self._elapsed_s()))
        elif not self.is_paced:
            self.events += 1
            self._add_pace()

    def note_lost(self) -> None:
        """Count a failure, or a response that broke off."""
        if self.first_at_s is None:
            self._add(self._first_measure, _FAILED)
        else:
            self._add(f'{self.route} pace', _FAILED)

    def end(self) -> None:
        """Count the request as ended."""
        if self.events and not self.is_paced:
            self._add_pace()
        version = self.server.software_version
        self.counts.end(version, self._elapsed_s(), streams=self.streams)

    @property
    def _first_measure(self) -> str:
        return f'{self.route} first' if self.streams else self.route

    def _elapsed_s(self) -> float:
        return self.clock() - self.began_at_s

    def _add_pace(self) -> None:
        self.is_paced = True
        passed_s = self.clock() - (self.first_at_s or 0)
        self._add(f'{self.route} pace', self._index(passed_s / self.events))

    def _index(self, time_s: float) -> int:
        is_cold = self.server.cold_remaining_s > 0
        return _UNTIMED if is_cold else time_bucket(time_s)

    def _add(self, measure: str, index: int) -> None:
        self.counts.add(self.server, measure, index)


def cells_of(
    counted: RolloutSum, is_wanted: Callable[[str], bool]
) -> dict[Cell, Counts]:
    """Return the counts of some versions, summed."""
    cells: defaultdict[Cell, Counter[int]] = defaultdict(Counter)
    for name, listed in counted.cells.items():
        version, zone, measure = _split(name)
        if is_wanted(version):
            cells[Cell(zone, measure)].update(dict(enumerate(listed)))
    return {cell: _as_counts(summed) for cell, summed in cells.items()}


def versions_in(counted: RolloutSum) -> set[str]:
    """Return the versions for which something is counted."""
    return {*counted.sent, *(_split(name)[0] for name in counted.cells)}


def _split(name: str) -> tuple[str, str, str]:
    """Return version, zone and measure; a measure holds the rest."""
    version, _, rest = name.partition(_SEPARATOR)
    zone, _, measure = rest.partition(_SEPARATOR)
    return version, zone, measure


def _as_counts(counts: Mapping[int, int]) -> Counts:
    return tuple(counts[index] for index in range(len(counts)))
