"""Simulated callers: groups of requests, and one retry after a refusal."""

import numpy as np
from simpy import Environment

from mallowspindle.lab.engine import Engine, Run, SimProcess
from mallowspindle.lab.nodes import Nodes, Refusal
from mallowspindle.lab.results import RequestResult, Results
from mallowspindle.lab.scenario import RequestProfile, Scenario
from mallowspindle.proxy.messages import PromptPart

# Standard deviation of the logarithm of lengths, as in prompts that people
# write.
_LENGTH_SIGMA = 1.0
# The popularity of a shared prompt is its rank to the power of minus this.
_KEY_SKEW = 0.3


class Callers:
    """Sends the requests of all profiles.

    Their rates are multiplied by ``rate_factor``. ``hot_share`` is the share of
    requests that use the same prefix.
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
        # A separate generator for retries keeps the load the same for all
        # policies.
        self._retry_random = np.random.default_rng((seed, 1))
        self.rate_factor = 1.0
        self.hot_share = 0.0
        for profile in scenario.profiles:
            env.process(self._send(profile))

    def _send(self, profile: RequestProfile) -> SimProcess:
        group_size = self._scenario.group_size
        while self._env.now < self._scenario.length_s:
            groups_per_s = (
                profile.requests_per_s * self.rate_factor / group_size
            )
            yield self._env.timeout(self._random.exponential(1 / groups_per_s))
            node_number = int(self._random.integers(self._scenario.nodes))
            for _ in range(self._random.geometric(1 / group_size)):
                self._env.process(self._run_request(profile, node_number))

    def _run_request(
        self, profile: RequestProfile, node_number: int
    ) -> SimProcess:
        sent_at_s = self._env.now
        run = self._make_run(profile)
        self._nodes.record_demand(node_number, run.prompt)
        admission = self._nodes.admit(
            node_number, profile, run.prompt, profile.deadline_s
        )
        if isinstance(admission, Refusal):
            yield self._env.timeout(admission.retry_after_s)
            time_left_s = profile.deadline_s - admission.retry_after_s
            node_number = int(self._retry_random.integers(self._scenario.nodes))
            admission = self._nodes.admit(
                node_number, profile, run.prompt, time_left_s
            )
        if isinstance(admission, Engine):
            yield from self._nodes.execute(node_number, admission, run)
        self._results.add(
            RequestResult(
                profile,
                sent_at_s,
                run.first_event_at_s - sent_at_s,
                run.longest_gap_s,
                completed=not run.lost and isinstance(admission, Engine),
                refused=isinstance(admission, Refusal),
            )
        )

    def _make_run(self, profile: RequestProfile) -> Run:
        own_tokens = self._pick_length(profile.own_tokens)
        shared = PromptPart(
            f'{profile.name}-{self._pick_key(profile)}', profile.shared_tokens
        )
        number = int(self._random.integers(1 << 62))
        prompt = (shared, PromptPart(f'own-{number}', own_tokens))
        return Run(
            prompt,
            profile.shared_tokens + own_tokens,
            self._pick_length(profile.output_tokens),
            self._env.event(),
        )

    def _pick_key(self, profile: RequestProfile) -> int:
        if self._random.random() < self.hot_share:
            return 0
        ranks = np.arange(1, profile.keys + 1, dtype=float)
        weights = ranks**-_KEY_SKEW
        return int(self._random.choice(profile.keys, p=weights / weights.sum()))

    def _pick_length(self, mean: float) -> int:
        log_mean = np.log(mean) - _LENGTH_SIGMA**2 / 2
        return max(1, round(self._random.lognormal(log_mean, _LENGTH_SIGMA)))
