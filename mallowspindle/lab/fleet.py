"""A simulated fleet: servers boot, are reclaimed, crash and cost money."""

from itertools import count, cycle

from simpy import Environment

from mallowspindle.lab.engine import Engine, SimProcess
from mallowspindle.lab.scenario import Scenario
from mallowspindle.policies.fleet import (
    Demand,
    FleetSize,
    FleetSizer,
    ZoneFleet,
    plan_fleet,
)
from mallowspindle.policies.rates import RateMeter

_PLANNING_INTERVAL_S = 0.2
# Time that a surplus server is kept so that its streams can end.
_DRAIN_S = 10.0
# Window over which the demand is averaged, as on the entry VMs.
_DEMAND_SPAN_S = 6.0
# Step times of successive servers, relative to the fastest.
_SLOWDOWNS = (1.0, 1.0, 1.3)
# All of these are on-demand servers.
_INITIAL_SERVERS_PER_ZONE = 2


class Fleet:
    """Scales servers by the fleet policy and adds up their cost.

    ``exhausted_zones`` holds the zones in which no reclaimable servers are
    available.
    """

    def __init__(self, env: Environment, scenario: Scenario) -> None:
        self._env = env
        self._scenario = scenario
        self._bounds = scenario.bounds
        self._server_numbers = count()
        self._slowdowns = cycle(_SLOWDOWNS)
        self._sizer = FleetSizer(lambda: env.now)
        self.exhausted_zones: set[str] = set()
        self._booting: list[tuple[str, bool]] = []
        self.demand_meter = RateMeter(_DEMAND_SPAN_S, lambda: env.now)
        self.cost = 0.0
        self._removed_prefilled_tokens = 0
        self.engines = [
            self._create_engine(zone, reclaimable=False)
            for zone in scenario.bounds.zone_prices
            for _ in range(_INITIAL_SERVERS_PER_ZONE)
        ]
        env.process(self._run_scaling_loop())

    @property
    def prefilled_tokens(self) -> int:
        """Prompt tokens prefilled by all servers, removed ones included."""
        present = sum(engine.prefilled_tokens for engine in self.engines)
        return self._removed_prefilled_tokens + present

    def serving(self) -> list[Engine]:
        """Return the servers that accept new requests."""
        return [engine for engine in self.engines if not engine.draining]

    def _run_scaling_loop(self) -> SimProcess:
        while True:
            self._add_cost()
            self._plan()
            yield self._env.timeout(_PLANNING_INTERVAL_S)

    def _add_cost(self) -> None:
        self.cost += _PLANNING_INTERVAL_S * sum(
            map(self._price_per_s, self.engines)
        )

    def _price_per_s(self, engine: Engine) -> float:
        price = self._bounds.zone_prices[engine.zone]
        if engine.reclaimable:
            price *= self._bounds.reclaimable_price or 1
        return price

    def _plan(self) -> None:
        serving = self.serving()
        required = self._required_size(serving)
        zones = {
            zone: self._zone_fleet(zone) for zone in self._bounds.zone_prices
        }
        removable = len(serving) - required.without_reclaimable
        for zone, target in plan_fleet(self._bounds, zones, required).items():
            for is_reclaimable, target_count in (
                (True, target.reclaimable),
                (False, target.on_demand),
            ):
                removable -= self._scale_zone(
                    zone, target_count, removable, reclaimable=is_reclaimable
                )

    def _required_size(self, serving: list[Engine]) -> FleetSize:
        reclaimable = sum(engine.reclaimable for engine in serving)
        self._sizer.note_existing_servers(
            reclaimable, len(serving) - reclaimable
        )
        running = sum(len(engine.running) for engine in serving)
        slots = self._scenario.engine.slots
        self._sizer.note(Demand(self.demand_meter.rate_per_s(), running, slots))
        return self._sizer.required_size()

    def _scale_zone(
        self, zone: str, target_count: int, removable: int, *, reclaimable: bool
    ) -> int:
        """Boot or drain servers of one class; return how many are drained.

        At most ``removable`` servers are drained.
        """
        existing = [
            engine
            for engine in self.in_zone(zone)
            if engine.reclaimable == reclaimable and not engine.draining
        ]
        booting = self._booting.count((zone, reclaimable))
        for _ in range(target_count - len(existing) - booting):
            self._env.process(self._boot(zone, reclaimable=reclaimable))
        surplus = min(max(0, len(existing) - target_count), max(0, removable))
        for engine in existing[:surplus]:
            engine.draining = True
            self._env.process(self._drain(engine))
        return surplus

    def _boot(self, zone: str, *, reclaimable: bool) -> SimProcess:
        self._booting.append((zone, reclaimable))
        yield self._env.timeout(self._bounds.boot_s)
        self._booting.remove((zone, reclaimable))
        self.engines.append(self._create_engine(zone, reclaimable=reclaimable))

    def _drain(self, engine: Engine) -> SimProcess:
        yield self._env.timeout(_DRAIN_S)
        self.remove(engine)

    def remove(self, engine: Engine) -> None:
        """Remove a server and lose the requests that run there."""
        engine.draining = True
        engine.stop()
        if engine in self.engines:
            self.engines.remove(engine)
            self._removed_prefilled_tokens += engine.prefilled_tokens

    def _create_engine(self, zone: str, *, reclaimable: bool) -> Engine:
        return Engine(
            self._env,
            f'server-{next(self._server_numbers)}',
            zone,
            reclaimable,
            self._scenario.engine,
            slowdown=next(self._slowdowns),
        )

    def in_zone(self, zone: str) -> list[Engine]:
        """Return all servers of a zone."""
        return [engine for engine in self.engines if engine.zone == zone]

    def _zone_fleet(self, zone: str) -> ZoneFleet:
        serving = [
            engine for engine in self.in_zone(zone) if not engine.draining
        ]
        reclaimable = sum(engine.reclaimable for engine in serving)
        return ZoneFleet(
            reclaimable + self._booting.count((zone, True)),
            len(serving) - reclaimable + self._booting.count((zone, False)),
            reclaimable_available=zone not in self.exhausted_zones,
        )
