"""Decoding of the operators' configuration."""

from types import MappingProxyType

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mallowspindle.catalog.configuration import (
    BackendService,
    CallerLimits,
    Configuration,
    EngineModel,
    FleetBounds,
    Organisation,
    Quota,
    Route,
    RouteKind,
    TrafficShare,
)
from mallowspindle.platform.errors import DecodeError

# The key of the configuration's record in the operators' stream.
CONFIGURATION_KEY = 'config'

_ROUTE_KINDS = MappingProxyType(
    {
        'safe': RouteKind.SAFE,
        'unsafe': RouteKind.UNSAFE,
        'streaming': RouteKind.STREAM,
    }
)
_MS = 1000


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _Split(_Model):
    service: str
    weight: float = Field(1, ge=0)


class _Route(_Model):
    name: str
    host: str
    path_prefix: str
    # Decides whether a request may run again. A route's name does not.
    kind: str
    # Limit on the time of the whole response, not an idle timeout.
    timeout_ms: float = Field(gt=0)
    # Latency objective; for streams, the time to the first event.
    target_latency_ms: float = 1000
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] | None = None
    # Counts the servers that one request may run on, not connection attempts.
    max_attempts: int = Field(1, ge=1)
    public: bool = False
    resumable: bool = False

    def decode(self) -> Route:
        splits = self.traffic_split or []
        shares = tuple(
            TrafficShare(split.service, split.weight) for split in splits
        )
        if not shares and self.service is not None:
            shares = (TrafficShare(self.service, 1),)
        return Route(
            name=self.name,
            host=self.host.lower(),
            path_prefix=self.path_prefix,
            # A request of an unknown kind must run at most once.
            kind=_ROUTE_KINDS.get(self.kind, RouteKind.UNSAFE),
            shares=shares,
            timeout_s=self.timeout_ms / _MS,
            objective_s=self.target_latency_ms / _MS,
            priority=self.priority,
            max_attempts=self.max_attempts,
            public=self.public,
            resumable=self.resumable,
        )


class _Engine(_Model):
    slots: int = Field(1, ge=1)
    kv_capacity_tokens: int = 0
    # Size of the KV cache in bytes per token.
    kv_bytes: float = 0
    moves: bool = False
    backups: bool = False


class _Autoscale(_Model):
    # Both limits apply to each zone and to the sum of reclaimable and
    # on-demand servers.
    min: int = 0
    max: int = 0
    boot_s: float = 0
    # Price of a reclaimable server as a fraction of the on-demand price.
    spot_price: float | None = None
    zone_prices: dict[str, float] = Field(default_factory=dict)


class _Service(_Model):
    name: str
    max_connections: int = Field(1, ge=1)
    engine: _Engine | None = None
    autoscale: _Autoscale | None = None

    def decode(self) -> BackendService:
        return BackendService(
            self.name,
            self.max_connections,
            _decode_engine_model(self.engine) if self.engine else None,
            _decode_fleet_bounds(self.autoscale) if self.autoscale else None,
        )


class _Limits(_Model):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(_Model):
    name: str
    api_keys: list[str] = Field(default_factory=list)
    priority: int = 0
    # Unit of ``rate_per_s`` and ``burst``: ``requests`` or ``tokens``.
    unit: str = 'requests'
    # Tokens charged for a request that states no token count.
    plain_tokens: int = 1
    rate_per_s: float = 0
    burst: float = 0

    def decode(self) -> Organisation:
        quota = Quota(
            self.rate_per_s,
            self.burst,
            self.unit == 'tokens',
            self.plain_tokens,
        )
        return Organisation(
            self.name, frozenset(self.api_keys), self.priority, quota
        )


class _Configuration(_Model):
    version: int
    routes: list[_Route] = Field(default_factory=list)
    services: list[_Service] = Field(default_factory=list)
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = Field(default_factory=list)


def decode_configuration(value: bytes) -> Configuration:
    """Decode a configuration record; raise ``DecodeError`` if invalid."""
    try:
        document = _Configuration.model_validate_json(value)
    except ValidationError as error:
        raise DecodeError(f'invalid configuration: {error}') from error
    limits = document.limits
    return Configuration(
        version=document.version,
        routes=tuple(route.decode() for route in document.routes),
        services={
            backend.name: backend.decode() for backend in document.services
        },
        organisations=tuple(tenant.decode() for tenant in document.tenants),
        limits=CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / _MS,
            idle_timeout_s=limits.idle_timeout_ms / _MS,
        ),
    )


def _decode_engine_model(engine: _Engine) -> EngineModel:
    return EngineModel(
        slots=engine.slots,
        cache_tokens=engine.kv_capacity_tokens,
        kv_bytes_per_token=engine.kv_bytes,
        supports_kv_transfer=engine.moves,
        supports_kv_backup=engine.backups,
    )


def _decode_fleet_bounds(autoscale: _Autoscale) -> FleetBounds:
    return FleetBounds(
        min_servers=autoscale.min,
        max_servers=autoscale.max,
        boot_s=autoscale.boot_s,
        zone_prices=dict(autoscale.zone_prices),
        reclaimable_price=autoscale.spot_price,
    )
