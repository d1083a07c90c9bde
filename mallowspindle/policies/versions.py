"""Sequential test of a software version against the one beside it.

The load pattern is a canary: 5 to 25 responses a second of the new version
beside 100 to 300 of the old one, over several routes and zones, reported up to
1 s late. A bad version fails half of its requests, or is eight times slower,
also from some seconds after its start or on one route only. Crashes, bursts and
slow zones affect both versions.
"""

import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from itertools import chain, starmap, zip_longest
from operator import attrgetter
from typing import NamedTuple

# Failures, responses without a time, then times by the bits of their
# milliseconds.
Counts = tuple[int, ...]
_FAILURES = 0
_FIRST_TIME = 2

# Windows over which the old version is looked at, the shortest with enough
# responses first: a zone that turns slow must show in the reference as soon as
# it shows in the new version.
_WINDOWS_S = (0.6, 1.5, 3.0)
_LONGEST_S = 3.0
_MIN_REFERENCE = 8
# Times of the same moment come from this window: a burst begins in a second.
_SAME_MOMENT_S = 1.5
# Window that shows whether the old version still gets requests of a measure.
_PRESENT_S = 1.0
# A time is slow this many buckets above the old version's median: it is more
# than twice, and usually four times, as long. Without a reference of the same
# moment and zone it is one bucket more, and as many as the old version's other
# responses have become slower.
_SLOW_BUCKETS = 2
_EXPECTED_RATIO = 1.25
_MAX_EXPECTED = 0.6
# Logarithm of the likelihood ratio at which a version is bad: about four
# failures in a row. After the switch there are ten times as many responses.
_LIMIT = 7.0
_LIMIT_ALONE = 14.0
# Counts that fall, since the states of some nodes are missing, stay in force for
# this long. Nodes whose states come back would count twice otherwise.
_KEEP_HIGHEST_S = 2.0
ALL = 'all measures'


@dataclass(frozen=True, slots=True)
class _Rates:
    """Share of bad responses that is expected of a good version.

    It is in addition to the old version's. ``additional`` is how much more a bad
    version has at least.
    """

    expected: float
    additional: float


_FAILED = _Rates(0.04, 0.3)
_FAILED_ALONE = _Rates(0.12, 0.3)
_SLOW = _Rates(0.12, 0.5)
_SLOW_ALONE = _Rates(0.3, 0.4)


class Cell(NamedTuple):
    """What is counted together: one measure at the servers of one zone."""

    zone: str
    measure: str


CellCounts = Mapping[Cell, Counts]


@dataclass(slots=True)
class _Highest:
    """The highest counts of a cell, and since when lower ones arrive."""

    counts: Counts = ()
    low_since_s: float | None = None

    def advance(self, now_s: float, counts: Counts) -> Counts:
        """Return how much each count has grown."""
        pairs = list(zip_longest(counts, self.counts, fillvalue=0))
        is_low = sum(counts) < sum(self.counts)
        if not is_low:
            self.low_since_s = None
        elif self.low_since_s is None:
            self.low_since_s = now_s
        elif now_s - self.low_since_s >= _KEEP_HIGHEST_S:
            self.low_since_s = None
            self.counts = counts
            return ()
        self.counts = tuple(max(pair) for pair in pairs)
        return tuple(max(0, count - known) for count, known in pairs)


@dataclass(frozen=True, slots=True)
class _Growth:
    """By how much cells have grown at one moment."""

    at_s: float
    cells: dict[Cell, Counts]


