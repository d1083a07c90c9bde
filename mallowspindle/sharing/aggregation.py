"""Adds up what entry VMs do."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import replace
from itertools import chain
from operator import add, sub
from typing import TypeVar

from mallowspindle.sharing.messages import (
    QuotaSpent,
    ServerLoad,
    WorkSum,
)

_MS = 1000
# A node that has run for longer has forgotten nothing that still counts.
_YOUNG_S = 30.0

ZoneCounts = Mapping[str, Mapping[str, int]]
AmountT = TypeVar('AmountT', bound=tuple[int, ...])


def total(parts: Iterable[WorkSum]) -> WorkSum:
    """Return the sum of what disjoint groups of nodes do."""
    parts = list(parts)
    return WorkSum(
        nodes=sum(part.nodes for part in parts),
        loads=_merged(part.loads for part in parts),
        demands=_merged(part.demands for part in parts),
        quota_use=_merged(part.quota_use for part in parts),
        young_s=[young_s for part in parts for young_s in part.young_s],
        ages_s=round(sum(part.ages_s for part in parts), 2),
        unreachable=_counted(part.unreachable for part in parts),
    )


def brought_up(parts: Iterable[tuple[WorkSum, float]]) -> WorkSum:
    """Return the sum of parts, each with its age, as it is by now.

    A server reads one prompt at a time, so that parts of the work at the same
    server share the time that has passed.
    """
    parts = list(parts)
    whole = total(aged(work, age_s) for work, age_s in parts)
    told = _merged(work.loads for work, _ in parts)
    weighted: Counter[str] = Counter()
    for work, age_s in parts:
        weighted.update(_weighted_ages(work, int(age_s * _MS)))
    left = {
        name: ServerLoad(load.running, _left_ms(load, weighted[name]))
        for name, load in told.items()
    }
    return replace(whole, loads=left)


def _weighted_ages(work: WorkSum, age_ms: int) -> dict[str, int]:
    return {name: load.backlog_ms * age_ms for name, load in work.loads.items()}


def _left_ms(load: ServerLoad, weighted_age: int) -> int:
    passed_ms = weighted_age // max(1, load.backlog_ms)
    return max(0, load.backlog_ms - passed_ms)


def without(whole: WorkSum, part: WorkSum) -> WorkSum:
    """Return what the nodes of ``whole`` do that are not in ``part``."""
    return WorkSum(
        nodes=max(0, whole.nodes - part.nodes),
        loads=_less(whole.loads, part.loads),
        demands=_less(whole.demands, part.demands),
        quota_use=_less(whole.quota_use, part.quota_use),
        young_s=_others(whole.young_s, part.young_s),
        ages_s=_ages_without(whole, part),
        unreachable=_counted_less(whole.unreachable, part.unreachable),
    )


def aged(work: WorkSum, age_s: float) -> WorkSum:
    """Return what ``work`` is by now if all went on as before."""
    return WorkSum(
        nodes=work.nodes,
        loads={
            server_id: ServerLoad(
                load.running, max(0, load.backlog_ms - int(age_s * _MS))
            )
            for server_id, load in work.loads.items()
        },
        demands=work.demands,
        quota_use={
            name: QuotaSpent(
                spent.used + int(spent.rate_per_s * age_s),
                spent.lately_used + int(spent.rate_per_s * age_s),
                spent.rate_per_s,
            )
            for name, spent in work.quota_use.items()
        },
        young_s=young([young_s + age_s for young_s in work.young_s]),
        ages_s=work.ages_s + work.nodes * age_s,
        unreachable=work.unreachable,
    )


def young(uptimes_s: Iterable[float]) -> list[float]:
    """Return the uptimes of the nodes that started lately."""
    return [round(uptime_s, 2) for uptime_s in uptimes_s if uptime_s < _YOUNG_S]


def _ages_without(whole: WorkSum, part: WorkSum) -> float:
    """Return the ages of the others if all are as old as the average."""
    if not whole.nodes:
        return 0
    return whole.ages_s * max(0, 1 - part.nodes / whole.nodes)


def _counted(maps: Iterable[ZoneCounts]) -> dict[str, dict[str, int]]:
    counted: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for zone, counts in chain.from_iterable(part.items() for part in maps):
        counted[zone].update(counts)
    return {name: dict(sums) for name, sums in counted.items()}


def _counted_less(
    whole: ZoneCounts, part: ZoneCounts
) -> dict[str, dict[str, int]]:
    return {
        zone: dict(Counter(counts) - Counter(part.get(zone, {})))
        for zone, counts in whole.items()
    }


def _merged(maps: Iterable[Mapping[str, AmountT]]) -> dict[str, AmountT]:
    merged: dict[str, AmountT] = {}
    for part in maps:
        for name, amount in part.items():
            known = merged.get(name)
            merged[name] = (
                amount
                if known is None
                else type(amount)(*map(add, known, amount))
            )
    return merged


def _less(
    whole: Mapping[str, AmountT], part: Mapping[str, AmountT]
) -> dict[str, AmountT]:
    return {
        name: _difference(amount, part[name]) if name in part else amount
        for name, amount in whole.items()
    }


def _difference(amount: AmountT, part: AmountT) -> AmountT:
    return type(amount)(*(max(0, left) for left in map(sub, amount, part)))


def _others(whole_s: list[float], part_s: list[float]) -> list[float]:
    """Return uptimes without those closest to ``part_s``."""
    left_s = list(whole_s)
    for uptime_s in part_s:
        if left_s:
            left_s.remove(min(left_s, key=lambda one_s: abs(one_s - uptime_s)))
    return left_s
