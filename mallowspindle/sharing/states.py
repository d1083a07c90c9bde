"""What this node has heard of the work of the others."""

import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

from mallowspindle.sharing.aggregation import aged, brought_up, without
from mallowspindle.sharing.messages import (
    LeaseNews,
    NodeState,
    VentureState,
    WorkSum,
    ZoneState,
)

StateT = TypeVar('StateT', NodeState, ZoneState, VentureState)

# A state that is older says nothing of the present load any longer.
_STALE_AFTER_S = 2.0
# Own states that are kept to be taken off sums in which they are included.
_OWN_KEPT = 64


@dataclass(frozen=True, slots=True)
class Heard(Generic[StateT]):
    """A state and when it arrived, in seconds of the steady clock."""

    state: StateT
    heard_at_s: float


class HeardStates(Generic[StateT]):
    """The newest state from each sender, as long as it is fresh."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._states: dict[str, Heard[StateT]] = {}

    def put(self, sender: str, state: StateT) -> None:
        """Replace what a sender said before."""
        self._states[sender] = Heard(state, self._clock())

    def fresh(self, within_s: float = _STALE_AFTER_S) -> list[Heard[StateT]]:
        """Return the states that were heard lately."""
        horizon_s = self._clock() - within_s
        return [
            heard
            for heard in self._states.values()
            if heard.heard_at_s > horizon_s
        ]


class NewestLease:
    """The newest news of the lease, whose age goes on."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._news: LeaseNews | None = None
        self._heard_at_s = 0.0

    def put(self, news: LeaseNews | None) -> None:
        """Keep news if it is newer than what is known."""
        known = self.current()
        if news is None:
            return
        if known is None or _lease_order(known) < _lease_order(news):
            self._news = news
            self._heard_at_s = self._clock()

    def current(self) -> LeaseNews | None:
        """Return the news with its present age."""
        if self._news is None:
            return None
        age_s = self._news.age_s + self._clock() - self._heard_at_s
        return replace(self._news, age_s=age_s)


class PeerStates:
    """States of single nodes, of zones and of the whole venture."""

    def __init__(
        self,
        own_zone: str,
        own_name: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._zone = own_zone
        self._name = own_name
        self._clock = clock
        self._nodes: HeardStates[NodeState] = HeardStates(clock)
        self._zones: HeardStates[ZoneState] = HeardStates(clock)
        self._ventures: HeardStates[VentureState] = HeardStates(clock)
        self._own: dict[int, tuple[WorkSum, float]] = {}
        self._zone_lease = NewestLease(clock)
        self._venture_lease = NewestLease(clock)

    @property
    def zone_lease(self) -> LeaseNews | None:
        """The newest news of the lease that single nodes told."""
        return self._zone_lease.current()

    @property
    def venture_lease(self) -> LeaseNews | None:
        """The newest news of the lease that nodes and other zones told.

        What relays told the nodes of their zone never goes back to relays:
        each round would take the time of the way off its age.
        """
        return self._venture_lease.current()

    def note_own(self, state: NodeState) -> None:
        """Keep a state that this node has told."""
        self._own[state.number] = state.work, self._clock()
        self._own.pop(state.number - _OWN_KEPT, None)
        self._zone_lease.put(state.lease)
        self._venture_lease.put(state.lease)

    def receive(self, state: NodeState | ZoneState | VentureState) -> None:
        """Take in what another node tells."""
        match state:
            case NodeState():
                self._nodes.put(state.node, state)
                self._zone_lease.put(state.lease)
                self._venture_lease.put(state.lease)
            case ZoneState():
                self._zones.put(state.relay, state)
                self._venture_lease.put(state.lease)
            case VentureState():
                self._ventures.put(state.relay, state)

    def heard_from(self, relays: Collection[str], within_s: float) -> bool:
        """Tell whether one of ``relays`` has told this node lately."""
        return any(
            heard.state.relay in relays
            for heard in self._ventures.fresh(within_s)
        )

    def telling_nodes(self, within_s: float) -> set[str]:
        """Return the nodes of the own zone that told this node lately."""
        return {
            heard.state.node
            for heard in self._nodes.fresh(within_s)
            if heard.state.zone == self._zone
        }

    def telling_relays(self) -> list[str]:
        """Return the relays of other zones that tell this node."""
        return [heard.state.relay for heard in self._zones.fresh()]

    def included(self) -> dict[str, int]:
        """Return the number of each state of the own zone that is known."""
        return {
            heard.state.node: heard.state.number
            for heard in self._nodes.fresh()
            if heard.state.zone == self._zone
        }

    def zone_work(self) -> WorkSum:
        """Return the work of the other nodes of the own zone."""
        return brought_up(self._node_works({self._zone}))

    def collected_work(self) -> WorkSum:
        """Return the work of the others from what nodes and zones told."""
        best: dict[str, Heard[ZoneState]] = {}
        for told in self._zones.fresh():
            zone = told.state.zone
            if zone not in best or _fullness(told) > _fullness(best[zone]):
                best[zone] = told
        best.pop(self._zone, None)
        zones = {heard.state.zone for heard in self._nodes.fresh()}
        others = self._node_works(zones - best.keys())
        return brought_up([*map(self._with_age, best.values()), *others])

    def peer_work(self) -> WorkSum:
        """Return the work of all other nodes.

        Nodes that are no relays hear little but what a relay tells them.
        """
        collected = self.collected_work()
        told = self._told_work()
        return told if told.nodes > collected.nodes else collected

    def _told_work(self) -> WorkSum:
        """Return the work of the others as a relay of the zone tells it."""
        told = self._ventures.fresh()
        if not told:
            return WorkSum()
        fullest = max(told, key=_fullness)
        work, age_s = self._with_age(fullest)
        own = self._own.get(fullest.state.included.get(self._name, -1))
        if own is not None:
            own_work, told_at_s = own
            # The relay has brought this part up to its own time, too.
            work = without(work, aged(own_work, fullest.heard_at_s - told_at_s))
        return aged(work, age_s)

    def _node_works(self, zones: Iterable[str]) -> list[tuple[WorkSum, float]]:
        wanted = set(zones)
        return [
            self._with_age(heard)
            for heard in self._nodes.fresh()
            if heard.state.zone in wanted
        ]

    def _with_age(self, heard: Heard[StateT]) -> tuple[WorkSum, float]:
        return heard.state.work, self._clock() - heard.heard_at_s


def _fullness(
    heard: Heard[ZoneState] | Heard[VentureState],
) -> tuple[int, float]:
    """Return what orders sums of the same nodes, the best one last."""
    return heard.state.work.nodes, heard.heard_at_s


def _lease_order(news: LeaseNews) -> tuple[int, bool, float]:
    return news.fencing_number, news.released, -news.age_s
