"""Orders backend servers as the fleet policy plans them."""

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

# Time beyond the boot in which an ordered server should have registered.
_REGISTERS_WITHIN_S = 2.5
# Pause after a refusal until servers of that class are asked for again. They
# count as not to be had until they are granted.
_REFUSED_PAUSE_S = 2.5
# Surplus servers are given back after the fleet has been complete this long.
_SETTLED_AFTER_S = 1.5

Slot = tuple[str, str, bool]
Demands = Callable[[str], Demand]


@dataclass(slots=True)
class _Ordered:
    """The last order that was accepted for a service, zone and class."""

    desired: int
    ordered_at_s: float


class FleetKeeper:
    """Keeps each service's fleet at what the policy plans."""

    def __init__(
        self,
        catalog: CatalogService,
        duties: Duties,
        demands: Demands,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._catalog = catalog
        self._duties = duties
        self._demands = demands
        self._clock = clock
        self._sizers: dict[str, FleetSizer] = {}
        self._planned: dict[str, FleetSize] = {}
        self._ordered: dict[Slot, _Ordered] = {}
        self._refused_at_s: dict[Slot, float] = {}
        self._complete_since_s: float | None = None

    def forget(self) -> None:
        """Forget all orders: this node holds the duty anew."""
        self._sizers.clear()
        self._ordered.clear()
        self._refused_at_s.clear()
        self._complete_since_s = None

    async def step(self, fencing_number: int) -> None:
        """Order what the plan lacks; ``StaleFencingNumber`` if another node acts."""
        configuration = self._catalog.configuration
        if configuration is None:
            return
        for spec in configuration.services.values():
            if spec.fleet is not None:
                await self._step(fencing_number, spec, spec.fleet)

    async def _step(
        self, fencing_number: int, spec: BackendService, bounds: FleetBounds
    ) -> None:
        if not self._present_of(spec.name):
            # At a cold start the servers have yet to register.
            return
        wanted = self._wanted(spec.name)
        zones = self._zone_fleets(spec.name, bounds)
        if self._is_settled(spec.name, wanted.without_reclaimable):
            serving = len(self._present_of(spec.name))
        else:
            serving = 0
        goals: dict[Slot, int] = {}
        for slot, desired in _slots(
            spec.name, plan_fleet(bounds, zones, wanted)
        ):
            present = self._present(slot)
            # Dear servers go as soon as those that serve besides carry the
            # load; cheap ones stay while any server is missing.
            least = wanted.servers if slot[-1] else wanted.without_reclaimable
            goal = max(desired, present - max(0, serving - least))
            serving -= max(0, present - goal)
            if goal != present:
                goals[slot] = goal
        goals.update(self._asked_again(spec.name, bounds, wanted))
        await self._order_all(fencing_number, goals)

    def _asked_again(
        self, service: str, bounds: FleetBounds, wanted: FleetSize
    ) -> dict[Slot, int]:
        """Return what to order of what was refused a while ago.

        Nothing is planned on these servers before they are granted: a fleet
        that counts on them would give back those that stand in for them.
        """
        zones = self._zone_fleets(service, bounds)
        goals: dict[Slot, int] = {}
        for slot in self._refused_long_ago(service):
            hoped = _with_granted(zones, slot)
            targets = dict(_slots(service, plan_fleet(bounds, hoped, wanted)))
            if targets[slot] > self._present(slot):
                goals[slot] = targets[slot]
        return goals

    async def _order_all(
        self, fencing_number: int, goals: Mapping[Slot, int]
    ) -> None:
        """Order side by side: an order without an answer holds up no other."""
        endings = await asyncio.gather(
            *(
                self._order(fencing_number, slot, desired)
                for slot, desired in goals.items()
            ),
            return_exceptions=True,
        )
        failure = next(filter(None, endings), None)
        if failure is not None:
            raise failure

    def _refused_long_ago(self, service: str) -> list[Slot]:
        """Return what may be asked for again."""
        horizon_s = self._clock() - _REFUSED_PAUSE_S
        return [
            slot
            for slot, refused_at_s in self._refused_at_s.items()
            if slot[0] == service and refused_at_s <= horizon_s
        ]

    def _wanted(self, service: str) -> FleetSize:
        """Return what the demand calls for, and log when that changes."""
        sizer = self._sizers.setdefault(service, FleetSizer(self._clock))
        present = self._present_of(service)
        reclaimable = sum(server.reclaimable for server in present)
        sizer.note_existing_servers(reclaimable, len(present) - reclaimable)
        demand = self._demands(service)
        sizer.note(demand)
        wanted = sizer.wanted()
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

    def _present_of(self, service: str) -> list[BackendServer]:
        return [
            server
            for server in self._catalog.servers.values()
            if server.service == service and not server.draining
        ]

    async def _order(
        self, fencing_number: int, slot: Slot, desired: int
    ) -> None:
        last = self._ordered.get(slot)
        if last is not None and last.desired == desired:
            return
        refused_at_s = self._refused_at_s.get(slot, -math.inf)
        if self._clock() - refused_at_s < _REFUSED_PAUSE_S:
            return
        service, zone, reclaimable = slot
        order = ScaleRequest(service, zone, desired, reclaimable)
        fields = {
            'service': service,
            'zone': zone,
            'desired': desired,
            'reclaimable': reclaimable,
            'present': self._present(slot),
            'fencing_number': fencing_number,
        }
        try:
            await self._duties.scale_service(fencing_number, order)
        except NoServersAvailable as error:
            self._refused_at_s[slot] = self._clock()
            log.info(
                'no servers to be had', extra={**fields, 'error': str(error)}
            )
        except StaleFencingNumber:
            raise
        except DutyError as error:
            log.warning('order failed', extra={**fields, 'error': str(error)})
        else:
            self._refused_at_s.pop(slot, None)
            self._ordered[slot] = _Ordered(desired, self._clock())
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
        for slot in (reclaimable, on_demand):
            self._expire_order(slot, bounds)
        return ZoneFleet(
            reclaimable=self._coming(reclaimable),
            on_demand=self._coming(on_demand),
            reclaimable_available=reclaimable not in self._refused_at_s,
            on_demand_available=on_demand not in self._refused_at_s,
        )

    def _expire_order(self, slot: Slot, bounds: FleetBounds) -> None:
        """Forget an order whose servers should have come, and did not."""
        last = self._ordered.get(slot)
        if last is None:
            return
        age_s = self._clock() - last.ordered_at_s
        late = age_s > bounds.boot_s + _REGISTERS_WITHIN_S
        if late and self._present(slot) != last.desired:
            self._ordered.pop(slot)

    def _coming(self, slot: Slot) -> int:
        last = self._ordered.get(slot)
        present = self._present(slot)
        return present if last is None else max(present, last.desired)

    def _present(self, slot: Slot) -> int:
        return sum(1 for _ in self._servers(slot))

    def _servers(self, slot: Slot) -> list[BackendServer]:
        service, zone, reclaimable = slot
        return [
            server
            for server in self._catalog.servers.values()
            if server.service == service
            and server.zone == zone
            and server.reclaimable == reclaimable
            and not server.draining
        ]

    def _is_settled(self, service: str, least: int) -> bool:
        """Tell whether more than ``least`` servers have served for a while.

        Only servers that serve count: those that are ordered may come late.
        """
        now_s = self._clock()
        if len(self._present_of(service)) <= least:
            self._complete_since_s = None
            return False
        if self._complete_since_s is None:
            self._complete_since_s = now_s
        return now_s - self._complete_since_s >= _SETTLED_AFTER_S


def _slots(
    service: str, targets: Mapping[str, ZoneTarget]
) -> Iterator[tuple[Slot, int]]:
    """Give the desired number of servers of each zone and class."""
    for zone, target in targets.items():
        yield (service, zone, True), target.reclaimable
        yield (service, zone, False), target.on_demand


def _with_granted(
    zones: Mapping[str, ZoneFleet], slot: Slot
) -> dict[str, ZoneFleet]:
    """Return the zones as if a refused slot's servers were to be had."""
    _, zone, reclaimable = slot
    fleet = zones[zone]
    if reclaimable:
        granted = replace(fleet, reclaimable_available=True)
    else:
        granted = replace(fleet, on_demand_available=True)
    return {**zones, zone: granted}
