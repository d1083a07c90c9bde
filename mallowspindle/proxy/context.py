"""What exchanges share at one node."""

import logging
from collections import defaultdict
from dataclasses import dataclass
from typing import Self

from mallowspindle.backends.service import BackendsService
from mallowspindle.border import BorderService, Dialect
from mallowspindle.catalog.routes import Organisation
from mallowspindle.catalog.service import CatalogService
from mallowspindle.config.gateway import GatewaySettings, ProxySection
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.policies.budget import BudgetTerms, RetryBudget
from mallowspindle.policies.quota import (
    DemandMeter,
    QuotaShare,
    TokenBucket,
    share_of,
)
from mallowspindle.proxy.upstream import Upstream
from mallowspindle.sharing.messages import Demand
from mallowspindle.sharing.service import SharingService
from mallowspindle.usage import UsageCounter

log = logging.getLogger(__name__)


class Quotas:
    """This node's part of the organisations' quotas."""

    def __init__(self, sharing: SharingService) -> None:
        self._sharing = sharing
        self._buckets: dict[str, TokenBucket] = defaultdict(TokenBucket)
        self._meters: dict[str, DemandMeter] = defaultdict(DemandMeter)
        sharing.provide('demands', self._demands)

    def wait_s(self, organisation: Organisation, tokens: int | None) -> float:
        """Admit a request and return 0, or return when to come back."""
        quota = organisation.quota
        if not quota.rate_per_s:
            return 0
        cost = quota.cost_of(tokens)
        name = organisation.name
        self._meters[name].note(cost)
        states = self._sharing.states()
        peer_rates = [
            demand.rate_per_s
            for state in states
            for demand in state.demands
            if demand.organisation == name
        ]
        nodes = len(self._sharing.peers()) + 1
        part = share_of(self._meters[name].rate_per_s, peer_rates, nodes)
        share = QuotaShare(quota.rate_per_s * part, quota.burst * part)
        return self._buckets[name].wait_s(cost, share)

    def _demands(self) -> list[Demand]:
        return [
            Demand(name, meter.rate_per_s)
            for name, meter in self._meters.items()
            if meter.rate_per_s
        ]


class Budgets:
    """The retry budgets of the services."""

    def __init__(self, terms: BudgetTerms, sharing: SharingService) -> None:
        self._terms = terms
        self._sharing = sharing
        self._budgets: dict[str, RetryBudget] = {}

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._of(service).note_request()

    def take(self, service: str) -> bool:
        """Take one repeat off the budget of a service."""
        return self._of(service).take(len(self._sharing.peers()) + 1)

    def _of(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._terms)
        return self._budgets[service]


@dataclass(frozen=True, slots=True)
class ProxyContext:
    """The services and policies that an exchange uses."""

    config: ProxySection
    catalog: CatalogService
    backends: BackendsService
    dialect: Dialect
    upstream: Upstream
    quotas: Quotas
    budgets: Budgets
    usage: UsageCounter

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> Self:
        """Collect what exchanges need."""
        settings = kernel.settings(GatewaySettings)
        proxy = settings.proxy
        sharing = kernel.find('sharing', SharingService)
        dialect = kernel.find('border', BorderService).dialect
        terms = BudgetTerms(
            proxy.retry_ratio, proxy.retry_window_s, proxy.retry_slack
        )
        return cls(
            config=proxy,
            catalog=kernel.find('catalog', CatalogService),
            backends=kernel.find('backends', BackendsService),
            dialect=dialect,
            upstream=Upstream(proxy.connect_timeout_s, dialect.id_header),
            quotas=Quotas(sharing),
            budgets=Budgets(terms, sharing),
            usage=UsageCounter(settings.duties.usage_window_s),
        )
