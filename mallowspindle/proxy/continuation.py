"""Where a stream may go on after its first event."""

from contextlib import ExitStack
from types import TracebackType
from typing import Self

from mallowspindle.catalog.configuration import Organisation, Route
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.streams.messages import StreamBegun, StreamKey
from mallowspindle.streams.service import StreamsService


class UnknownBegin(Exception):
    """A stream can't go on, since the version that began it is not known."""


class Continuation:
    """Binds a stream to the service and software version that began it.

    What servers of two versions write does not fit together, and servers do not
    check it. Used as a context manager, it tells other nodes of the stream for
    as long as it lasts.
    """

    def __init__(
        self,
        streams: StreamsService,
        request: CallerRequest,
        route: Route,
        organisation: Organisation | None,
    ) -> None:
        self._streams = streams
        self._route = route
        self._key = StreamKey(
            organisation.name if organisation else '',
            request.resumes or request.request_id,
        )
        self._is_taken_up = request.last_event_id is not None
        self._software_version: str | None = None
        self._tracking = ExitStack()

    @property
    def software_version(self) -> str | None:
        """The version that began the stream; None before the first event."""
        return self._software_version

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._tracking.close()

    async def find_service(self, default: str) -> str:
        """Return the service for the request, ``default`` for a new stream.

        Raise ``UnknownBegin`` if the caller takes up a stream that may have
        begun at one of several versions, or at a service that the route no
        longer has.
        """
        if not self._is_taken_up:
            return default
        begun = await self._streams.find(self._key, default)
        if begun is None:
            if self._streams.has_several_versions(default):
                raise UnknownBegin('it is not known which version began it')
            return default
        if all(share.service != begun.service for share in self._route.shares):
            raise UnknownBegin(f'it began at the service {begun.service}')
        self._software_version = begun.software_version
        return begun.service

    def note_begun(self, server: BackendServer) -> None:
        """Bind the stream to the server that sends its first event here."""
        self._software_version = server.software_version
        if self._route.resumable:
            begun = StreamBegun(
                self._key, server.service, server.software_version
            )
            self._tracking.enter_context(self._streams.track(begun))

    def allows(self, server: BackendServer) -> bool:
        """Return whether the stream may go on at a server."""
        return self._software_version in {None, server.software_version}
