"""Applies the organisations' quotas at this node."""

import time
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from itertools import repeat

from mallowspindle.catalog.configuration import Organisation, Quota
from mallowspindle.policies.quota import (
    AdmittedWork,
    PeerSpans,
    PeerUse,
    QuotaTerms,
    has_room,
)
from mallowspindle.sharing.messages import QuotaSpent, WorkSum
from mallowspindle.sharing.service import SharingService

# Shortest pause told to a caller over its quota.
_LEAST_PAUSE_S = 0.1
# Stands for the uptime of a node that started long ago.
_LONG_S = 1e6
# Time on the way that the sums of a large venture do not show: three messages
# that may wait 0.1 s each, and the growth within the second of a measured rate.
_UNSHOWN_LAG_S = 0.6
_NOTHING_SPENT = QuotaSpent(0, 0, 0)


class Quotas:
    """What all nodes together admit, as this one knows it."""

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
        sharing.register_work_source(self._own_use)

    def admit_or_retry_after_s(
        self, organisation: Organisation, tokens: int | None
    ) -> float:
        """Admit a request and return 0, or return when to come back."""
        quota = organisation.quota
        if not quota.rate_per_s:
            return 0
        cost = quota.cost_of(tokens)
        admitted = self._admitted[organisation.name]
        within = has_room(
            QuotaTerms(quota.rate_per_s, quota.burst, self._window_s),
            admitted,
            cost,
            [self._peer_use(organisation.name)],
            heard_fraction=self._sharing.heard_fraction(),
            uptimes_s=self._uptimes_s(),
        )
        if within:
            admitted.note(cost)
            return 0
        return self._pause_s(quota, cost, admitted)

    def _pause_s(
        self, quota: Quota, cost: float, admitted: AdmittedWork
    ) -> float:
        by_rate_s = cost / quota.rate_per_s
        return max(
            _LEAST_PAUSE_S, min(by_rate_s, admitted.time_until_freed_s(cost))
        )

    def _uptimes_s(self) -> list[float]:
        """Return how long this node and the peers it hears have run."""
        peers = self._sharing.peer_work()
        long_running = max(0, peers.nodes - len(peers.young_s))
        return [
            self._sharing.uptime_s,
            *peers.young_s,
            *repeat(_LONG_S, long_running),
        ]

    def _peer_use(self, organisation: str) -> PeerSpans:
        spent = self._sharing.peer_work().quota_use.get(
            organisation, _NOTHING_SPENT
        )
        lag_s = 0 if self._sharing.is_full_mesh else _UNSHOWN_LAG_S
        return PeerSpans(
            PeerUse(spent.used, spent.rate_per_s, lag_s),
            PeerUse(spent.lately_used, spent.rate_per_s, lag_s),
        )

    def _own_use(self) -> WorkSum:
        return WorkSum(
            quota_use={
                name: QuotaSpent(
                    int(admitted.used()),
                    int(admitted.lately_used()),
                    int(admitted.rate_per_s()),
                )
                for name, admitted in self._admitted.items()
            }
        )
