"""Settings of the daemon with the platform interface."""

from typing import Annotated, Any

from pydantic import BeforeValidator, Field

from mallowspindle.config.common import CommonSettings, WordList
from mallowspindle.config.ini import Section

_MS = 1000


def _split_endpoint(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def _none_if_empty(text: Any) -> Any:
    return None if text == '' else text  # noqa: PLC1901


Endpoint = Annotated[str, Field(pattern=r'^[^:]+:\d+$')]
OptionalAmount = Annotated[
    Annotated[float, Field(ge=0)] | None, BeforeValidator(_none_if_empty)
]
OptionalEndpoint = Annotated[Endpoint | None, BeforeValidator(_none_if_empty)]
# Empty where the deployment has no such bound.
OptionalMs = Annotated[float | None, BeforeValidator(_none_if_empty)]


class ListenSection(Section):
    """Addresses on which this entry VM listens."""

    callers: Endpoint
    readiness: Endpoint
    addresses: Endpoint
    peers: Endpoint
    metrics: OptionalEndpoint = None


class StoreSection(Section):
    """The platform's store, and how often one entry VM reads it for all."""

    address: Endpoint
    timeout_s: float = Field(1.5, gt=0)
    read_interval_s: float = Field(0.5, gt=0)


class DutiesSection(Section):
    """Duties that one entry VM at a time performs; none without an address."""

    address: OptionalEndpoint = None
    kinds: WordList = Field(default_factory=list)
    timeout_s: float = Field(2.0, gt=0)
    lease_s: float = Field(3.0, gt=0)
    usage_window_s: float = Field(5.0, gt=0)


class ProxySection(Section):
    """Timeouts, bounds, and the tolerance of quotas.

    Quotas use ``quota_over_ratio`` of the limit and ``quota_slack_tokens``
    beyond it to cover what is known late; empty means no tolerance.
    """

    connect_timeout_s: float = Field(0.5, gt=0)
    address_validity_s: float = Field(1.5, gt=0)
    drain_timeout_s: float = Field(8.0, gt=0)
    retry_ratio: float = Field(0.2, ge=0)
    retry_window_s: float = Field(10.0, gt=0)
    retry_slack: float = Field(10.0, ge=0)
    quota_window_s: float = Field(8.0, gt=0)
    quota_over_ratio: OptionalAmount = None
    quota_slack_tokens: OptionalAmount = None
    config_apply_ms: OptionalMs = Field(None, gt=0)

    @property
    def config_apply_s(self) -> float | None:
        """Seconds until a new configuration is in force; None if unbounded."""
        if self.config_apply_ms is None:
            return None
        return self.config_apply_ms / _MS


class HedgingSection(Section):
    """Second attempts for requests that take long; a ``share`` of 0 is off.

    They are sent only at services whose servers state how slow they are.
    """

    share: float = Field(0.0, ge=0, le=0.5)
    min_delay_s: float = Field(0.03, gt=0)


class RolloutsSection(Section):
    """What operators tolerate of a bad software version; off if one is empty."""

    exposure_share: OptionalAmount = None
    exposure_slack_requests: OptionalAmount = None
    rollback_ms: OptionalAmount = None


class PlatformSettings(CommonSettings):
    """All settings of ``mallowspindled`` with ``interface = platform``."""

    listen: ListenSection
    store: StoreSection
    duties: DutiesSection = DutiesSection.model_validate({})
    proxy: ProxySection = ProxySection.model_validate({})
    hedging: HedgingSection = HedgingSection.model_validate({})
    rollouts: RolloutsSection = RolloutsSection.model_validate({})

    @property
    def peer_endpoint(self) -> tuple[str, int]:
        """Host and port on which this entry VM listens for peers."""
        return _split_endpoint(self.listen.peers)

    @property
    def drain_timeout_s(self) -> float:
        """Seconds for requests in progress to finish after a stop signal."""
        return self.proxy.drain_timeout_s
