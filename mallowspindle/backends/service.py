"""Chooses backend servers by their load, health and prefix caches."""

import logging
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from functools import partial
from operator import attrgetter
from typing import Self

from mallowspindle.backends.limits import ServerLimits
from mallowspindle.backends.prefixes import PrefixCacheIndex
from mallowspindle.backends.view import (
    NO_WORK,
    BackendView,
    InFlightRequest,
    Pick,
)
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.policies.fleet import Demand
from mallowspindle.policies.placement import (
    Candidate,
    Placement,
    choose_server,
)
from mallowspindle.policies.prefill import prefill_time_s
from mallowspindle.policies.rates import RateMeter
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.sharing.messages import (
    PrefillDemand,
    ServerLoad,
    WorkSum,
)
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.identifiers import rendezvous_order

log = logging.getLogger(__name__)

# Number of servers assigned to a shared prefix that no server is known to
# cache, so that all nodes send it to the same few.
_OWNERS_PER_PREFIX = 2
# Prefill time from which a prompt is reported to the peers at once. Otherwise
# they might send requests behind it, which would be late.
_SEND_SOON_PREFILL_S = 0.1
# Span over which the demand is averaged. It covers a few bursts of prompts.
_DEMAND_SPAN_S = 6.0
# Number of nodes that must report a server as unreachable before others avoid
# it. A single node may be disconnected itself.
_MIN_REPORTERS = 2
_MS = 1000
_address_of = attrgetter('server.address')


