"""The states of other nodes' work that this node has received."""

import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

from mallowspindle.sharing.aggregation import projected, subtract, total_by_now
from mallowspindle.sharing.messages import (
    LeaseUpdate,
    NodeState,
    VentureState,
    WorkSum,
    ZoneState,
)

StateT = TypeVar('StateT', NodeState, ZoneState, VentureState)

# An older state says nothing about the present load.
_STALE_AFTER_S = 2.0
# Own states kept to be subtracted from sums in which they are included.
_MAX_OWN_STATES = 64


@dataclass(frozen=True, slots=True)
class Received(Generic[StateT]):
    """A state and its time of arrival on the monotonic clock."""

    state: StateT
    received_at_s: float


class LatestStates(Generic[StateT]):
    """The latest state from each sender, while it is fresh."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._states: dict[str, Received[StateT]] = {}

    def put(self, sender: str, state: StateT) -> None:
        """Replace the former state of a sender."""
        self._states[sender] = Received(state, self._clock())

    def fresh(self, within_s: float = _STALE_AFTER_S) -> list[Received[StateT]]:
        """Return the states that arrived within the last ``within_s``."""
        oldest_s = self._clock() - within_s
        return [
            received
            for received in self._states.values()
            if received.received_at_s > oldest_s
        ]


class NewestLease:
    """The newest lease update, with a growing age."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._newest: LeaseUpdate | None = None
        self._received_at_s = 0.0

    def put(self, update: LeaseUpdate | None) -> None:
        """Keep an update if it is newer than the present one."""
        known = self.current()
        if update is None:
            return
        if known is None or _lease_order(known) < _lease_order(update):
            self._newest = update
            self._received_at_s = self._clock()

    def current(self) -> LeaseUpdate | None:
        """Return the newest update with its present age."""
        if self._newest is None:
            return None
        age_s = self._newest.age_s + self._clock() - self._received_at_s
        return replace(self._newest, age_s=age_s)


class PeerStates:
    """Received states of single nodes, of zones and of the whole venture."""

    def __init__(
        self,
        own_zone: str,
        own_name: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._zone = own_zone
        self._name = own_name
        self._clock = clock
        self._nodes: LatestStates[NodeState] = LatestStates(clock)
        self._zones: LatestStates[ZoneState] = LatestStates(clock)
        self._ventures: LatestStates[VentureState] = LatestStates(clock)
        self._own: dict[int, tuple[WorkSum, float]] = {}
        self._zone_lease = NewestLease(clock)
        self._venture_lease = NewestLease(clock)

    @property
    def zone_lease(self) -> LeaseUpdate | None:
        """The newest lease update from single nodes."""
        return self._zone_lease.current()

    @property
    def venture_lease(self) -> LeaseUpdate | None:
        """The newest lease update from nodes and from other zones.

        Updates that relays sent to the nodes of their zone never go back to
        relays: the age would lack the transit time of each round.
        """
        return self._venture_lease.current()

    def record_own_state(self, state: NodeState) -> None:
        """Keep a state that this node has sent."""
        self._own[state.number] = state.work, self._clock()
        self._own.pop(state.number - _MAX_OWN_STATES, None)
        self._zone_lease.put(state.lease)
        self._venture_lease.put(state.lease)

    def receive(self, state: NodeState | ZoneState | VentureState) -> None:
        """Keep a state from another node."""
        match state:
            case NodeState():
                self._nodes.put(state.node, state)
                self._zone_lease.put(state.lease_by_now)
                self._venture_lease.put(state.lease_by_now)
            case ZoneState():
                self._zones.put(state.relay, state)
                self._venture_lease.put(state.lease_by_now)
            case VentureState():
                self._ventures.put(state.relay, state)

    def received_from(self, relays: Collection[str], within_s: float) -> bool:
        """Tell whether one of ``relays`` has sent to this node recently."""
        return any(
            received.state.relay in relays
            for received in self._ventures.fresh(within_s)
        )

    def sending_nodes(self, within_s: float) -> set[str]:
        """Return the nodes of the own zone that sent to this node recently."""
        return {
            received.state.node
            for received in self._nodes.fresh(within_s)
            if received.state.zone == self._zone
        }

    def sending_relays(self) -> list[str]:
        """Return the relays of other zones that send to this node."""
        return [received.state.relay for received in self._zones.fresh()]

    def included(self) -> dict[str, int]:
        """Return the number of the known state of each node of the own zone."""
        return {
            received.state.node: received.state.number
            for received in self._nodes.fresh()
            if received.state.zone == self._zone
        }

    def zone_work(self) -> WorkSum:
        """Return the work of the other nodes of the own zone."""
        return total_by_now(self._node_works({self._zone}))

    def collected_work(self) -> WorkSum:
        """Return the work of the others from states of nodes and zones."""
        best: dict[str, Received[ZoneState]] = {}
        for candidate in self._zones.fresh():
            zone = candidate.state.zone
            if zone not in best or _completeness(candidate) > _completeness(
                best[zone]
            ):
                best[zone] = candidate
        best.pop(self._zone, None)
        zones = {received.state.zone for received in self._nodes.fresh()}
        others = self._node_works(zones - best.keys())
        return total_by_now([*map(self._with_age, best.values()), *others])

    def peer_work(self) -> WorkSum:
        """Return the work of all other nodes.

        Nodes that are not relays receive little except from a relay.
        """
        collected = self.collected_work()
        relayed = self._relayed_work()
        return relayed if relayed.nodes > collected.nodes else collected

    def _relayed_work(self) -> WorkSum:
        """Return the work of the others from a relay of the zone."""
        states = self._ventures.fresh()
        if not states:
            return WorkSum()
        most_complete = max(states, key=_completeness)
        work, age_s = self._with_age(most_complete)
        own = self._own.get(most_complete.state.included.get(self._name, -1))
        if own is not None:
            own_work, sent_at_s = own
            # The relay has projected this part to its own time as well.
            work = subtract(
                work,
                projected(own_work, most_complete.received_at_s - sent_at_s),
            )
        return projected(work, age_s)

    def _node_works(self, zones: Iterable[str]) -> list[tuple[WorkSum, float]]:
        wanted = set(zones)
        return [
            self._with_age(received)
            for received in self._nodes.fresh()
            if received.state.zone in wanted
        ]

    def _with_age(self, received: Received[StateT]) -> tuple[WorkSum, float]:
        return received.state.work, self._clock() - received.received_at_s


def _completeness(
    received: Received[ZoneState] | Received[VentureState],
) -> tuple[int, float]:
    """Return a sort key for sums of the same nodes, the best last."""
    return received.state.work.nodes, received.received_at_s


def _lease_order(update: LeaseUpdate) -> tuple[int, bool, float]:
    return update.fencing_number, update.released, -update.age_s
