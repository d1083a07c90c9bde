"""Plays one scenario with one policy and one seed."""

import random
from dataclasses import dataclass

from simpy import Environment

from mallowspindle.lab.callers import Callers
from mallowspindle.lab.disturbances import Stage, play
from mallowspindle.lab.engine import Steps
from mallowspindle.lab.fleet import Fleet
from mallowspindle.lab.nodes import Nodes
from mallowspindle.lab.results import Results, Summary
from mallowspindle.lab.scenario import Scenario

# Time after the last request in which streams end.
_TAIL_S = 16.0
_SAMPLE_S = 0.5


@dataclass(frozen=True, slots=True)
class Sample:
    """The servers and their work at one time."""

    at_s: float
    servers: int
    waiting: int
    running: int
    price: float


@dataclass(frozen=True, slots=True)
class Replay:
    """What came of it."""

    results: Results
    summary: Summary
    samples: list[Sample]


def replay(scenario: Scenario, policy: str, seed: int) -> Replay:
    """Play a scenario; the same arguments give the same replay."""
    # The policies break ties at random.
    random.seed(seed)
    env = Environment()
    results = Results(scenario.gap_s)
    fleet = Fleet(env, scenario)
    nodes = Nodes(env, scenario, fleet, policy)
    callers = Callers(env, scenario, nodes, results, seed)
    samples: list[Sample] = []
    env.process(_sample(env, fleet, samples))
    stage = Stage(env, fleet, callers)
    for trouble in scenario.troubles:
        env.process(play(stage, trouble))
    env.run(until=scenario.length_s + _TAIL_S)
    return Replay(
        results, results.summary(fleet.price, fleet.read_tokens), samples
    )


def _sample(env: Environment, fleet: Fleet, samples: list[Sample]) -> Steps:
    while True:
        samples.append(
            Sample(
                env.now,
                len(fleet.serving()),
                sum(len(engine.waiting) for engine in fleet.engines),
                sum(len(engine.running) for engine in fleet.engines),
                fleet.price,
            )
        )
        yield env.timeout(_SAMPLE_S)
