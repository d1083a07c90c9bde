"""Keeps a view of each registered backend server."""

import logging
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from operator import attrgetter
from typing import Self

from mallowspindle.backends.prefixes import PrefixCacheIndex
from mallowspindle.backends.view import NO_WORK, BackendView, InFlightRequest
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

# Servers that are taken to cache a shared part of which nothing is known:
# all nodes then send it to the same few.
_OWNERS = 2
# Reading time of a prompt of which the peers hear at once, since a request
# of theirs behind it would come too late.
_TOLD_AT_ONCE_S = 0.1
# Span over which the demand is averaged: a few clumps of prompts.
_DEMAND_SPAN_S = 6.0
# Nodes that must find a server unreachable for the others to avoid it: one
# alone may be cut off itself.
_ENOUGH_FINDERS = 2
_MS = 1000
_address_of = attrgetter('server.address')


@dataclass(frozen=True, slots=True)
class Pick:
    """A server, and the time that prompts waiting there take to read."""

    view: BackendView
    backlog_s: float


@service('backends', requires=('catalog', 'sharing'))
class BackendsService(Service):
    """Chooses a server for each attempt and knows the work at each."""

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
        self._meters: dict[str, RateMeter] = defaultdict(
            partial(RateMeter, _DEMAND_SPAN_S, clock)
        )

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service on the catalog."""
        return cls(
            kernel.find('catalog', CatalogService),
            kernel.find('sharing', SharingService),
        )

    async def start(self) -> None:
        """Begin to tell the peers of this node's work."""
        self._sharing.register_work_source(self._own_work)

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

        Ejected servers, and those that peers find unreachable, are left out
        unless none is left. Of servers at one address only the last one is
        there: one that dies without notice keeps its entry for a while.
        """
        serving = [
            view
            for view in self.views(service_name)
            if not view.server.draining and view.server.server_id not in avoid
        ]
        if len(set(map(_address_of, serving))) < len(serving):
            serving = _last_at_each_address(serving)
        kept = [view for view in serving if not view.ejected]
        doubted = self._doubted()
        if doubted:
            believed = [
                view
                for view in kept
                if view.reached or view.server.server_id not in doubted
            ]
            kept = believed or kept
        return kept or serving

    def note_unreachable(self, view: BackendView) -> None:
        """Leave a server alone that takes no connections, and tell peers."""
        if not view.unreachable:
            self._sharing.send_soon()
        view.note_unreachable()

    def pick(
        self,
        service_name: str,
        request: CallerRequest,
        avoid: Collection[str],
    ) -> Pick | None:
        """Return the server for the next attempt; None if there is none."""
        usable = self.usable(service_name, avoid)
        unreported_s = _unheard_s(self._sharing.peer_work(), service_name)
        placement = self._placement(request, self._zone, unreported_s)
        return self._pick_of(usable, request, placement)

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
        """Count what a caller asks of a service, served or not."""
        cached = 0
        if request.prompt:
            views = self.views(service_name)
            cached = max(
                (view.memory.cached_tokens(request.prompt) for view in views),
                default=0,
            )
        prefill_s = prefill_time_s(request.prompt_tokens or 0, cached)
        self._meters[service_name].note(prefill_s)

    def demand(self, service_name: str) -> Demand:
        """Return what callers ask of a service, over all nodes."""
        peers = self._sharing.peer_work()
        asked = peers.demands.get(service_name, PrefillDemand(0))
        own_reading = self._meters[service_name].rate_per_s()
        views = self.views(service_name)
        running = sum(
            view.load().running
            + peers.loads.get(view.server.server_id, NO_WORK).running
            for view in views
        )
        slots = min((view.server.slots for view in views), default=1)
        return Demand(own_reading + asked.reading_ms / _MS, running, slots)

    @contextmanager
    def track_request(
        self, view: BackendView, request: CallerRequest
    ) -> Iterator[InFlightRequest]:
        """Count a request while it is at a server."""
        peers = self._sharing.peer_work().loads
        ahead = peers.get(view.server.server_id, NO_WORK)
        wait_ms = ahead.backlog_ms + view.load().backlog_ms
        with view.track_request(request, wait_ms / _MS) as work:
            if work.prefill_s >= _TOLD_AT_ONCE_S:
                self._sharing.send_soon()
            yield work

    def _pick_of(
        self,
        usable: list[BackendView],
        request: CallerRequest,
        placement: Placement,
    ) -> Pick | None:
        if not usable:
            return None
        peer_loads = self._sharing.peer_work().loads
        owners = self._owners(usable, request)
        chosen = choose_server(
            [
                _candidate(
                    view,
                    peer_loads,
                    view.memory.cached_tokens(request.prompt),
                    is_owner=view.server.server_id in owners,
                )
                for view in usable
            ],
            placement,
        )
        return Pick(self._views[chosen.server_id], chosen.backlog_s)

    def _owners(
        self, usable: list[BackendView], request: CallerRequest
    ) -> list[str]:
        shared = request.prompt[:-1]
        if not shared:
            return []
        key = ','.join(part.part_id for part in shared)
        names = [view.server.server_id for view in usable]
        return rendezvous_order(key, names)[:_OWNERS]

    def _doubted(self) -> set[str]:
        """Return the servers that enough peers find unreachable.

        Nodes of another zone may be cut off together from a server that this
        zone reaches, so nodes of two zones count, or two of the own.
        """
        zones = self._sharing.peer_work().unreachable
        if not zones:
            return set()
        finders = Counter(name for counts in zones.values() for name in counts)
        finders.update(zones.get(self._zone, {}))
        finders.subtract(dict.fromkeys(zones.get(self._zone, {}), 1))
        return {
            name for name, count in finders.items() if count >= _ENOUGH_FINDERS
        }

    def _found_unreachable(self) -> dict[str, dict[str, int]]:
        """Return what this node tells of servers without connections.

        It tells nothing if it reaches fewer servers than it does not reach:
        then it may be cut off itself.
        """
        found = [
            name
            for name, view in self._views.items()
            if view.unreachable and name in self._catalog.servers
        ]
        if not found:
            return {}
        reached = sum(view.reached for view in self._views.values())
        if len(found) > reached:
            return {}
        return {self._zone: dict.fromkeys(found, 1)}

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
                if view.work
            },
            demands={
                name: PrefillDemand(int(meter.rate_per_s() * _MS))
                for name, meter in self._meters.items()
            },
            unreachable=self._found_unreachable(),
        )

    def _view_of(self, server: BackendServer) -> BackendView:
        view = self._views.get(server.server_id)
        if view is not None and view.server is server:
            return view
        if view is None or (
            view.server.started_at_ms != server.started_at_ms
            or view.server.address != server.address
        ):
            self._forget_gone()
            memory = PrefixCacheIndex(self._capacity(server))
            view = BackendView(server, memory, clock=self._clock)
            self._views[server.server_id] = view
        view.server = server
        return view

    def _forget_gone(self) -> None:
        self._views = {
            server_id: view
            for server_id, view in self._views.items()
            if server_id in self._catalog.servers or view.work
        }

    def _capacity(self, server: BackendServer) -> int:
        configuration = self._catalog.configuration
        spec = configuration and configuration.services.get(server.service)
        return spec.engine.cache_tokens if spec and spec.engine else 0


def _last_at_each_address(views: list[BackendView]) -> list[BackendView]:
    by_start = sorted(views, key=lambda view: view.server.started_at_ms)
    return list({view.server.address: view for view in by_start}.values())


def _unheard_s(peers: WorkSum, service_name: str) -> float:
    """Return the reading that peers have sent since they told their work."""
    if not peers.nodes:
        return 0
    asked = peers.demands.get(service_name, PrefillDemand(0))
    return asked.reading_ms / _MS * peers.ages_s / peers.nodes


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
