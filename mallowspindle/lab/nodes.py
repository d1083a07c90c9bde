"""Simulated entry VMs, which apply the policies to delayed information."""

from collections import defaultdict
from dataclasses import dataclass, field

from simpy import Environment

from mallowspindle.backends.prefixes import PrefixCacheIndex, Prompt
from mallowspindle.lab.engine import Engine, Run, SimProcess
from mallowspindle.lab.fleet import Fleet
from mallowspindle.lab.scenario import RequestProfile, Scenario
from mallowspindle.policies.admission import (
    QueueEstimate,
    refusal_retry_after_s,
)
from mallowspindle.policies.placement import (
    Candidate,
    Placement,
    choose_server,
)
from mallowspindle.policies.prefill import prefill_time_s
from mallowspindle.utils.identifiers import rendezvous_order

# Interval at which nodes send each other their load, as on the entry VMs.
_SHARING_INTERVAL_S = 0.35
_OWNERS_PER_PREFIX = 2


@dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a request, to be retried after ``retry_after_s``."""

    retry_after_s: float


@dataclass(slots=True)
class EngineLoad:
    """The load that one node, or all others, have put on a server."""

    running: int = 0
    backlog_s: float = 0
    updated_at_s: float = 0

    def backlog_at(self, now_s: float) -> float:
        """Return the prefill backlog that remains at a later time."""
        return max(0, self.backlog_s - (now_s - self.updated_at_s))


@dataclass(slots=True, eq=False)
class Node:
    """One entry VM: its own load by server, and its estimates of caches."""

    own_loads: dict[str, EngineLoad] = field(
        default_factory=lambda: defaultdict(EngineLoad)
    )
    prefix_caches: dict[str, PrefixCacheIndex] = field(default_factory=dict)


class Nodes:
    """All entry VMs; each knows the load of the others as last shared."""

    def __init__(
        self, env: Environment, scenario: Scenario, fleet: Fleet, policy: str
    ) -> None:
        self._env = env
        self._scenario = scenario
        self._fleet = fleet
        self._policy = policy
        self._nodes = [Node() for _ in range(scenario.nodes)]
        self._shared_loads: dict[str, EngineLoad] = {}
        self._zones = list(scenario.bounds.zone_prices)
        env.process(self._share_loads())

    def admit(
        self,
        node_number: int,
        profile: RequestProfile,
        prompt: Prompt,
        time_left_s: float,
    ) -> Engine | Refusal:
        """Return the server for a request, or a refusal."""
        node = self._nodes[node_number]
        serving = self._fleet.serving()
        if not serving:
            return Refusal(self._scenario.max_gap_s)
        candidates = [self._candidate(node, each, prompt) for each in serving]
        zone = self._zones[node_number % len(self._zones)]
        tokens = sum(part.tokens for part in prompt)
        shared_tokens = sum(part.tokens for part in prompt[:-1])
        placement = Placement(zone, tokens, shared_tokens)
        chosen = choose_server(candidates, placement, self._policy)
        retry_after_s = refusal_retry_after_s(
            QueueEstimate(
                chosen.backlog_s, profile.first_event_target_s, time_left_s
            )
        )
        if retry_after_s:
            return Refusal(retry_after_s)
        return next(
            each for each in serving if each.server_id == chosen.server_id
        )

    def record_demand(self, node_number: int, prompt: Prompt) -> None:
        """Count the prefill time that a request needs, admitted or not."""
        prefix_caches = self._nodes[node_number].prefix_caches.values()
        cached = max(
            (
                prefix_cache.cached_tokens(prompt)
                for prefix_cache in prefix_caches
            ),
            default=0,
        )
        tokens = sum(part.tokens for part in prompt)
        self._fleet.demand_meter.note(prefill_time_s(tokens, cached))

    def execute(self, node_number: int, engine: Engine, run: Run) -> SimProcess:
        """Submit a run and count it in the node's own load until it ends."""
        node = self._nodes[node_number]
        load = node.own_loads[engine.server_id]
        prefix_cache = self._prefix_cache(node, engine)
        cached = prefix_cache.cached_tokens(run.prompt)
        prefill_s = prefill_time_s(run.prompt_tokens, cached)
        prefix_cache.remember(run.prompt)
        now_s = self._env.now
        load.backlog_s = load.backlog_at(now_s) + prefill_s
        load.updated_at_s = now_s
        load.running += 1
        engine.submit(run)
        yield run.ended
        load.running -= 1

    def _candidate(
        self, node: Node, engine: Engine, prompt: Prompt
    ) -> Candidate:
        now_s = self._env.now
        own_loads = node.own_loads[engine.server_id]
        shared = self._shared_loads.get(engine.server_id, EngineLoad())
        return Candidate(
            server_id=engine.server_id,
            zone=engine.zone,
            slots=self._scenario.engine.slots,
            running=own_loads.running + shared.running,
            backlog_s=own_loads.backlog_at(now_s) + shared.backlog_at(now_s),
            cached_tokens=self._prefix_cache(node, engine).cached_tokens(
                prompt
            ),
            is_owner=engine.server_id in self._owners(prompt),
        )

    def _owners(self, prompt: Prompt) -> list[str]:
        key = ','.join(part.part_id for part in prompt[:-1])
        names = [engine.server_id for engine in self._fleet.serving()]
        return rendezvous_order(key, names)[:_OWNERS_PER_PREFIX]

    def _prefix_cache(self, node: Node, engine: Engine) -> PrefixCacheIndex:
        return node.prefix_caches.setdefault(
            engine.server_id,
            PrefixCacheIndex(self._scenario.engine.cache_tokens),
        )

    def _share_loads(self) -> SimProcess:
        """Sum the loads of all nodes at a fixed interval.

        All nodes see the same sum, in which each node's own load is included.
        It is therefore scaled by the share of the other nodes.
        """
        others_share = 1 - 1 / len(self._nodes)
        while True:
            now_s = self._env.now
            self._shared_loads = {
                engine.server_id: self._sum_loads(
                    engine.server_id, others_share, now_s
                )
                for engine in self._fleet.engines
            }
            yield self._env.timeout(_SHARING_INTERVAL_S)

    def _sum_loads(
        self, server_id: str, share: float, now_s: float
    ) -> EngineLoad:
        loads = [node.own_loads[server_id] for node in self._nodes]
        return EngineLoad(
            round(share * sum(load.running for load in loads)),
            share * sum(load.backlog_at(now_s) for load in loads),
            now_s,
        )
