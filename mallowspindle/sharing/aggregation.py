"""Sums of the work of entry VMs."""

import random
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from itertools import accumulate, chain, repeat, takewhile
from operator import add, sub
from typing import TypeVar

from mallowspindle.sharing.counts import rollout_totals, rollouts_without
from mallowspindle.sharing.messages import (
    PartEvidence,
    QuotaUse,
    ServerLimit,
    ServerLoad,
    ServerReport,
    WorkSum,
)

_MS = 1000
# What a node lost at a restart longer ago than this no longer matters.
_RECENT_START_S = 30.0
# Bound the size of sums after many requests were lost, by what there is evidence
# against and by crashes. Each node shares the rest in later states. Without the
# second bound, 128 parts with up to 24 crashes each took over 90 KB, which a
# relay sends to its whole zone every 0.35 s, more than a link of 10 Mbit/s has.
_MAX_EVIDENCE = 128
_MAX_EVIDENCE_CRASHES = 256

ZoneCounts = Mapping[str, Mapping[str, int]]
AmountT = TypeVar('AmountT', bound=tuple[int, ...])


def total(parts: Iterable[WorkSum]) -> WorkSum:
    """Return the sum of the work of disjoint groups of nodes."""
    parts = list(parts)
    return WorkSum(
        nodes=sum(part.nodes for part in parts),
        loads=_summed(part.loads for part in parts),
        demands=_summed(part.demands for part in parts),
        quota_use=_summed(part.quota_use for part in parts),
        young_s=[young_s for part in parts for young_s in part.young_s],
        ages_s=round(sum(part.ages_s for part in parts), 2),
        unreachable=_summed_counts(part.unreachable for part in parts),
        limits=_newest_limits(part.limits for part in parts),
        evidence=_joined_evidence(part.evidence for part in parts),
        not_reached=dict(
            chain.from_iterable(part.not_reached.items() for part in parts)
        ),
        leaving=dict(
            chain.from_iterable(part.leaving.items() for part in parts)
        ),
        reports=_newest_reports(part.reports for part in parts),
        times=_summed(part.times for part in parts),
        rollouts=rollout_totals(part.rollouts for part in parts),
        quota_trends=_summed(part.quota_trends for part in parts),
        trending_nodes=sum(part.trending_nodes for part in parts),
    )


def total_by_now(parts: Iterable[tuple[WorkSum, float]]) -> WorkSum:
    """Return the sum of parts, each given with its age, projected to now.

    A server reads one prompt at a time, so the parts of its backlog share the
    elapsed time: their average age, weighted by backlog, is subtracted once.
    """
    parts = list(parts)
    whole = total(projected(work, age_s) for work, age_s in parts)
    reported = _summed(work.loads for work, _ in parts)
    weighted: Counter[str] = Counter()
    for work, age_s in parts:
        weighted.update(_backlog_age_products(work, int(age_s * _MS)))
    remaining = {
        name: ServerLoad(load.running, _remaining_ms(load, weighted[name]))
        for name, load in reported.items()
    }
    return replace(whole, loads=remaining)


def _backlog_age_products(work: WorkSum, age_ms: int) -> dict[str, int]:
    return {name: load.backlog_ms * age_ms for name, load in work.loads.items()}


def _remaining_ms(load: ServerLoad, weighted_age: int) -> int:
    passed_ms = weighted_age // max(1, load.backlog_ms)
    return max(0, load.backlog_ms - passed_ms)


def subtract(whole: WorkSum, part: WorkSum) -> WorkSum:
    """Return the work of the nodes of ``whole`` that are not in ``part``."""
    return WorkSum(
        nodes=max(0, whole.nodes - part.nodes),
        loads=_subtracted(whole.loads, part.loads),
        demands=_subtracted(whole.demands, part.demands),
        quota_use=_subtracted(whole.quota_use, part.quota_use),
        young_s=_remaining_uptimes(whole.young_s, part.young_s),
        ages_s=_remaining_ages(whole, part),
        unreachable=_subtracted_counts(whole.unreachable, part.unreachable),
        limits=whole.limits,
        evidence=whole.evidence,
        not_reached={
            name: services
            for name, services in whole.not_reached.items()
            if name not in part.not_reached
        },
        leaving=whole.leaving,
        reports=whole.reports,
        times=_subtracted(whole.times, part.times),
        rollouts=rollouts_without(whole.rollouts, part.rollouts),
        quota_trends=_subtracted(whole.quota_trends, part.quota_trends),
        trending_nodes=max(0, whole.trending_nodes - part.trending_nodes),
    )


def projected(work: WorkSum, age_s: float) -> WorkSum:
    """Project work to ``age_s`` later, assuming constant rates."""
    age_ms = int(age_s * _MS)
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
            name: QuotaUse(
                spent.used + int(spent.rate_per_s * age_s),
                spent.lately_used + int(spent.rate_per_s * age_s),
                spent.rate_per_s,
            )
            for name, spent in work.quota_use.items()
        },
        young_s=recent_uptimes([young_s + age_s for young_s in work.young_s]),
        ages_s=work.ages_s + work.nodes * age_s,
        unreachable=work.unreachable,
        limits={
            server_id: limit._replace(age_s=round(limit.age_s + age_s, 2))
            for server_id, limit in work.limits.items()
        },
        evidence=work.evidence,
        not_reached=work.not_reached,
        leaving=work.leaving,
        reports={
            server_id: ServerReport(
                report.requests, report.slowdown_percent, report.age_ms + age_ms
            )
            for server_id, report in work.reports.items()
        },
        times=work.times,
        rollouts=work.rollouts,
        quota_trends=work.quota_trends,
        trending_nodes=work.trending_nodes,
    )


