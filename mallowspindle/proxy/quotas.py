"""Applies the organisations' quotas at this node."""

import time
from collections import defaultdict
from functools import partial

from mallowspindle.catalog.routes import Organisation, Quota
from mallowspindle.policies.quota import (
    AdmittedWork,
    PeerSpans,
    PeerUse,
    QuotaTerms,
    has_room,
)
from mallowspindle.sharing.messages import QuotaUse
from mallowspindle.sharing.service import SharingService

# Shortest pause told to a caller over its quota.
_LEAST_PAUSE_S = 0.1
# An incarnation is the start of a daemon in milliseconds of Unix time.
_MILLIS = 1000


class Quotas:
    """What all nodes together admit, as this one knows it."""

    def __init__(self, sharing: SharingService, window_s: float) -> None:
        self._sharing = sharing
        self._window_s = window_s
        self._started_at_s = time.monotonic()
        self._admitted: dict[str, AdmittedWork] = defaultdict(
            partial(AdmittedWork, window_s)
        )
        sharing.provide('quota_use', self._own_use)

    def wait_s(self, organisation: Organisation, tokens: int | None) -> float:
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
            self._peer_use(organisation.name),
            heard_part=self._sharing.heard_part(),
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
        return max(_LEAST_PAUSE_S, min(by_rate_s, admitted.frees_in_s(cost)))

    def _uptimes_s(self) -> list[float]:
        """Return how long this node and the peers it hears have run."""
        now_s = time.time()
        peers = [
            now_s - heard.state.incarnation / _MILLIS
            for heard in self._sharing.heard()
        ]
        return [time.monotonic() - self._started_at_s, *peers]

    def _peer_use(self, organisation: str) -> list[PeerSpans]:
        return [
            PeerSpans(
                PeerUse(use.used, use.rate_per_s, heard.age_s),
                PeerUse(use.lately_used, use.rate_per_s, heard.age_s),
            )
            for heard in self._sharing.heard()
            for use in heard.state.quota_use
            if use.organisation == organisation
        ]

    def _own_use(self) -> list[QuotaUse]:
        return [
            QuotaUse(
                name,
                admitted.used(),
                admitted.lately_used(),
                admitted.rate_per_s(),
            )
            for name, admitted in self._admitted.items()
        ]
