"""Effects of each kind of disturbance on the load and on the fleet."""

from collections.abc import Callable
from dataclasses import dataclass

from simpy import Environment

from mallowspindle.lab.callers import Callers
from mallowspindle.lab.engine import SimProcess
from mallowspindle.lab.fleet import Fleet
from mallowspindle.lab.scenario import Disturbance

# Time between the reclaim notice and the loss of the servers.
_NOTICE_S = 3.0


@dataclass(frozen=True, slots=True)
class Simulation:
    """The parts of a replay that disturbances act on."""

    env: Environment
    fleet: Fleet
    callers: Callers


Effect = Callable[[Simulation, Disturbance], SimProcess]
effects: dict[str, Effect] = {}


def effect(kind: str) -> Callable[[Effect], Effect]:
    """Return a decorator that registers the effect of a kind."""

    def decorate(function: Effect) -> Effect:
        effects[kind] = function
        return function

    return decorate


def run_disturbance(
    simulation: Simulation, disturbance: Disturbance
) -> SimProcess:
    """Apply a disturbance at its time."""
    yield simulation.env.timeout(disturbance.at_s)
    yield from effects[disturbance.kind](simulation, disturbance)


@effect('burst')
def burst(simulation: Simulation, disturbance: Disturbance) -> SimProcess:
    """Multiply the request rates by ``magnitude``."""
    simulation.callers.rate_factor = disturbance.magnitude
    yield simulation.env.timeout(disturbance.duration_s)
    simulation.callers.rate_factor = 1


@effect('hot-prefix')
def hot_prefix(simulation: Simulation, disturbance: Disturbance) -> SimProcess:
    """Give the share ``magnitude`` of all requests the same prefix."""
    simulation.callers.hot_share = disturbance.magnitude
    yield simulation.env.timeout(disturbance.duration_s)
    simulation.callers.hot_share = 0


@effect('slow')
def slow(simulation: Simulation, disturbance: Disturbance) -> SimProcess:
    """Make one server take ``magnitude`` times as long."""
    engine = simulation.fleet.serving()[0]
    normal_slowdown = engine.slowdown
    engine.slowdown = normal_slowdown * disturbance.magnitude
    yield simulation.env.timeout(disturbance.duration_s)
    engine.slowdown = normal_slowdown


@effect('crash')
def crash(simulation: Simulation, disturbance: Disturbance) -> SimProcess:
    """Remove all servers of a zone at once."""
    for engine in simulation.fleet.in_zone(disturbance.zone):
        simulation.fleet.remove(engine)
    yield simulation.env.timeout(0)


@effect('reclaim')
def reclaim(simulation: Simulation, disturbance: Disturbance) -> SimProcess:
    """Reclaim a zone's reclaimable servers; no new ones boot for a while."""
    fleet = simulation.fleet
    fleet.exhausted_zones.add(disturbance.zone)
    reclaimed = [
        engine
        for engine in fleet.in_zone(disturbance.zone)
        if engine.reclaimable
    ]
    for engine in reclaimed:
        engine.draining = True
    yield simulation.env.timeout(_NOTICE_S)
    for engine in reclaimed:
        fleet.remove(engine)
    yield simulation.env.timeout(max(0, disturbance.duration_s - _NOTICE_S))
    fleet.exhausted_zones.discard(disturbance.zone)
