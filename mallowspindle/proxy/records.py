"""Log messages of an exchange."""

import asyncio
import logging

from mallowspindle.backends.view import BackendView
from mallowspindle.catalog.configuration import Route
from mallowspindle.proxy.events import EventSplitter
from mallowspindle.proxy.history import AttemptHistory
from mallowspindle.proxy.messages import CallerRequest

log = logging.getLogger(__name__)

# Bounds the length of a line, since callers choose the number of parts.
_MAX_LOGGED_PARTS = 16


class ExchangeLog:
    """Logs the events of one request with its id, route and elapsed time."""

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

    def log_attempt(
        self,
        message: str,
        view: BackendView,
        attempt_number: int,
        **extra_fields: object,
    ) -> None:
        """Log the outcome of an attempt at a server."""
        log.info(
            message,
            extra={
                **self._fields(),
                'server': view.server.server_id,
                'address': view.server.address,
                'software': view.server.software_version,
                'attempt': attempt_number,
                'last_event': self._splitter.last_event_id,
                **extra_fields,
            },
        )

    def log_resumed(self, view: BackendView) -> None:
        """Log where a stream goes on that the caller takes up."""
        log.info(
            'stream taken up by its caller',
            extra={
                **self._fields(),
                'resumes': self._request.resumes,
                'last_event': self._request.last_event_id,
                'server': view.server.server_id,
                'software': view.server.software_version,
            },
        )

    def log_hedge(self, message: str, view: BackendView, first: str) -> None:
        """Log what becomes of a second attempt beside the one at ``first``."""
        log.info(
            message,
            extra={
                **self._fields(),
                'server': view.server.server_id,
                'first': first,
            },
        )

    def log_relayed(self, peer: str, outcome: object) -> None:
        """Log that a peer handled a request, since this node can't reach it."""
        log.info(
            'request passed on through a peer',
            extra={
                **self._fields(),
                'peer': peer,
                'outcome': type(outcome).__name__,
                'reason': getattr(outcome, 'reason', None),
            },
        )

    def log_unanswered(self, view: BackendView, responding: bool) -> None:
        """Log that a server was lost before the first event of a response.

        A request or parts of a prompt that occur at several lost servers may
        be why they crash.
        """
        prompt = self._request.prompt[:-1]
        log.info(
            'server lost before the first event',
            extra={
                **self._fields(),
                'server': view.server.server_id,
                'responding': responding,
                'path': self._request.path,
                'fingerprint': self._request.fingerprint,
                'prompt': [part.part_id for part in prompt[:_MAX_LOGGED_PARTS]],
            },
        )

    def log_end(
        self,
        ending: str,
        reason: str,
        history: AttemptHistory,
    ) -> None:
        """Log that a request ended without a complete response of a server."""
        log.info(
            'request %s',
            ending,
            extra={
                **self._fields(),
                'reason': reason,
                'runs': history.run_count,
                'tried': history.names,
            },
        )

    def _fields(self) -> dict[str, str | int]:
        elapsed_s = asyncio.get_running_loop().time() - self._began_at_s
        return {
            'request': self._request.request_id,
            'route': self._route.name,
            'elapsed_ms': int(elapsed_s * 1000),
        }
