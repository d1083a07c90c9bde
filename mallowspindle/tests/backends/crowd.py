"""A crowd of entry VMs in simulated time that choose among model servers.

Nodes choose by the real service and hear each other through the real sums, at
the pace and with the lag of the exchange; servers read prompts one by one.
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
# Figures of the engines and of callers as the operators' pages give them.
_SLOTS = 16
_CACHE_TOKENS = 400_000
_STEP_S = 0.00423
_CHUNK = 2048
_CLUMP = 3
_SKEW = 0.3
_SPREAD = 1.0
# A state that is told in a hurry goes out this long after the last one.
_LEAST_INTERVAL_S = 0.03
# Time until caches and states are as they stay.
_WARM_S = 5.0
_START_S = 1000.0
# Time after which a connection that is not made is given up.
_CONNECT_S = 0.5


@dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one kind: tokens, and the part of all that they are."""

    name: str
    per_s: float
    shared: int
    own: int
    output: int
    keys: int


KINDS = (
    Kind('letters', 51.6, 5400, 6600, 385, 792),
    Kind('questions', 80.2, 200, 630, 294, 819),
    Kind('tags', 112, 570, 1800, 21, 1719),
)


@dataclass(frozen=True, slots=True)
class Crowd:
    """How many nodes and servers there are, and how busy they are.

    With ``fresh`` states each node knows at once what all others send. So many
    servers are ``dead``: they take no connections from when it is warm.
    """

    nodes: int
    servers: int
    zones: int
    busy: float = 1
    fresh: bool = False
    dead: int = 0
    length_s: float = 12


@dataclass(slots=True)
class Outcome:
    """What came of it; times in seconds."""

    first_s: list[float] = field(default_factory=list)
    longest_queues_s: list[float] = field(default_factory=list)
    read_s: float = 0
    lost: int = 0

    def first_at(self, part: float) -> float:
        """Return the time to the first token that ``part`` stay below."""
        return sorted(self.first_s)[int(part * len(self.first_s))]

    @property
    def mean_s(self) -> float:
        """Mean time to the first token."""
        return sum(self.first_s) / len(self.first_s)

    @property
    def longest_queue_s(self) -> float:
        """Reading time that waits at the most loaded server, on average."""
        return sum(self.longest_queues_s) / len(self.longest_queues_s)


class Engine:
    """Reads prompts one after the other in the slots that it has."""

    def __init__(self) -> None:
        self.memory = PrefixCacheIndex(_CACHE_TOKENS)
        self.read_until_s = 0.0
        self._slots = [0.0 for _ in range(_SLOTS)]

    def submit(
        self, request: CallerRequest, now_s: float
    ) -> tuple[float, float, float]:
        """Return the reading time, the first event's time and the end."""
        tokens = request.prompt_tokens or 0
        cached = self.memory.cached_tokens(request.prompt)
        self.memory.remember(request.prompt)
        steps = math.ceil((tokens - cached) / _CHUNK)
        prefill_s = prefill_time_s(tokens, cached) + steps * _STEP_S
        begins_s = max(now_s, self.read_until_s, heappop(self._slots))
        first_s = begins_s + prefill_s
        end_s = first_s + request.output_tokens * _STEP_S
        self.read_until_s = first_s
        heappush(self._slots, end_s)
        return prefill_s, first_s, end_s


