"""Enforces the quotas of organisations at this node."""

import time
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from itertools import repeat

from mallowspindle.catalog.configuration import Organisation, Quota
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
from mallowspindle.sharing.messages import QuotaUse, WorkSum
from mallowspindle.sharing.service import INTERVAL_S, SharingService

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


class Quotas:
    """Admits requests by the work that all nodes together have admitted.

    The work of peers is known as far as they have shared it with this node.
    """

    def __init__(
        self,
        sharing: SharingService,
        window_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._sharing = sharing
        self._window_s = window_s
        self._admitted: dict[str, AdmittedWork] = defaultdict(
            partial(AdmittedWork, window_s, clock)
        )
        self._credits: dict[str, Credit] = defaultdict(
            partial(Credit, _CREDIT_LAG_S, clock)
        )
        sharing.register_work_source(self._own_use)

    def admit_or_retry_after_s(
        self,
        organisation: Organisation,
        tokens: int | None,
        *,
        resumes_stream: bool = False,
    ) -> float:
        """Admit a request and return 0, or return the time until a retry.

        ``resumes_stream`` tells that the request takes up a stream.
        """
        quota = organisation.quota
        if not quota.rate_per_s:
            return 0
        cost = quota.cost_of(tokens)
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
            admitted.note(cost)
            return 0
        return self._retry_after_s(quota, cost, admitted)

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

    def _own_use(self) -> WorkSum:
        return WorkSum(
            quota_use={
                name: QuotaUse(
                    int(admitted.used()),
                    int(admitted.lately_used()),
                    int(admitted.rate_per_s()),
                )
                for name, admitted in self._admitted.items()
            }
        )
