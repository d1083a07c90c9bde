"""Results of the requests of a replay, summarised as in the benchmark."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowspindle.lab.scenario import RequestProfile

# Weights of the parts of the score, and the length of its windows.
_TOTAL_WEIGHT = 0.5
_WINDOWS_WEIGHT = 0.35
_PROFILE_WEIGHT = 0.15
_WINDOW_S = 2.0
_WORST_WINDOWS = 2
# Share of its value that a late answer earns.
_LATE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The result of one request.

    ``first_event_s`` is infinite if no event came.
    """

    profile: RequestProfile
    sent_at_s: float
    first_event_s: float
    longest_gap_s: float
    completed: bool
    refused: bool


# Returns the group of a request.
Grouping = Callable[[RequestResult], str | int]


@dataclass(frozen=True, slots=True)
class Summary:
    """The table row of one replay.

    The first three fields are shares of the value that was possible: of all
    requests, in the worst windows, and of the worst profile.
    """

    earned_share: float
    worst_windows_share: float
    worst_profile_share: float
    cost: float
    prefilled_tokens: int
    refused: int
    lost: int

    @property
    def score(self) -> float:
        """The weighted sum of the shares, without the cost."""
        return (
            _TOTAL_WEIGHT * self.earned_share
            + _WINDOWS_WEIGHT * self.worst_windows_share
            + _PROFILE_WEIGHT * self.worst_profile_share
        )


@dataclass(slots=True)
class Results:
    """Collects the results of requests.

    A request is late if two of its events are more than ``max_gap_s`` apart.
    """

    max_gap_s: float
    request_results: list[RequestResult] = field(default_factory=list)

    def add(self, result: RequestResult) -> None:
        """Add the result of a request."""
        self.request_results.append(result)

    def earned_value(self, result: RequestResult) -> float:
        """Return the value that a request earned."""
        if not result.completed:
            return 0
        late = result.first_event_s > result.profile.first_event_target_s
        if late or result.longest_gap_s > self.max_gap_s:
            return result.profile.value * _LATE_SHARE
        return result.profile.value

    def summary(self, cost: float, prefilled_tokens: int) -> Summary:
        """Return the table row."""
        windows = self.earned_shares(
            lambda each: int(each.sent_at_s // _WINDOW_S)
        )
        profiles = self.earned_shares(lambda each: each.profile.name)
        worst = sorted(windows.values())[:_WORST_WINDOWS]
        return Summary(
            earned_share=self.earned_shares(lambda each: '')[''],
            worst_windows_share=sum(worst) / len(worst),
            worst_profile_share=min(profiles.values()),
            cost=cost,
            prefilled_tokens=prefilled_tokens,
            refused=sum(each.refused for each in self.request_results),
            lost=sum(
                not each.completed and not each.refused
                for each in self.request_results
            ),
        )

    def earned_shares(self, key: Grouping) -> dict[str | int, float]:
        """Return the share of its possible value that each group earned."""
        possible_value: dict[str | int, float] = defaultdict(float)
        earned_value: dict[str | int, float] = defaultdict(float)
        for result in self.request_results:
            group = key(result)
            possible_value[group] += result.profile.value
            earned_value[group] += self.earned_value(result)
        return {
            group: earned_value[group] / possible_value[group]
            for group in possible_value
        }
