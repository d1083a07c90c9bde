"""What callers got in a replay, summed up as the bench sums a day up."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowspindle.lab.scenario import RequestProfile

# Parts of a day's worth, and the length of the windows.
_WHOLE_PART = 0.5
_WINDOWS_PART = 0.35
_KIND_PART = 0.15
_WINDOW_S = 2.0
_WORST_WINDOWS = 2
# What a late answer earns.
_LATE_PART = 0.1


@dataclass(frozen=True, slots=True)
class RequestResult:
    """How one request ended; ``first_event_s`` is infinite without an event."""

    kind: RequestProfile
    began_at_s: float
    first_event_s: float
    longest_gap_s: float
    whole: bool
    refused: bool


# What requests are grouped by.
Grouping = Callable[[RequestResult], str | int]


@dataclass(frozen=True, slots=True)
class Summary:
    """The table row of one replay; all but the price are shares of 1."""

    whole: float
    worst_windows: float
    worst_kind: float
    price: float
    read_tokens: int
    refused: int
    lost: int

    @property
    def worth(self) -> float:
        """The weighted sum, without prices."""
        return (
            _WHOLE_PART * self.whole
            + _WINDOWS_PART * self.worst_windows
            + _KIND_PART * self.worst_kind
        )


@dataclass(slots=True)
class Results:
    """Collects endings; ``gap_s`` is the longest pause that is on time."""

    gap_s: float
    request_results: list[RequestResult] = field(default_factory=list)

    def add(self, ending: RequestResult) -> None:
        """Take in how a request ended."""
        self.request_results.append(ending)

    def earned(self, ending: RequestResult) -> float:
        """Return what a request earned."""
        if not ending.whole:
            return 0
        late = ending.first_event_s > ending.kind.aim_s
        if late or ending.longest_gap_s > self.gap_s:
            return ending.kind.worth * _LATE_PART
        return ending.kind.worth

    def summary(self, price: float, read_tokens: int) -> Summary:
        """Return the table row."""
        windows = self.earned_shares(
            lambda each: int(each.began_at_s // _WINDOW_S)
        )
        kinds = self.earned_shares(lambda each: each.kind.name)
        worst = sorted(windows.values())[:_WORST_WINDOWS]
        return Summary(
            whole=self.earned_shares(lambda each: '')[''],
            worst_windows=sum(worst) / len(worst),
            worst_kind=min(kinds.values()),
            price=price,
            read_tokens=read_tokens,
            refused=sum(each.refused for each in self.request_results),
            lost=sum(
                not each.whole and not each.refused
                for each in self.request_results
            ),
        )

    def earned_shares(self, key: Grouping) -> dict[str | int, float]:
        """Return the part of its worth that each group earned."""
        owed: dict[str | int, float] = defaultdict(float)
        earned: dict[str | int, float] = defaultdict(float)
        for ending in self.request_results:
            group = key(ending)
            owed[group] += ending.kind.worth
            earned[group] += self.earned(ending)
        return {group: earned[group] / owed[group] for group in owed}
