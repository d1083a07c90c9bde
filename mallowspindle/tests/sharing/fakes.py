"""Entry VMs in one process that count messages and deliver them directly."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any, cast

from mallowspindle.membership.messages import MemberInfo
from mallowspindle.membership.service import MembershipService
from mallowspindle.membership.table import MemberTable
from mallowspindle.peers.codec import EncodedMessage, peer_codec
from mallowspindle.peers.errors import PeerTimeout
from mallowspindle.peers.transit import aged
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.clock import SharedClock, boot_clock_s
from mallowspindle.utils.codec import list_header, pack, unpack

_NEVER_S = 1e9
# Bytes that a frame adds to a message: its length and the call number.
_FRAME_BYTES = 8

Handler = Callable[[Any], Awaitable[object]]


class FakeServer:
    """The message handlers of one node."""

    def __init__(self) -> None:
        self._handlers: dict[type, Handler] = {}

    def handle(self, message_type: type, handler: Handler) -> None:
        """Register the handler for a type of message."""
        self._handlers[message_type] = handler

    async def dispatch_message(self, message: object) -> object:
        """Pass a message to its handler and return the reply."""
        return await self._handlers[type(message)](message)


def _payload(message: object) -> bytes:
    if isinstance(message, EncodedMessage):
        return list_header(2) + message.parts
    return pack(peer_codec.to_wire(message))


@dataclass(slots=True)
class FakeLink:
    """A link from one node of the mesh to another."""

    mesh: 'FakeMesh'
    source: str
    target: str

    @property
    def answered_call_at_s(self) -> float:
        """When the newest call with a reply was sent."""
        return self.mesh.answered_at_s.get((self.source, self.target), 0)

    async def call(
        self,
        message: object,
        timeout_s: float,
        made_at_s: float | None = None,
    ) -> object:
        """Encode, count and deliver a message, and return the reply."""
        sent_at_s = boot_clock_s()
        reply = await self._call(message, timeout_s)
        self.mesh.answered_at_s[self.source, self.target] = sent_at_s
        return reply

    async def _call(self, message: object, timeout_s: float) -> object:
        payload = _payload(message)
        self.mesh.note_sent(self.source, len(payload) + _FRAME_BYTES)
        await asyncio.sleep(0)
        if not self.mesh.connects(self.source, self.target):
            await asyncio.sleep(timeout_s)
            raise PeerTimeout(self.target)
        delay_s = self.mesh.delays_s.get(self.source, 0)
        if not delay_s:
            return await self._deliver(payload)
        # A queued message arrives even if the caller stops waiting for it.
        delivery = asyncio.create_task(self._deliver(payload, delay_s))
        try:
            return await asyncio.wait_for(asyncio.shield(delivery), timeout_s)
        except TimeoutError as error:
            raise PeerTimeout(self.target) from error

    async def _deliver(self, payload: bytes, delay_s: float = 0) -> object:
        if delay_s:
            await asyncio.sleep(delay_s)
        server = self.mesh.servers[self.target]
        message = peer_codec.from_wire(unpack(payload))
        return await server.dispatch_message(aged(message, delay_s))


class FakeMembership:
    """One node's membership in a venture whose nodes all know each other."""

    def __init__(self, mesh: 'FakeMesh', own: MemberInfo) -> None:
        self._mesh = mesh
        self.own = own
        self.clock = SharedClock()
        self.server = mesh.servers[own.name]
        self.table = MemberTable(own.name, _NEVER_S)

    def link(self, info: MemberInfo) -> FakeLink:
        """Return the link to a member."""
        return FakeLink(self._mesh, self.own.name, info.name)


class FakeMesh:
    """The sharing services of a venture of ``size`` nodes."""

    def __init__(self, size: int, zones: int, incarnation: int = 1) -> None:
        clock = asyncio.get_running_loop().time
        infos = [
            replace(_info(number, number % zones), incarnation=incarnation)
            for number in range(size)
        ]
        self.sent_bytes: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.silent: set[str] = set()
        # Queueing delay of the messages that a node sends, in seconds.
        self.delays_s: dict[str, float] = {}
        self.cut: set[tuple[str, str]] = set()
        # By source and target, on the boot clock.
        self.answered_at_s: dict[tuple[str, str], float] = {}
        self.servers = {info.name: FakeServer() for info in infos}
        self.memberships = {
            info.name: FakeMembership(self, info) for info in infos
        }
        self.nodes = {
            name: SharingService(cast(MembershipService, membership), clock)
            for name, membership in self.memberships.items()
        }
        for membership in self.memberships.values():
            for info in infos:
                membership.table.merge(info)

    async def __aenter__(self) -> 'FakeMesh':
        await asyncio.gather(*(node.start() for node in self.nodes.values()))
        return self

    async def __aexit__(self, *error: object) -> None:
        await asyncio.gather(*(node.stop() for node in self.nodes.values()))

    def note_sent(self, source: str, size: int) -> None:
        """Count a message that a node sends."""
        self.sent[source] += 1
        self.sent_bytes[source] += size

    def leave(self, zone: str) -> None:
        """Announce to all nodes that those of a zone are leaving."""
        for membership in self.memberships.values():
            own = membership.own
            if own.zone == zone:
                membership.own = replace(own, leaving=True, beat=own.beat + 1)
                for other in self.memberships.values():
                    other.table.merge(membership.own)

    def connects(self, source: str, target: str) -> bool:
        """Tell whether messages from ``source`` reach ``target``."""
        return target not in self.silent and (source, target) not in self.cut


def _info(number: int, zone: int) -> MemberInfo:
    name = f'entry-{number:03}'
    blank = MemberInfo(name, 'one', f'zone-{zone}', '', '', 1, 1)
    return replace(blank, peer_address=name, http_address=name)