class _Recent:
    """Cumulative counts, and how much they have grown lately."""

    def __init__(self) -> None:
        self._cells: defaultdict[Cell, _Highest] = defaultdict(_Highest)
        self._grown: deque[_Growth] = deque()
        self._now_s = 0.0

    def advance(self, now_s: float, cells: CellCounts) -> dict[Cell, Counts]:
        """Return what is new in each cell."""
        growth = {
            cell: self._cells[cell].advance(now_s, counts)
            for cell, counts in cells.items()
        }
        grown = {cell: counts for cell, counts in growth.items() if any(counts)}
        self._now_s = now_s
        self._grown.append(_Growth(now_s, grown))
        while self._grown[0].at_s <= now_s - _LONGEST_S:
            self._grown.popleft()
        return grown

    def in_zone(self, cell: Cell, within_s: float = _LONGEST_S) -> Counts:
        """Return recent counts of a cell; none if there are too few."""
        return self._enough(lambda other: other == cell, within_s)

    def anywhere(self, cell: Cell) -> Counts:
        """Return recent counts of a measure in all zones, or else all counts.

        Return none if there are too few.
        """
        found = self._enough(lambda other: other.measure == cell.measure)
        if found:
            return found
        whole = _sum(
            known.counts
            for other, known in self._cells.items()
            if other.measure == cell.measure
        )
        return whole if sum(whole) >= _MIN_REFERENCE else ()

    def slowdown(self) -> int:
        """Return by how many buckets some measure has become slower lately."""
        return max((self._slowdown_of(cell) for cell in self._cells), default=0)

    def lately(self, measure: str) -> int:
        """Return the number of responses of the last moments."""
        return sum(
            sum(counts)
            for growth in self._grown
            if growth.at_s > self._now_s - _PRESENT_S
            for cell, counts in growth.cells.items()
            if cell.measure == measure
        )

    def _slowdown_of(self, cell: Cell) -> int:
        recent = _median_bucket(self.in_zone(cell))
        usual = _median_bucket(self._cells[cell].counts)
        return max(0, recent - usual) if recent and usual else 0

    def _enough(
        self,
        is_wanted: Callable[[Cell], bool],
        within_s: float = _LONGEST_S,
    ) -> Counts:
        for window_s in _WINDOWS_S:
            if window_s > within_s:
                break
            counts = _sum(
                counts
                for growth in self._grown
                if growth.at_s > self._now_s - window_s
                for cell, counts in growth.cells.items()
                if is_wanted(cell)
            )
            if sum(counts) >= _MIN_REFERENCE:
                return counts
        return ()


@dataclass(slots=True)
class _Score:
    """Evidence against the version in one respect; it never falls below 0."""

    evidence: float = 0
    bad: int = 0
    responses: int = 0

    def add(self, bad: int, good: int, usual: float, rates: _Rates) -> None:
        """Add some responses; ``usual`` is the old version's share of bad."""
        if not bad + good:
            return
        if_good = min(_MAX_EXPECTED, rates.expected + _EXPECTED_RATIO * usual)
        if_bad = min(0.95, if_good + rates.additional)
        change = bad * math.log(if_bad / if_good)
        change += good * math.log((1 - if_bad) / (1 - if_good))
        self.evidence = max(0, self.evidence + change)
        self.bad += bad
        self.responses += bad + good


@dataclass(frozen=True, slots=True)
class Finding:
    """The measure that speaks most against a version.

    ``suspicion`` is 1 when the version is judged bad.
    """

    measure: str
    suspicion: float
    bad: int
    responses: int

    @property
    def reason(self) -> str:
        """What was found, for operators."""
        return f'{self.measure}: {self.bad} of {self.responses}'


