"""Sums of what is counted for rollouts."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from itertools import chain, zip_longest
from operator import add, attrgetter

from mallowspindle.sharing.messages import RolloutSum

Rollouts = Mapping[str, RolloutSum]


def rollout_totals(maps: Iterable[Rollouts]) -> dict[str, RolloutSum]:
    """Return the sum for each service, of its newest order only."""
    totals: dict[str, RolloutSum] = {}
    for service, counted in chain.from_iterable(
        rollouts.items() for rollouts in maps
    ):
        known = totals.get(service)
        if known is None or known.order != counted.order:
            newest = max(
                filter(None, (known, counted)), key=attrgetter('order')
            )
            totals[service] = newest
            continue
        totals[service] = RolloutSum(
            known.order,
            dict(Counter(known.sent) + Counter(counted.sent)),
            dict(Counter(known.running) + Counter(counted.running)),
            _combined(known.cells, counted.cells, add),
            list(map(max, known.longest_ms, counted.longest_ms)),
        )
    return totals


def rollouts_without(whole: Rollouts, part: Rollouts) -> dict[str, RolloutSum]:
    """Return the sums of the nodes of ``whole`` that are not in ``part``."""
    return {
        service: _without(counted, part[service])
        if service in part and part[service].order == counted.order
        else counted
        for service, counted in whole.items()
    }


def _without(whole: RolloutSum, part: RolloutSum) -> RolloutSum:
    return whole._replace(
        sent=dict(Counter(whole.sent) - Counter(part.sent)),
        running=dict(Counter(whole.running) - Counter(part.running)),
        cells=_combined(whole.cells, part.cells, _difference),
    )


def _combined(
    first: Mapping[str, list[int]],
    second: Mapping[str, list[int]],
    combine: Callable[[int, int], int],
) -> dict[str, list[int]]:
    return {
        name: [
            combine(*pair)
            for pair in zip_longest(
                first.get(name, ()), second.get(name, ()), fillvalue=0
            )
        ]
        for name in first.keys() | second.keys()
    }


def _difference(count: int, part: int) -> int:
    return max(0, count - part)
