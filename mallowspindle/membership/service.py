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
from mallowspindle.membership.departures import Departures
from mallowspindle.membership.gossip import Gossip
from mallowspindle.membership.messages import (
    Heartbeat,
    MemberInfo,
    MemberQuestion,
)
from mallowspindle.membership.table import Member, MemberTable
from mallowspindle.membership.usage import UsageTable
from mallowspindle.peers.codec import ErrorReply
from mallowspindle.peers.errors import PeerError
from mallowspindle.peers.handshake import Credentials
from mallowspindle.peers.link import PeerLink
from mallowspindle.peers.pool import PeerLinkPool
from mallowspindle.peers.server import PeerServer
from mallowspindle.utils.identifiers import rendezvous_order
from mallowspindle.utils.tasks import BackgroundTasks, wait_for_event
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

_FORGET_AFTER_S = 60.0
_SYNC_INTERVAL_S = 60.0
_SEEDS_TRIED = 2
_MIN_INTERVAL_S = 0.1
# Other watchers of a silent member that are asked before it counts as lost.
_WATCHERS_ASKED = 3
# A member that knows less than this part of the others is told all of them.
_FEW_KNOWN = 0.5


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
        self._links = PeerLinkPool(
            Credentials(node.name, peers.shared_key.encode()),
            peers.max_frame_bytes,
        )
        self._gossip = Gossip(self._table)
        self._probed: set[str] = set()
        self._send_requested = asyncio.Event()
        self._tasks = BackgroundTasks()

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
    def departures(self) -> Departures:
        """The backend servers known to be leaving."""
        return self._gossip.departures

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
        self._server.handle(MemberQuestion, self._answer_question)
        host, wanted_port = self._endpoint
        port = await self._server.start(host, wanted_port)
        self.update(peer_address=f'{host}:{port}')
        self._tasks.spawn(self._beat_forever(), 'heartbeats')
        meter.create_observable_gauge('members_live', [self._observe_live])
        meter.create_observable_counter(
            'control_bytes_sent',
            [lambda options: [Observation(self._links.sent_bytes)]],
            unit='By',
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

    def send_soon(self) -> None:
        """Send the next heartbeats at once."""
        self._send_requested.set()

    def report_leaving_server(self, vm_id: str) -> None:
        """Record a sign that a backend server is leaving, and spread it."""
        if self._gossip.spread_departures([vm_id]):
            self.send_soon()

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
                self._doubt(member.info.name)
            self._send_requested.clear()
            await self._send_round(wait=False)
            await asyncio.sleep(_MIN_INTERVAL_S)
            pause_s = self._peers.heartbeat_interval_s - _MIN_INTERVAL_S
            if not await wait_for_event(self._send_requested, pause_s):
                self._table.forget(_FORGET_AFTER_S)

    async def _send_round(self, *, wait: bool = True) -> None:
        self.update(beat=self._info.beat + 1)
        full = _sync_is_due(len(self._table), self._peers)
        watchers = self._watchers()
        sends = [
            self._send(
                self.link(info),
                info.name,
                self._heartbeat(info.name, full=full, regular=True),
            )
            for info in watchers
        ]
        sends.extend(
            self._send(link, name, self._heartbeat(name, full=full))
            for name, link in self._extra_links(watchers)
        )
        tasks = [self._tasks.spawn(send, 'heartbeat') for send in sends]
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

    def _extra_links(
        self, watchers: list[MemberInfo]
    ) -> list[tuple[str, PeerLink]]:
        """Return names of and links to a random member, and to seeds not met yet.

        These bring together parts of the mesh that had lost each other.
        """
        known = [member.info for member in self._table.known()]
        met = {info.peer_address for info in known}
        met.add(self._info.peer_address)
        unmet = [seed for seed in self._peers.seeds if seed not in met]
        seeds = random.sample(unmet, min(_SEEDS_TRIED, len(unmet)))
        links = [('', self._links.get(seed, seed)) for seed in seeds]
        if len(known) > len(watchers):
            other = random.choice(known)
            links.append((other.name, self.link(other)))
        return links

    def _heartbeat(
        self, peer: str, *, full: bool = False, regular: bool = False
    ) -> Heartbeat:
        return self._gossip.heartbeat(
            self._info, peer, full=full, regular=regular
        )

    async def _send(
        self, link: PeerLink, name: str, heartbeat: Heartbeat
    ) -> None:
        try:
            reply = await link.call(heartbeat, self._peers.suspect_after_s)
        except PeerError as error:
            log.debug('heartbeat to %s failed: %s', link.address, error)
            self._gossip.put_back(name, heartbeat)
            self._doubt(name)
        else:
            self._learn(reply)

    def _doubt(self, name: str) -> None:
        """Probe a member, unless it is lost or being probed already."""
        member = self._table.find(name)
        if member and not member.lost and name not in self._probed:
            self._tasks.spawn(self._probe(member), 'probe')

    async def _probe(self, member: Member) -> None:
        """Ask a silent member and some of its watchers whether it lives.

        It may have other watchers now, or its heartbeats don't reach this one.
        """
        info = member.info
        self._probed.add(info.name)
        try:
            answered = await self._ask_after(info.name)
        finally:
            self._probed.discard(info.name)
        if answered:
            member.direct = False
        elif member.info.is_newer_than(info):
            log.debug('%s is heard by others', info.name)
        elif self._gossip.tell_lost(member):
            self.send_soon()

    async def _ask_after(self, name: str) -> bool:
        """Ask a member and those who should hear it; tell if it answers."""
        live = {info.name for info in self._table.live()} - {name}
        watchers = rendezvous_order(name, live)[: self._peers.fanout]
        asked = random.sample(watchers, min(_WATCHERS_ASKED, len(watchers)))
        answers = await asyncio.gather(
            self._ask_news(name, self._heartbeat(name)),
            *(
                self._ask_news(watcher, MemberQuestion(name))
                for watcher in asked
            ),
        )
        return answers[0]

    async def _ask_news(self, name: str, question: object) -> bool:
        """Learn from a member's answer; tell whether it gave one."""
        timeout_s = self._peers.heartbeat_interval_s
        reply = await self.ask(name, question, timeout_s)
        if not isinstance(reply, Heartbeat):
            return False
        self._learn(reply)
        return True

    async def _receive(self, heartbeat: Heartbeat) -> Heartbeat:
        self._learn(heartbeat)
        behind = heartbeat.known < len(self._table) * _FEW_KNOWN
        return self._heartbeat(heartbeat.sender.name, full=behind)

    async def _answer_question(self, question: MemberQuestion) -> Heartbeat:
        heard = self._table.heard(question.name)
        members = [] if heard is None else [heard.info]
        return Heartbeat(self._info, known=len(self._table), members=members)

    def _learn(self, heartbeat: Heartbeat) -> None:
        if self._gossip.learn(heartbeat):
            self.send_soon()

    def _observe_live(self, options: CallbackOptions) -> list[Observation]:
        return [Observation(len(self._table.live()))]


def _sync_is_due(size: int, peers: PeersSection) -> bool:
    """Tell whether the next heartbeats should carry all members.

    Lost news is repaired by this within some minutes.
    """
    rounds = _SYNC_INTERVAL_S / peers.heartbeat_interval_s
    fanout = min(size, peers.fanout)
    return random.random() * rounds * max(1, fanout) < 1
