"""Chooses backend servers by their load, health and prefix caches."""

import logging
import time
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from typing import Self

from mallowspindle.backends.candidates import (
    candidate_of,
    engine_of,
    newest_at_each_address,
    placement_of,
    prefix_owners,
    unreported_s,
)
from mallowspindle.backends.demand import DemandMeters
from mallowspindle.backends.departures import LeavingServers
from mallowspindle.backends.limits import ServerLimits
from mallowspindle.backends.links import ServerLinks
from mallowspindle.backends.prefixes import PrefixCacheIndex
from mallowspindle.backends.reachability import (
    first_trusted,
    own_report,
    reported_unreachable,
)
from mallowspindle.backends.speeds import ServerSpeeds
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
    Placement,
    choose_server,
)
from mallowspindle.proxy.messages import CallerRequest, ResponseHead
from mallowspindle.rollouts.service import Draw, RolloutsService
from mallowspindle.sharing.messages import (
    WorkSum,
)
from mallowspindle.sharing.service import SharingService

log = logging.getLogger(__name__)

# Prefill time from which a prompt is reported to the peers at once. Otherwise
# they might send requests behind it, which would be late.
_SEND_SOON_PREFILL_S = 0.1
_MS = 1000


@service('backends', requires=('catalog', 'rollouts', 'sharing'))
class BackendsService(Service):
    """Chooses a server for each attempt and tracks the work at each server."""

    def __init__(
        self,
        catalog: CatalogService,
        sharing: SharingService,
        clock: Callable[[], float] = time.monotonic,
        rollouts: RolloutsService | None = None,
    ) -> None:
        self._rollouts = rollouts or RolloutsService(catalog, sharing)
        self._catalog = catalog
        self._sharing = sharing
        self._clock = clock
        self._zone = sharing.membership.own.zone
        self._views: dict[str, BackendView] = {}
        self._limits = ServerLimits(sharing, clock)
        self._demands = DemandMeters(clock)
        self._speeds = ServerSpeeds(catalog, sharing, clock)
        self._leaving = LeavingServers(catalog, sharing, clock)
        self._links = ServerLinks(
            self.views, lambda: sharing.send_soon(), clock
        )

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service with the catalog and the sharing service."""
        return cls(
            kernel.find('catalog', CatalogService),
            kernel.find('sharing', SharingService),
            rollouts=kernel.find('rollouts', RolloutsService),
        )

    @property
    def rollouts(self) -> RolloutsService:
        """The rollouts, which decide on versions and count responses."""
        return self._rollouts

    async def start(self) -> None:
        """Start to report this node's work to the peers."""
        self._sharing.register_work_source(self._own_work)
        self._limits.start()
        self._links.start()

    async def stop(self) -> None:
        """Stop to try servers that are not reached."""
        await self._links.stop()

    def not_reached(self) -> list[str]:
        """Return the services of which this node reaches no server."""
        return self._links.not_reached()

    def nodes_not_reaching(self) -> set[str]:
        """Return the nodes that reach no server of some service."""
        return {
            *self._sharing.peer_work().not_reached,
            *self._own_not_reached(),
        }

    def record_lost_connection(self, view: BackendView) -> None:
        """Record a server that accepts no connection or broke one off."""
        self._links.record_lost(view)

    def record_answering(self, view: BackendView) -> None:
        """Record that a server has begun to answer this node."""
        self._links.record_answering(view.server.service)

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
        self,
        service_name: str,
        avoid: Collection[str],
        software_version: str | None = None,
        *,
        request_id: str = '',
        streams: bool = False,
    ) -> list[BackendView]:
        """Return the servers that may get new work.

        With a ``software_version``, only servers of that version are included.
        What a rollout does not allow is excluded, also if nothing remains.

        Ejected servers and those that peers report as unreachable are excluded,
        unless no others remain. Servers whose limit leaves no room, and those
        that asked for a pause, are always excluded. If several servers have the
        same address, only the newest is included: a server that dies without
        notice stays in the catalog for a while.
        """
        self._leaving.merge_peers()
        serving = [
            view
            for view in self.views(service_name)
            if not view.server.draining
            and not (view.paused_until_s and view.pause_left_s)
            and view.server.server_id not in avoid
            and software_version in {None, view.server.software_version}
        ]
        serving = self._limits.with_room(newest_at_each_address(serving))
        groups = self._rollouts.groups(
            service_name,
            serving,
            Draw(request_id, streams, software_version, not avoid),
        )
        return first_trusted(
            groups,
            reported_unreachable(
                self._sharing.peer_work().unreachable, self._zone
            ),
        )

    def record_unreachable(self, view: BackendView) -> None:
        """Avoid a server that accepts no connections and report it to peers."""
        if not view.unreachable:
            self._sharing.send_soon()
        view.record_unreachable()

    def record_statements(self, view: BackendView, head: ResponseHead) -> None:
        """Record what a server says of itself in a response."""
        if head.load is not None:
            self._speeds.record(view.server, head.load)
        if head.limit is not None:
            self._limits.record(view.server, head.limit.per_s)
        if head.leaving:
            self._leaving.record(view.server)
        if head.pause_s:
            view.pause(head.pause_s)
            log.info(
                'backend server asks for a pause',
                extra={
                    'server': view.server.server_id,
                    'pause_s': head.pause_s,
                },
            )

    def record_response(
        self, view: BackendView, in_flight: InFlightRequest
    ) -> None:
        """Record that a request has got its answer or first event."""
        self._speeds.record_response(view, in_flight)

    def claim(self, view: BackendView) -> bool:
        """Count a request to a server; return False if it may not get one."""
        if view.pause_left_s or self._limits.wait_s(view.server):
            return False
        self._limits.note_sent(view.server)
        return True

    def limit_retry_after_s(self, service_name: str) -> float | None:
        """Return when a request may come back that servers want no more of.

        Return None if the service has no servers, or one that has no limit and
        has asked for no pause.
        """
        views = [
            view
            for view in self.views(service_name)
            if not view.server.draining
        ]
        waits_s = [view.pause_left_s for view in views if view.pause_left_s]
        servers = [view.server for view in views if not view.pause_left_s]
        if None in {self._limits.limit_per_s(server) for server in servers}:
            return None
        if servers:
            waits_s.append(self._limits.retry_after_s(servers))
        return min(waits_s, default=None)

    def pick(
        self,
        service_name: str,
        request: CallerRequest,
        avoid: Collection[str],
        software_version: str | None = None,
        *,
        streams: bool = False,
    ) -> Pick | None:
        """Return the server for the next attempt; None if there is none.

        A stream that has begun goes on only at a server of the same
        ``software_version``. The attempt counts against the limit of the server
        at once. ``streams`` is whether the response is a stream.
        """
        usable = self.usable(
            service_name,
            avoid,
            software_version,
            request_id=request.request_id,
            streams=streams,
        )
        peers = self._sharing.peer_work()
        placement = placement_of(
            request, self._zone, unreported_s(peers, service_name)
        )
        return self._pick_from(usable, request, placement)

    def pick_copy_keeper(
        self, running: BackendView, request: CallerRequest
    ) -> BackendView | None:
        """Return the server that keeps a copy of a run; None if none can.

        The run can go on there only if it has the same software version.
        """
        service_name = running.server.service
        engine = engine_of(self._catalog, service_name)
        if engine is None or not engine.supports_kv_backup:
            return None
        usable = self.usable(
            service_name,
            {running.server.server_id},
            running.server.software_version,
        )
        if not usable:
            return None
        peer_loads = self._sharing.peer_work().loads
        chosen = choose_server(
            [candidate_of(view, peer_loads) for view in usable],
            placement_of(request, running.server.zone),
            'copy_keeper',
        )
        return self._views[chosen.server_id]

    def can_move_runs(self, service_name: str) -> bool:
        """Return whether the servers of a service can move their runs."""
        engine = engine_of(self._catalog, service_name)
        return engine is not None and engine.supports_kv_transfer

    def note_demand(self, service_name: str, request: CallerRequest) -> None:
        """Add a request to the demand for a service, whether served or not."""
        views = self.views(service_name) if request.prompt else []
        self._demands.note(service_name, views, request)

    def demand(self, service_name: str) -> Demand:
        """Return the demand for a service, over all nodes."""
        peers = self._sharing.peer_work()
        return self._demands.total(
            service_name, self.views(service_name), peers
        )

    @contextmanager
    def track_request(
        self, view: BackendView, request: CallerRequest
    ) -> Iterator[InFlightRequest]:
        """Count a request while it is at a server."""
        peers = self._sharing.peer_work().loads
        peer_load = peers.get(view.server.server_id, NO_WORK)
        wait_s = (peer_load.backlog_ms + view.load().backlog_ms) / _MS
        pace = self._speeds.prefill_pace(view)
        with view.track_request(request, wait_s, pace) as tracked:
            self._speeds.note_sent(view, tracked, wait_s)
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
        owners = prefix_owners(usable, request)
        candidates = [
            candidate_of(
                view,
                peer_loads,
                view.prefix_cache.cached_tokens(request.prompt),
                is_owner=view.server.server_id in owners,
            )
            for view in usable
        ]
        placement, policy = self._speeds.apply(usable, candidates, placement)
        chosen = choose_server(candidates, placement, policy)
        view = self._views[chosen.server_id]
        self._limits.note_sent(view.server)
        return Pick(view, chosen.backlog_s, policy != 'predicted')

    def _own_work(self) -> WorkSum:
        return WorkSum(
            loads={
                view.server.server_id: view.load()
                for view in self._views.values()
                if view.in_flight
            },
            demands=self._demands.own(),
            unreachable=own_report(
                self._views,
                self._catalog.servers,
                self._zone,
                self._links.not_reached(),
            ),
            not_reached=self._own_not_reached(),
            leaving=self._leaving.own(),
            reports=self._speeds.own_reports(),
            times=self._speeds.own_times(),
        )

    def _own_not_reached(self) -> dict[str, list[str]]:
        services = self._links.not_reached()
        return {self._sharing.membership.own.name: services} if services else {}

    def _view_of(self, server: BackendServer) -> BackendView:
        view = self._views.get(server.server_id)
        if view is not None and view.server is server:
            return view
        if view is None or (
            view.server.started_at_ms != server.started_at_ms
            or view.server.address != server.address
        ):
            self._drop_gone_views()
            self._speeds.forget(server.server_id)
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
        self._speeds.forget_gone(self._views)

    def _cache_capacity(self, server: BackendServer) -> int:
        engine = engine_of(self._catalog, server.service)
        return engine.cache_tokens if engine else 0
