"""Limits on requests that backend servers state in their responses."""

import logging
from collections.abc import Callable, Iterable

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.backends.view import BackendView
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)


class ServerLimits:
    """The limits that servers have stated to this node."""

    def observe(self, views: Callable[[], Iterable[BackendView]]) -> None:
        """Serve the number of limited servers among ``views`` as a metric."""

        def count_limited(options: CallbackOptions) -> list[Observation]:
            limits = [view.limit_per_s for view in views()]
            return [Observation(len(limits) - limits.count(None))]

        meter.create_observable_gauge('limited_servers', [count_limited])

    def record(self, view: BackendView, limit_per_s: float | None) -> None:
        """Record the limit that a server has stated; None for no limit."""
        if limit_per_s == view.limit_per_s:
            return
        view.limit_per_s = limit_per_s
        log.info(
            'backend server changed its limit',
            extra={
                'server': view.server.server_id,
                'limit_per_s': limit_per_s,
                'in_flight': len(view.in_flight),
            },
        )
