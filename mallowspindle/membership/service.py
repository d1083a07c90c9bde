"""Heartbeats between entry VMs: who is live, leaving, and where."""

import asyncio
import logging
import random
import time
from dataclasses import replace
from typing import Self

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.config.common import NodeSection, PeersSection
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.membership.gossip import Gossip
from mallowspindle.membership.messages import (
    Heartbeat,
    MemberInfo,
)
from mallowspindle.membership.signs import LeavingSigns
from mallowspindle.membership.table import Member, MemberTable
from mallowspindle.membership.usage import UsageTable
from mallowspindle.peers.codec import ErrorReply
from mallowspindle.peers.errors import PeerError
from mallowspindle.peers.handshake import Credentials
from mallowspindle.peers.link import PeerLink
from mallowspindle.peers.links import PeerLinks
from mallowspindle.peers.server import PeerServer
from mallowspindle.utils.identifiers import rendezvous_order
from mallowspindle.utils.tasks import TaskGroup, happens
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

_FORGET_AFTER_S = 60.0
_SYNC_INTERVAL_S = 60.0
_SEEDS_TRIED = 2
_MIN_INTERVAL_S = 0.1


@service('membership')
class MembershipService(Service):
    """Exchanges heartbeats with a bounded number of peers."""

    def __init__(
        self,
        node: NodeSection,
        peers: PeersSection,
        server: PeerServer,
        endpoint: tuple[str, int],
    ) -> None:
        self._peers = peers
        self._endpoint = endpoint
        self._server = server
        self._info = MemberInfo(
            name=node.name,
            region=node.region,
            zone=node.zone,
            peer_address='',
            http_address='',
            incarnation=time.time_ns() // 1_000_000,
            beat=0,
        )
        self._table = MemberTable(node.name, peers.suspect_after_s)
        self._links = PeerLinks(
            Credentials(node.name, peers.shared_key.encode()),
            peers.max_frame_bytes,
        )
        self._gossip = Gossip(self._table)
        self._hurry = asyncio.Event()
        self._tasks = TaskGroup()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service and the server that peers dial."""
        config = kernel.config
        credentials = Credentials(
            config.node.name, config.peers.shared_key.encode()
        )
        server = PeerServer(credentials, config.peers.max_frame_bytes)
        return cls(config.node, config.peers, server, config.peer_endpoint)

    @property
    def own(self) -> MemberInfo:
        """What this node says of itself."""
        return self._info

    @property
    def table(self) -> MemberTable:
        """The other members."""
        return self._table

    @property
    def server(self) -> PeerServer:
        """The server on which services register their handlers."""
        return self._server

    @property
    def signs(self) -> LeavingSigns:
        """The backend servers known to be leaving."""
        return self._gossip.signs

    @property
    def usage(self) -> UsageTable:
        """What the entry VMs report of the organisations' usage."""
        return self._gossip.usage

    @property
    def sent_bytes(self) -> int:
        """Bytes sent to peers since the start, answers not included."""
        return self._links.sent_bytes

    async def start(self) -> None:
        """Listen for peers and begin to send heartbeats."""
        self._server.handle(Heartbeat, self._receive)
        host, wanted_port = self._endpoint
        port = await self._server.start(host, wanted_port)
        self.update(peer_address=f'{host}:{port}')
        self._tasks.spawn(self._beat_forever(), 'heartbeats')
        meter.create_observable_gauge('members_live', [self._observe_live])
        meter.create_observable_counter(
            'control_bytes_sent', [self._observe_bytes], unit='By'
        )

    async def prepare_drain(self) -> None:
        """Tell the peers that this node is leaving."""
        self.update(leaving=True)
        await self._send_round()

    async def stop(self) -> None:
        """Close all connections."""
        await self._tasks.cancel()
        await self._server.stop()
        await self._links.close()

    def update(self, **news: str | int | bool) -> None:
        """Change what this node says of itself; the next heartbeat tells."""
        self._info = replace(self._info, **news)  # type: ignore[arg-type]

    def hurry(self) -> None:
        """Send the next heartbeats at once."""
        self._hurry.set()

    def report_leaving_server(self, vm_id: str) -> None:
        """Record a sign that a backend server is leaving, and spread it."""
        if self._gossip.tell_signs([vm_id]):
            self.hurry()

    def link(self, info: MemberInfo) -> PeerLink:
        """Return the link to a member."""
        return self._links.get(info.name, info.peer_address)

    async def ask(self, name: str, message: object, timeout_s: float) -> object:
        """Return a member's reply, or an ``ErrorReply`` if it gave none."""
        member = self._table.find(name)
        if member is None:
            return ErrorReply(f'{name} is not a member')
        try:
            return await self.link(member.info).call(message, timeout_s)
        except PeerError as error:
            return ErrorReply(str(error))

    async def _beat_forever(self) -> None:
        while True:
            for member in self._table.silent():
                self._tasks.spawn(self._probe(member), 'probe')
            self._hurry.clear()
            await self._send_round(wait=False)
            await asyncio.sleep(_MIN_INTERVAL_S)
            pause_s = self._peers.heartbeat_interval_s - _MIN_INTERVAL_S
            if not await happens(self._hurry, pause_s):
                self._table.forget(_FORGET_AFTER_S)

    async def _send_round(self, *, wait: bool = True) -> None:
        self.update(beat=self._info.beat + 1)
        full = self._sync_is_due()
        regular = self._heartbeat(full=full, regular=True)
        watchers = self._watchers()
        sends = [(self.link(info), regular) for info in watchers]
        extra = self._heartbeat(full=full)
        sends.extend((link, extra) for link in self._extra_links(watchers))
        tasks = [
            self._tasks.spawn(self._send(link, heartbeat), 'heartbeat')
            for link, heartbeat in sends
        ]
        if wait and tasks:
            await asyncio.wait(tasks)

    def _watchers(self) -> list[MemberInfo]:
        """Return the members that shall notice this node's silence.

        In a small venture these are all. In a large one each node chooses
        ``fanout`` of them, the same ones while the members stay the same.
        """
        known = [member.info for member in self._table.known()]
        if len(known) <= self._peers.fanout:
            return known
        live = {info.name: info for info in self._table.live()}
        order = rendezvous_order(self._info.name, live)
        return [live[name] for name in order[: self._peers.fanout]]

    def _extra_links(self, watchers: list[MemberInfo]) -> list[PeerLink]:
        """Return links to a random member, and to seeds not met yet.

        These bring together parts of the mesh that had lost each other.
        """
        known = [member.info for member in self._table.known()]
        met = {info.peer_address for info in known}
        met.add(self._info.peer_address)
        unmet = [seed for seed in self._peers.seeds if seed not in met]
        seeds = random.sample(unmet, min(_SEEDS_TRIED, len(unmet)))
        links = [self._links.get(seed, seed) for seed in seeds]
        if len(known) > len(watchers):
            links.append(self.link(random.choice(known)))
        return links

    def _sync_is_due(self) -> bool:
        """Tell whether the next heartbeats should carry all members.

        Lost news is repaired by this within some minutes.
        """
        size = len(self._table.known())
        rounds = _SYNC_INTERVAL_S / self._peers.heartbeat_interval_s
        fanout = min(size, self._peers.fanout)
        return random.random() * rounds * max(1, fanout) < 1

    def _heartbeat(
        self, *, full: bool = False, regular: bool = False
    ) -> Heartbeat:
        return self._gossip.heartbeat(self._info, full=full, regular=regular)

    async def _send(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        try:
            reply = await link.call(heartbeat, self._peers.suspect_after_s)
        except PeerError as error:
            log.debug('heartbeat to %s failed: %s', link.address, error)
        else:
            self._learn(reply)

    async def _probe(self, member: Member) -> None:
        """Ask a silent member whether it lives; it may watch others now."""
        name = member.info.name
        timeout_s = self._peers.heartbeat_interval_s
        reply = await self.ask(name, self._heartbeat(), timeout_s)
        if isinstance(reply, Heartbeat):
            self._learn(reply)
            member.direct = False
        elif self._gossip.tell_lost(member):
            self.hurry()

    async def _receive(self, heartbeat: Heartbeat) -> Heartbeat:
        joins = heartbeat.sender.name not in self._table
        self._learn(heartbeat)
        return self._heartbeat(full=joins)

    def _learn(self, heartbeat: Heartbeat) -> None:
        if self._gossip.learn(heartbeat):
            self.hurry()

    def _observe_live(self, options: CallbackOptions) -> list[Observation]:
        return [Observation(len(self._table.live()))]

    def _observe_bytes(self, options: CallbackOptions) -> list[Observation]:
        return [Observation(self._links.sent_bytes)]
