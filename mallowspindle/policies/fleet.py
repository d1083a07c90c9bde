"""Fleet planning: how many servers of each class a service has in each zone.

Load pattern: reclaimable servers cost a fifth of the on-demand price, but all
reclaimable servers of a zone are reclaimed at once, and the zone may have none
for a while afterwards. Reclaimable servers are spread over the zones that have
them; the shortfall is covered by on-demand servers in the cheapest zones until
reclaimable ones are available again. If few zones have reclaimable servers,
each holds many. The plan therefore has to survive the loss of the largest
zone: first by more reclaimable servers in the other zones, then by on-demand
servers.
"""

import math
import time
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from itertools import cycle

from mallowspindle.catalog.configuration import FleetBounds

# Servers for each unit of prefill load (seconds of prefill requested per
# second). Prompts arrive in bursts, and long ones delay all prompts behind
# them, so a server that prefills a quarter of the time is well used.
_SERVERS_PER_LOAD = 3.2
_SPARE_SERVERS = 1.5
# The same while only on-demand servers are available, at the full price.
_ON_DEMAND_SERVERS_PER_LOAD = 2.0
_ON_DEMAND_SPARE_SERVERS = 1.0
# Fraction of the size without reclaimable servers that must survive the loss of
# the largest zone, since its replacements take some seconds to boot.
_SURVIVING_FRACTION = 0.8
# Maximum fraction of a server's slots that running requests should occupy.
_MAX_SLOT_FRACTION = 0.7
# Reclaimable servers in the initial fleet for each existing on-demand server.
# The demand is not known yet, and too few servers would lose requests in the
# first seconds of a busy day.
_RECLAIMABLE_PER_ON_DEMAND = 1.5
# Time in which all servers register after a cold start: some heartbeats.
_REGISTRATION_S = 3.0
# The planned fleet shrinks once the demand has been lower for this long.
_SCALE_DOWN_DELAY_S = 8.0


@dataclass(frozen=True, slots=True)
class Demand:
    """The demand for a service, over all nodes.

    ``prefill_load`` is the seconds of prefill that callers request per second.
    """

    prefill_load: float
    running: int
    slots: int

    def required_servers(
        self, servers_per_load: float, spare_servers: float
    ) -> int:
        """Return how many servers this demand needs."""
        for_prefill = round(
            self.prefill_load * servers_per_load + spare_servers
        )
        for_slots = math.ceil(
            self.running / max(1, self.slots * _MAX_SLOT_FRACTION)
        )
        return max(1, for_prefill, for_slots)


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size of a fleet over all zones.

    ``without_reclaimable`` is its size while only on-demand servers are
    available.
    """

    servers: int
    without_reclaimable: int


class FleetSizer:
    """Sizes a fleet by the demand: up at once, down after a delay.

    Until the demand has been observed for that delay, the fleet keeps at least
    the size derived from the existing servers. Existing reclaimable servers
    were ordered by an earlier holder of the duties according to the demand,
    existing on-demand servers by the operators.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._initial_size = FleetSize(1, 1)
        self._clock = clock
        self._created_at_s = clock()
        self._first_demand_at_s: float | None = None
        self._history: deque[tuple[float, FleetSize]] = deque()

    def note_existing_servers(self, reclaimable: int, on_demand: int) -> None:
        """Record the existing servers while they are still registering."""
        if self._clock() - self._created_at_s >= _REGISTRATION_S:
            return
        servers = reclaimable + math.ceil(
            on_demand * _RECLAIMABLE_PER_ON_DEMAND
        )
        self._initial_size = FleetSize(
            max(self._initial_size.servers, servers),
            max(self._initial_size.without_reclaimable, on_demand),
        )

    def note(self, demand: Demand) -> None:
        """Record the current demand; zero demand is ignored."""
        if not demand.prefill_load and not demand.running:
            return
        wanted = FleetSize(
            demand.required_servers(_SERVERS_PER_LOAD, _SPARE_SERVERS),
            demand.required_servers(
                _ON_DEMAND_SERVERS_PER_LOAD, _ON_DEMAND_SPARE_SERVERS
            ),
        )
        now_s = self._clock()
        if self._first_demand_at_s is None:
            self._first_demand_at_s = now_s
        self._history.append((now_s, wanted))

    def required_size(self) -> FleetSize:
        """Return the largest size that the recent demand required."""
        horizon_s = self._clock() - _SCALE_DOWN_DELAY_S
        while len(self._history) > 1 and self._history[0][0] < horizon_s:
            self._history.popleft()
        recent = [wanted for _, wanted in self._history]
        if (
            self._first_demand_at_s is None
            or self._first_demand_at_s > horizon_s
        ):
            recent.append(self._initial_size)
        return FleetSize(
            max(wanted.servers for wanted in recent),
            max(wanted.without_reclaimable for wanted in recent),
        )


