"""Simulates many entry VMs that choose among model servers.

Time is simulated. The nodes run the real backends service and exchange the
real work sums, at the interval and with the delay of the sharing service.
Servers prefill prompts one at a time.
"""

import math
import random
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from types import SimpleNamespace
from typing import Any

from multidict import CIMultiDict

from mallowspindle.backends.prefixes import PrefixCacheIndex
from mallowspindle.backends.service import BackendsService, Pick
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.policies.prefill import prefill_time_s
from mallowspindle.proxy.messages import CallerRequest, PromptPart
from mallowspindle.sharing.aggregation import total
from mallowspindle.sharing.messages import (
    NodeState,
    VentureState,
    WorkSum,
    ZoneState,
)
from mallowspindle.sharing.relays import uses_full_mesh
from mallowspindle.sharing.service import INTERVAL_S
from mallowspindle.sharing.states import PeerStates

SERVICE = 'models'
# Properties of the engines and the callers, from the operators' documentation.
_SLOTS = 16
_CACHE_TOKENS = 400_000
_DECODE_STEP_S = 0.00423
_PREFILL_CHUNK_TOKENS = 2048
_MEAN_BURST = 3
_PREFIX_SKEW = 0.3
_LENGTH_SIGMA = 1.0
# Minimum time between two states of a node if it requests to send one soon.
_MIN_REPORT_INTERVAL_S = 0.03
# Time until caches and states have reached a steady state.
_WARM_UP_S = 5.0
_START_S = 1000.0
# Time after which an attempt to connect fails.
_CONNECT_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """Rate, mean token counts and distinct prefixes of one kind of request."""

    name: str
    requests_per_s: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    prefixes: int


REQUEST_PROFILES = (
    RequestProfile('letters', 51.6, 5400, 6600, 385, 792),
    RequestProfile('questions', 80.2, 200, 630, 294, 819),
    RequestProfile('tags', 112, 570, 1800, 21, 1719),
)


@dataclass(frozen=True, slots=True)
class Deployment:
    """The nodes and servers of a simulation, and their load.

    With ``instant_reports``, each node knows the work of all others without
    delay. ``dead_servers`` servers accept no connections after the warm-up.
    """

    nodes: int
    servers: int
    zones: int
    load_factor: float = 1
    instant_reports: bool = False
    dead_servers: int = 0
    duration_s: float = 12


@dataclass(slots=True)
class SimulationResult:
    """Measurements of a simulation after the warm-up, in seconds."""

    first_token_s: list[float] = field(default_factory=list)
    max_backlogs_s: list[float] = field(default_factory=list)
    prefill_s: float = 0
    lost_attempts: int = 0

    def first_token_quantile_s(self, quantile: float) -> float:
        """Return a quantile of the time to the first token."""
        return sorted(self.first_token_s)[
            int(quantile * len(self.first_token_s))
        ]

    @property
    def mean_s(self) -> float:
        """Mean time to the first token."""
        return sum(self.first_token_s) / len(self.first_token_s)

    @property
    def mean_max_backlog_s(self) -> float:
        """Mean of the prefill backlog of the most loaded server."""
        return sum(self.max_backlogs_s) / len(self.max_backlogs_s)


class Engine:
    """Prefills prompts one at a time and decodes in a fixed number of slots."""

    def __init__(self) -> None:
        self.prefix_cache = PrefixCacheIndex(_CACHE_TOKENS)
        self.prefilled_at_s = 0.0
        self._slots = [0.0 for _ in range(_SLOTS)]

    def submit(
        self, request: CallerRequest, now_s: float
    ) -> tuple[float, float, float]:
        """Return the prefill time and the times of the first event and end."""
        tokens = request.prompt_tokens or 0
        cached = self.prefix_cache.cached_tokens(request.prompt)
        self.prefix_cache.remember(request.prompt)
        steps = math.ceil((tokens - cached) / _PREFILL_CHUNK_TOKENS)
        prefill_s = prefill_time_s(tokens, cached) + steps * _DECODE_STEP_S
        starts_at_s = max(now_s, self.prefilled_at_s, heappop(self._slots))
        first_token_s = starts_at_s + prefill_s
        end_s = first_token_s + request.output_tokens * _DECODE_STEP_S
        self.prefilled_at_s = first_token_s
        heappush(self._slots, end_s)
        return prefill_s, first_token_s, end_s


