"""Enforces the quotas of organisations at this node."""

import random
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from itertools import repeat

from mallowspindle.catalog.configuration import Organisation, Quota
from mallowspindle.config.platform import ProxySection
from mallowspindle.policies.quota import (
    MIN_CREDIT_FRACTION,
    AdmittedWork,
    Credit,
    PeerUsage,
    PeerUsageSpans,
    QuotaTerms,
    has_room,
    room_of_node,
)
from mallowspindle.policies.quota_forecast import (
    SPAN_FRACTIONS,
    KnownNodes,
    LostUse,
    QuotaRoom,
    QuotaTolerance,
    ToleratedTerms,
    UseForecast,
)
from mallowspindle.sharing.messages import QuotaTrend, QuotaUse, WorkSum
from mallowspindle.sharing.service import INTERVAL_S, SharingService
from mallowspindle.utils.telemetry import meter

# Shortest Retry-After for a caller over its quota.
_MIN_RETRY_AFTER_S = 0.1
# Uptime assumed for peers that started long ago: they do not share theirs.
_LONG_UPTIME_S = 1e6
# Additional age of the work sums that relays send in a large venture, which the
# sums do not include: three messages that may wait 0.1 s each, and the growth
# within the 1 s over which a rate is measured.
_AGGREGATION_LAG_S = 0.6
# Time until most nodes of a large venture know what one has admitted: the
# pauses of two relays. Long prompts are reported at once.
_CREDIT_LAG_S = 2 * INTERVAL_S
_NO_QUOTA_SPENT = QuotaUse(0, 0, 0)
_NO_TREND = QuotaTrend(0, 0, 0, 0, 0, 0, 0, 0)
# Age of the reports in a full mesh and through relays: the pauses between them.
_MESH_AGE_S = INTERVAL_S
_RELAYED_AGE_S = 2 * INTERVAL_S
# Length of the buckets in which work leaves the spans of a forecast.
_BUCKET_S = 0.05
_ASKED_SPAN_S = 1.0


refusals_total = meter.create_counter('quota_refusals')


def quota_tolerance(settings: ProxySection) -> QuotaTolerance | None:
    """Return what the platform grants beyond quotas; None if that is unknown."""
    fraction = settings.quota_over_ratio
    tokens = settings.quota_slack_tokens
    if fraction is None and tokens is None:
        return None
    return QuotaTolerance(fraction or 0, tokens or 0)


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """Whether a request is admitted: then the time until a retry is 0.

    ``details`` explain a refusal in the log.
    """

    retry_after_s: float = 0
    details: Mapping[str, object] = field(default_factory=dict)


_ADMITTED = QuotaDecision()


