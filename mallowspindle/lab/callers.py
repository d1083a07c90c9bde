"""Emulated callers: clumps of requests, and one return after a refusal."""

import numpy as np
from simpy import Environment

from mallowspindle.lab.engine import Engine, Run, Steps
from mallowspindle.lab.nodes import Nodes, Refusal
from mallowspindle.lab.results import RequestResult, Results
from mallowspindle.lab.scenario import RequestProfile, Scenario
from mallowspindle.proxy.messages import PromptPart

# Spread of the logarithm of lengths, as of prompts that people write.
_SPREAD = 1.0
# Popularity of shared prompts falls with the power of their rank.
_SKEW = 0.3


class Callers:
    """Sends requests of all kinds at ``rate`` times their rates.

    ``hot_part`` of them share one prefix.
    """

    def __init__(
        self,
        env: Environment,
        scenario: Scenario,
        nodes: Nodes,
        results: Results,
        seed: int,
    ) -> None:
        self._env = env
        self._scenario = scenario
        self._nodes = nodes
        self._results = results
        self._random = np.random.default_rng(seed)
        # Apart from the load, so that this is the same for all policies.
        self._returning = np.random.default_rng((seed, 1))
        self.rate = 1.0
        self.hot_part = 0.0
        for kind in scenario.kinds:
            env.process(self._send(kind))

    def _send(self, kind: RequestProfile) -> Steps:
        clump = self._scenario.clump
        while self._env.now < self._scenario.length_s:
            per_s = kind.per_s * self.rate / clump
            yield self._env.timeout(self._random.exponential(1 / per_s))
            node = int(self._random.integers(self._scenario.nodes))
            for _ in range(self._random.geometric(1 / clump)):
                self._env.process(self._run_request(kind, node))

    def _run_request(self, kind: RequestProfile, node: int) -> Steps:
        began_at_s = self._env.now
        run = self._make_run(kind)
        self._nodes.note_demand(node, run.prompt)
        found = self._nodes.admit(node, kind, run.prompt, kind.deadline_s)
        if isinstance(found, Refusal):
            yield self._env.timeout(found.pause_s)
            left_s = kind.deadline_s - found.pause_s
            node = int(self._returning.integers(self._scenario.nodes))
            found = self._nodes.admit(node, kind, run.prompt, left_s)
        if isinstance(found, Engine):
            yield from self._nodes.follow(node, found, run)
        self._results.add(
            RequestResult(
                kind,
                began_at_s,
                run.first_at_s - began_at_s,
                run.longest_gap_s,
                whole=not run.lost and isinstance(found, Engine),
                refused=isinstance(found, Refusal),
            )
        )

    def _make_run(self, kind: RequestProfile) -> Run:
        own = self._length(kind.prompt)
        shared = PromptPart(f'{kind.name}-{self._key(kind)}', kind.shared)
        number = int(self._random.integers(1 << 62))
        prompt = (shared, PromptPart(f'own-{number}', own))
        return Run(
            prompt,
            kind.shared + own,
            self._length(kind.output),
            self._env.event(),
        )

    def _key(self, kind: RequestProfile) -> int:
        if self._random.random() < self.hot_part:
            return 0
        ranks = np.arange(1, kind.keys + 1, dtype=float)
        weights = ranks**-_SKEW
        return int(self._random.choice(kind.keys, p=weights / weights.sum()))

    def _length(self, mean: float) -> int:
        centre = np.log(mean) - _SPREAD**2 / 2
        return max(1, round(self._random.lognormal(centre, _SPREAD)))