class VersionJudge:
    """Compares the responses of a version with those of the version beside it.

    Counts are cumulative and may be late, or lack those of some nodes for a
    while.
    """

    def __init__(self) -> None:
        self._new = _Recent()
        self._old = _Recent()
        self._failed: defaultdict[str, _Score] = defaultdict(_Score)
        self._slow: defaultdict[str, _Score] = defaultdict(_Score)
        # Without a reference of the same moment and zone, a version is slow only
        # if it is slow in all zones.
        self._slow_in: defaultdict[str, defaultdict[str, _Score]] = defaultdict(
            partial(defaultdict, _Score)
        )
        self._responses = 0

    @property
    def responses(self) -> int:
        """The responses of the version so far."""
        return self._responses

    def note(self, now_s: float, new: CellCounts, old: CellCounts) -> None:
        """Add what has arrived."""
        self._old.advance(now_s, old)
        for cell, counts in self._new.advance(now_s, new).items():
            self._responses += sum(counts)
            self._add_failures(cell, counts)
            self._add_times(cell, counts)

    def finding(self) -> Finding:
        """Return what speaks most against the version."""
        findings = chain(
            starmap(self._failure_finding, self._failed.items()),
            starmap(partial(_finding, 'slow', _LIMIT), self._slow.items()),
            starmap(_slow_everywhere, self._slow_in.items()),
        )
        none = Finding('', 0, 0, 0)
        return max(findings, key=attrgetter('suspicion'), default=none)

    def _add_failures(self, cell: Cell, counts: Counts) -> None:
        failed = counts[_FAILURES]
        good = sum(counts) - failed
        reference = self._old.in_zone(cell) or self._old.anywhere(cell)
        usual = _share(reference, _FAILURES, _FAILURES + 1)
        rates = _FAILED_ALONE if self._is_alone(cell.measure) else _FAILED
        for name in (cell.measure, ALL):
            self._failed[name].add(failed, good, usual, rates)

    def _add_times(self, cell: Cell, counts: Counts) -> None:
        reference = self._old.in_zone(cell, _SAME_MOMENT_S)
        beside = bool(reference) and not self._is_alone(cell.measure)
        if not beside:
            reference = self._old.anywhere(cell)
        median = _median_bucket(reference)
        if median is None:
            return
        slow_from = median + _SLOW_BUCKETS
        if not beside:
            slow_from += 1 + self._old.slowdown()
        slow = sum(counts[slow_from:])
        good = sum(counts[_FIRST_TIME:slow_from])
        usual = _share(reference, slow_from, None)
        if beside:
            self._slow[cell.measure].add(slow, good, usual, _SLOW)
        else:
            score = self._slow_in[cell.measure][cell.zone]
            score.add(slow, good, usual, _SLOW_ALONE)

    def _is_alone(self, measure: str) -> bool:
        """Return whether the old version gets few requests of a measure."""
        return self._old.lately(measure) < self._new.lately(measure)

    def _failure_finding(self, name: str, score: _Score) -> Finding:
        alone = name != ALL and self._is_alone(name)
        limit = _LIMIT_ALONE if alone else _LIMIT
        return _finding('failed', limit, name, score)


def responses_by_measure(cells: CellCounts) -> dict[str, tuple[int, int]]:
    """Return the responses and the failures of each measure."""
    responses: Counter[str] = Counter()
    failures: Counter[str] = Counter()
    for cell, counts in cells.items():
        responses[cell.measure] += sum(counts)
        failures[cell.measure] += counts[_FAILURES] if counts else 0
    return {name: (responses[name], failures[name]) for name in responses}


def time_bucket(time_s: float) -> int:
    """Return the index in ``Counts`` of a time."""
    return _FIRST_TIME + int(time_s * 1000).bit_length()


def _finding(what: str, limit: float, name: str, score: _Score) -> Finding:
    return Finding(
        f'{name} {what}', score.evidence / limit, score.bad, score.responses
    )


def _slow_everywhere(name: str, zones: Mapping[str, _Score]) -> Finding:
    """Return what speaks against a version in its best zone."""
    best = min(zones.values(), key=attrgetter('evidence'))
    return _finding('slow in all zones', _LIMIT_ALONE, name, best)


def _share(counts: Counts, start: int, stop: int | None) -> float:
    """Return a share of the responses, higher by its standard deviation."""
    if not counts:
        return 0
    responses = sum(counts)
    share = sum(counts[start:stop]) / responses
    return share + math.sqrt(share * (1 - share) / responses)


def _sum(parts: Iterable[Counts]) -> Counts:
    return tuple(map(sum, zip_longest(*parts, fillvalue=0)))


def _median_bucket(counts: Counts) -> int | None:
    times = counts[_FIRST_TIME:]
    half = sum(times) / 2
    if not half:
        return None
    passed = 0
    for index, count in enumerate(times):
        passed += count
        if passed >= half:
            return _FIRST_TIME + index
    return None
