"""Services and policies that all exchanges of a node share."""

from dataclasses import dataclass, field
from typing import Self

from mallowspindle.adapter import AdapterService, HttpCodec
from mallowspindle.backends.service import BackendsService
from mallowspindle.catalog.service import CatalogService
from mallowspindle.config.platform import (
    HedgingSection,
    PlatformSettings,
    ProxySection,
)
from mallowspindle.intake.answers import AnswerBudget
from mallowspindle.intake.bounds import IntakeBounds
from mallowspindle.intake.service import IntakeService
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.proxy.hedge_limits import HedgeLimits
from mallowspindle.proxy.lost_runs import LostRuns
from mallowspindle.proxy.peers import PeerRelays
from mallowspindle.proxy.quotas import Quotas, quota_tolerance
from mallowspindle.proxy.upstream import Upstream
from mallowspindle.quarantine.service import QuarantineService
from mallowspindle.retries.service import RetriesService
from mallowspindle.rollouts.accounts import RolloutAccounts
from mallowspindle.sharing.service import SharingService
from mallowspindle.streams.service import StreamsService
from mallowspindle.usage import UsageCounter
from mallowspindle.utils.stalls import StallWatch


@dataclass(frozen=True, slots=True)
class ProxyContext:
    """The services and policies that an exchange uses."""

    config: ProxySection
    catalog: CatalogService
    backends: BackendsService
    http_codec: HttpCodec
    upstream: Upstream
    quotas: Quotas
    retries: RetriesService
    quarantine: QuarantineService
    streams: StreamsService
    usage: UsageCounter
    peers: PeerRelays
    lost_runs: LostRuns
    stalls: StallWatch = field(default_factory=StallWatch)
    hedge_limits: HedgeLimits = field(
        default_factory=lambda: HedgeLimits(HedgingSection.model_validate({}))
    )
    answers: AnswerBudget = field(
        default_factory=lambda: AnswerBudget(
            IntakeBounds.by_default().answer_bytes
        )
    )

    @property
    def rollouts(self) -> RolloutAccounts:
        """What is measured of attempts while a rollout is under way."""
        return self.backends.rollouts.accounts

    def nodes_not_reaching(self) -> set[str]:
        """Return the nodes that reach no server of some service."""
        return self.backends.nodes_not_reaching()

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> Self:
        """Construct the context from the settings and services of a node."""
        settings = kernel.settings(PlatformSettings)
        proxy = settings.proxy
        sharing = kernel.find('sharing', SharingService)
        adapter = kernel.find('border', AdapterService)
        http_codec = adapter.http_codec
        return cls(
            config=proxy,
            catalog=kernel.find('catalog', CatalogService),
            backends=kernel.find('backends', BackendsService),
            http_codec=http_codec,
            upstream=Upstream(proxy.connect_timeout_s, http_codec.id_header),
            quotas=Quotas(
                sharing, proxy.quota_window_s, quota_tolerance(proxy)
            ),
            retries=kernel.find('retries', RetriesService),
            quarantine=kernel.find('quarantine', QuarantineService),
            streams=kernel.find('streams', StreamsService),
            usage=UsageCounter(
                settings.duties.usage_window_s, sharing.membership.clock.now_s
            ),
            peers=PeerRelays(sharing, settings.peers.shared_key.encode()),
            lost_runs=LostRuns(adapter.migration),
            hedge_limits=HedgeLimits(settings.hedging),
            answers=kernel.find('intake', IntakeService).answers,
        )
