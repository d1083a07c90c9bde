"""Orders backend servers according to the plan of the fleet policy."""

import asyncio
import logging
import math
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace

from mallowspindle.adapter import (
    Duties,
    DutyError,
    NoServersAvailable,
    ScaleRequest,
    StaleFencingNumber,
)
from mallowspindle.catalog.configuration import BackendService, FleetBounds
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.policies.fleet import (
    Demand,
    FleetSize,
    FleetSizer,
    ZoneFleet,
    ZoneTarget,
    plan_fleet,
)

log = logging.getLogger(__name__)

# Time after its boot within which an ordered server should have registered.
_REGISTRATION_TIMEOUT_S = 2.5
# Time after a refusal until servers of that pool are ordered again. The pool
# counts as unavailable until an order is accepted.
_REFUSAL_RETRY_S = 2.5
# Surplus servers are released after the surplus has lasted this long.
_SURPLUS_DELAY_S = 1.5

# Servers of one class: the service, the zone and whether they are reclaimable.
Pool = tuple[str, str, bool]
DemandSource = Callable[[str], Demand]


@dataclass(slots=True)
class _AcceptedOrder:
    """The last accepted order of a pool."""

    desired: int
    ordered_at_s: float


class FleetController:
    """Keeps the fleet of each service at the size that the policy plans."""

    def __init__(
        self,
        catalog: CatalogService,
        duties: Duties,
        demand_source: DemandSource,
        clock: Callable[[], float] = time.monotonic,
        is_capacity: Callable[[BackendServer], bool] = bool,
    ) -> None:
        self._is_capacity = is_capacity
        self._catalog = catalog
        self._duties = duties
        self._demand_source = demand_source
        self._clock = clock
        self._sizers: dict[str, FleetSizer] = {}
        self._planned: dict[str, FleetSize] = {}
        self._accepted_orders: dict[Pool, _AcceptedOrder] = {}
        self._refused_at_s: dict[Pool, float] = {}
        self._surplus_since_s: float | None = None

    def forget(self) -> None:
        """Forget all orders; called when this node starts a new tenure."""
        self._sizers.clear()
        self._accepted_orders.clear()
        self._refused_at_s.clear()
        self._surplus_since_s = None

    async def reconcile(self, fencing_number: int) -> None:
        """Order the changes that the plan calls for.

        Raises ``StaleFencingNumber`` if another node has taken over.
        """
        configuration = self._catalog.configuration
        if configuration is None:
            return
        for spec in configuration.services.values():
            if spec.fleet is not None:
                await self._reconcile_service(fencing_number, spec, spec.fleet)

    async def _reconcile_service(
        self, fencing_number: int, spec: BackendService, bounds: FleetBounds
    ) -> None:
        if not self._servers_of(spec.name):
            # At a cold start the servers have not registered yet.
            return
        wanted = self._wanted_size(spec.name)
        zones = self._zone_fleets(spec.name, bounds)
        if self._has_lasting_surplus(spec.name, wanted.without_reclaimable):
            serving = len(self._servers_of(spec.name))
        else:
            serving = 0
        sizes: dict[Pool, int] = {}
        for pool, desired in _pool_targets(
            spec.name, plan_fleet(bounds, zones, wanted)
        ):
            present = self._size_of(pool)
            # On-demand servers are released once the remaining servers carry
            # the load; reclaimable ones stay while any server is missing.
            minimum = wanted.servers if pool[-1] else wanted.without_reclaimable
            size = max(desired, present - max(0, serving - minimum))
            serving -= max(0, present - size)
            if size != present:
                sizes[pool] = size
        sizes.update(self._repeated_orders(spec.name, bounds, wanted))
        await self._order_all(fencing_number, sizes)

    def _repeated_orders(
        self, service: str, bounds: FleetBounds, wanted: FleetSize
    ) -> dict[Pool, int]:
        """Return the refused orders that are due to be repeated.

        The plan does not count on these servers until their order is
        accepted; otherwise it would release the servers that replace them.
        """
        zones = self._zone_fleets(service, bounds)
        sizes: dict[Pool, int] = {}
        for pool in self._retryable_pools(service):
            assumed = _as_available(zones, pool)
            targets = dict(
                _pool_targets(service, plan_fleet(bounds, assumed, wanted))
            )
            if targets[pool] > self._size_of(pool):
                sizes[pool] = targets[pool]
        return sizes

    async def _order_all(
        self, fencing_number: int, sizes: Mapping[Pool, int]
    ) -> None:
        """Send all orders concurrently: an unanswered one delays no other."""
        outcomes = await asyncio.gather(
            *(
                self._order(fencing_number, pool, desired)
                for pool, desired in sizes.items()
            ),
            return_exceptions=True,
        )
        failure = next(filter(None, outcomes), None)
        if failure is not None:
            raise failure

    def _retryable_pools(self, service: str) -> list[Pool]:
        """Return the refused pools whose orders may be repeated."""
        cutoff_s = self._clock() - _REFUSAL_RETRY_S
        return [
            pool
            for pool, refused_at_s in self._refused_at_s.items()
            if pool[0] == service and refused_at_s <= cutoff_s
        ]

    def _wanted_size(self, service: str) -> FleetSize:
        """Return the fleet size that the demand needs; log changes of it."""
        sizer = self._sizers.setdefault(service, FleetSizer(self._clock))
        present = self._servers_of(service)
        reclaimable = sum(server.reclaimable for server in present)
        sizer.note_existing_servers(reclaimable, len(present) - reclaimable)
        demand = self._demand_source(service)
        sizer.note(demand)
        wanted = sizer.required_size()
        if wanted != self._planned.get(service):
            self._planned[service] = wanted
            log.info(
                'fleet planned',
                extra={
                    'service': service,
                    'wanted': wanted.servers,
                    'when_scarce': wanted.without_reclaimable,
                    'reading': round(demand.prefill_load, 2),
                    'running': demand.running,
                },
            )
        return wanted

    def _servers_of(self, service: str) -> list[BackendServer]:
        return [
            server
            for server in self._catalog.servers.values()
            if server.service == service
            and not server.draining
            and self._is_capacity(server)
        ]

    async def _order(
        self, fencing_number: int, pool: Pool, desired: int
    ) -> None:
        last = self._accepted_orders.get(pool)
        if last is not None and last.desired == desired:
            return
        refused_at_s = self._refused_at_s.get(pool, -math.inf)
        if self._clock() - refused_at_s < _REFUSAL_RETRY_S:
            return
        service, zone, reclaimable = pool
        order = ScaleRequest(service, zone, desired, reclaimable)
        fields = {
            'service': service,
            'zone': zone,
            'desired': desired,
            'reclaimable': reclaimable,
            'present': self._size_of(pool),
            'fencing_number': fencing_number,
        }
        try:
            await self._duties.scale_service(fencing_number, order)
        except NoServersAvailable as error:
            self._refused_at_s[pool] = self._clock()
            log.info(
                'no servers to be had', extra={**fields, 'error': str(error)}
            )
        except StaleFencingNumber:
            raise
        except DutyError as error:
            log.warning('order failed', extra={**fields, 'error': str(error)})
        else:
            self._refused_at_s.pop(pool, None)
            self._accepted_orders[pool] = _AcceptedOrder(desired, self._clock())
            log.info('servers ordered', extra=fields)

    def _zone_fleets(
        self, service: str, bounds: FleetBounds
    ) -> dict[str, ZoneFleet]:
        return {
            zone: self._zone_fleet(service, zone, bounds)
            for zone in bounds.zone_prices
        }

    def _zone_fleet(
        self, service: str, zone: str, bounds: FleetBounds
    ) -> ZoneFleet:
        reclaimable = (service, zone, True)
        on_demand = (service, zone, False)
        for pool in (reclaimable, on_demand):
            self._expire_order(pool, bounds)
        return ZoneFleet(
            reclaimable=self._expected_size(reclaimable),
            on_demand=self._expected_size(on_demand),
            reclaimable_available=reclaimable not in self._refused_at_s,
            on_demand_available=on_demand not in self._refused_at_s,
        )

    def _expire_order(self, pool: Pool, bounds: FleetBounds) -> None:
        """Forget an order whose servers have not registered in time."""
        last = self._accepted_orders.get(pool)
        if last is None:
            return
        age_s = self._clock() - last.ordered_at_s
        is_overdue = age_s > bounds.boot_s + _REGISTRATION_TIMEOUT_S
        if is_overdue and self._size_of(pool) != last.desired:
            self._accepted_orders.pop(pool)

    def _expected_size(self, pool: Pool) -> int:
        last = self._accepted_orders.get(pool)
        present = self._size_of(pool)
        return present if last is None else max(present, last.desired)

    def _size_of(self, pool: Pool) -> int:
        return sum(1 for _ in self._servers_in(pool))

    def _servers_in(self, pool: Pool) -> list[BackendServer]:
        service, zone, reclaimable = pool
        return [
            server
            for server in self._servers_of(service)
            if server.zone == zone and server.reclaimable == reclaimable
        ]

    def _has_lasting_surplus(self, service: str, minimum: int) -> bool:
        """Return whether more than ``minimum`` servers have served for a while.

        Only registered servers count: those on order may be late.
        """
        now_s = self._clock()
        if len(self._servers_of(service)) <= minimum:
            self._surplus_since_s = None
            return False
        if self._surplus_since_s is None:
            self._surplus_since_s = now_s
        return now_s - self._surplus_since_s >= _SURPLUS_DELAY_S


def _pool_targets(
    service: str, targets: Mapping[str, ZoneTarget]
) -> Iterator[tuple[Pool, int]]:
    """Yield the desired number of servers of each pool."""
    for zone, target in targets.items():
        yield (service, zone, True), target.reclaimable
        yield (service, zone, False), target.on_demand


def _as_available(
    zones: Mapping[str, ZoneFleet], pool: Pool
) -> dict[str, ZoneFleet]:
    """Return the zones as if the servers of a refused pool were available."""
    _, zone, reclaimable = pool
    fleet = zones[zone]
    if reclaimable:
        available = replace(fleet, reclaimable_available=True)
    else:
        available = replace(fleet, on_demand_available=True)
    return {**zones, zone: available}