def recent_uptimes(uptimes_s: Iterable[float]) -> list[float]:
    """Return the uptimes of recently started nodes, rounded."""
    return [
        round(uptime_s, 2)
        for uptime_s in uptimes_s
        if uptime_s < _RECENT_START_S
    ]


def _remaining_ages(whole: WorkSum, part: WorkSum) -> float:
    """Return the other nodes' sum of ages, assuming the average for each."""
    if not whole.nodes:
        return 0
    return whole.ages_s * max(0, 1 - part.nodes / whole.nodes)


def _newest_limits(
    maps: Iterable[Mapping[str, ServerLimit]],
) -> dict[str, ServerLimit]:
    newest: dict[str, ServerLimit] = {}
    entries = chain.from_iterable(limits.items() for limits in maps)
    for server_id, limit in entries:
        known = newest.get(server_id)
        if known is None or limit.age_s < known.age_s:
            newest[server_id] = limit
    return newest


def _newest_reports(
    maps: Iterable[Mapping[str, ServerReport]],
) -> dict[str, ServerReport]:
    newest: dict[str, ServerReport] = {}
    entries = chain.from_iterable(reports.items() for reports in maps)
    for server_id, report in entries:
        known = newest.get(server_id)
        if known is None or report.age_ms < known.age_ms:
            newest[server_id] = report
    return newest


def _joined_evidence(
    maps: Iterable[Mapping[str, PartEvidence]],
) -> dict[str, PartEvidence]:
    joined: dict[str, PartEvidence] = {}
    entries = chain.from_iterable(evidence.items() for evidence in maps)
    for part_id, found in entries:
        known = joined.get(part_id)
        joined[part_id] = (
            found
            if known is None
            else PartEvidence(
                {**known.crashes, **found.crashes},
                {**known.cleared, **found.cleared},
            )
        )
    total_crashes = sum(map(_size_in_crashes, joined.values()))
    if len(joined) <= _MAX_EVIDENCE and total_crashes <= _MAX_EVIDENCE_CRASHES:
        return joined
    return _bounded_evidence(joined)


def _bounded_evidence(
    joined: Mapping[str, PartEvidence],
) -> dict[str, PartEvidence]:
    """Return the heaviest evidence, and of the rest some at random.

    The heaviest is the same in most sums, and nodes need the rest as well.
    """
    heaviest = sorted(joined.items(), key=_crash_count, reverse=True)
    chosen = _within(heaviest, _MAX_EVIDENCE // 2, _MAX_EVIDENCE_CRASHES // 2)
    rest = [entry for entry in heaviest if entry[0] not in chosen]
    left = _MAX_EVIDENCE_CRASHES - sum(map(_size_in_crashes, chosen.values()))
    shuffled = random.sample(rest, len(rest))
    return chosen | _within(shuffled, _MAX_EVIDENCE - len(chosen), left)


def _within(
    entries: Sequence[tuple[str, PartEvidence]],
    max_parts: int,
    max_crashes: int,
) -> dict[str, PartEvidence]:
    """Return the first entries that are within both bounds."""
    sizes = accumulate(_size_in_crashes(found) for _, found in entries)
    fitting = takewhile(lambda size: size <= max_crashes, sizes)
    return dict(entries[: min(max_parts, sum(1 for _ in fitting))])


def _size_in_crashes(found: PartEvidence) -> int:
    return len(found.crashes) + len(found.cleared)


def _crash_count(entry: tuple[str, PartEvidence]) -> int:
    return len(entry[1].crashes)


def _summed_counts(maps: Iterable[ZoneCounts]) -> dict[str, dict[str, int]]:
    sums_by_zone: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for zone, counts in chain.from_iterable(part.items() for part in maps):
        sums_by_zone[zone].update(counts)
    return {name: dict(sums) for name, sums in sums_by_zone.items()}


def _subtracted_counts(
    whole: ZoneCounts, part: ZoneCounts
) -> dict[str, dict[str, int]]:
    return {
        zone: dict(Counter(counts) - Counter(part.get(zone, {})))
        for zone, counts in whole.items()
    }


def _summed(maps: Iterable[Mapping[str, AmountT]]) -> dict[str, AmountT]:
    sums: dict[str, AmountT] = {}
    for part in maps:
        for name, amount in part.items():
            known = sums.get(name)
            sums[name] = (
                amount
                if known is None
                else type(amount)(*map(add, known, amount))
            )
    return sums


def _subtracted(
    whole: Mapping[str, AmountT], part: Mapping[str, AmountT]
) -> dict[str, AmountT]:
    return {
        name: _difference(amount, part[name]) if name in part else amount
        for name, amount in whole.items()
    }


def _difference(amount: AmountT, part: AmountT) -> AmountT:
    # One is made for each server and organisation whenever peers are summed;
    # a generator takes twice as long.
    return type(amount)(*map(max, map(sub, amount, part), repeat(0)))


def _remaining_uptimes(
    whole_s: list[float], part_s: list[float]
) -> list[float]:
    """Return the uptimes left after removing the closest to each part."""
    remaining_s = list(whole_s)
    for uptime_s in part_s:
        if remaining_s:
            remaining_s.remove(
                min(remaining_s, key=lambda other_s: abs(other_s - uptime_s))
            )
    return remaining_s
