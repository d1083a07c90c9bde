"""Keep the settings tree up to date from the log or from peers."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Self

from mallowspindle.config.native import NativeSettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.log.errors import LogError
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.membership.service import MembershipService
from mallowspindle.native.log import LogClient
from mallowspindle.native.service import NativeService
from mallowspindle.peers.errors import PeerError
from mallowspindle.settings.errors import SettingsError
from mallowspindle.settings.messages import SettingsRequest, SettingsState
from mallowspindle.settings.reader import catch_up
from mallowspindle.settings.records import SETTINGS_STREAM, settings_codec
from mallowspindle.settings.tree import NEVER_SET, SettingsTree
from mallowspindle.utils.identifiers import rendezvous_order
from mallowspindle.utils.tasks import BackgroundTasks, run_periodically

log = logging.getLogger(__name__)

_LONG_POLL_S = 1.0
_PEER_TIMEOUT_S = 1.0
_PEER_CHECK_INTERVAL_S = 0.25
_RETRY_PAUSE_S = 0.2
_START_TIMEOUT_S = 5.0


@service('settings', requires=('native', 'membership'))
class SettingsService(Service):
    """Follows the settings stream and provides the tree in force."""

    def __init__(
        self,
        config: NativeSettings,
        log_client: LogClient,
        membership: MembershipService,
    ) -> None:
        self._config = config
        self._log = log_client
        self._membership = membership
        self._tree = SettingsTree()
        self._log_read_at_s = -float('inf')
        self._loaded = asyncio.Event()
        self._watchers: list[Callable[[], None]] = []
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service with the shared log client."""
        platform = kernel.find('native', NativeService)
        membership = kernel.find('membership', MembershipService)
        return cls(kernel.settings(NativeSettings), platform.log, membership)

    @property
    def tree(self) -> SettingsTree:
        """The settings in force at this node."""
        return self._tree

    @property
    def is_current(self) -> bool:
        """Whether this node's settings can be relied on to be current.

        They can if the log was read within ``settings_stale_after_s``, or
        else while this node has recent updates of a quorum of the members.
        """
        if not self._loaded.is_set():
            return False
        age_s = time.monotonic() - self._log_read_at_s
        if age_s < self._config.limits.settings_stale_after_s:
            return True
        return self._membership.table.has_quorum()

    def watch(self, watcher: Callable[[], None]) -> None:
        """Call ``watcher`` after each change of the tree."""
        self._watchers.append(watcher)

    async def start(self) -> None:
        """Load the settings from the log or a peer, then follow changes."""
        self._membership.server.handle(SettingsRequest, self._reply_with_state)
        self._tasks.spawn(self._follow_log(), 'follow settings')
        self._tasks.spawn(
            run_periodically(self._follow_peers, _PEER_CHECK_INTERVAL_S),
            'peer settings',
        )
        self._tasks.spawn(
            run_periodically(
                self._append_snapshot, self._snapshot_interval_s()
            ),
            'settings snapshot',
        )
        try:
            await asyncio.wait_for(self._loaded.wait(), _START_TIMEOUT_S)
        except TimeoutError:
            log.warning(
                'settings not loaded yet, neither from the log nor a peer'
            )

    async def stop(self) -> None:
        """Stop following changes."""
        await self._tasks.cancel()

    async def _follow_log(self) -> None:
        while True:
            previous_through = self._tree.through
            try:
                await catch_up(self._tree, self._log, self._log_wait_s())
            except (LogError, SettingsError) as error:
                log.warning('settings not read from the log: %s', error)
                await asyncio.sleep(_RETRY_PAUSE_S)
            else:
                self._log_read_at_s = time.monotonic()
                self._notify_if_changed(previous_through)

    def _log_wait_s(self) -> float:
        return _LONG_POLL_S if self._loaded.is_set() else 0

    def _notify_if_changed(self, previous_through: int) -> None:
        self._loaded.set()
        if self._tree.through == previous_through:
            return
        self._membership.update(settings_through=self._tree.through)
        self._membership.send_soon()
        for watcher in self._watchers:
            watcher()

    async def _follow_peers(self) -> None:
        peer = self._newer_peer()
        if peer is None:
            return
        previous_through = self._tree.through
        link = self._membership.link(peer)
        try:
            reply = await link.call(
                SettingsRequest(previous_through), _PEER_TIMEOUT_S
            )
        except PeerError as error:
            log.info('settings not received from %s: %s', peer.name, error)
            return
        if reply.snapshot is not None and self._tree.adopt(reply.snapshot):
            log.info(
                'settings after offset %s taken from %s',
                previous_through,
                peer.name,
            )
        self._notify_if_changed(previous_through)

    def _newer_peer(self) -> MemberInfo | None:
        live = self._membership.table.live()
        newest = max(live, key=lambda info: info.settings_through, default=None)
        if newest is None or newest.settings_through <= self._tree.through:
            return None
        return newest

    async def _reply_with_state(
        self, request: SettingsRequest
    ) -> SettingsState:
        if request.through >= self._tree.through:
            return SettingsState(None)
        return SettingsState(self._tree.snapshot())

    def _snapshot_interval_s(self) -> float:
        return self._config.native.settings_snapshot_interval_s

    async def _append_snapshot(self) -> None:
        if self._tree.through == NEVER_SET or not self._is_snapshot_writer():
            return
        payload = settings_codec.encode(self._tree.snapshot())
        try:
            await self._log.append(SETTINGS_STREAM, payload)
        except LogError as error:
            log.warning('settings snapshot not appended: %s', error)

    def _is_snapshot_writer(self) -> bool:
        names = [info.name for info in self._membership.table.live()]
        own = self._membership.own.name
        return rendezvous_order('settings snapshot', [own, *names])[0] == own
