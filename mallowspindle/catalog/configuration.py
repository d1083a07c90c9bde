"""The operators' configuration as typed data."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property


class RouteKind(StrEnum):
    """Whether requests may run more than once, and how they are answered."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class TrafficShare:
    """The weight of a service among those that share a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How to handle the requests for one host and path prefix.

    An answer, or the first event of a stream, is on time if it comes within
    ``objective_s``. Priority 0 is the highest.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[TrafficShare, ...]
    timeout_s: float
    objective_s: float
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that has begun to run may be run again."""
        return self.kind is RouteKind.SAFE or self.resumable


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit on the requests of an organisation, or on their tokens.

    A zero rate means no limit. If the quota is ``in_tokens``, a request that
    states no number of tokens counts as ``plain_tokens``.
    """

    rate_per_s: float = 0
    burst: float = 0
    in_tokens: bool = False
    plain_tokens: int = 1

    def cost_of(self, tokens: int | None) -> float:
        """Return how much of the quota a request of so many tokens uses."""
        if not self.in_tokens:
            return 1
        return self.plain_tokens if tokens is None else tokens


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation that sends requests, with its keys and quota."""

    name: str
    keys: frozenset[str]
    priority: int = 0
    quota: Quota = Quota()


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Capacity and features of the model engines of a service."""

    slots: int
    cache_tokens: int
    kv_bytes_per_token: float = 0
    supports_kv_transfer: bool = False
    supports_kv_backup: bool = False


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """The number of servers of a service allowed in a zone, and prices.

    ``zone_prices`` holds the price of an on-demand server per second, by zone.
    A reclaimable server costs ``reclaimable_price`` times as much.
    """

    min_servers: int
    max_servers: int
    boot_s: float
    zone_prices: dict[str, float]
    reclaimable_price: float | None = None


@dataclass(frozen=True, slots=True)
class BackendService:
    """One kind of backend server."""

    name: str
    max_connections: int
    engine: EngineModel | None = None
    fleet: FleetBounds | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests and on their delays."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, BackendService] = field(default_factory=dict)
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()

    @property
    def requires_key(self) -> bool:
        """Whether requests to routes that are not public need a key."""
        return bool(self.organisations)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix for a host."""
        matching = (
            route
            for route in self._routes_by_host.get(host, ())
            if path.startswith(route.path_prefix)
        )
        return next(matching, None)

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._organisations_by_key.get(key)

    @cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        longest_first = sorted(
            self.routes, key=lambda route: len(route.path_prefix), reverse=True
        )
        for route in longest_first:
            by_host.setdefault(route.host, []).append(route)
        return by_host

    @cached_property
    def _organisations_by_key(self) -> dict[str, Organisation]:
        return {
            key: organisation
            for organisation in self.organisations
            for key in organisation.keys
        }
