"""Follows the configuration and the backend servers."""

import asyncio
import logging
from collections.abc import Callable
from typing import Self

from mallowspindle.border import BorderService
from mallowspindle.catalog.following import (
    StreamEnd,
    StreamFollower,
    StreamNews,
    StreamRequest,
    message_of,
)
from mallowspindle.catalog.routes import Configuration
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.state import ConfigurationState, ServerState
from mallowspindle.config.gateway import GatewaySettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.log.errors import LogError
from mallowspindle.peers.codec import ErrorReply, OkReply
from mallowspindle.policies.reading import reading_delay_s
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.identifiers import rendezvous_order
from mallowspindle.utils.tasks import TaskGroup

log = logging.getLogger(__name__)

_TICK_S = 0.05
_START_TIMEOUT_S = 3.0
# Pause after a failed read; calls that the store refuses are priced too.
_FAILURE_PAUSE_S = 0.5
_PEER_TIMEOUT_S = 0.5
# Knowledge of this age means that no node reads the store: entries lapse
# only after three heartbeats of a server, so a shorter outage removes none.
_AWAY_AFTER_S = 2.0


@service('catalog', requires=('border', 'sharing'))
class CatalogService(Service):
    """Knows the configuration in force and the registered servers."""

    def __init__(
        self,
        border: BorderService,
        sharing: SharingService,
        read_interval_s: float,
    ) -> None:
        self._sharing = sharing
        self._own_name = sharing.membership.own.name
        self._interval_s = read_interval_s
        layout = border.layout
        self._configuration = ConfigurationState(
            layout.configuration_key, layout.decode_configuration
        )
        self._servers = ServerState(layout.decode_server)
        self._followers = {
            stream: StreamFollower(
                stream, border.log, layout.decode_keyed, fold
            )
            for stream, fold in (
                (layout.configuration_stream, self._configuration.fold),
                (layout.servers_stream, self._servers.fold),
            )
        }
        self._reachable = True
        self._watchers: list[Callable[[], None]] = []
        self._known = asyncio.Event()
        self._tasks = TaskGroup()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service on the border's log."""
        return cls(
            kernel.find('border', BorderService),
            kernel.find('sharing', SharingService),
            kernel.settings(GatewaySettings).store.read_interval_s,
        )

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None before the first one."""
        return self._configuration.current

    @property
    def servers(self) -> dict[str, BackendServer]:
        """The registered servers by id."""
        return self._servers.servers

    def watch(self, watcher: Callable[[], None]) -> None:
        """Call ``watcher`` after each change."""
        self._watchers.append(watcher)

    async def start(self) -> None:
        """Begin to follow; wait a while for the first configuration."""
        server = self._sharing.membership.server
        server.handle(StreamNews, self._receive)
        server.handle(StreamEnd, self._receive)
        server.handle(StreamRequest, self._give_state)
        for follower in self._followers.values():
            self._tasks.spawn(self._follow(follower), follower.stream)
        try:
            await asyncio.wait_for(self._known.wait(), _START_TIMEOUT_S)
        except TimeoutError:
            log.warning('no configuration yet')

    async def stop(self) -> None:
        """Stop following."""
        await self._tasks.cancel()

    async def _follow(self, follower: StreamFollower) -> None:
        while True:
            self._servers.expire_lapsed()
            if self._is_due(follower):
                await self._read(follower)
            await asyncio.sleep(_TICK_S)

    def _is_due(self, follower: StreamFollower) -> bool:
        if follower.has_gap:
            return True
        names = [info.name for info in self._sharing.peers()]
        order = rendezvous_order(follower.stream, [self._own_name, *names])
        rank = order.index(self._own_name)
        return follower.age_s >= reading_delay_s(self._interval_s, rank)

    async def _read(self, follower: StreamFollower) -> None:
        # What was missed is no news to the peers, and all may have missed it.
        for_peers = not follower.has_gap
        try:
            news = await follower.read(for_peers=for_peers)
        except LogError as error:
            self._note_failure(follower, error)
            await self._ask_peers(follower)
            await asyncio.sleep(_FAILURE_PAUSE_S)
            return
        if not self._reachable:
            self._reachable = True
            log.info('store reached again')
        if for_peers:
            self._sharing.tell_all(message_of(news))
        self._note_news(news)

    def _note_failure(self, follower: StreamFollower, error: LogError) -> None:
        """Tell an outage of the store from one of this node's path to it."""
        if follower.age_s > _AWAY_AFTER_S:
            self._servers.note_outage()
        if self._reachable:
            log.warning('store not reached', extra={'error': str(error)})
        self._reachable = False

    async def _ask_peers(self, follower: StreamFollower) -> None:
        """Take the state from a peer while the store gives none."""
        if not follower.has_gap:
            return
        request = StreamRequest(follower.stream, follower.through)
        state = await self._sharing.ask_any(request, _PEER_TIMEOUT_S)
        if isinstance(state, StreamNews):
            self._learn(state)

    async def _receive(self, news: StreamNews | StreamEnd) -> OkReply:
        self._learn(news)
        return OkReply()

    async def _give_state(
        self, request: StreamRequest
    ) -> StreamNews | ErrorReply:
        follower = self._followers.get(request.stream)
        state = follower.state() if follower else None
        if state is None:
            return ErrorReply('the stream is not known here')
        if request.known is not None and state.through <= request.known:
            return ErrorReply('nothing newer is known here')
        return state

    def _learn(self, news: StreamNews | StreamEnd) -> None:
        follower = self._followers.get(news.stream)
        if follower is None:
            log.warning('news of an unknown stream %s', news.stream)
        elif isinstance(news, StreamEnd):
            follower.learn_end(news)
        else:
            follower.learn(news)
            self._note_news(news)

    def _note_news(self, news: StreamNews) -> None:
        if self._configuration.current is not None:
            self._known.set()
        if news.records:
            for watcher in self._watchers:
                watcher()
