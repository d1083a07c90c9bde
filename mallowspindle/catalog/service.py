"""Keep the configuration and the registered backend servers current."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Self

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.adapter import AdapterService
from mallowspindle.catalog.configuration import Configuration
from mallowspindle.catalog.contact import ConfigurationContact
from mallowspindle.catalog.following import (
    OUTAGE_AFTER_S,
    OutageQuery,
    OutageReply,
    StreamEnd,
    StreamFollower,
    StreamRequest,
    StreamUpdate,
)
from mallowspindle.catalog.keeping import StreamSynchronizer
from mallowspindle.catalog.orders import OrderState, RolloutOrder
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.state import ConfigurationState, ServerState
from mallowspindle.config.platform import PlatformSettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.log.positions import era_of
from mallowspindle.log.records import KeyedRecord
from mallowspindle.peers.codec import ErrorReply, OkReply
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.tasks import BackgroundTasks
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

_TICK_S = 0.05
_START_TIMEOUT_S = 3.0
# Peers are asked this often whether the store is down that this node does not
# reach, so many of them, and for so long.
_OUTAGE_CHECK_S = 0.25
_ASKED_PEERS = 3
_QUERY_TIMEOUT_S = 0.25
# A configuration must be in force within 2 s, so an older state may lack one.
# As long as any node reads the store, the state does not get this old.
_CURRENT_MAX_AGE_S = 1.8


@service('catalog', requires=('border', 'sharing'))
class CatalogService(Service):
    """Source of the configuration in force and the registered servers."""

    def __init__(
        self,
        adapter: AdapterService,
        sharing: SharingService,
        read_interval_s: float,
        apply_s: float | None = None,
    ) -> None:
        self._sharing = sharing
        layout = adapter.layout
        self._configuration = ConfigurationState(
            layout.configuration_key, layout.decode_configuration
        )
        self._orders = OrderState(layout.orders) if layout.orders else None
        self._servers = ServerState(layout.decode_server)
        self._synchronizers = {
            stream: StreamSynchronizer(
                StreamFollower(
                    stream,
                    adapter.log,
                    layout.decode_keyed,
                    fold,
                    note_restored,
                ),
                sharing,
                read_interval_s,
                self._note_update,
                self._servers.note_outage,
            )
            for stream, fold, note_restored in (
                (
                    layout.configuration_stream,
                    self._fold_operators,
                    self._note_restored,
                ),
                (
                    layout.servers_stream,
                    self._servers.fold,
                    self._servers.note_restored,
                ),
            )
        }
        self._server_synchronizer = self._synchronizers[layout.servers_stream]
        self._configuration_synchronizer = self._synchronizers[
            layout.configuration_stream
        ]
        self._contact = ConfigurationContact(
            apply_s, self._configuration_synchronizer, sharing
        )
        self._restored_at_s = 0.0
        self._watchers: list[Callable[[], None]] = []
        self._configured = asyncio.Event()
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service from the log of the ``border`` service."""
        settings = kernel.settings(PlatformSettings)
        return cls(
            kernel.find('border', AdapterService),
            kernel.find('sharing', SharingService),
            settings.store.read_interval_s,
            settings.proxy.config_apply_s,
        )

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; None before the first one."""
        return self._configuration.current

    @property
    def is_current(self) -> bool:
        """Whether the configuration is known to be up to date.

        While it is not, a route or key that it lacks may exist all the same.
        """
        follower = self._configuration_synchronizer.follower
        return (
            not follower.has_gap and follower.certain_age_s < _CURRENT_MAX_AGE_S
        )

    @property
    def is_cut_off(self) -> bool:
        """Whether this node can't know which configuration is in force."""
        return self._contact.is_cut_off

    @property
    def restored_at_s(self) -> float:
        """Unix time at which the store was found restored from a copy, or 0."""
        return self._restored_at_s

    @property
    def orders(self) -> dict[str, RolloutOrder]:
        """The newest order to roll out a software version, by service."""
        return self._orders.orders if self._orders else {}

    @property
    def servers(self) -> dict[str, BackendServer]:
        """The registered servers by id."""
        return self._servers.servers

    @property
    def servers_age_s(self) -> float:
        """Seconds since the registered servers were known to be up to date."""
        return self._server_synchronizer.follower.certain_age_s

    async def confirm_configuration(self, timeout_s: float) -> bool:
        """Bring the configuration up to date; return whether it was possible.

        It is as of a moment just before the call.
        """
        return await self._configuration_synchronizer.confirm(timeout_s)

    async def regain_contact(self) -> bool:
        """Wait a short time if just cut off; return whether that has ended."""
        return await self._contact.regain()

    async def confirm_servers(self, timeout_s: float) -> bool:
        """Bring the servers up to date; return whether it was possible in time.

        They are as of a moment just before the call.
        """
        return await self._server_synchronizer.confirm(timeout_s)

    def note_leaving(self, server_id: str, started_at_ms: int) -> None:
        """Treat a server as draining that has said so in a response."""
        if self._servers.note_leaving(server_id, started_at_ms):
            for watcher in self._watchers:
                watcher()

    def watch(self, watcher: Callable[[], None]) -> None:
        """Call ``watcher`` after each change."""
        self._watchers.append(watcher)

    async def start(self) -> None:
        """Start to follow; wait a limited time for the first configuration."""
        server = self._sharing.membership.server
        server.handle(StreamUpdate, self._receive)
        server.handle(StreamEnd, self._receive)
        server.handle(StreamRequest, self._answer_request)
        server.handle(OutageQuery, self._answer_outage_query)
        meter.create_observable_gauge(
            'configuration_age', [self._observe_age], unit='s'
        )
        meter.create_observable_gauge('store_era', [self._observe_era])
        for stream, synchronizer in self._synchronizers.items():
            self._tasks.spawn(self._run(synchronizer), stream)
        self._tasks.spawn(self._check_outages(), 'outages')
        self._tasks.spawn(self._contact.run(), 'contact')
        try:
            await asyncio.wait_for(self._configured.wait(), _START_TIMEOUT_S)
        except TimeoutError:
            log.warning(
                'started without a configuration: none was read in time'
            )

    async def stop(self) -> None:
        """Stop following."""
        await self._tasks.cancel()
        await self._contact.stop()
        for synchronizer in self._synchronizers.values():
            await synchronizer.stop()

    def _observe_age(self, options: CallbackOptions) -> list[Observation]:
        return [Observation(self._configuration_synchronizer.follower.age_s)]

    def _observe_era(self, options: CallbackOptions) -> list[Observation]:
        return [
            Observation(
                era_of(self._configuration_synchronizer.follower.through or 0)
            )
        ]

    async def _run(self, synchronizer: StreamSynchronizer) -> None:
        while True:
            self._servers.expire_lapsed()
            synchronizer.step()
            await asyncio.sleep(_TICK_S)

    async def _check_outages(self) -> None:
        """Ask peers whether the store was down that this node did not reach.

        It may itself have been cut off, and servers may have left meanwhile.
        """
        while True:
            if self._servers.outage_age_s is not None:
                read_without_gap_s = await self._ask_about_outage()
                # As of now: the replies may have been on their way.
                outage_age_s = self._servers.outage_age_s
                if (
                    outage_age_s is not None
                    and read_without_gap_s >= outage_age_s + OUTAGE_AFTER_S
                ):
                    log.info(
                        'this node was cut off, the store was not down',
                        extra={'noted_s_ago': round(outage_age_s, 2)},
                    )
                    self._servers.disprove_outage()
            await asyncio.sleep(_OUTAGE_CHECK_S)

    async def _ask_about_outage(self) -> float:
        """Return for how long peers have read the store, at the longest."""
        peers = self._sharing.peers()
        asked = random.sample(peers, min(_ASKED_PEERS, len(peers)))
        replies = await asyncio.gather(
            *(
                self._sharing.ask(info, OutageQuery(), _QUERY_TIMEOUT_S)
                for info in asked
            )
        )
        return max(
            (
                reply.read_without_gap_s
                for reply in replies
                if isinstance(reply, OutageReply)
            ),
            default=0,
        )

    async def _answer_outage_query(self, query: OutageQuery) -> OutageReply:
        follower = self._server_synchronizer.follower
        return OutageReply(follower.read_without_gap_s)

    async def _receive(self, update: StreamUpdate | StreamEnd) -> OkReply:
        self._apply_update(update)
        return OkReply()

    async def _answer_request(
        self, request: StreamRequest
    ) -> StreamUpdate | StreamEnd | ErrorReply:
        synchronizer = self._synchronizers.get(request.stream)
        state = synchronizer.follower.state() if synchronizer else None
        if state is None:
            return ErrorReply('the stream is not known here')
        if request.known is not None and state.through <= request.known:
            return StreamEnd(
                state.stream, state.through, state.age_s, state.delay_s
            )
        return state

    def _apply_update(self, update: StreamUpdate | StreamEnd) -> None:
        synchronizer = self._synchronizers.get(update.stream)
        if synchronizer is None:
            log.warning(
                'update for the unknown stream %s ignored', update.stream
            )
        elif isinstance(update, StreamEnd):
            synchronizer.follower.apply_end(update)
        else:
            synchronizer.follower.apply_update(update)
            self._note_update(update)

    def _fold_operators(self, record: KeyedRecord) -> bool:
        """Apply a record of the operators: a configuration or an order."""
        if self._orders and self._orders.accepts(record):
            return self._orders.fold(record)
        return self._configuration.fold(record)

    def _note_restored(self) -> None:
        self._restored_at_s = self._sharing.membership.clock.now_s()
        self._configuration.note_restored()

    def _note_update(self, update: StreamUpdate) -> None:
        if self._configuration.current is not None:
            self._configured.set()
        if update.records:
            for watcher in self._watchers:
                watcher()