class Node:
    """One entry VM: the service under test with the states of its peers."""

    def __init__(
        self, name: str, zone: str, catalog: Any, clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.zone = zone
        self.peer_states = PeerStates(zone, name, clock)
        self.numbers = count()
        self.current_peer_work: Callable[[], WorkSum] | None = None
        self.send_requested = False
        self.reported_at_s = 0.0
        self.state = NodeState(name, 1, zone, next(self.numbers), WorkSum())
        sharing: Any = SimpleNamespace(
            membership=SimpleNamespace(own=SimpleNamespace(zone=zone)),
            register_work_source=lambda source: None,
            peer_work=self._peer_work,
            send_soon=self._send_soon,
        )
        self.backends = BackendsService(catalog, sharing, clock)

    def work(self) -> WorkSum:
        """Return this node's own work."""
        work = self.backends._own_work()  # noqa: SLF001
        return total([WorkSum(nodes=1), work])

    def _peer_work(self) -> WorkSum:
        if self.current_peer_work is not None:
            return self.current_peer_work()
        return self.peer_states.peer_work()

    def _send_soon(self) -> None:
        self.send_requested = True


class Simulation:
    """Simulates a deployment; the same seed gives the same result."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        random.seed(seed)
        self._now_s = _START_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        zones = [f'zone-{index}' for index in range(deployment.zones)]
        servers = {
            f'i-{number:03}': BackendServer(
                f'i-{number:03}',
                SERVICE,
                f'i-{number:03}:80',
                zones[number % deployment.zones],
                _SLOTS,
            )
            for number in range(deployment.servers)
        }
        engine = SimpleNamespace(cache_tokens=_CACHE_TOKENS)
        spec = SimpleNamespace(engine=engine)
        catalog = SimpleNamespace(
            servers=servers,
            configuration=SimpleNamespace(services={SERVICE: spec}),
        )
        self._engines = {name: Engine() for name in servers}
        self._dead_servers = set(list(servers)[: deployment.dead_servers])
        self._nodes = [
            Node(
                f'entry-{number:03}',
                zones[number % deployment.zones],
                catalog,
                self._clock,
            )
            for number in range(deployment.nodes)
        ]
        self.result = SimulationResult()
        self._end_s = _START_S + deployment.duration_s

    def run(self) -> SimulationResult:
        """Run all events up to the end of the simulation."""
        self._schedule_first_events()
        while self._events and self._now_s < self._end_s:
            event = heappop(self._events)
            self._now_s = event[0]
            event[2]()
        return self.result

    def _clock(self) -> float:
        return self._now_s

    def _schedule(self, pause_s: float, action: Callable[[], None]) -> None:
        at_s = self._now_s + pause_s
        heappush(self._events, (at_s, next(self._numbers), action))

    def _schedule_first_events(self) -> None:
        # The load of each server does not depend on their number.
        rate = self._deployment.load_factor * self._deployment.servers / 45
        for profile in REQUEST_PROFILES:
            self._schedule(
                0,
                partial(
                    self._send_burst,
                    profile,
                    profile.requests_per_s * rate / _MEAN_BURST,
                ),
            )
        self._schedule(_WARM_UP_S, self._sample)
        if self._deployment.instant_reports:
            for node in self._nodes:
                node.current_peer_work = partial(self._work_of_peers, node)
            return
        for node in self._nodes:
            self._schedule(self._random_delay_s(), partial(self._report, node))
        if not uses_full_mesh(len(self._nodes)):
            for relay in self._relays():
                self._schedule(
                    self._random_delay_s(), partial(self._relay, relay)
                )

    def _random_delay_s(self) -> float:
        return self._random.uniform(0, INTERVAL_S)

    def _relays(self) -> list[Node]:
        return self._nodes[: self._deployment.zones]

    def _work_of_peers(self, own: Node) -> WorkSum:
        return total(node.work() for node in self._nodes if node is not own)

    def _report(self, node: Node) -> None:
        """Send a node's state at its interval, or sooner if it requests so."""
        now_s = self._now_s
        if node.send_requested or now_s - node.reported_at_s >= INTERVAL_S:
            node.send_requested = False
            node.reported_at_s = now_s
            number = next(node.numbers)
            state = NodeState(node.name, 1, node.zone, number, node.work())
            node.state = state
            node.peer_states.record_own_state(state)
            for peer in self._recipients(node):
                peer.peer_states.receive(state)
        self._schedule(_MIN_REPORT_INTERVAL_S, partial(self._report, node))

    def _recipients(self, node: Node) -> list[Node]:
        if uses_full_mesh(len(self._nodes)):
            recipients = self._nodes
        else:
            recipients = [
                relay for relay in self._relays() if relay.zone == node.zone
            ]
        return [peer for peer in recipients if peer is not node]

    def _relay(self, relay: Node) -> None:
        peer_states = relay.peer_states
        zone_work = total([peer_states.zone_work(), relay.state.work])
        for other in self._relays():
            if other is not relay:
                other.peer_states.receive(
                    ZoneState(relay.zone, relay.name, zone_work)
                )
        venture_state = VentureState(
            relay.name,
            total([peer_states.collected_work(), relay.state.work]),
            peer_states.included(),
        )
        for node in self._nodes:
            if node.zone == relay.zone and node is not relay:
                node.peer_states.receive(venture_state)
        self._schedule(INTERVAL_S, partial(self._relay, relay))

    def _send_burst(self, profile: RequestProfile, bursts_per_s: float) -> None:
        node = self._random.choice(self._nodes)
        for _ in range(self._burst_size()):
            self._send(node, self._request(profile))
        pause_s = self._random.expovariate(bursts_per_s)
        self._schedule(
            pause_s, partial(self._send_burst, profile, bursts_per_s)
        )

    def _burst_size(self) -> int:
        size = 1
        while self._random.random() > 1 / _MEAN_BURST:
            size += 1
        return size

    def _request(self, profile: RequestProfile) -> CallerRequest:
        key = int(
            profile.prefixes * self._random.random() ** (1 / (1 - _PREFIX_SKEW))
        )
        number = next(self._numbers)
        own = self._length(profile.own_tokens)
        return CallerRequest(
            'POST',
            '/',
            'shop.example',
            f'r-{number}',
            CIMultiDict(),
            prompt_tokens=profile.shared_tokens + own,
            output_tokens=self._length(profile.output_tokens),
            prompt=(
                PromptPart(f'{profile.name}-{key}', profile.shared_tokens),
                PromptPart(f'own-{number}', own),
            ),
        )

    def _length(self, mean: float) -> int:
        centre = math.log(mean) - _LENGTH_SIGMA**2 / 2
        length = self._random.lognormvariate(centre, _LENGTH_SIGMA)
        return max(1, round(min(length, mean * 8)))

    def _send(self, node: Node, request: CallerRequest) -> None:
        node.backends.note_demand(SERVICE, request)
        self._attempt(node, request, ())

    def _attempt(
        self, node: Node, request: CallerRequest, avoid: tuple[str, ...]
    ) -> None:
        pick = node.backends.pick(SERVICE, request, avoid)
        assert pick is not None
        name = pick.view.server.server_id
        if self._now_s > _START_S + _WARM_UP_S and name in self._dead_servers:
            self.result.lost_attempts += 1
            self._schedule(
                _CONNECT_TIMEOUT_S,
                partial(self._retry_elsewhere, node, request, pick),
            )
            return
        engine = self._engines[name]
        prefill_s, first_token_s, end_s = engine.submit(request, self._now_s)
        stack = ExitStack()
        work = stack.enter_context(
            node.backends.track_request(pick.view, request)
        )
        self._schedule(first_token_s - self._now_s, work.note_first_event)
        stack.callback(pick.view.record_success)
        self._schedule(end_s - self._now_s, stack.close)
        if self._now_s > _START_S + _WARM_UP_S:
            self.result.first_token_s.append(first_token_s - self._now_s)
            self.result.prefill_s += prefill_s

    def _retry_elsewhere(
        self, node: Node, request: CallerRequest, pick: Pick
    ) -> None:
        """Note that the server is unreachable and try another one."""
        node.backends.record_unreachable(pick.view)
        self._attempt(node, request, (pick.view.server.server_id,))

    def _sample(self) -> None:
        backlogs_s = [
            max(0, engine.prefilled_at_s - self._now_s)
            for engine in self._engines.values()
        ]
        self.result.max_backlogs_s.append(max(backlogs_s))
        self._schedule(0.05, self._sample)