@dataclass(frozen=True, slots=True)
class ZoneFleet:
    """Serving and booting servers of a zone, and whether more are available."""

    reclaimable: int = 0
    on_demand: int = 0
    reclaimable_available: bool = True
    on_demand_available: bool = True


@dataclass(frozen=True, slots=True)
class ZoneTarget:
    """The planned number of servers of each class in a zone."""

    reclaimable: int
    on_demand: int


def plan_fleet(
    bounds: FleetBounds, zones: Mapping[str, ZoneFleet], wanted: FleetSize
) -> dict[str, ZoneTarget]:
    """Return the target of each zone for a fleet of the wanted size."""
    if bounds.reclaimable_price is None:
        reclaimable = dict.fromkeys(zones, 0)
        missing = wanted.servers
    else:
        reclaimable = _spread_reclaimable(
            bounds, zones, _reclaimable_servers(zones, wanted)
        )
        surviving = sum(reclaimable.values()) - max(reclaimable.values())
        missing = max(
            wanted.without_reclaimable - sum(reclaimable.values()),
            math.ceil(wanted.without_reclaimable * _SURVIVING_FRACTION)
            - surviving,
        )
    on_demand = dict.fromkeys(zones, 0)
    for zone_name in _zones_by_price(bounds, zones):
        headroom = bounds.max_servers - reclaimable[zone_name]
        if zones[zone_name].on_demand_available:
            on_demand[zone_name] = max(0, min(headroom, missing))
            missing -= on_demand[zone_name]
    return {
        name: ZoneTarget(reclaimable[name], on_demand[name]) for name in zones
    }


def _reclaimable_servers(
    zones: Mapping[str, ZoneFleet], wanted: FleetSize
) -> int:
    """Return how many reclaimable servers to plan over all zones.

    Enough of them have to survive the loss of one zone.
    """
    available_zones = sum(
        fleet.reclaimable_available for fleet in zones.values()
    )
    if available_zones < 2:
        return wanted.servers
    surviving = wanted.without_reclaimable * _SURVIVING_FRACTION
    return max(
        wanted.servers,
        math.ceil(surviving * available_zones / (available_zones - 1)),
    )


def _spread_reclaimable(
    bounds: FleetBounds, zones: Mapping[str, ZoneFleet], wanted: int
) -> dict[str, int]:
    """Spread reclaimable servers evenly, starting with the cheapest zones.

    A zone without available reclaimable servers keeps its existing ones.
    """
    max_servers = {
        zone: bounds.max_servers
        if fleet.reclaimable_available
        else min(bounds.max_servers, fleet.reclaimable)
        for zone, fleet in zones.items()
    }
    assigned = {
        zone: min(bounds.min_servers, max_servers[zone]) for zone in zones
    }
    unassigned = min(wanted, sum(max_servers.values())) - sum(assigned.values())
    zone_cycle: Iterator[str] = cycle(_zones_by_price(bounds, zones))
    while unassigned > 0:
        zone = next(zone_cycle)
        if assigned[zone] < max_servers[zone]:
            assigned[zone] += 1
            unassigned -= 1
    return assigned


def _zones_by_price(
    bounds: FleetBounds, zones: Mapping[str, ZoneFleet]
) -> list[str]:
    return sorted(zones, key=lambda zone: (bounds.zone_prices[zone], zone))