class Node:
    """One entry VM: the service under test on what the node has heard."""

    def __init__(
        self, name: str, zone: str, catalog: Any, clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.zone = zone
        self.peer_states = PeerStates(zone, name, clock)
        self.numbers = count()
        self.fresh_work: Callable[[], WorkSum] | None = None
        self.hurried = False
        self.told_at_s = 0.0
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
        if self.fresh_work is not None:
            return self.fresh_work()
        return self.peer_states.peer_work()

    def _send_soon(self) -> None:
        self.hurried = True


class Simulation:
    """Plays a crowd; the same seed gives the same outcome."""

    def __init__(self, crowd: Crowd, seed: int) -> None:
        self._crowd = crowd
        self._random = random.Random(seed)
        random.seed(seed)
        self._now_s = _START_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        zones = [f'zone-{index}' for index in range(crowd.zones)]
        servers = {
            f'i-{number:03}': BackendServer(
                f'i-{number:03}',
                SERVICE,
                f'i-{number:03}:80',
                zones[number % crowd.zones],
                _SLOTS,
            )
            for number in range(crowd.servers)
        }
        engine = SimpleNamespace(cache_tokens=_CACHE_TOKENS)
        spec = SimpleNamespace(engine=engine)
        catalog = SimpleNamespace(
            servers=servers,
            configuration=SimpleNamespace(services={SERVICE: spec}),
        )
        self._engines = {name: Engine() for name in servers}
        self._dead = set(list(servers)[: crowd.dead])
        self._nodes = [
            Node(
                f'entry-{number:03}',
                zones[number % crowd.zones],
                catalog,
                self._clock,
            )
            for number in range(crowd.nodes)
        ]
        self.outcome = Outcome()
        self._end_s = _START_S + crowd.length_s

    def run(self) -> Outcome:
        """Play to the end."""
        self._begin()
        while self._events and self._now_s < self._end_s:
            event = heappop(self._events)
            self._now_s = event[0]
            event[2]()
        return self.outcome

    def _clock(self) -> float:
        return self._now_s

    def _after(self, pause_s: float, action: Callable[[], None]) -> None:
        at_s = self._now_s + pause_s
        heappush(self._events, (at_s, next(self._numbers), action))

    def _begin(self) -> None:
        # Callers ask as much of each server, however many there are.
        rate = self._crowd.busy * self._crowd.servers / 45
        for kind in KINDS:
            self._after(0, partial(self._ask, kind, kind.per_s * rate / _CLUMP))
        self._after(_WARM_S, self._sample)
        if self._crowd.fresh:
            for node in self._nodes:
                node.fresh_work = partial(self._work_besides, node)
            return
        for node in self._nodes:
            self._after(self._phase_s(), partial(self._tell, node))
        if not uses_full_mesh(len(self._nodes)):
            for relay in self._relays():
                self._after(self._phase_s(), partial(self._relay, relay))

    def _phase_s(self) -> float:
        return self._random.uniform(0, INTERVAL_S)

    def _relays(self) -> list[Node]:
        return self._nodes[: self._crowd.zones]

    def _work_besides(self, own: Node) -> WorkSum:
        return total(node.work() for node in self._nodes if node is not own)

    def _tell(self, node: Node) -> None:
        """Tell a node's state at its pace, sooner if it is in a hurry."""
        now_s = self._now_s
        if node.hurried or now_s - node.told_at_s >= INTERVAL_S:
            node.hurried = False
            node.told_at_s = now_s
            number = next(node.numbers)
            state = NodeState(node.name, 1, node.zone, number, node.work())
            node.state = state
            node.peer_states.note_own(state)
            for peer in self._told_by(node):
                peer.peer_states.receive(state)
        self._after(_LEAST_INTERVAL_S, partial(self._tell, node))

    def _told_by(self, node: Node) -> list[Node]:
        if uses_full_mesh(len(self._nodes)):
            heard = self._nodes
        else:
            heard = [one for one in self._relays() if one.zone == node.zone]
        return [peer for peer in heard if peer is not node]

    def _relay(self, relay: Node) -> None:
        known = relay.peer_states
        zone_work = total([known.zone_work(), relay.state.work])
        for other in self._relays():
            if other is not relay:
                other.peer_states.receive(
                    ZoneState(relay.zone, relay.name, zone_work)
                )
        told = VentureState(
            relay.name,
            total([known.collected_work(), relay.state.work]),
            known.included(),
        )
        for node in self._nodes:
            if node.zone == relay.zone and node is not relay:
                node.peer_states.receive(told)
        self._after(INTERVAL_S, partial(self._relay, relay))

    def _ask(self, kind: Kind, clumps_per_s: float) -> None:
        node = self._random.choice(self._nodes)
        for _ in range(self._clump()):
            self._send(node, self._request(kind))
        pause_s = self._random.expovariate(clumps_per_s)
        self._after(pause_s, partial(self._ask, kind, clumps_per_s))

    def _clump(self) -> int:
        size = 1
        while self._random.random() > 1 / _CLUMP:
            size += 1
        return size

    def _request(self, kind: Kind) -> CallerRequest:
        key = int(kind.keys * self._random.random() ** (1 / (1 - _SKEW)))
        number = next(self._numbers)
        own = self._length(kind.own)
        return CallerRequest(
            'POST',
            '/',
            'shop.example',
            f'r-{number}',
            CIMultiDict(),
            prompt_tokens=kind.shared + own,
            output_tokens=self._length(kind.output),
            prompt=(
                PromptPart(f'{kind.name}-{key}', kind.shared),
                PromptPart(f'own-{number}', own),
            ),
        )

    def _length(self, mean: float) -> int:
        centre = math.log(mean) - _SPREAD**2 / 2
        length = self._random.lognormvariate(centre, _SPREAD)
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
        if self._now_s > _START_S + _WARM_S and name in self._dead:
            self.outcome.lost += 1
            self._after(_CONNECT_S, partial(self._lose, node, request, pick))
            return
        engine = self._engines[name]
        prefill_s, first_s, end_s = engine.submit(request, self._now_s)
        stack = ExitStack()
        work = stack.enter_context(
            node.backends.track_request(pick.view, request)
        )
        self._after(first_s - self._now_s, work.note_first_event)
        stack.callback(pick.view.note_success)
        self._after(end_s - self._now_s, stack.close)
        if self._now_s > _START_S + _WARM_S:
            self.outcome.first_s.append(first_s - self._now_s)
            self.outcome.read_s += prefill_s

    def _lose(self, node: Node, request: CallerRequest, pick: Pick) -> None:
        """Find a server unreachable and try another one."""
        node.backends.note_unreachable(pick.view)
        self._attempt(node, request, (pick.view.server.server_id,))

    def _sample(self) -> None:
        queues_s = [
            max(0, engine.read_until_s - self._now_s)
            for engine in self._engines.values()
        ]
        self.outcome.longest_queues_s.append(max(queues_s))
        self._after(0.05, self._sample)
