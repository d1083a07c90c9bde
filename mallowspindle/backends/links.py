"""This node's links to the servers, and tries to reach them again."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.backends.connectivity import Connectivity
from mallowspindle.backends.view import BackendView
from mallowspindle.utils.connections import accepts_connections
from mallowspindle.utils.tasks import BackgroundTasks
from mallowspindle.utils.telemetry import meter

# Pause between two rounds of connections to servers of a service of which none
# is reached, and the number of servers in a round.
_PROBE_PAUSE_S = 0.5
_PROBED_SERVERS = 3


class ServerLinks:
    """Records which services are reached, and tries those that are not.

    ``views_of`` returns the servers of a service, and ``on_change`` is called
    when a service is no longer reached, or reached again.
    """

    def __init__(
        self,
        views_of: Callable[[str], list[BackendView]],
        on_change: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
        is_listening: Callable[[str], Awaitable[bool]] = accepts_connections,
    ) -> None:
        self._views_of = views_of
        self._on_change = on_change
        self._is_listening = is_listening
        self._connectivity = Connectivity(clock)
        self._tasks = BackgroundTasks()

    def start(self) -> None:
        """Serve the number of services that are not reached as a metric."""
        meter.create_observable_gauge('services_not_reached', [self._observe])

    async def stop(self) -> None:
        """Stop to try servers that are not reached."""
        await self._tasks.cancel()

    def not_reached(self) -> list[str]:
        """Return the services of which this node reaches no server."""
        return self._connectivity.not_reached()

    def record_lost(self, view: BackendView) -> None:
        """Record a server that accepts no connection or broke one off."""
        service_name = view.server.service
        is_lost = self._connectivity.record_failure(
            service_name,
            view.server.server_id,
            len(self._views_of(service_name)),
        )
        if is_lost:
            self._on_change()
            self._tasks.spawn(self._probe(service_name), 'probe')

    def record_answering(self, service_name: str) -> None:
        """Record that a server of a service has begun to answer this node."""
        if self._connectivity.record_answer(service_name):
            self._on_change()

    async def _probe(self, service_name: str) -> None:
        """Try servers of a service until one accepts a connection."""
        while not self._connectivity.reaches(service_name):
            addresses = [
                view.server.address
                for view in self._views_of(service_name)
                if not view.server.draining
            ]
            count = min(_PROBED_SERVERS, len(addresses))
            chosen = random.sample(addresses, count)
            if any(await asyncio.gather(*map(self._is_listening, chosen))):
                self.record_answering(service_name)
                for view in self._views_of(service_name):
                    view.end_ejection()
                return
            await asyncio.sleep(_PROBE_PAUSE_S)

    def _observe(self, options: CallbackOptions) -> list[Observation]:
        return [Observation(len(self._connectivity.not_reached()))]
