"""Exchanges the phases of rollouts and what is counted for them."""

import logging
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Self

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.adapter import AdapterService
from mallowspindle.catalog.orders import RolloutOrder
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.config.platform import PlatformSettings, RolloutsSection
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.log.errors import LogError
from mallowspindle.peers.codec import OkReply
from mallowspindle.policies.rollout import RolloutTerms
from mallowspindle.rollouts.accounts import RolloutAccounts
from mallowspindle.rollouts.book import Draw, RolloutBook, ViewT
from mallowspindle.rollouts.records import (
    ReportQuery,
    RolloutMessage,
    RolloutNews,
    RolloutQuery,
    RolloutReports,
    RolloutState,
)
from mallowspindle.rollouts.store import RolloutStore
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.connections import accepts_connections
from mallowspindle.utils.tasks import BackgroundTasks, run_periodically
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

# Pause between two questions for the phase of an order.
_ASK_PAUSE_S = 0.5
_ASKED_PEERS = 2
_ASK_TIMEOUT_S = 0.4

changes_total = meter.create_counter('rollout_changes')


@service('rollouts', requires=('border', 'catalog', 'sharing'))
class RolloutsService(Service):
    """Knows which versions get requests, and counts what they answer.

    Without ``terms``, rollouts are off, and all versions serve side by side.
    """

    def __init__(
        self,
        catalog: CatalogService,
        sharing: SharingService,
        terms: RolloutTerms | None = None,
        store: RolloutStore | None = None,
        clock: Callable[[], float] = time.monotonic,
        is_listening: Callable[[str], Awaitable[bool]] = accepts_connections,
    ) -> None:
        self._catalog = catalog
        self._sharing = sharing
        self._terms = terms
        self._store = store
        self._book = RolloutBook(self._orders, clock)
        self._accounts = RolloutAccounts(
            self._book, catalog, sharing, is_listening, clock
        )
        self._fencing_number = -1
        self._loaded = False
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service from the settings and the platform's log."""
        adapter = kernel.find('border', AdapterService)
        codec = adapter.layout.orders
        section = kernel.settings(PlatformSettings).rollouts
        return cls(
            kernel.find('catalog', CatalogService),
            kernel.find('sharing', SharingService),
            terms_of(section) if codec else None,
            RolloutStore(adapter.log, adapter.layout, codec) if codec else None,
        )

    @property
    def book(self) -> RolloutBook:
        """The phases that this node knows."""
        return self._book

    @property
    def accounts(self) -> RolloutAccounts:
        """What is counted for the rollouts under way."""
        return self._accounts

    @property
    def terms(self) -> RolloutTerms | None:
        """What is tolerated of a bad version; None if rollouts are off."""
        return self._terms

    @property
    def store(self) -> RolloutStore | None:
        """The log's record of rollouts."""
        return self._store

    @property
    def is_idle(self) -> bool:
        """Whether no rollout has any effect on requests."""
        return self._book.is_empty

    async def start(self) -> None:
        """Exchange phases and counts with peers."""
        if self._terms is None:
            return
        self._sharing.register_work_source(self._accounts.own_work)
        server = self._sharing.membership.server
        server.handle(RolloutMessage, self._receive)
        server.handle(RolloutQuery, self._answer_query)
        server.handle(ReportQuery, self._answer_report)
        meter.create_observable_gauge('rollout_phase', [self._observe_phases])
        self._tasks.spawn(
            run_periodically(self._find_phases, _ASK_PAUSE_S), 'rollouts'
        )

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.cancel()
        await self._accounts.stop()

    def is_capacity(self, server: BackendServer) -> bool:
        """Return whether a server counts for the fleet's planning."""
        if self.is_idle:
            return True
        version = server.software_version
        return version != self._book.unjudged(
            server.service
        ) and version not in self._book.barred(server.service)

    def groups(
        self, service_name: str, views: list[ViewT], draw: Draw
    ) -> list[list[ViewT]]:
        """Return the servers that a request may go to, the preferred first."""
        if self.is_idle:
            return [views]
        return self._book.groups(service_name, views, draw)

    def allows(self, server: BackendServer) -> bool:
        """Return whether a stream of the server's version may go on there."""
        draw = Draw('', version=server.software_version)
        return self.is_idle or self._book.allows(server, draw)

    def tell(self, news: list[RolloutNews], fencing_number: int) -> None:
        """Tell all nodes, this one included, what this node has decided."""
        message = RolloutMessage(news, fencing_number)
        self._hear(message)
        self._sharing.broadcast(message)

    def _orders(self) -> Mapping[str, RolloutOrder]:
        return {} if self._terms is None else self._catalog.orders

    async def _find_phases(self) -> None:
        """Read and ask for states of which this node knows only the order."""
        if self._loaded and not self._book.unknown_phases():
            return
        if not self._loaded:
            await self._load()
        peers = self._sharing.peers()
        asked = random.sample(peers, min(_ASKED_PEERS, len(peers)))
        for info in asked:
            reply = await self._sharing.ask(
                info, RolloutQuery(), _ASK_TIMEOUT_S
            )
            if isinstance(reply, RolloutMessage):
                self._hear(reply)

    async def _load(self) -> None:
        if self._store is None:
            return
        try:
            states = await self._store.load()
        except LogError as error:
            log.info('rollouts not read', extra={'error': str(error)})
            return
        self._loaded = True
        for state in states:
            if self._book.merge(state):
                self._log_change(state, 'log')

    async def _receive(self, message: RolloutMessage) -> OkReply:
        self._hear(message)
        return OkReply()

    def _hear(self, message: RolloutMessage) -> None:
        """Keep what the present holder of the duties tells, or states only."""
        number = message.fencing_number
        decided = number is not None and number >= self._fencing_number
        if number is not None and decided:
            self._fencing_number = number
        for news in message.rollouts:
            told = news if decided else RolloutNews(news.state)
            if self._book.hear(told, message.age_s):
                self._log_change(news.state, 'peer')

    def _log_change(self, state: RolloutState, source: str) -> None:
        changes_total.add(1, {'phase': str(state.phase)})
        log.info(
            'rollout in phase %s',
            state.phase,
            extra={
                'service': state.service,
                'target': state.target,
                'reason': state.reason,
                'barred': state.barred,
                'source': source,
            },
        )

    async def _answer_query(self, query: RolloutQuery) -> RolloutMessage:
        states = self._book.states.values()
        return RolloutMessage([RolloutNews(state) for state in states])

    async def _answer_report(self, query: ReportQuery) -> RolloutReports:
        return RolloutReports(
            list(map(self._accounts.report, self._book.news()))
        )

    def _observe_phases(self, options: CallbackOptions) -> list[Observation]:
        return [
            Observation(
                1, {'service': state.service, 'phase': str(state.phase)}
            )
            for state in self._book.states.values()
        ]


def terms_of(section: RolloutsSection) -> RolloutTerms | None:
    """Return the terms in the settings; None if one is missing."""
    if section.exposure_share is None or section.rollback_ms is None:
        return None
    if section.exposure_slack_requests is None:
        return None
    return RolloutTerms(section.exposure_share, section.exposure_slack_requests)
