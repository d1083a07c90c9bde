"""Accepts generation requests and runs a task for each of them."""

import asyncio
import logging
from typing import Self

from aiohttp import ClientSession, TCPConnector

from mallowspindle.attempts.engine import EngineClient
from mallowspindle.attempts.request import (
    GenerationRequest,
    OwnedRequest,
    RequestKind,
)
from mallowspindle.attempts.runner import RequestRunner
from mallowspindle.config.native import NativeSettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.ledger.service import LedgerService
from mallowspindle.membership.service import MembershipService
from mallowspindle.native.cloud import Role
from mallowspindle.outcomes import NotRun
from mallowspindle.recovery.service import RecoveryService
from mallowspindle.routing.directory import DirectoryService
from mallowspindle.routing.router import RouterService
from mallowspindle.settings.service import SettingsService
from mallowspindle.utils.tasks import BackgroundTasks

log = logging.getLogger(__name__)

_RETRY_AFTER_S = 1.0
_MAX_HAND_OVER_MARGIN_S = 2.0
_MAX_HAND_OVER_SHARE = 0.5


@service(
    'attempts',
    requires=('membership', 'settings', 'router', 'recovery', 'ledger'),
)
class AttemptsService(Service):
    """Runs accepted requests until they end or another node owns them."""

    def __init__(self, kernel: Kernel) -> None:
        self._config: NativeSettings = kernel.settings(NativeSettings)
        self._membership = kernel.find('membership', MembershipService)
        self._settings = kernel.find('settings', SettingsService)
        self._directory = kernel.find('directory', DirectoryService)
        self._router = kernel.find('router', RouterService)
        self._recovery = kernel.find('recovery', RecoveryService)
        self._ledger = kernel.find('ledger', LedgerService)
        self._runners: dict[str, RequestRunner] = {}
        self._session: ClientSession | None = None
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service from the services that it uses."""
        return cls(kernel)

    @property
    def in_progress(self) -> int:
        """The number of requests that run on this node."""
        return len(self._runners)

    async def start(self) -> None:
        """Start to run new requests and those taken over from other nodes."""
        self._session = ClientSession(connector=TCPConnector(limit=0))
        self._recovery.register_takeover_callback(self._run_taken_over)
        self._settings.watch(self._apply_split_change)

    async def drain(self, timeout_s: float) -> None:
        """Hand over bundles at once, and chats that don't finish in time.

        Without copies, nothing is handed over: chats get the whole time.
        """
        if self._config.recovery.copies == 'none':
            await self._wait_for_chats(timeout_s)
            return
        bundles = self._owned_of_kind(RequestKind.BUNDLE)
        await self._hand_over_all(bundles)
        await self._wait_for_chats(time_until_hand_over_s(timeout_s))
        await self._hand_over_all(self._owned_of_kind(RequestKind.CHAT))

    async def stop(self) -> None:
        """Cancel the remaining tasks and close the connections."""
        await self._tasks.cancel()
        if self._session is not None:
            await self._session.close()

    def refusal(self, model: str) -> NotRun | None:
        """Return why a request for the model can't be accepted, if so."""
        if self.in_progress >= self._config.limits.requests_in_progress:
            return NotRun('this entry VM is full', _RETRY_AFTER_S)
        if not self._directory.serving(model, Role.ENGINE):
            return NotRun(f'no engine serves {model} now', _RETRY_AFTER_S)
        return None

    async def accept(self, request: GenerationRequest) -> OwnedRequest:
        """Accept and run a request, with a copy on a peer if possible."""
        owned = await self._recovery.accept(request)
        self._run(owned)
        return owned

    def _run_taken_over(self, owned: OwnedRequest) -> None:
        self._tasks.spawn(self._copy_and_run(owned), 'taken-over request')

    async def _copy_and_run(self, owned: OwnedRequest) -> None:
        await self._recovery.replicator.place_copy(owned)
        if owned.is_final:
            self._ledger.enqueue_request_costs(owned)
        else:
            self._run(owned)

    def _run(self, owned: OwnedRequest) -> None:
        if self._session is None:
            return
        routing = self._config.routing
        engine = EngineClient(
            self._session, routing.connect_timeout_s, routing.token_timeout_s
        )
        runner = RequestRunner(
            owned,
            routing,
            self._router,
            self._recovery.replicator,
            self._ledger,
            engine,
            self._membership.clock.now_s,
        )
        request_id = owned.request.request_id
        self._runners[request_id] = runner
        self._membership.update(in_progress=self.in_progress)
        task = self._tasks.spawn(runner.run(), f'request {request_id}')
        task.add_done_callback(lambda _: self._forget(request_id))

    def _forget(self, request_id: str) -> None:
        self._runners.pop(request_id, None)
        self._membership.update(in_progress=self.in_progress)

    def _apply_split_change(self) -> None:
        for runner in self._runners.values():
            runner.apply_split_change()

    def _owned_of_kind(self, kind: RequestKind) -> list[OwnedRequest]:
        return [
            owned
            for owned in self._recovery.owned.values()
            if owned.request.kind == kind and not owned.is_final
        ]

    async def _wait_for_chats(self, timeout_s: float) -> None:
        waits = [
            asyncio.ensure_future(owned.wait_final())
            for owned in self._owned_of_kind(RequestKind.CHAT)
        ]
        if waits:
            _, pending = await asyncio.wait(waits, timeout=timeout_s)
            for wait in pending:
                wait.cancel()

    async def _hand_over_all(self, requests: list[OwnedRequest]) -> None:
        handed_over = await asyncio.gather(
            *(self._recovery.replicator.hand_over(owned) for owned in requests)
        )
        if requests:
            log.info(
                'handed over %s of %s requests',
                sum(handed_over),
                len(handed_over),
            )


def time_until_hand_over_s(timeout_s: float) -> float:
    """Return how long chats may run before they are handed over."""
    margin_s = min(_MAX_HAND_OVER_MARGIN_S, timeout_s * _MAX_HAND_OVER_SHARE)
    return timeout_s - margin_s
