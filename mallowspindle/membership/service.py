"""Heartbeats between entry VMs: who is live, leaving, and where."""

import asyncio
import logging
import random
import time
from dataclasses import replace
from typing import Self

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.config.daemon import NodeSection, PeersSection
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.membership.messages import (
    Heartbeat,
    MemberInfo,
)
from mallowspindle.membership.signs import LeavingSigns
from mallowspindle.membership.table import MemberTable
from mallowspindle.membership.usage import UsageTable
from mallowspindle.peers.codec import ErrorReply
from mallowspindle.peers.errors import PeerError
from mallowspindle.peers.handshake import Credentials
from mallowspindle.peers.link import PeerLink
from mallowspindle.peers.links import PeerLinks
from mallowspindle.peers.server import PeerServer
from mallowspindle.utils.tasks import TaskGroup
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

_FORGET_AFTER_S = 60.0
_MAX_MEMBERS_PER_HEARTBEAT = 32


@service('membership')
class MembershipService(Service):
    """Exchanges heartbeats with a bounded number of peers."""

    def __init__(
        self, node: NodeSection, peers: PeersSection, server: PeerServer
    ) -> None:
        self._peers = peers
        self._host = node.host
        self._port = node.peer_port
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
        self._signs = LeavingSigns()
        self._usage = UsageTable()
        self._hurry = asyncio.Event()
        self._tasks = TaskGroup()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service and the server that peers dial."""
        node, peers = kernel.config.node, kernel.config.peers
        credentials = Credentials(node.name, peers.shared_key.encode())
        return cls(node, peers, PeerServer(credentials, peers.max_frame_bytes))

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
        return self._signs

    @property
    def usage(self) -> UsageTable:
        """What the entry VMs report of the organisations' usage."""
        return self._usage

    async def start(self) -> None:
        """Listen for peers and begin to send heartbeats."""
        self._server.handle(Heartbeat, self._receive)
        port = await self._server.start(self._host, self._port)
        self.update(peer_address=f'{self._host}:{port}')
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
        if self._signs.add([vm_id]):
            log.info('backend server %s is leaving', vm_id)
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
            await self._send_round(wait=False)
            self._hurry.clear()
            try:
                await asyncio.wait_for(
                    self._hurry.wait(), self._peers.heartbeat_interval_s
                )
            except TimeoutError:
                self._table.forget(_FORGET_AFTER_S)

    async def _send_round(self, *, wait: bool = True) -> None:
        self.update(beat=self._info.beat + 1)
        heartbeat = self._heartbeat()
        sends = [
            self._tasks.spawn(self._send(link, heartbeat), 'heartbeat')
            for link in self._targets()
        ]
        if wait and sends:
            await asyncio.wait(sends)

    def _targets(self) -> list[PeerLink]:
        known = [member.info for member in self._table.known()]
        chosen = random.sample(known, min(self._peers.fanout, len(known)))
        met = {info.peer_address for info in known}
        met.add(self._info.peer_address)
        unmet = [seed for seed in self._peers.seeds if seed not in met]
        seeds = random.sample(unmet, min(2, len(unmet)))
        return [self.link(info) for info in chosen] + [
            self._links.get(seed, seed) for seed in seeds
        ]

    def _heartbeat(self) -> Heartbeat:
        live = self._table.live()
        count = min(_MAX_MEMBERS_PER_HEARTBEAT, len(live))
        return Heartbeat(
            sender=self._info,
            members=random.sample(live, count),
            leaving_servers=self._signs.current(),
            usage=self._usage.own,
        )

    async def _send(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        try:
            reply = await link.call(heartbeat, self._peers.suspect_after_s)
        except PeerError as error:
            log.debug('heartbeat to %s failed: %s', link.address, error)
        else:
            self._learn(reply)

    async def _receive(self, heartbeat: Heartbeat) -> Heartbeat:
        self._learn(heartbeat)
        return self._heartbeat()

    def _learn(self, heartbeat: Heartbeat) -> None:
        self._table.merge([heartbeat.sender, *heartbeat.members])
        self._usage.learn(heartbeat.sender.name, heartbeat.usage)
        if self._signs.add(heartbeat.leaving_servers):
            self.hurry()

    def _observe_live(self, options: CallbackOptions) -> list[Observation]:
        return [Observation(len(self._table.live()))]

    def _observe_bytes(self, options: CallbackOptions) -> list[Observation]:
        return [Observation(self._links.sent_bytes)]
