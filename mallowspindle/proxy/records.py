"""Log lines of one exchange."""

import asyncio
import logging
from collections.abc import Collection

from mallowspindle.backends.view import BackendView
from mallowspindle.catalog.configuration import Route
from mallowspindle.proxy.events import EventSplitter
from mallowspindle.proxy.messages import CallerRequest

log = logging.getLogger(__name__)


class ExchangeLog:
    """Writes what happened to a request, with its id and its age."""

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        began_at_s: float,
        splitter: EventSplitter,
    ) -> None:
        self._request = request
        self._route = route
        self._began_at_s = began_at_s
        self._splitter = splitter

    def note_attempt(
        self, message: str, view: BackendView, number: int, **more: object
    ) -> None:
        """Log how an attempt at a server ended."""
        log.info(
            message,
            extra={
                **self._fields(),
                'server': view.server.server_id,
                'address': view.server.address,
                'attempt': number,
                'last_event': self._splitter.last_event_id,
                **more,
            },
        )

    def note_end(
        self, ending: str, reason: str, runs: int, tried: Collection[str]
    ) -> None:
        """Log an end of the request that is not a server's whole answer."""
        log.info(
            'request %s',
            ending,
            extra={
                **self._fields(),
                'reason': reason,
                'runs': runs,
                'tried': sorted(tried),
            },
        )

    def _fields(self) -> dict[str, str | int]:
        elapsed_s = asyncio.get_running_loop().time() - self._began_at_s
        return {
            'request': self._request.request_id,
            'route': self._route.name,
            'elapsed_ms': int(elapsed_s * 1000),
        }
