"""Exchange the states of work between entry VMs."""

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from itertools import chain, count
from typing import Self

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.membership.service import MembershipService
from mallowspindle.peers.codec import EncodedMessage, OkReply, peer_codec
from mallowspindle.peers.errors import PeerError
from mallowspindle.peers.transit import aged
from mallowspindle.sharing.aggregation import (
    projected,
    recent_uptimes,
    total,
)
from mallowspindle.sharing.evidence import EvidenceSelection
from mallowspindle.sharing.messages import (
    ForwardMessage,
    LeaseUpdate,
    NodeState,
    VentureState,
    WorkSum,
    ZoneState,
)
from mallowspindle.sharing.relays import relays_of, uses_full_mesh
from mallowspindle.sharing.states import PeerStates
from mallowspindle.utils.clock import boot_clock_s
from mallowspindle.utils.tasks import BackgroundTasks, wait_for_event
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

# Pause between two states that a node or a relay sends. It is less than half of
# the lag of a backend server's own report, so that requests sent by peers are
# known before the report shows them.
INTERVAL_S = 0.35
# Shortest pause between two states, also when one is sent early.
_MIN_INTERVAL_S = 0.03
# Silence of a zone's first relay after which the second takes over.
_RELAY_TIMEOUT_S = 1.0
_SEND_TIMEOUT_S = 1.0
# Requests that arrive together use the same sum of the peers' work.
_SUM_CACHE_S = 0.03

WorkSource = Callable[[], WorkSum]
LeaseSource = Callable[[], LeaseUpdate | None]


