"""Writes ledger entries to the log in batches."""

import logging
from collections import OrderedDict
from typing import Self

from mallowspindle.attempts.request import CostSegment, OwnedRequest
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.ledger.pricing import entries_of_request
from mallowspindle.ledger.records import (
    LEDGER_STREAM,
    LedgerEntry,
    ledger_codec,
)
from mallowspindle.log.errors import LogError
from mallowspindle.native.log import LogClient
from mallowspindle.native.service import NativeService
from mallowspindle.settings.service import SettingsService
from mallowspindle.utils.tasks import BackgroundTasks, run_periodically

log = logging.getLogger(__name__)

_FLUSH_INTERVAL_S = 0.25
_MAX_BATCH = 500


@service('ledger', requires=('native', 'settings'))
class LedgerService(Service):
    """Keeps ledger entries in memory until they are in the log."""

    def __init__(
        self, log_client: LogClient, settings: SettingsService
    ) -> None:
        self._log = log_client
        self._settings = settings
        self._unsent: OrderedDict[str, LedgerEntry] = OrderedDict()
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service on the shared log client."""
        return cls(
            kernel.find('native', NativeService).log,
            kernel.find('settings', SettingsService),
        )

    @property
    def unsent(self) -> int:
        """The number of entries that are not in the log yet."""
        return len(self._unsent)

    async def start(self) -> None:
        """Start to flush periodically."""
        self._tasks.spawn(
            run_periodically(self.flush, _FLUSH_INTERVAL_S), 'ledger'
        )

    async def drain(self, timeout_s: float) -> None:
        """Try once to write the remaining entries."""
        await self.flush()

    async def stop(self) -> None:
        """Stop flushing."""
        await self._tasks.cancel()

    def current_segment(self, path: str, first: int) -> CostSegment:
        """Return a segment with the split in force at ``path``.

        Without a split its version is -1 and its shares are empty.
        """
        split = self._settings.tree.documents.split(path)
        if split is None:
            return CostSegment(first, version=-1, shares={})
        shares = {name: str(share) for name, share in split.shares.items()}
        return CostSegment(first, split.version, shares)

    def prompt_shares(self, path: str, *, recompute: bool) -> dict[str, str]:
        """Return the shares of the partners that pay for computing a prompt."""
        accounting = self._settings.tree.documents.organisation(path).accounting
        if recompute and accounting.recompute_payer != 'split':
            return {accounting.recompute_payer: '100'}
        return self.current_segment(path, 0).shares

    def enqueue_request_costs(self, owned: OwnedRequest) -> None:
        """Queue the entries of a request that has ended."""
        self.enqueue(entries_of_request(owned.request, owned.progress))

    def enqueue(self, entries: list[LedgerEntry]) -> None:
        """Queue entries; the next flush writes them."""
        for entry in entries:
            self._unsent[entry.entry_id] = entry

    async def flush(self) -> None:
        """Append all unsent entries; the next flush retries a failed batch."""
        while self._unsent:
            batch = list(self._unsent.values())[:_MAX_BATCH]
            payload = ledger_codec.encode_all(batch)
            try:
                await self._log.append(LEDGER_STREAM, payload)
            except LogError as error:
                log.warning('%s ledger entries wait: %s', self.unsent, error)
                return
            for entry in batch:
                self._unsent.pop(entry.entry_id, None)