@service('backends', requires=('catalog', 'sharing'))
class BackendsService(Service):
    """Chooses a server for each attempt and tracks the work at each server."""

    def __init__(
        self,
        catalog: CatalogService,
        sharing: SharingService,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._catalog = catalog
        self._sharing = sharing
        self._clock = clock
        self._zone = sharing.membership.own.zone
        self._views: dict[str, BackendView] = {}
        self._limits = ServerLimits(sharing, clock)
        self._meters: dict[str, RateMeter] = defaultdict(
            partial(RateMeter, _DEMAND_SPAN_S, clock)
        )

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service with the catalog and the sharing service."""
        return cls(
            kernel.find('catalog', CatalogService),
            kernel.find('sharing', SharingService),
        )

    async def start(self) -> None:
        """Start to report this node's work to the peers."""
        self._sharing.register_work_source(self._own_work)
        self._limits.start()

    def views(self, service_name: str) -> list[BackendView]:
        """Return the servers of a service, draining ones included."""
        return [
            self._view_of(server)
            for server in self._catalog.servers.values()
            if server.service == service_name
        ]

    def find(self, service_name: str, server_id: str) -> BackendView | None:
        """Return the view of one server of a service."""
        views = self.views(service_name)
        return next(
            (view for view in views if view.server.server_id == server_id),
            None,
        )

    def usable(
        self, service_name: str, avoid: Collection[str]
    ) -> list[BackendView]:
        """Return the servers that may get new work.

        Ejected servers and those that peers report as unreachable are excluded,
        unless no others remain. Servers whose limit leaves no room are always
        excluded. If several servers have the same address, only the newest is
        included: a server that dies without notice stays in the catalog for a
        while.
        """
        serving = [
            view
            for view in self.views(service_name)
            if not view.server.draining and view.server.server_id not in avoid
        ]
        if len(set(map(_address_of, serving))) < len(serving):
            serving = _newest_at_each_address(serving)
        serving = self._limits.with_room(serving)
        healthy = [view for view in serving if not view.ejected]
        suspects = self._reported_unreachable()
        if suspects:
            trusted = [
                view
                for view in healthy
                if view.reachable or view.server.server_id not in suspects
            ]
            healthy = trusted or healthy
        return healthy or serving

    def record_unreachable(self, view: BackendView) -> None:
        """Avoid a server that accepts no connections and report it to peers."""
        if not view.unreachable:
            self._sharing.send_soon()
        view.record_unreachable()

    def record_limit(
        self, view: BackendView, limit_per_s: float | None
    ) -> None:
        """Record the limit that a server has stated; None for no limit."""
        self._limits.record(view.server, limit_per_s)

    def claim(self, view: BackendView) -> bool:
        """Count a request to a server; return False if its limit forbids it."""
        if self._limits.wait_s(view.server):
            return False
        self._limits.note_sent(view.server)
        return True

    def limit_retry_after_s(self, service_name: str) -> float | None:
        """Return when a request may come back if limits held it back.

        Return None if the service has no servers, or one without a limit.
        """
        servers = [
            view.server
            for view in self.views(service_name)
            if not view.server.draining
        ]
        limits = [self._limits.limit_per_s(server) for server in servers]
        if not limits or None in limits:
            return None
        return self._limits.retry_after_s(servers)

    def pick(
        self,
        service_name: str,
        request: CallerRequest,
        avoid: Collection[str],
    ) -> Pick | None:
        """Return the server for the next attempt; None if there is none.

        The attempt counts against the limit of the server at once.
        """
        usable = self.usable(service_name, avoid)
        unreported_s = _unreported_s(self._sharing.peer_work(), service_name)
        placement = self._placement(request, self._zone, unreported_s)
        return self._pick_from(usable, request, placement)

    def pick_copy_keeper(
        self, running: BackendView, request: CallerRequest
    ) -> BackendView | None:
        """Return the server that keeps a copy of a run; None if none can."""
        service_name = running.server.service
        configuration = self._catalog.configuration
        spec = configuration and configuration.services.get(service_name)
        if not (spec and spec.engine and spec.engine.supports_kv_backup):
            return None
        usable = self.usable(service_name, {running.server.server_id})
        if not usable:
            return None
        peer_loads = self._sharing.peer_work().loads
        chosen = choose_server(
            [_candidate(view, peer_loads) for view in usable],
            self._placement(request, running.server.zone),
            'copy_keeper',
        )
        return self._views[chosen.server_id]

    def note_demand(self, service_name: str, request: CallerRequest) -> None:
        """Add a request to the demand for a service, whether served or not."""
        cached = 0
        if request.prompt:
            views = self.views(service_name)
            cached = max(
                (
                    view.prefix_cache.cached_tokens(request.prompt)
                    for view in views
                ),
                default=0,
            )
        prefill_s = prefill_time_s(request.prompt_tokens or 0, cached)
        self._meters[service_name].note(prefill_s)

    def demand(self, service_name: str) -> Demand:
        """Return the demand for a service, over all nodes."""
        peers = self._sharing.peer_work()
        peer_demand = peers.demands.get(service_name, PrefillDemand(0))
        own_prefill_load = self._meters[service_name].rate_per_s()
        views = self.views(service_name)
        running = sum(
            view.load().running
            + peers.loads.get(view.server.server_id, NO_WORK).running
            for view in views
        )
        slots = min((view.server.slots for view in views), default=1)
        return Demand(
            own_prefill_load + peer_demand.reading_ms / _MS, running, slots
        )

    @contextmanager
    def track_request(
        self, view: BackendView, request: CallerRequest
    ) -> Iterator[InFlightRequest]:
        """Count a request while it is at a server."""
        peers = self._sharing.peer_work().loads
        peer_load = peers.get(view.server.server_id, NO_WORK)
        wait_ms = peer_load.backlog_ms + view.load().backlog_ms
        with view.track_request(request, wait_ms / _MS) as tracked:
            if tracked.prefill_s >= _SEND_SOON_PREFILL_S:
                self._sharing.send_soon()
            yield tracked

    def _pick_from(
        self,
        usable: list[BackendView],
        request: CallerRequest,
        placement: Placement,
    ) -> Pick | None:
        if not usable:
            return None
        peer_loads = self._sharing.peer_work().loads
        owners = self._prefix_owners(usable, request)
        chosen = choose_server(
            [
                _candidate(
                    view,
                    peer_loads,
                    view.prefix_cache.cached_tokens(request.prompt),
                    is_owner=view.server.server_id in owners,
                )
                for view in usable
            ],
            placement,
        )
        view = self._views[chosen.server_id]
        self._limits.note_sent(view.server)
        return Pick(view, chosen.backlog_s)

    def _prefix_owners(
        self, usable: list[BackendView], request: CallerRequest
    ) -> list[str]:
        shared = request.prompt[:-1]
        if not shared:
            return []
        key = ','.join(part.part_id for part in shared)
        server_ids = [view.server.server_id for view in usable]
        return rendezvous_order(key, server_ids)[:_OWNERS_PER_PREFIX]

    def _reported_unreachable(self) -> set[str]:
        """Return the servers that enough peers report as unreachable.

        All nodes of another zone may be disconnected from a server that this
        zone reaches. So another zone counts as one report, however many of its
        nodes agree; each node of this zone counts.
        """
        zones = self._sharing.peer_work().unreachable
        if not zones:
            return set()
        reporters = Counter(
            name for counts in zones.values() for name in counts
        )
        reporters.update(zones.get(self._zone, {}))
        reporters.subtract(dict.fromkeys(zones.get(self._zone, {}), 1))
        return {
            name for name, count in reporters.items() if count >= _MIN_REPORTERS
        }

    def _own_unreachable(self) -> dict[str, dict[str, int]]:
        """Return the servers that this node reports as unreachable.

        If it finds more servers unreachable than reachable, it reports none,
        since it may be disconnected itself.
        """
        unreachable = [
            name
            for name, view in self._views.items()
            if view.unreachable and name in self._catalog.servers
        ]
        if not unreachable:
            return {}
        reachable = sum(view.reachable for view in self._views.values())
        if len(unreachable) > reachable:
            return {}
        return {self._zone: dict.fromkeys(unreachable, 1)}

    def _placement(
        self, request: CallerRequest, zone: str, unreported_s: float = 0
    ) -> Placement:
        shared_tokens = sum(part.tokens for part in request.prompt[:-1])
        tokens = request.prompt_tokens or 0
        return Placement(zone, tokens, shared_tokens, unreported_s)

    def _own_work(self) -> WorkSum:
        return WorkSum(
            loads={
                view.server.server_id: view.load()
                for view in self._views.values()
                if view.in_flight
            },
            demands={
                name: PrefillDemand(int(meter.rate_per_s() * _MS))
                for name, meter in self._meters.items()
            },
            unreachable=self._own_unreachable(),
        )

    def _view_of(self, server: BackendServer) -> BackendView:
        view = self._views.get(server.server_id)
        if view is not None and view.server is server:
            return view
        if view is None or (
            view.server.started_at_ms != server.started_at_ms
            or view.server.address != server.address
        ):
            self._drop_gone_views()
            prefix_cache = PrefixCacheIndex(self._cache_capacity(server))
            view = BackendView(server, prefix_cache, clock=self._clock)
            self._views[server.server_id] = view
        view.server = server
        return view

    def _drop_gone_views(self) -> None:
        self._views = {
            server_id: view
            for server_id, view in self._views.items()
            if server_id in self._catalog.servers or view.in_flight
        }
        self._limits.forget_gone(self._views)

    def _cache_capacity(self, server: BackendServer) -> int:
        configuration = self._catalog.configuration
        spec = configuration and configuration.services.get(server.service)
        return spec.engine.cache_tokens if spec and spec.engine else 0


def _newest_at_each_address(views: list[BackendView]) -> list[BackendView]:
    by_start = sorted(views, key=lambda view: view.server.started_at_ms)
    return list({view.server.address: view for view in by_start}.values())


def _unreported_s(peers: WorkSum, service_name: str) -> float:
    """Estimate the prefill time of what peers sent since their last reports."""
    if not peers.nodes:
        return 0
    peer_demand = peers.demands.get(service_name, PrefillDemand(0))
    return peer_demand.reading_ms / _MS * peers.ages_s / peers.nodes


def _candidate(
    view: BackendView,
    peer_loads: dict[str, ServerLoad],
    cached_tokens: int = 0,
    *,
    is_owner: bool = False,
) -> Candidate:
    server = view.server
    own = view.load()
    peers = peer_loads.get(server.server_id, NO_WORK)
    return Candidate(
        server.server_id,
        server.zone,
        server.slots,
        own.running + peers.running,
        (own.backlog_ms + peers.backlog_ms) / _MS,
        cached_tokens,
        is_owner,
        view.full,
        server.cold_remaining_s > 0,
    )
