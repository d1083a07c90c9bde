"""What each kind of trouble does to the load and to the fleet."""

from collections.abc import Callable
from dataclasses import dataclass

from simpy import Environment

from mallowspindle.lab.callers import Callers
from mallowspindle.lab.engine import Steps
from mallowspindle.lab.fleet import Fleet
from mallowspindle.lab.scenario import Trouble

# Notice before reclaimed servers are taken away.
_NOTICE_S = 3.0


@dataclass(frozen=True, slots=True)
class Stage:
    """What troubles may touch."""

    env: Environment
    fleet: Fleet
    callers: Callers


Effect = Callable[[Stage, Trouble], Steps]
effects: dict[str, Effect] = {}


def effect(kind: str) -> Callable[[Effect], Effect]:
    """Return a decorator that registers what a kind of trouble does."""

    def decorate(function: Effect) -> Effect:
        effects[kind] = function
        return function

    return decorate


def play(stage: Stage, trouble: Trouble) -> Steps:
    """Let a trouble happen at its time."""
    yield stage.env.timeout(trouble.at_s)
    yield from effects[trouble.kind](stage, trouble)


@effect('burst')
def burst(stage: Stage, trouble: Trouble) -> Steps:
    """Send at ``magnitude`` the usual rate."""
    stage.callers.rate = trouble.magnitude
    yield stage.env.timeout(trouble.for_s)
    stage.callers.rate = 1


@effect('hot-prefix')
def hot_prefix(stage: Stage, trouble: Trouble) -> Steps:
    """Give ``magnitude`` of all requests the same prefix."""
    stage.callers.hot_part = trouble.magnitude
    yield stage.env.timeout(trouble.for_s)
    stage.callers.hot_part = 0


@effect('slow')
def slow(stage: Stage, trouble: Trouble) -> Steps:
    """Make one server take ``magnitude`` as long."""
    engine = stage.fleet.serving()[0]
    usual = engine.speed
    engine.speed = usual * trouble.magnitude
    yield stage.env.timeout(trouble.for_s)
    engine.speed = usual


@effect('crash')
def crash(stage: Stage, trouble: Trouble) -> Steps:
    """End all servers of a zone at once."""
    for engine in stage.fleet.in_zone(trouble.zone):
        stage.fleet.remove(engine)
    yield stage.env.timeout(0)


@effect('reclaim')
def reclaim(stage: Stage, trouble: Trouble) -> Steps:
    """Take a zone's reclaimable servers; none are had there for a while."""
    fleet = stage.fleet
    fleet.exhausted_zones.add(trouble.zone)
    leaving = [
        engine for engine in fleet.in_zone(trouble.zone) if engine.reclaimable
    ]
    for engine in leaving:
        engine.draining = True
    yield stage.env.timeout(_NOTICE_S)
    for engine in leaving:
        fleet.remove(engine)
    yield stage.env.timeout(max(0, trouble.for_s - _NOTICE_S))
    fleet.exhausted_zones.discard(trouble.zone)
