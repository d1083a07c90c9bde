"""Emulated entry VMs: the policies with what each node knows, and when."""

from collections import defaultdict
from dataclasses import dataclass, field

from simpy import Environment

from mallowspindle.backends.prefixes import PrefixCacheIndex, Prompt
from mallowspindle.lab.engine import Engine, Run, Steps
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

# Pause between two states that nodes tell each other, as on the entry VMs.
_TOLD_S = 0.35
_OWNERS = 2


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request is turned away and may come back after ``pause_s``."""

    pause_s: float


@dataclass(slots=True)
class SharedLoad:
    """What one node, or all others, have at a server."""

    running: int = 0
    backlog_s: float = 0
    updated_at_s: float = 0

    def backlog_at(self, now_s: float) -> float:
        """Return the unread time left, as the server reads on."""
        return max(0, self.backlog_s - (now_s - self.updated_at_s))


@dataclass(slots=True, eq=False)
class Node:
    """One entry VM: its own work by server, and its guesses of caches."""

    own: dict[str, SharedLoad] = field(
        default_factory=lambda: defaultdict(SharedLoad)
    )
    memories: dict[str, PrefixCacheIndex] = field(default_factory=dict)


class Nodes:
    """All entry VMs; each knows the work of the others as last told."""

    def __init__(
        self, env: Environment, scenario: Scenario, fleet: Fleet, policy: str
    ) -> None:
        self._env = env
        self._scenario = scenario
        self._fleet = fleet
        self._policy = policy
        self._nodes = [Node() for _ in range(scenario.nodes)]
        self._shared_loads: dict[str, SharedLoad] = {}
        self._zones = list(scenario.bounds.zone_prices)
        env.process(self._share_loads())

    def admit(
        self,
        number: int,
        kind: RequestProfile,
        prompt: Prompt,
        time_left_s: float,
    ) -> Engine | Refusal:
        """Return the server for a request, or its refusal."""
        node = self._nodes[number]
        serving = self._fleet.serving()
        if not serving:
            return Refusal(self._scenario.gap_s)
        candidates = [self._candidate(node, each, prompt) for each in serving]
        zone = self._zones[number % len(self._zones)]
        tokens = sum(part.tokens for part in prompt)
        shared = sum(part.tokens for part in prompt[:-1])
        placement = Placement(zone, tokens, shared)
        chosen = choose_server(candidates, placement, self._policy)
        pause_s = refusal_retry_after_s(
            QueueEstimate(chosen.backlog_s, kind.aim_s, time_left_s)
        )
        if pause_s:
            return Refusal(pause_s)
        return next(
            each for each in serving if each.server_id == chosen.server_id
        )

    def note_demand(self, number: int, prompt: Prompt) -> None:
        """Count what a caller asks, served or not."""
        memories = self._nodes[number].memories.values()
        cached = max(
            (memory.cached_tokens(prompt) for memory in memories), default=0
        )
        tokens = sum(part.tokens for part in prompt)
        self._fleet.meter.note(prefill_time_s(tokens, cached))

    def follow(self, number: int, engine: Engine, run: Run) -> Steps:
        """Send a run and keep the node's account of it up to its end."""
        node = self._nodes[number]
        load = node.own[engine.server_id]
        memory = self._memory(node, engine)
        cached = memory.cached_tokens(run.prompt)
        prefill_s = prefill_time_s(run.prompt_tokens, cached)
        memory.remember(run.prompt)
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
        own = node.own[engine.server_id]
        told = self._shared_loads.get(engine.server_id, SharedLoad())
        return Candidate(
            server_id=engine.server_id,
            zone=engine.zone,
            slots=self._scenario.engine.slots,
            running=own.running + told.running,
            backlog_s=own.backlog_at(now_s) + told.backlog_at(now_s),
            cached_tokens=self._memory(node, engine).cached_tokens(prompt),
            is_owner=engine.server_id in self._owners(prompt),
        )

    def _owners(self, prompt: Prompt) -> list[str]:
        key = ','.join(part.part_id for part in prompt[:-1])
        names = [engine.server_id for engine in self._fleet.serving()]
        return rendezvous_order(key, names)[:_OWNERS]

    def _memory(self, node: Node, engine: Engine) -> PrefixCacheIndex:
        return node.memories.setdefault(
            engine.server_id,
            PrefixCacheIndex(self._scenario.engine.cache_tokens),
        )

    def _share_loads(self) -> Steps:
        """Sum up what the nodes have; others hear it at this pace.

        A node's own work is in the sum too, in the part of all nodes that it
        is, so that only the others' part is counted.
        """
        others = 1 - 1 / len(self._nodes)
        while True:
            now_s = self._env.now
            self._shared_loads = {
                engine.server_id: self._sum(engine.server_id, others, now_s)
                for engine in self._fleet.engines
            }
            yield self._env.timeout(_TOLD_S)

    def _sum(self, server_id: str, part: float, now_s: float) -> SharedLoad:
        loads = [node.own[server_id] for node in self._nodes]
        return SharedLoad(
            round(part * sum(load.running for load in loads)),
            part * sum(load.backlog_at(now_s) for load in loads),
            now_s,
        )
