"""How many servers of which class a service has in each zone.

Load pattern: reclaimable servers cost a fifth of the others, but a zone's are
all taken away at once, and then none may be had for a while. Servers are
spread over the zones that have reclaimable ones; what these lack is made up by
on-demand servers in the cheapest zones until reclaimable ones are back. Few
zones hold many each, so the plan looks at what is left when the fullest one is
taken: first more reclaimable servers in the others, then on-demand ones.
"""

import math
import time
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from itertools import cycle

from mallowspindle.catalog.configuration import FleetBounds

# Servers for each second of reading that callers ask in a second. Prompts
# come in clumps and long ones hold up all behind them, so that a server which
# reads for a quarter of its time is well used.
_SERVERS_PER_READING = 3.2
_SPARE_SERVERS = 1.5
# The same while only servers at the full price are to be had.
_SCARCE_PER_READING = 2.0
_SCARCE_SPARE = 1.0
# Part of the servers for a scarce time that must be left when the fullest zone
# is taken: those ordered in their place boot for some seconds.
_LEFT_PART = 0.8
# Part of a server's slots that running requests should take at most.
_BUSY_PART = 0.7
# Reclaimable servers of the first fleet for each on-demand one that was there:
# the demand is not known yet, and too few lose the first seconds of a busy day.
_FIRST_PART = 1.5
# Time in which all servers of a cold start register: some heartbeats.
_REGISTERING_S = 3.0
# A smaller fleet is planned once the demand has been lower for this long.
_LOWER_AFTER_S = 8.0


@dataclass(frozen=True, slots=True)
class Demand:
    """What callers ask of a service, over all nodes.

    ``prefill_load`` is the seconds of reading prompts that they ask each second.
    """

    prefill_load: float
    running: int
    slots: int

    def servers(self, per_reading: float, spare: float) -> int:
        """Return how many servers carry this."""
        by_reading = round(self.prefill_load * per_reading + spare)
        by_slots = math.ceil(self.running / max(1, self.slots * _BUSY_PART))
        return max(1, by_reading, by_slots)


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Servers wanted in all, and while only on-demand ones are to be had."""

    servers: int
    without_reclaimable: int


class FleetSizer:
    """Follows the demand: up at once, down only after a while.

    Until it has seen enough it keeps the servers that were there at first:
    reclaimable ones were ordered for the demand by an earlier holder, on-demand
    ones by the operators.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._at_first = FleetSize(1, 1)
        self._clock = clock
        self._made_at_s = clock()
        self._seen_since_s: float | None = None
        self._history: deque[tuple[float, FleetSize]] = deque()

    def note_existing_servers(self, reclaimable: int, on_demand: int) -> None:
        """Take in how many servers there are, while they still register."""
        if self._clock() - self._made_at_s >= _REGISTERING_S:
            return
        servers = reclaimable + math.ceil(on_demand * _FIRST_PART)
        self._at_first = FleetSize(
            max(self._at_first.servers, servers),
            max(self._at_first.without_reclaimable, on_demand),
        )

    def note(self, demand: Demand) -> None:
        """Take in the present demand; none at all says nothing yet."""
        if not demand.prefill_load and not demand.running:
            return
        wanted = FleetSize(
            demand.servers(_SERVERS_PER_READING, _SPARE_SERVERS),
            demand.servers(_SCARCE_PER_READING, _SCARCE_SPARE),
        )
        now_s = self._clock()
        if self._seen_since_s is None:
            self._seen_since_s = now_s
        self._history.append((now_s, wanted))

    def wanted(self) -> FleetSize:
        """Return the most that the recent demand called for."""
        horizon_s = self._clock() - _LOWER_AFTER_S
        while len(self._history) > 1 and self._history[0][0] < horizon_s:
            self._history.popleft()
        recent = [wanted for _, wanted in self._history]
        if self._seen_since_s is None or self._seen_since_s > horizon_s:
            recent.append(self._at_first)
        return FleetSize(
            max(wanted.servers for wanted in recent),
            max(wanted.without_reclaimable for wanted in recent),
        )


@dataclass(frozen=True, slots=True)
class ZoneFleet:
    """Servers of one zone that serve or boot, and whether more are had."""

    reclaimable: int = 0
    on_demand: int = 0
    reclaimable_available: bool = True
    on_demand_available: bool = True


@dataclass(frozen=True, slots=True)
class ZoneTarget:
    """How many servers of each class a zone shall have."""

    reclaimable: int
    on_demand: int


def plan_fleet(
    bounds: FleetBounds, zones: Mapping[str, ZoneFleet], wanted: FleetSize
) -> dict[str, ZoneTarget]:
    """Return the target of each zone for the servers wanted in all."""
    if bounds.reclaimable_price is None:
        reclaimable = dict.fromkeys(zones, 0)
        missing = wanted.servers
    else:
        reclaimable = _spread(bounds, zones, _spread_size(zones, wanted))
        left = sum(reclaimable.values()) - max(reclaimable.values())
        missing = max(
            wanted.without_reclaimable - sum(reclaimable.values()),
            math.ceil(wanted.without_reclaimable * _LEFT_PART) - left,
        )
    on_demand = dict.fromkeys(zones, 0)
    for cheap in _cheapest_first(bounds, zones):
        room = bounds.max_servers - reclaimable[cheap]
        if zones[cheap].on_demand_available:
            on_demand[cheap] = max(0, min(room, missing))
            missing -= on_demand[cheap]
    return {
        name: ZoneTarget(reclaimable[name], on_demand[name]) for name in zones
    }


def _spread_size(zones: Mapping[str, ZoneFleet], wanted: FleetSize) -> int:
    """Return how many reclaimable servers outlast the loss of a zone."""
    sources = sum(fleet.reclaimable_available for fleet in zones.values())
    if sources < 2:
        return wanted.servers
    left = wanted.without_reclaimable * _LEFT_PART
    return max(wanted.servers, math.ceil(left * sources / (sources - 1)))


def _spread(
    bounds: FleetBounds, zones: Mapping[str, ZoneFleet], wanted: int
) -> dict[str, int]:
    """Spread reclaimable servers evenly, the cheapest zones first.

    A zone in which none are to be had keeps those that it has.
    """
    max_servers = {
        zone: bounds.max_servers
        if fleet.reclaimable_available
        else min(bounds.max_servers, fleet.reclaimable)
        for zone, fleet in zones.items()
    }
    spread = {
        zone: min(bounds.min_servers, max_servers[zone]) for zone in zones
    }
    left = min(wanted, sum(max_servers.values())) - sum(spread.values())
    turns: Iterator[str] = cycle(_cheapest_first(bounds, zones))
    while left > 0:
        zone = next(turns)
        if spread[zone] < max_servers[zone]:
            spread[zone] += 1
            left -= 1
    return spread


def _cheapest_first(
    bounds: FleetBounds, zones: Mapping[str, ZoneFleet]
) -> list[str]:
    return sorted(zones, key=lambda zone: (bounds.zone_prices[zone], zone))
