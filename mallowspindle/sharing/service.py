"""Exchanges the state of work between entry VMs."""

import asyncio
import logging
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Any, Self

from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.membership.service import MembershipService
from mallowspindle.peers.codec import OkReply
from mallowspindle.peers.errors import PeerError
from mallowspindle.sharing.messages import NodeState
from mallowspindle.utils.tasks import TaskGroup

log = logging.getLogger(__name__)

# Pause between two states sent to each peer: below half of the lag of a
# backend server's own report, so that peers' sends are known before it.
INTERVAL_S = 0.35
# News in a hurry is sent no more often than this.
_LEAST_INTERVAL_S = 0.03
# A state that is older says nothing of the present load any longer.
_STALE_AFTER_S = 2.0
_SEND_TIMEOUT_S = 1.0

Source = Callable[[], Any]


@dataclass(frozen=True, slots=True)
class HeardState:
    """A peer's state and when it arrived, in seconds of the steady clock."""

    state: NodeState
    heard_at_s: float

    @property
    def age_s(self) -> float:
        """Seconds since the state arrived."""
        return time.monotonic() - self.heard_at_s


@service('sharing', requires=('membership',))
class SharingService(Service):
    """Tells peers this node's state and keeps theirs."""

    def __init__(self, membership: MembershipService) -> None:
        self._membership = membership
        self._sources: dict[str, Source] = {}
        self._watchers: list[Callable[[NodeState], None]] = []
        self._states: dict[str, HeardState] = {}
        self._hurry = asyncio.Event()
        self._tasks = TaskGroup()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service on the membership."""
        return cls(kernel.find('membership', MembershipService))

    @property
    def membership(self) -> MembershipService:
        """The members with which this node shares its state."""
        return self._membership

    def provide(self, part: str, source: Source) -> None:
        """Take a field of this node's state from ``source``."""
        self._sources[part] = source

    def watch(self, watcher: Callable[[NodeState], None]) -> None:
        """Call ``watcher`` with each state of a peer."""
        self._watchers.append(watcher)

    def peers(self) -> list[MemberInfo]:
        """Return the live peers."""
        return self._membership.table.live()

    def heard(self) -> list[HeardState]:
        """Return the states of peers that were heard lately."""
        return [
            heard
            for heard in self._states.values()
            if heard.age_s < _STALE_AFTER_S
        ]

    def states(self) -> list[NodeState]:
        """Return what the peers said that were heard lately."""
        return [heard.state for heard in self.heard()]

    def heard_part(self) -> float:
        """Return the part of the known nodes, this one too, that is heard."""
        known = [
            member
            for member in self._membership.table.known()
            if not member.info.leaving
        ]
        heard = len(self.heard()) + 1
        return min(1, heard / (len(known) + 1))

    def tell_all(self, message: object) -> None:
        """Send a message to all live peers, without waiting for answers."""
        for info in self.peers():
            self._tasks.spawn(self._tell(info, message), 'tell peer')

    async def ask_any(self, message: object, timeout_s: float) -> Any:
        """Return the first reply of a live peer; None if there is none."""
        for info in self.peers():
            try:
                return await self._membership.link(info).call(
                    message, timeout_s
                )
            except PeerError as error:
                log.info('%s gave no answer: %s', info.name, error)
        return None

    async def start(self) -> None:
        """Begin to exchange states."""
        self._membership.server.handle(NodeState, self._receive)
        self._tasks.spawn(self._send_states(), 'node state')

    async def stop(self) -> None:
        """Stop the exchange."""
        await self._tasks.cancel()

    async def prepare_drain(self) -> None:
        """Tell the last state before this node leaves."""
        await self._send_state()

    def hurry(self) -> None:
        """Send the next state at once."""
        self._hurry.set()

    async def _send_states(self) -> None:
        while True:
            self._hurry.clear()
            await self._send_state()
            await asyncio.sleep(_LEAST_INTERVAL_S)
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._hurry.wait(), INTERVAL_S - _LEAST_INTERVAL_S
                )

    async def _send_state(self) -> None:
        self.tell_all(self._own_state())

    def _own_state(self) -> NodeState:
        own = self._membership.own
        parts = {part: source() for part, source in self._sources.items()}
        return replace(NodeState(own.name, own.incarnation), **parts)

    async def _tell(self, info: MemberInfo, message: object) -> None:
        try:
            await self._membership.link(info).call(message, _SEND_TIMEOUT_S)
        except PeerError as error:
            log.debug('%s was not told: %s', info.name, error)

    async def _receive(self, state: NodeState) -> OkReply:
        self._states[state.node] = HeardState(state, time.monotonic())
        for watcher in self._watchers:
            watcher(state)
        return OkReply()
