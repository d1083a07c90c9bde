"""Replays one scenario with one policy and one seed."""

import random
from dataclasses import dataclass

from simpy import Environment

from mallowspindle.lab.callers import Callers
from mallowspindle.lab.disturbances import Simulation, run_disturbance
from mallowspindle.lab.engine import SimProcess
from mallowspindle.lab.fleet import Fleet
from mallowspindle.lab.nodes import Nodes
from mallowspindle.lab.results import Results, Summary
from mallowspindle.lab.scenario import Scenario

# Time after the last request for running streams to end.
_TAIL_S = 16.0
_SAMPLE_S = 0.5


@dataclass(frozen=True, slots=True)
class Sample:
    """The servers and their load at one time."""

    at_s: float
    servers: int
    waiting: int
    running: int
    cost: float


@dataclass(frozen=True, slots=True)
class Replay:
    """The results of a replay."""

    results: Results
    summary: Summary
    samples: list[Sample]


def replay(scenario: Scenario, policy: str, seed: int) -> Replay:
    """Replay a scenario; the same arguments give the same replay."""
    # The policies break ties with the global random generator.
    random.seed(seed)
    env = Environment()
    results = Results(scenario.max_gap_s)
    fleet = Fleet(env, scenario)
    nodes = Nodes(env, scenario, fleet, policy)
    callers = Callers(env, scenario, nodes, results, seed)
    samples: list[Sample] = []
    env.process(_sample(env, fleet, samples))
    simulation = Simulation(env, fleet, callers)
    for disturbance in scenario.disturbances:
        env.process(run_disturbance(simulation, disturbance))
    env.run(until=scenario.length_s + _TAIL_S)
    return Replay(
        results, results.summary(fleet.cost, fleet.prefilled_tokens), samples
    )


def _sample(
    env: Environment, fleet: Fleet, samples: list[Sample]
) -> SimProcess:
    while True:
        samples.append(
            Sample(
                env.now,
                len(fleet.serving()),
                sum(len(engine.waiting) for engine in fleet.engines),
                sum(len(engine.running) for engine in fleet.engines),
                fleet.cost,
            )
        )
        yield env.timeout(_SAMPLE_S)