@service('sharing', requires=('membership',))
class SharingService(Service):
    """Exchange of work states and lease updates with peers."""

    def __init__(
        self,
        membership: MembershipService,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        own = membership.own
        self._membership = membership
        self._clock = clock
        self._started_at_s = clock()
        self._incarnation = own.incarnation
        self._numbers = count(own.incarnation)
        self._last_sent: NodeState | None = None
        self._last_sent_at_s = 0.0
        self._sources: list[WorkSource] = []
        self._lease_source: LeaseSource | None = None
        self._lease_watchers: list[Callable[[LeaseUpdate], None]] = []
        self._peer_states = PeerStates(own.zone, own.name, clock)
        self._evidence_of_zone = EvidenceSelection()
        self._evidence_of_venture = EvidenceSelection()
        self._sum = WorkSum()
        self._summed_at_s = 0.0
        self._send_requested = asyncio.Event()
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service from the ``membership`` service."""
        return cls(kernel.find('membership', MembershipService))

    @property
    def membership(self) -> MembershipService:
        """The members with which this node shares its state."""
        return self._membership

    @property
    def is_full_mesh(self) -> bool:
        """Whether every node sends its state to every other one."""
        return uses_full_mesh(len(self.peers()) + 1)

    @property
    def uptime_s(self) -> float:
        """Seconds since this node started."""
        return self._clock() - self._started_at_s

    def register_work_source(self, source: WorkSource) -> None:
        """Include the work from ``source`` in this node's state."""
        self._sources.append(source)

    def register_lease_source(self, source: LeaseSource) -> None:
        """Include the lease update from ``source`` in this node's state."""
        self._lease_source = source

    def watch_lease(self, watcher: Callable[[LeaseUpdate], None]) -> None:
        """Call ``watcher`` with each lease update that arrives."""
        self._lease_watchers.append(watcher)

    def peers(self) -> list[MemberInfo]:
        """Return the live peers."""
        return self._membership.table.live()

    def peer_work(self) -> WorkSum:
        """Return the sum of the other nodes' work, as far as it is known."""
        now_s = self._clock()
        if now_s - self._summed_at_s > _SUM_CACHE_S:
            self._sum = self._peer_states.peer_work()
            self._summed_at_s = now_s
        return self._sum

    def reporting_fraction(self) -> float:
        """Return the fraction of nodes, this one included, with known work."""
        known = [
            member
            for member in self._membership.table.known()
            if not member.info.leaving
        ]
        known_nodes = self.peer_work().nodes + 1
        return min(1, known_nodes / (len(known) + 1))

    def broadcast(self, message: object) -> None:
        """Send a message to all live peers, without waiting for answers."""
        peers = self.peers()
        if self.is_full_mesh:
            self.send_to(peers, message)
            return
        own = self._membership.own
        envelope = ForwardMessage(peer_codec.to_wire(message))
        relays = set(
            chain.from_iterable(
                relays_of(zone, [own, *peers]) for zone in _zones(peers)
            )
        )
        if own.name in relays:
            self.send_to(_in_zone(own.zone, peers), message)
            relays -= set(relays_of(own.zone, [own, *peers]))
        self.send_to(_with_names(relays, peers), envelope)

    def send_to(self, infos: Sequence[MemberInfo], message: object) -> None:
        """Send a message to some peers, without waiting for answers."""
        made_at_s = boot_clock_s()
        encoded = EncodedMessage(message)
        for info in infos:
            self._tasks.spawn(
                self._send(info, encoded, made_at_s), 'send to peer'
            )

    async def ask(
        self, info: MemberInfo, message: object, timeout_s: float
    ) -> object:
        """Return a peer's reply; None if it gave none."""
        try:
            return await self._membership.link(info).call(message, timeout_s)
        except PeerError as error:
            log.info('no answer from %s: %s', info.name, error)
        return None

    async def start(self) -> None:
        """Start the exchange of states."""
        server = self._membership.server
        server.handle(NodeState, self._receive)
        server.handle(ZoneState, self._receive)
        server.handle(VentureState, self._receive)
        server.handle(ForwardMessage, self._forward)
        meter.create_observable_gauge(
            'nodes_heard', [self._observe_known_nodes]
        )
        self._tasks.spawn(self._send_states(), 'node state')
        self._tasks.spawn(self._relay_states(), 'zone state')

    async def stop(self) -> None:
        """Stop the exchange."""
        await self._tasks.cancel()

    async def prepare_drain(self) -> None:
        """Send a last state before this node leaves."""
        self._send_state()

    def send_soon(self) -> None:
        """Send the next state at once."""
        self._send_requested.set()

    async def _send_states(self) -> None:
        while True:
            self._send_requested.clear()
            self._send_state()
            await asyncio.sleep(_MIN_INTERVAL_S)
            await wait_for_event(
                self._send_requested, INTERVAL_S - _MIN_INTERVAL_S
            )

    def _observe_known_nodes(
        self, options: CallbackOptions
    ) -> list[Observation]:
        return [Observation(self.peer_work().nodes)]

    def _send_state(self) -> None:
        """Send this node's state to all peers or to the relays of its zone."""
        peers = self.peers()
        state = self._own_state()
        self._last_sent = state
        self._last_sent_at_s = self._clock()
        self._peer_states.record_own_state(state)
        if self.is_full_mesh:
            self.send_to(peers, state)
            return
        self.send_to(_with_names(self._active_relays(peers), peers), state)

    async def _relay_states(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            peers = self.peers()
            if self.is_full_mesh or self._last_sent is None:
                continue
            if self._membership.own.name in self._active_relays(peers):
                self._relay(peers, self._last_sent)

    def _active_relays(self, peers: Sequence[MemberInfo]) -> list[str]:
        """Return the first relay of the zone; if it is silent, all of them.

        The second relay sends to the zone once the first is silent to it too.
        Until then it forwards between the first and nodes that can't reach it.
        """
        own = self._membership.own
        relays = relays_of(own.zone, [own, *peers])
        first = relays[:1]
        if first == [own.name] or self._peer_states.received_from(
            first, _RELAY_TIMEOUT_S
        ):
            return first
        return relays

    def _relay(self, peers: Sequence[MemberInfo], own: NodeState) -> None:
        """Send the zone's work to other relays and all work to the zone."""
        own_work = projected(own.work, self._clock() - self._last_sent_at_s)
        zone_work = _with_evidence(
            total([self._peer_states.zone_work(), own_work]),
            self._evidence_of_zone,
        )
        zone_state = ZoneState(
            own.zone, own.node, zone_work, self._peer_states.zone_lease
        )
        other_zones = _zones(peers) - {own.zone}
        relays = set(self._peer_states.sending_relays())
        for zone in other_zones:
            relays.update(relays_of(zone, peers)[:1])
        self.send_to(_with_names(relays, peers), zone_state)
        venture_state = VentureState(
            own.node,
            _with_evidence(
                total([self._peer_states.collected_work(), own_work]),
                self._evidence_of_venture,
            ),
            self._peer_states.included(),
            self._peer_states.venture_lease,
        )
        self.send_to(_in_zone(own.zone, peers), venture_state)

    def _own_state(self) -> NodeState:
        own = self._membership.own
        if own.incarnation > self._incarnation:
            # Numbers of a restarted node follow those used before the restart.
            self._incarnation = own.incarnation
            self._numbers = count(own.incarnation)
        works = [source() for source in self._sources]
        started = WorkSum(nodes=1, young_s=recent_uptimes([self.uptime_s]))
        lease = self._lease_source() if self._lease_source else None
        return NodeState(
            node=own.name,
            incarnation=own.incarnation,
            zone=own.zone,
            number=next(self._numbers),
            work=total([started, *works]),
            lease=lease,
        )

    async def _send(
        self, info: MemberInfo, message: object, made_at_s: float
    ) -> None:
        link = self._membership.link(info)
        try:
            await link.call(message, _SEND_TIMEOUT_S, made_at_s)
        except PeerError as error:
            log.debug('message to %s not delivered: %s', info.name, error)

    async def _receive(
        self, state: NodeState | ZoneState | VentureState
    ) -> OkReply:
        self._peer_states.receive(state)
        if not self.is_full_mesh:
            self._forward_around_cut(state)
        lease = state.lease_by_now
        if lease is not None:
            for watcher in self._lease_watchers:
                watcher(lease)
        return OkReply()

    def _forward_around_cut(
        self, state: NodeState | ZoneState | VentureState
    ) -> None:
        """Forward between the first relay and nodes that can't reach it."""
        peers = self.peers()
        own = self._membership.own
        first, *backups = relays_of(own.zone, [own, *peers])
        if own.name not in backups:
            return
        match state:
            case NodeState(zone=own.zone, node=node) if node != first:
                if self._peer_states.received_from([first], _RELAY_TIMEOUT_S):
                    self.send_to(_with_names([first], peers), state)
            case VentureState(relay=relay) if relay == first:
                senders = self._peer_states.sending_nodes(_RELAY_TIMEOUT_S)
                cut_off = [info for info in peers if info.name in senders]
                self.send_to(cut_off, replace(state, relay=own.name))

    async def _forward(self, envelope: ForwardMessage) -> object:
        """Send the message to the nodes of this zone and handle it here."""
        message = aged(peer_codec.from_wire(envelope.message), envelope.age_s)
        own = self._membership.own
        self.send_to(_in_zone(own.zone, self.peers()), message)
        return await self._membership.server.dispatch_message(message)


def _with_evidence(work: WorkSum, selection: EvidenceSelection) -> WorkSum:
    return replace(work, evidence=selection.next(work.evidence))


def _zones(infos: Sequence[MemberInfo]) -> set[str]:
    return {info.zone for info in infos}


def _in_zone(zone: str, infos: Sequence[MemberInfo]) -> list[MemberInfo]:
    return [info for info in infos if info.zone == zone]


def _with_names(
    names: Sequence[str] | set[str], infos: Sequence[MemberInfo]
) -> list[MemberInfo]:
    return [info for info in infos if info.name in names]
