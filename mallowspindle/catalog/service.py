"""Follows the configuration and the backend servers."""

import asyncio
import logging
from collections.abc import Callable
from typing import Self

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.adapter import AdapterService
from mallowspindle.catalog.configuration import Configuration
from mallowspindle.catalog.following import (
    StreamEnd,
    StreamFollower,
    StreamNews,
    StreamRequest,
)
from mallowspindle.catalog.keeping import StreamSynchronizer
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.state import ConfigurationState, ServerState
from mallowspindle.config.platform import PlatformSettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.peers.codec import ErrorReply, OkReply
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.tasks import BackgroundTasks
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

_TICK_S = 0.05
_START_TIMEOUT_S = 3.0
# A configuration must be in force within 2 s. What is older than this may lack
# one; while some node reads the store it is not, whichever node that is.
_CURRENT_FOR_S = 1.8


@service('catalog', requires=('border', 'sharing'))
class CatalogService(Service):
    """Knows the configuration in force and the registered servers."""

    def __init__(
        self,
        adapter: AdapterService,
        sharing: SharingService,
        read_interval_s: float,
    ) -> None:
        self._sharing = sharing
        layout = adapter.layout
        self._configuration = ConfigurationState(
            layout.configuration_key, layout.decode_configuration
        )
        self._servers = ServerState(layout.decode_server)
        self._keepers = {
            stream: StreamSynchronizer(
                StreamFollower(stream, adapter.log, layout.decode_keyed, fold),
                sharing,
                read_interval_s,
                self._note_news,
                self._servers.note_outage,
            )
            for stream, fold in (
                (layout.configuration_stream, self._configuration.fold),
                (layout.servers_stream, self._servers.fold),
            )
        }
        follower = self._keepers[layout.configuration_stream].follower
        self._configurations = follower
        self._watchers: list[Callable[[], None]] = []
        self._known = asyncio.Event()
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service on the border's log."""
        return cls(
            kernel.find('border', AdapterService),
            kernel.find('sharing', SharingService),
            kernel.settings(PlatformSettings).store.read_interval_s,
        )

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None before the first one."""
        return self._configuration.current

    @property
    def is_current(self) -> bool:
        """Whether no newer configuration can have been in force for long.

        Until it is, nobody can say which routes and keys there are not.
        """
        follower = self._configurations
        return not follower.has_gap and follower.age_s < _CURRENT_FOR_S

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
        meter.create_observable_gauge(
            'configuration_age', [self._observe_age], unit='s'
        )
        for stream, keeper in self._keepers.items():
            self._tasks.spawn(self._keep(keeper), stream)
        try:
            await asyncio.wait_for(self._known.wait(), _START_TIMEOUT_S)
        except TimeoutError:
            log.warning('no configuration yet')

    async def stop(self) -> None:
        """Stop following."""
        await self._tasks.cancel()
        for keeper in self._keepers.values():
            await keeper.stop()

    def _observe_age(self, options: CallbackOptions) -> list[Observation]:
        return [Observation(self._configurations.age_s)]

    async def _keep(self, keeper: StreamSynchronizer) -> None:
        while True:
            self._servers.expire_lapsed()
            keeper.step()
            await asyncio.sleep(_TICK_S)

    async def _receive(self, news: StreamNews | StreamEnd) -> OkReply:
        self._learn(news)
        return OkReply()

    async def _give_state(
        self, request: StreamRequest
    ) -> StreamNews | StreamEnd | ErrorReply:
        keeper = self._keepers.get(request.stream)
        state = keeper.follower.state() if keeper else None
        if state is None:
            return ErrorReply('the stream is not known here')
        if request.known is not None and state.through <= request.known:
            return StreamEnd(state.stream, state.through, state.age_s)
        return state

    def _learn(self, news: StreamNews | StreamEnd) -> None:
        keeper = self._keepers.get(news.stream)
        if keeper is None:
            log.warning('news of an unknown stream %s', news.stream)
        elif isinstance(news, StreamEnd):
            keeper.follower.learn_end(news)
        else:
            keeper.follower.learn(news)
            self._note_news(news)

    def _note_news(self, news: StreamNews) -> None:
        if self._configuration.current is not None:
            self._known.set()
        if news.records:
            for watcher in self._watchers:
                watcher()
