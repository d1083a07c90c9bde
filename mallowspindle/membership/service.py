"""Exchanges heartbeats: which entry VMs are live or leaving, and where."""

import asyncio
import logging
import random
from dataclasses import replace
from typing import Self

from opentelemetry.metrics import Observation

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
from mallowspindle.utils.clock import SharedClock
from mallowspindle.utils.identifiers import rendezvous_order
from mallowspindle.utils.tasks import BackgroundTasks, wait_for_event
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

_MS = 1000
_FORGET_AFTER_S = 60.0
_SYNC_INTERVAL_S = 60.0
_SEEDS_PER_ROUND = 2
_MIN_HEARTBEAT_INTERVAL_S = 0.1
# Other watchers of a silent member that are queried before it counts as lost.
_WATCHERS_QUERIED = 3
# The reply to a sender that knows less than this fraction of the members that
# this node knows lists all of them.
_FULL_REPLY_BELOW = 0.5


@service('membership')
class MembershipService(Service):
    """Exchanges heartbeats with a bounded number of peers."""

    def __init__(
        self,
        node: NodeSection,
        peers: PeersSection,
        server: PeerServer,
        endpoint: tuple[str, int],
        clock: SharedClock | None = None,
    ) -> None:
        self._clock = clock or SharedClock()
        self._peers = peers
        self._endpoint = endpoint
        self._server = server
        self._info = MemberInfo(
            name=node.name,
            region=node.region,
            zone=node.zone,
            peer_address='',
            http_address='',
            incarnation=int(self._clock.now_s() * _MS),
            beat=0,
        )
        self._table = MemberTable(node.name, peers.suspect_after_s)
        self._links = PeerLinkPool(
            Credentials(node.name, peers.shared_key.encode()),
            peers.max_frame_bytes,
        )
        self._gossip = Gossip(self._table)
        self._probing: set[str] = set()
        self._send_requested = asyncio.Event()
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service and the server that peers connect to."""
        config = kernel.config
        server = PeerServer.from_config(config)
        return cls(config.node, config.peers, server, config.peer_endpoint)

    @property
    def own(self) -> MemberInfo:
        """What this node reports about itself."""
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
    def clock(self) -> SharedClock:
        """The time of day that the nodes agree on."""
        return self._clock

    @property
    def departures(self) -> Departures:
        """The backend servers known to be leaving."""
        return self._gossip.departures

    @property
    def usage(self) -> UsageTable:
        """The organisations' usage as reported by the entry VMs."""
        return self._gossip.usage

    @property
    def sent_bytes(self) -> int:
        """Bytes sent to peers since the start, without replies."""
        return self._links.sent_bytes

    async def start(self) -> None:
        """Listen for peers and start to send heartbeats."""
        self._server.handle(Heartbeat, self._receive)
        self._server.handle(MemberQuestion, self._answer_question)
        host, wanted_port = self._endpoint
        port = await self._server.start(host, wanted_port)
        self.update(peer_address=f'{host}:{port}')
        self._tasks.spawn(self._send_forever(), 'heartbeats')
        meter.create_observable_gauge(
            'members_live',
            [lambda options: [Observation(len(self._table.live()))]],
        )
        meter.create_observable_gauge(
            'clock_jump_seconds',
            [lambda options: [Observation(self._clock.jump_s)]],
        )
        meter.create_observable_counter(
            'control_bytes_sent',
            [lambda options: [Observation(self._links.sent_bytes)]],
            unit='By',
        )

    async def prepare_drain(self) -> None:
        """Notify the peers that this node is leaving.

        Only those that are live are waited for.
        """
        self.update(leaving=True)
        await self._send_round()

    async def stop(self) -> None:
        """Close all connections."""
        await self._tasks.cancel()
        await self._server.stop()
        await self._links.close()

    def update(self, **changes: str | int | bool) -> None:
        """Change what this node reports about itself in heartbeats."""
        self._info = replace(self._info, **changes)  # type: ignore[arg-type]

    def send_soon(self) -> None:
        """Send the next heartbeats at once."""
        self._send_requested.set()

    def report_leaving_server(self, vm_id: str) -> None:
        """Record that a backend server is leaving, and spread it."""
        if self._gossip.spread_departures([vm_id]):
            self.send_soon()

    def link(self, info: MemberInfo) -> PeerLink:
        """Return the link to a member."""
        return self._links.get(info.name, info.peer_address)

    async def call_member(
        self, name: str, message: object, timeout_s: float
    ) -> object:
        """Return a member's reply, or an ``ErrorReply`` if it gave none."""
        member = self._table.find(name)
        if member is None:
            return ErrorReply(f'{name} is not a member')
        try:
            return await self.link(member.info).call(message, timeout_s)
        except PeerError as error:
            return ErrorReply(str(error))

    async def _send_forever(self) -> None:
        while True:
            for member in self._table.silent():
                self._start_probe(member.info.name)
            self._send_requested.clear()
            await self._send_round(wait=False)
            await asyncio.sleep(_MIN_HEARTBEAT_INTERVAL_S)
            pause_s = (
                self._peers.heartbeat_interval_s - _MIN_HEARTBEAT_INTERVAL_S
            )
            if not await wait_for_event(self._send_requested, pause_s):
                self._table.forget(_FORGET_AFTER_S)

    async def _send_round(self, *, wait: bool = True) -> None:
        self.update(beat=self._info.beat + 1)
        send_all = _full_sync_is_due(len(self._table), self._peers)
        watchers = self._watchers()
        links = [
            *((info.name, self.link(info)) for info in watchers),
            *self._extra_links(watchers),
        ]
        tasks = [
            self._tasks.spawn(
                self._send(
                    link,
                    name,
                    self._heartbeat(
                        name,
                        send_all=send_all,
                        regular=position < len(watchers),
                    ),
                ),
                f'heartbeat to {name}',
            )
            for position, (name, link) in enumerate(links)
        ]
        if wait:
            live = {f'heartbeat to {info.name}' for info in self._table.live()}
            awaited = [task for task in tasks if task.get_name() in live]
            await asyncio.gather(*awaited, return_exceptions=True)

    def _watchers(self) -> list[MemberInfo]:
        """Return the members that are to notice if this node falls silent.

        In a small venture these are all members. In a large one each node
        chooses ``fanout`` of them, the same ones while membership is stable.
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
        """Return the names and links of a random member and of unknown seeds.

        They reconnect parts of the mesh that have lost each other.
        """
        known = [member.info for member in self._table.known()]
        known_addresses = {info.peer_address for info in known}
        known_addresses.add(self._info.peer_address)
        unknown_seeds = [
            seed for seed in self._peers.seeds if seed not in known_addresses
        ]
        seeds = random.sample(
            unknown_seeds, min(_SEEDS_PER_ROUND, len(unknown_seeds))
        )
        links = [('', self._links.get(seed, seed)) for seed in seeds]
        if len(known) > len(watchers):
            other = random.choice(known)
            links.append((other.name, self.link(other)))
        return links

    def _heartbeat(
        self, peer: str, *, send_all: bool = False, regular: bool = False
    ) -> Heartbeat:
        heartbeat = self._gossip.heartbeat(
            self._info, peer, send_all=send_all, regular=regular
        )
        if self._clock.is_settling:
            return _with_clock(heartbeat, self._clock)
        return heartbeat

    async def _send(
        self, link: PeerLink, name: str, heartbeat: Heartbeat
    ) -> None:
        try:
            reply = await link.call(heartbeat, self._peers.suspect_after_s)
        except PeerError as error:
            log.debug('heartbeat to %s failed: %s', link.address, error)
            self._gossip.mark_undelivered(name, heartbeat)
            self._start_probe(name)
        else:
            self._process(reply)

    def _start_probe(self, name: str) -> None:
        """Probe a member, unless it is lost or being probed already."""
        member = self._table.find(name)
        if member and not member.lost and name not in self._probing:
            self._tasks.spawn(self._probe(member), 'probe')

    async def _probe(self, member: Member) -> None:
        """Query a silent member and some of its watchers, to see if it is live.

        It may have chosen other watchers, or fail to reach only this node.
        """
        info = member.info
        self._probing.add(info.name)
        try:
            answered = await self._query_member(info.name)
        finally:
            self._probing.discard(info.name)
        if answered:
            member.direct = False
        elif member.info.is_newer_than(info):
            log.debug('%s is heard by others', info.name)
        elif self._gossip.report_lost(member):
            self.send_soon()

    async def _query_member(self, name: str) -> bool:
        """Query a member and its watchers; return whether it answered."""
        live = {info.name for info in self._table.live()} - {name}
        watchers = rendezvous_order(name, live)[: self._peers.fanout]
        queried = random.sample(watchers, min(_WATCHERS_QUERIED, len(watchers)))
        answers = await asyncio.gather(
            self._query(name, self._heartbeat(name)),
            *(
                self._query(watcher, MemberQuestion(name))
                for watcher in queried
            ),
        )
        return answers[0]

    async def _query(self, name: str, question: object) -> bool:
        """Send a query, process the reply; return whether there was one."""
        timeout_s = self._peers.heartbeat_interval_s
        reply = await self.call_member(name, question, timeout_s)
        if not isinstance(reply, Heartbeat):
            return False
        self._process(reply)
        return True

    async def _receive(self, heartbeat: Heartbeat) -> Heartbeat:
        self._process(heartbeat)
        sender_is_behind = (
            heartbeat.known < len(self._table) * _FULL_REPLY_BELOW
        )
        reply = self._heartbeat(
            heartbeat.sender.name, send_all=sender_is_behind
        )
        known = self._table.find(heartbeat.sender.name)
        incarnation = heartbeat.sender.incarnation
        if known is not None and known.info.incarnation > incarnation:
            # It was started again while its time of day is behind.
            reply = replace(reply, members=[*reply.members, known.info])
        if heartbeat.clock is not None:
            reply = _with_clock(reply, self._clock)
        return reply

    async def _answer_question(self, question: MemberQuestion) -> Heartbeat:
        member = self._table.find_heard(question.name)
        members = [] if member is None else [member.info]
        return Heartbeat(self._info, known=len(self._table), members=members)

    def _process(self, heartbeat: Heartbeat) -> None:
        if heartbeat.clock is not None:
            self._clock.note_peer(heartbeat.sender.name, *heartbeat.clock)
        for info in heartbeat.members:
            former = info.incarnation
            if info.name == self._info.name and former > self._info.incarnation:
                # A former process of this node had a later time, and peers
                # ignore updates that seem to be older.
                log.warning(
                    'incarnation raised',
                    extra={
                        'former': former,
                        'own': self._info.incarnation,
                        'told_by': heartbeat.sender.name,
                    },
                )
                self.update(incarnation=former + 1)
                self.send_soon()
        if self._gossip.process(heartbeat):
            self.send_soon()


def _with_clock(heartbeat: Heartbeat, clock: SharedClock) -> Heartbeat:
    return replace(heartbeat, clock=(clock.now_s(), clock.age_s))


def _full_sync_is_due(size: int, peers: PeersSection) -> bool:
    """Return whether the next heartbeats should list all members.

    Decided at random. Members that missed updates get them this way within
    minutes.
    """
    rounds = _SYNC_INTERVAL_S / peers.heartbeat_interval_s
    fanout = min(size, peers.fanout)
    return random.random() * rounds * max(1, fanout) < 1
