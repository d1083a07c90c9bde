"""How many servers of which class a service has in each zone.

Load pattern: reclaimable servers cost a fifth of the others, but a zone's are
all taken away at once, and then none may be had for a while. Servers are
spread over the zones, reclaimable ones wherever they are to be had; what the
reclaimable ones lack is made up by on-demand servers in the cheapest zones
until reclaimable ones are back.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import cycle

from mallowspindle.catalog.routes import FleetBounds


@dataclass(frozen=True, slots=True)
class ZoneFleet:
    """Servers of one zone that serve or boot, and whether more are had."""

    reclaimable: int = 0
    on_demand: int = 0
    reclaimable_to_be_had: bool = True
    on_demand_to_be_had: bool = True


@dataclass(frozen=True, slots=True)
class ZoneTarget:
    """How many servers of each class a zone shall have."""

    reclaimable: int
    on_demand: int


def plan_fleet(
    bounds: FleetBounds,
    zones: Mapping[str, ZoneFleet],
    wanted: int,
) -> dict[str, ZoneTarget]:
    """Return the target of each zone for ``wanted`` servers in all."""
    spread = _spread(bounds, zones, wanted)
    reclaimable = {
        zone: _reclaimable_target(bounds, fleet, spread[zone])
        for zone, fleet in zones.items()
    }
    on_demand = dict.fromkeys(zones, 0)
    for zone, fleet in zones.items():
        # A zone without reclaimable servers keeps its least number.
        if reclaimable[zone] < bounds.least and fleet.on_demand_to_be_had:
            on_demand[zone] = bounds.least - reclaimable[zone]
    missing = wanted - sum(reclaimable.values()) - sum(on_demand.values())
    for zone in _cheapest_first(bounds, zones):
        room = bounds.most - reclaimable[zone] - on_demand[zone]
        if zones[zone].on_demand_to_be_had:
            added = max(0, min(room, missing))
            on_demand[zone] += added
            missing -= added
    return {
        zone: ZoneTarget(reclaimable[zone], on_demand[zone]) for zone in zones
    }


def _reclaimable_target(
    bounds: FleetBounds, fleet: ZoneFleet, share: int
) -> int:
    if bounds.reclaimable_price is None:
        return 0
    if fleet.reclaimable_to_be_had:
        return share
    return min(share, fleet.reclaimable)


def _spread(
    bounds: FleetBounds, zones: Mapping[str, ZoneFleet], wanted: int
) -> dict[str, int]:
    """Spread servers evenly, the cheapest zones first."""
    spread = dict.fromkeys(zones, bounds.least)
    left = wanted - sum(spread.values())
    turns: Iterator[str] = cycle(_cheapest_first(bounds, zones))
    for _ in range(max(0, left)):
        zone = next(turns)
        if spread[zone] < bounds.most:
            spread[zone] += 1
    return spread


def _cheapest_first(
    bounds: FleetBounds, zones: Mapping[str, ZoneFleet]
) -> list[str]:
    return sorted(zones, key=lambda zone: (bounds.zone_prices[zone], zone))
