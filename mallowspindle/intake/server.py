"""HTTP servers with bounds on their connections."""

import asyncio
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any

from aiohttp.web import Server

from mallowspindle.intake.bounds import IntakeBounds
from mallowspindle.intake.handler import MAX_LINE_BYTES, BoundedHandler
from mallowspindle.intake.reading import TurnReader
from mallowspindle.intake.refusals import Reason, note_refusal
from mallowspindle.intake.service import IntakeService

# Until this time without a request, connections to other listeners than that
# of callers stay open.
_KEEPALIVE_TIMEOUT_S = 60.0
# How long the unread bytes of a refused body are still received, so that the
# client reads the response before the connection is closed.
_LINGERING_TIME_S = 1.0
HTTP_OPTIONS: Mapping[str, Any] = MappingProxyType(
    {
        'access_log': None,
        'keepalive_timeout': _KEEPALIVE_TIMEOUT_S,
        'lingering_time': _LINGERING_TIME_S,
        'max_line_size': MAX_LINE_BYTES,
        'max_field_size': MAX_LINE_BYTES,
    }
)


class _ClosedProtocol(asyncio.Protocol):
    """Ends a connection for which there is no place."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection at once."""
        transport.close()


class ConnectionFactory:
    """Makes the protocols of a listener's connections.

    Beyond its maximum, the oldest connection that is late with a head is ended
    first, then those with an unfinished body, then new ones, then those that
    have been idle the longest. Requests in progress go on; if there are only
    these, the new connection is ended.
    """

    def __init__(
        self,
        manager: Server,
        intake: IntakeService,
        listener: str,
        max_connections: int,
        handler_type: type[BoundedHandler] = BoundedHandler,
        **options: Any,
    ) -> None:
        self._manager = manager
        self._intake = intake
        self._listener = listener
        self._max_connections = max_connections
        self._handler_type = handler_type
        self._options = options

    def __call__(self) -> TurnReader:
        """Return the protocol of a new connection."""
        if not self._has_place():
            note_refusal(Reason.CONNECTIONS, self._listener)
            return TurnReader(_ClosedProtocol(), self._intake.turns)
        handler = self._handler_type(
            self._manager,
            loop=asyncio.get_running_loop(),
            intake=self._intake,
            listener=self._listener,
            **self._options,
        )
        return TurnReader(handler, self._intake.turns, handler.refuse_costly)

    def _has_place(self) -> bool:
        """Return whether there is a place, after ending a connection."""
        if len(self._manager.connections) < self._max_connections:
            return True
        open_connections = [
            connection
            for connection in self._manager.connections
            if isinstance(connection, BoundedHandler)
            and connection.transport is not None
        ]
        if len(open_connections) < self._max_connections:
            return True
        worst = _worst(open_connections)
        if worst is not None:
            worst.close_unless_serving()
        return worst is not None


class BoundedServer(Server):
    """An HTTP server whose connections share the bounds of the process."""

    handler_type: type[BoundedHandler] = BoundedHandler

    def __init__(
        self,
        handler: Any,
        intake: IntakeService | None = None,
        listener: str = 'callers',
        max_connections: int = 0,
        *,
        handler_cancellation: bool = False,
        **options: Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=handler_cancellation)
        intake = intake or IntakeService(IntakeBounds.by_default())
        self._factory = ConnectionFactory(
            self,
            intake,
            listener,
            max_connections or intake.bounds.callers,
            self.handler_type,
            **HTTP_OPTIONS,
            **options,
        )

    def __call__(self) -> TurnReader:  # type: ignore[override]
        """Return the protocol for a new connection."""
        return self._factory()


def _worst(connections: Iterable[BoundedHandler]) -> BoundedHandler | None:
    return min(
        (connection for connection in connections if not connection.is_serving),
        key=lambda connection: (connection.rank, connection.since_s),
        default=None,
    )
