"""Settings of the daemon on one entry VM."""

from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from mallowspindle.config.ini import Section


def _split_words(text: Any) -> Any:
    return text.split() if isinstance(text, str) else text


WordList = Annotated[list[str], BeforeValidator(_split_words)]


class NodeSection(Section):
    """Identity and addresses of this entry VM."""

    name: str = Field(pattern=r'^[a-z0-9][a-z0-9-]*$')
    region: str = 'local'
    zone: str
    host: str = '127.0.0.1'
    http_port: int = Field(0, ge=0, le=65535)
    peer_port: int = Field(0, ge=0, le=65535)
    vm_id: str = ''


class PeersSection(Section):
    """How this entry VM finds and proves itself to its peers."""

    shared_key: str = Field(min_length=16)
    seeds: WordList = Field(default_factory=list)
    heartbeat_interval_s: float = Field(0.5, gt=0)
    suspect_after_s: float = Field(1.5, gt=0)
    fanout: int = Field(8, ge=1)
    max_frame_bytes: int = Field(16_000_000, ge=1024)


class NativeSection(Section):
    """Where the platform's services are."""

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
    """Copies of accepted requests on a peer."""

    copies: str = Field('acceptance', pattern='^(none|notice|acceptance)$')
    copy_timeout_s: float = Field(0.5, gt=0)
    takeover_after_s: float = Field(0.5, gt=0)


class OperatorsSection(Section):
    """Who may use the operators' interface of this entry VM."""

    token_sha256: str = Field('', pattern='^([0-9a-f]{64})?$')


class TelemetrySection(Section):
    """Exporters of traces, and the log level."""

    traces_file: str = ''
    otlp_endpoint: str = ''
    log_level: str = Field('info', pattern='^(debug|info|warning|error)$')


class DaemonSettings(BaseModel):
    """All settings of ``mallowspindled``."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    node: NodeSection
    peers: PeersSection
    native: NativeSection
    limits: LimitsSection = LimitsSection.model_validate({})
    effects: EffectsSection = EffectsSection.model_validate({})
    routing: RoutingSection = RoutingSection.model_validate({})
    recovery: RecoverySection = RecoverySection.model_validate({})
    operators: OperatorsSection = OperatorsSection.model_validate({})
    telemetry: TelemetrySection = TelemetrySection.model_validate({})
