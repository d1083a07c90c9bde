"""An emulated fleet: servers that boot, are reclaimed, crash and cost."""

from itertools import count, cycle

from simpy import Environment

from mallowspindle.lab.engine import Engine, Steps
from mallowspindle.lab.scenario import Scenario
from mallowspindle.policies.fleet import (
    Demand,
    FleetSize,
    FleetSizer,
    ZoneFleet,
    plan_fleet,
)
from mallowspindle.policies.rates import RateMeter

_TICK_S = 0.2
# Time that a surplus server is kept for its streams.
_DRAIN_S = 10.0
# Span over which the demand is averaged, as on the entry VMs.
_DEMAND_SPAN_S = 6.0
# How much longer than the fastest the servers of a fleet take.
_SPEEDS = (1.0, 1.0, 1.3)
# Servers of each zone at the start, all on demand.
_AT_FIRST = 2


class Fleet:
    """Orders servers by the fleet policy and counts their price.

    ``exhausted_zones`` holds the zones without reclaimable servers.
    """

    def __init__(self, env: Environment, scenario: Scenario) -> None:
        self._env = env
        self._scenario = scenario
        self._bounds = scenario.bounds
        self._numbers = count()
        self._speeds = cycle(_SPEEDS)
        self._sizer = FleetSizer(lambda: env.now)
        self.exhausted_zones: set[str] = set()
        self._booting: list[tuple[str, bool]] = []
        self.meter = RateMeter(_DEMAND_SPAN_S, lambda: env.now)
        self.price = 0.0
        self._read_before = 0
        self.engines = [
            self._make(zone, reclaimable=False)
            for zone in scenario.bounds.zone_prices
            for _ in range(_AT_FIRST)
        ]
        env.process(self._run_scaling_loop())

    @property
    def read_tokens(self) -> int:
        """Prompt tokens that all servers have read."""
        now = sum(engine.read_tokens for engine in self.engines)
        return self._read_before + now

    def serving(self) -> list[Engine]:
        """Return the servers that take new work."""
        return [engine for engine in self.engines if not engine.draining]

    def _run_scaling_loop(self) -> Steps:
        while True:
            self._count_price()
            self._plan()
            yield self._env.timeout(_TICK_S)

    def _count_price(self) -> None:
        self.price += _TICK_S * sum(map(self._price_per_s, self.engines))

    def _price_per_s(self, engine: Engine) -> float:
        price = self._bounds.zone_prices[engine.zone]
        if engine.reclaimable:
            price *= self._bounds.reclaimable_price or 1
        return price

    def _plan(self) -> None:
        serving = self.serving()
        wanted = self._wanted(serving)
        zones = {
            zone: self._zone_fleet(zone) for zone in self._bounds.zone_prices
        }
        spare = len(serving) - wanted.without_reclaimable
        for zone, target in plan_fleet(self._bounds, zones, wanted).items():
            for kind, goal in (
                (True, target.reclaimable),
                (False, target.on_demand),
            ):
                spare -= self._approach(zone, goal, spare, reclaimable=kind)

    def _wanted(self, serving: list[Engine]) -> FleetSize:
        reclaimable = sum(engine.reclaimable for engine in serving)
        self._sizer.note_existing_servers(
            reclaimable, len(serving) - reclaimable
        )
        running = sum(len(engine.running) for engine in serving)
        slots = self._scenario.engine.slots
        self._sizer.note(Demand(self.meter.rate_per_s(), running, slots))
        return self._sizer.wanted()

    def _approach(
        self, zone: str, goal: int, spare: int, *, reclaimable: bool
    ) -> int:
        """Boot or drain towards a goal; return how many are drained."""
        here = [
            engine
            for engine in self.in_zone(zone)
            if engine.reclaimable == reclaimable and not engine.draining
        ]
        coming = self._booting.count((zone, reclaimable))
        for _ in range(goal - len(here) - coming):
            self._env.process(self._boot(zone, reclaimable=reclaimable))
        surplus = min(max(0, len(here) - goal), max(0, spare))
        for engine in here[:surplus]:
            engine.draining = True
            self._env.process(self._drain(engine))
        return surplus

    def _boot(self, zone: str, *, reclaimable: bool) -> Steps:
        self._booting.append((zone, reclaimable))
        yield self._env.timeout(self._bounds.boot_s)
        self._booting.remove((zone, reclaimable))
        self.engines.append(self._make(zone, reclaimable=reclaimable))

    def _drain(self, engine: Engine) -> Steps:
        yield self._env.timeout(_DRAIN_S)
        self.remove(engine)

    def remove(self, engine: Engine) -> None:
        """End a server; what runs there is lost."""
        engine.draining = True
        engine.end()
        if engine in self.engines:
            self.engines.remove(engine)
            self._read_before += engine.read_tokens

    def _make(self, zone: str, *, reclaimable: bool) -> Engine:
        return Engine(
            self._env,
            f'server-{next(self._numbers)}',
            zone,
            reclaimable,
            self._scenario.engine,
            speed=next(self._speeds),
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
