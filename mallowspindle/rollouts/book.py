"""What this node knows of rollouts, and where it may send requests."""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol, TypeVar

from xxhash import xxh3_64_intdigest

from mallowspindle.catalog.orders import RolloutOrder
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.policies.rollout import Phase
from mallowspindle.rollouts.records import (
    CanaryPlan,
    RolloutNews,
    RolloutState,
)
from mallowspindle.rollouts.states import serves_already

# Without news for this long, nothing is sent to an unjudged version.
_NEWS_VALID_S = 1.0
_HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class Draw:
    """What decides which version a request gets.

    ``version`` is that of the stream that it continues, None for a new one.
    ``is_first`` is whether it was sent to no server yet.
    """

    request_id: str
    streams: bool = False
    version: str | None = None
    is_first: bool = True


@dataclass(frozen=True, slots=True)
class _Known:
    """The newest state of a service, and the plan that was heard with it."""

    state: RolloutState
    plan: CanaryPlan
    heard_at_s: float
    finding: str = ''


class View(Protocol):
    """A server as a node sees it."""

    server: BackendServer


ViewT = TypeVar('ViewT', bound=View)


@dataclass(slots=True)
class _Entry:
    """A server without anything else."""

    server: BackendServer


class RolloutBook:
    """The newest state of each service's rollout.

    ``orders`` returns the orders in the log, of which there may be no state yet.
    """

    def __init__(
        self,
        orders: Callable[[], Mapping[str, RolloutOrder]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._orders = orders
        self._clock = clock
        self._known: dict[str, _Known] = {}

    @property
    def states(self) -> dict[str, RolloutState]:
        """The newest state of each service."""
        return {name: known.state for name, known in self._known.items()}

    @property
    def is_empty(self) -> bool:
        """Whether there is neither an order nor a state."""
        return not self._known and not self._orders()

    def merge(self, state: RolloutState) -> bool:
        """Keep a state if it is newer; return whether it is."""
        known = self._known.get(state.service)
        if known is not None and not known.state.is_older_than(state):
            return False
        self._known[state.service] = _Known(state, CanaryPlan(), 0)
        return True

    def hear(self, news: RolloutNews, age_s: float) -> bool:
        """Keep what the node that decides told ``age_s`` ago.

        Return whether the state is new.
        """
        is_new = self.merge(news.state)
        known = self._known[news.state.service]
        if known.state == news.state and news.plan is not None:
            self._known[news.state.service] = _Known(
                news.state, news.plan, self._clock() - age_s, news.finding
            )
        return is_new

    def news(self) -> list[RolloutNews]:
        """Return all states with their plans."""
        return [
            RolloutNews(known.state, known.plan, known.finding)
            for known in self._known.values()
        ]

    def pending(self, service: str) -> RolloutOrder | None:
        """Return the order of a service of which no state is known."""
        order = self._orders().get(service)
        known = self._known.get(service)
        if order is None or known is None:
            return order
        is_newer = order.position > known.state.position
        if is_newer and not order.is_same(known.state.order):
            return order
        return None

    def unknown_phases(self) -> list[str]:
        """Return the services with an order of which no state is known."""
        return [name for name in self._orders() if self.pending(name)]

    def counted_order(self, service: str) -> int | None:
        """Return the order for which requests are counted; None for none."""
        order = self.pending(service)
        if order is not None:
            return order.position
        known = self._known.get(service)
        if known is None or known.state.phase.is_final:
            return None
        return known.state.position

    def barred(self, service: str) -> set[str]:
        """Return the versions that get no request."""
        known = self._known.get(service)
        barred = set(known.state.barred) if known else set()
        order = self.pending(service)
        if order is None:
            return barred
        if known and not known.state.phase.is_final:
            barred.add(known.state.target)
        return barred - {order.target}

    def unjudged(self, service: str) -> str | None:
        """Return the version that gets at most a share of the requests."""
        order = self.pending(service)
        known = self._known.get(service)
        if order is not None:
            former = known.state if known else None
            return None if serves_already(order, former) else order.target
        if (
            known
            and not known.state.is_trusted
            and known.state.phase in {Phase.HOLD, Phase.CANARY}
        ):
            return known.state.target
        return None

    def allows(self, server: BackendServer, draw: Draw) -> bool:
        """Return whether a request may go to a server at all."""
        groups = self.groups(server.service, [_Entry(server)], draw)
        return any(groups)

    def groups(
        self, service: str, servers: Iterable[ViewT], draw: Draw
    ) -> list[list[ViewT]]:
        """Return the servers that a request may go to, the preferred first."""
        barred = self.barred(service)
        left = [
            view
            for view in servers
            if view.server.software_version not in barred
            and draw.version in {None, view.server.software_version}
        ]
        order = self.pending(service)
        known = self._known.get(service)
        if order is None and (known is None or known.state.phase.is_final):
            return [left]
        target = order.target if order else known.state.target  # type: ignore[union-attr]
        new = [view for view in left if view.server.software_version == target]
        old = [view for view in left if view.server.software_version != target]
        if order is not None or known is None:
            return [old] if self.unjudged(service) else [new, old]
        return self._divide(known, new, old, draw)

    def _divide(
        self,
        known: _Known,
        new: list[ViewT],
        old: list[ViewT],
        draw: Draw,
    ) -> list[list[ViewT]]:
        plan = known.plan
        switched = known.state.phase is Phase.SWITCH
        if plan.servers is not None and known.state.phase is Phase.CANARY:
            new = [
                view for view in new if view.server.server_id in plan.servers
            ]
        if known.state.phase is Phase.HOLD:
            return [new, old] if known.state.is_trusted else [old]
        if not switched and self._is_stale(known):
            return [old]
        if draw.version is not None:
            return [old, new]
        share = plan.stream_share if draw.streams else plan.share
        is_drawn = _position_of(draw, known.state) < share
        if switched:
            return [new, old] if is_drawn else [old, new]
        return [new, old] if is_drawn and draw.is_first else [old]

    def _is_stale(self, known: _Known) -> bool:
        return self._clock() - known.heard_at_s > _NEWS_VALID_S


def _position_of(draw: Draw, state: RolloutState) -> float:
    """Return a number from 0 to 1, the same for a request at all nodes."""
    key = f'{state.position}\0{draw.request_id}'
    return xxh3_64_intdigest(key.encode()) / _HASH_RANGE
