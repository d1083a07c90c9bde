"""The retry budgets of all services."""

import logging
import time
from typing import Self

from mallowspindle.adapter import AdapterService, LogLayout
from mallowspindle.config.platform import PlatformSettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.log.interface import Log
from mallowspindle.log.keyed import KeyedWriter
from mallowspindle.policies.budget import BudgetTerms
from mallowspindle.retries.allowance import (
    MAX_WAIT_S,
    Refusal,
    RetryAllowance,
)
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.tasks import BackgroundTasks
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

# Shortest time between two log lines about refused retries of a service.
_LOG_INTERVAL_S = 1.0

refused_total = meter.create_counter('retries_refused')


@service('retries', requires=('border', 'sharing'))
class RetriesService(Service):
    """Decides which requests may be sent to a service once more."""

    def __init__(
        self,
        terms: BudgetTerms,
        sharing: SharingService,
        source: Log,
        layout: LogLayout,
    ) -> None:
        self._terms = terms
        self._sharing = sharing
        self._log = source
        self._layout = layout
        self._allowances: dict[str, RetryAllowance] = {}
        self._logged_at_s: dict[str, float] = {}
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service from the settings and the platform's log."""
        proxy = kernel.settings(PlatformSettings).proxy
        adapter = kernel.find('border', AdapterService)
        return cls(
            BudgetTerms(
                proxy.retry_ratio, proxy.retry_window_s, proxy.retry_slack
            ),
            kernel.find('sharing', SharingService),
            adapter.log,
            adapter.layout,
        )

    def note_request(self, service_name: str) -> None:
        """Count a caller's request to a service."""
        self._allowance_of(service_name).note_request()

    async def try_spend(
        self, service_name: str, timeout_s: float = MAX_WAIT_S
    ) -> bool:
        """Spend one retry of a service; return False if none is left.

        This may wait for the log, for ``timeout_s`` at most.
        """
        allowance = self._allowance_of(service_name)
        refusal = await allowance.spend(timeout_s)
        if refusal is None:
            return True
        refused_total.add(1, {'service': service_name, 'reason': refusal.value})
        self._log_refusal(service_name, refusal)
        return False

    def try_spend_share(self, service_name: str) -> bool:
        """Spend one retry of this node's own share, without a wait."""
        return self._allowance_of(service_name).try_spend_share()

    async def stop(self) -> None:
        """Cancel the calls to the log."""
        await self._tasks.cancel()

    def _allowance_of(self, service_name: str) -> RetryAllowance:
        found = self._allowances.get(service_name)
        if found is None:
            found = RetryAllowance(
                service_name,
                self._terms,
                KeyedWriter(
                    self._log, self._layout, self._layout.retries_stream
                ),
                self._sharing.membership.clock,
                self._count_nodes,
                self._tasks,
            )
            self._allowances[service_name] = found
        return found

    def _count_nodes(self) -> int:
        return len(self._sharing.peers()) + 1

    def _log_refusal(self, service_name: str, refusal: Refusal) -> None:
        now_s = time.monotonic()
        if now_s < self._logged_at_s.get(service_name, 0) + _LOG_INTERVAL_S:
            return
        self._logged_at_s[service_name] = now_s
        allowance = self._allowance_of(service_name)
        log.info(
            'retry refused by the budget',
            extra={'reason': refusal.value, **allowance.describe()},
        )
