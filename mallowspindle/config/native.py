"""Settings of the daemon with the native interface."""

from pydantic import Field, field_validator

from mallowspindle.config.common import CommonSettings
from mallowspindle.config.ini import Section
from mallowspindle.routing.policies import policies


class NativeSection(Section):
    """Addresses of the platform's services; timeouts and intervals of calls."""

    log_url: str
    cloud_url: str
    log_timeout_s: float = Field(1.0, gt=0)
    vm_poll_interval_s: float = Field(1.0, gt=0)
    notice_poll_interval_s: float = Field(0.25, gt=0)
    settings_snapshot_interval_s: float = Field(900.0, gt=0)


class LimitsSection(Section):
    """Limits of one entry VM."""

    body_bytes: int = Field(2_000_000, ge=1)
    answer_bytes: int = Field(4_000_000, ge=1)
    requests_in_progress: int = Field(2000, ge=1)
    chat_deadline_s: float = Field(600.0, gt=0)
    drain_timeout_s: float = Field(30.0, ge=0)
    result_retention_s: float = Field(600.0, gt=0)
    address_validity_s: int = Field(10, ge=1)
    settings_stale_after_s: float = Field(5.0, gt=0)


class EffectsSection(Section):
    """At-most-once execution of non-idempotent calls."""

    streams: int = Field(8, ge=1, le=256)
    commit_interval_s: float = Field(0.004, ge=0)
    claim_timeout_s: float = Field(3.0, gt=0)
    call_timeout_s: float = Field(30.0, gt=0)
    window_s: float = Field(86_400.0, gt=0)


class RoutingSection(Section):
    """Choice of backend servers."""

    policy: str = 'predicted'
    load_interval_s: float = Field(1.0, gt=0)
    watched_servers: int = Field(24, ge=1)
    attempts: int = Field(6, ge=1)
    connect_timeout_s: float = Field(1.0, gt=0)
    token_timeout_s: float = Field(5.0, gt=0)


class RecoverySection(Section):
    """Copies of accepted requests on a peer, and when it takes them over."""

    copies: str = Field('acceptance', pattern='^(none|notice|acceptance)$')
    copy_timeout_s: float = Field(0.5, gt=0)
    takeover_after_s: float = Field(0.5, gt=0)


class OperatorsSection(Section):
    """Access to the operators' interface of this entry VM."""

    token_sha256: str = Field('', pattern='^([0-9a-f]{64})?$')


class NativeSettings(CommonSettings):
    """All settings of ``mallowspindled`` with ``interface = native``."""

    native: NativeSection
    limits: LimitsSection = LimitsSection.model_validate({})
    effects: EffectsSection = EffectsSection.model_validate({})
    routing: RoutingSection = RoutingSection.model_validate({})
    recovery: RecoverySection = RecoverySection.model_validate({})
    operators: OperatorsSection = OperatorsSection.model_validate({})

    @field_validator('routing')
    @classmethod
    def _policy_is_known(cls, routing: RoutingSection) -> RoutingSection:
        if routing.policy not in policies:
            known = ', '.join(sorted(policies))
            raise ValueError(f'policy is none of {known}')
        return routing

    @property
    def drain_timeout_s(self) -> float:
        """Seconds for requests in progress to finish after a stop signal."""
        return self.limits.drain_timeout_s