class Quotas:
    """Admits requests by the work that all nodes together have admitted.

    The work of peers is known as far as they have shared it with this node.
    """

    def __init__(
        self,
        sharing: SharingService,
        window_s: float,
        tolerance: QuotaTolerance | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._sharing = sharing
        self._window_s = window_s
        self._clock = clock
        self._tolerance = tolerance
        buckets_s = {} if tolerance is None else {'bucket_s': _BUCKET_S}
        self._admitted: dict[str, AdmittedWork] = defaultdict(
            partial(AdmittedWork, window_s, clock, **buckets_s)
        )
        self._asked: dict[str, AdmittedWork] = defaultdict(
            partial(AdmittedWork, _ASKED_SPAN_S, clock, **buckets_s)
        )
        self._credits: dict[str, Credit] = defaultdict(
            partial(Credit, _CREDIT_LAG_S, clock)
        )
        spans_s = tuple(map(window_s.__mul__, SPAN_FRACTIONS))
        self._spans_s = spans_s
        self._lost: dict[str, LostUse] = defaultdict(partial(LostUse, spans_s))
        self._known = KnownNodes(0, 0)
        sharing.register_work_source(self._own_use)

    def admit_or_retry_after_s(
        self,
        organisation: Organisation,
        tokens: int | None,
        *,
        resumes_stream: bool = False,
    ) -> float:
        """Admit a request and return 0, or return the time until a retry."""
        return self.admit(
            organisation, tokens, resumes_stream=resumes_stream
        ).retry_after_s

    def admit(
        self,
        organisation: Organisation,
        tokens: int | None,
        *,
        resumes_stream: bool = False,
    ) -> QuotaDecision:
        """Admit a request, or refuse it until a retry.

        ``resumes_stream`` tells that the request takes up a stream.
        """
        quota = organisation.quota
        if not quota.rate_per_s:
            return _ADMITTED
        cost = quota.cost_of(tokens)
        if self._tolerance is not None:
            self._asked[organisation.name].note(cost)
        if self._tolerance is not None and self._all_report_trends():
            decision = self._admit_by_forecast(
                organisation, cost, resumes_stream=resumes_stream
            )
        else:
            decision = self._admit_by_sums(
                organisation, cost, resumes_stream=resumes_stream
            )
        if decision.retry_after_s:
            refusals_total.add(1, {'cause': str(decision.details['cause'])})
        else:
            self._admitted[organisation.name].note(cost)
        return decision

    def _admit_by_forecast(
        self, organisation: Organisation, cost: float, *, resumes_stream: bool
    ) -> QuotaDecision:
        room = self._room(organisation, resumes_stream=resumes_stream)
        if room.admits(cost, random.random()):
            return _ADMITTED
        lacking = cost - min(0, *room.rooms)
        return QuotaDecision(
            max(
                _MIN_RETRY_AFTER_S,
                min(self._window_s, lacking / organisation.quota.rate_per_s),
            ),
            {
                'cause': 'full' if cost > min(room.rooms) else 'shared',
                'cost': cost,
                'room': round(min(room.rooms)),
                'probability': round(min(1, room.probability), 3),
            },
        )

    def _admit_by_sums(
        self, organisation: Organisation, cost: float, *, resumes_stream: bool
    ) -> QuotaDecision:
        quota = organisation.quota
        admitted = self._admitted[organisation.name]
        terms = QuotaTerms(quota.rate_per_s, quota.burst, self._window_s)
        peer_use = self._peer_use(organisation.name)
        fits = partial(
            has_room,
            reporting_fraction=self._sharing.reporting_fraction(),
            uptimes_s=self._uptimes_s(),
            resumes_stream=resumes_stream,
        )
        if fits(terms, admitted, cost, [peer_use]) and (
            self._sharing.is_full_mesh
            or self._takes_credit(organisation.name, cost, terms, peer_use)
        ):
            return _ADMITTED
        return QuotaDecision(
            self._retry_after_s(quota, cost, admitted),
            {'cause': 'full', 'cost': cost},
        )

    def _all_report_trends(self) -> bool:
        work = self._sharing.peer_work()
        return work.trending_nodes >= work.nodes

    def _room(
        self, organisation: Organisation, *, resumes_stream: bool
    ) -> QuotaRoom:
        """Return the room by the forecast of all nodes' use."""
        terms = self._tolerated_terms(organisation.quota)
        work = self._sharing.peer_work()
        trend = work.quota_trends.get(organisation.name, _NO_TREND)
        self._observe_nodes()
        peers = UseForecast.of_peers(
            trend[:3],
            trend[3:6],
            trend.rate_per_s,
            trend.asked_per_s,
            terms.spans_s[0],
            work.ages_s / max(1, work.nodes),
        )
        own = UseForecast.of_node(
            self._admitted[organisation.name],
            terms.spans_s,
            self._asked[organisation.name].rate_per_s(),
        )
        return QuotaRoom.of(
            terms,
            own,
            peers,
            self._lost[organisation.name].by_span(self._clock()),
            reporting_fraction=self._sharing.reporting_fraction(),
            uptimes_s=self._uptimes_s(),
            resumes_stream=resumes_stream,
        )

    def _tolerated_terms(self, quota: Quota) -> ToleratedTerms:
        granted = self._tolerance or QuotaTolerance()
        tolerance = granted.fraction * (
            quota.rate_per_s * self._window_s + quota.burst
        )
        if quota.in_tokens:
            tolerance += granted.tokens
        return ToleratedTerms(
            quota.rate_per_s,
            quota.burst,
            self._window_s,
            tolerance,
            _MESH_AGE_S if self._sharing.is_full_mesh else _RELAYED_AGE_S,
            0 if quota.in_tokens else 1,
        )

    def _takes_credit(
        self,
        name: str,
        cost: float,
        terms: QuotaTerms,
        peer_use: PeerUsageSpans,
    ) -> bool:
        """Take ``cost`` from this node's part of the room."""
        admitted = self._admitted[name]
        rooms = [
            room_of_node(
                span_terms,
                [use],
                reporting_fraction=self._sharing.reporting_fraction(),
                uptimes_s=self._uptimes_s(),
            )
            - used
            for span_terms, use, used in (
                (terms, peer_use.window, admitted.used()),
                (terms.short, peer_use.short, admitted.lately_used()),
            )
        ]
        nodes = self._sharing.peer_work().nodes + 1
        return self._credits[name].take(
            cost,
            admitted.rate_before(_CREDIT_LAG_S),
            min(rooms) / nodes,
            terms.window_limit * MIN_CREDIT_FRACTION / nodes,
        )

    def _retry_after_s(
        self, quota: Quota, cost: float, admitted: AdmittedWork
    ) -> float:
        refill_s = cost / quota.rate_per_s
        return max(
            _MIN_RETRY_AFTER_S, min(refill_s, admitted.time_until_freed_s(cost))
        )

    def _uptimes_s(self) -> list[float]:
        """Return the uptimes of this node and of the peers that report."""
        peers = self._sharing.peer_work()
        long_running = max(0, peers.nodes - len(peers.young_s))
        return [
            self._sharing.uptime_s,
            *peers.young_s,
            *repeat(_LONG_UPTIME_S, long_running),
        ]

    def _peer_use(self, organisation: str) -> PeerUsageSpans:
        spent = self._sharing.peer_work().quota_use.get(
            organisation, _NO_QUOTA_SPENT
        )
        lag_s = 0 if self._sharing.is_full_mesh else _AGGREGATION_LAG_S
        return PeerUsageSpans(
            PeerUsage(spent.used, spent.rate_per_s, lag_s),
            PeerUsage(spent.lately_used, spent.rate_per_s, lag_s),
        )

    def _observe_nodes(self) -> None:
        """Record the use of peers that fell silent or have restarted."""
        work = self._sharing.peer_work()
        known = KnownNodes(work.nodes, len(work.young_s))
        if known != self._known:
            self._known = known
            self._observe_use(known)

    def _observe_use(self, known: KnownNodes) -> None:
        now_s = self._clock()
        trends = self._sharing.peer_work().quota_trends
        for name in trends.keys() | self._lost.keys():
            used = trends.get(name, _NO_TREND)[:3]
            self._lost[name].observe(known, used, now_s)

    def _own_use(self) -> WorkSum:
        if self._tolerance is not None:
            self._observe_use(self._known)
        return WorkSum(
            quota_use={
                name: QuotaUse(
                    int(admitted.used()),
                    int(admitted.lately_used()),
                    int(admitted.rate_per_s()),
                )
                for name, admitted in self._admitted.items()
            },
            quota_trends=self._own_trends(),
            trending_nodes=1,
        )

    def _own_trends(self) -> dict[str, QuotaTrend]:
        return {
            name: self._own_trend(admitted, self._asked[name].rate_per_s())
            for name, admitted in self._admitted.items()
            if admitted.used() or self._asked[name].rate_per_s()
        }

    def _own_trend(
        self, admitted: AdmittedWork, asked_per_s: float
    ) -> QuotaTrend:
        used = map(admitted.used_within, self._spans_s)
        expiring = map(admitted.expiring_per_s, self._spans_s)
        return QuotaTrend._make(
            map(int, (*used, *expiring, admitted.rate_per_s(), asked_per_s))
        )
