"""Where a stream may go on after its first event."""

from contextlib import ExitStack
from types import TracebackType
from typing import Self

from mallowspindle.catalog.configuration import Organisation, Route
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.streams.messages import StreamBegun, StreamKey
from mallowspindle.streams.records import StreamOrigin
from mallowspindle.streams.service import OneVersion, StreamsService


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
        self._origin = request.origin
        # Whether events exist of which it is not known who has written them.
        self._lacks_origin = (
            request.last_event_id is not None and request.origin is None
        )
        self._tracked_origin: StreamOrigin | None = None
        self._tracking = ExitStack()

    @property
    def origin(self) -> StreamOrigin | None:
        """Who has begun the stream; None if it is new, or if it is not known."""
        return self._origin

    @property
    def software_version(self) -> str | None:
        """The version that began the stream; None before the first event."""
        return self._origin.software_version if self._origin else None

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
        """Return the service for the next attempt, ``default`` for the first.

        Raise ``UnknownBegin`` if the stream may have begun at one of several
        versions or services, or at a service that the route no longer has.
        """
        if self._lacks_origin:
            await self._find_origin()
        origin = self._origin
        if origin is None:
            return default
        if all(share.service != origin.service for share in self._route.shares):
            raise UnknownBegin(f'it began at the service {origin.service}')
        return origin.service

    def note_begun(self, server: BackendServer) -> None:
        """Bind the stream to the server that sends its first event here."""
        self._bind(StreamOrigin(server.service, server.software_version))

    def note_begun_at_peer(self, origin: StreamOrigin | None) -> None:
        """Bind the stream to the server whose first event a peer passes on.

        Peers that run an older build do not tell the server's version.
        """
        if origin is None:
            self._lacks_origin = self._origin is None
        else:
            self._bind(origin)

    def allows(self, server: BackendServer) -> bool:
        """Return whether the stream may go on at a server."""
        return self.software_version in {None, server.software_version}

    def _bind(self, origin: StreamOrigin) -> None:
        self._origin = origin
        self._lacks_origin = False
        if self._route.resumable and self._tracked_origin != origin:
            self._tracked_origin = origin
            begun = StreamBegun(
                self._key, origin.service, origin.software_version
            )
            self._tracking.enter_context(self._streams.track(begun))

    async def _find_origin(self) -> None:
        found = await self._streams.find(
            self._key,
            *(share.service for share in self._route.shares),
            route_name=self._route.name,
        )
        match found:
            case StreamBegun():
                self._origin = StreamOrigin(
                    found.service, found.software_version
                )
                self._lacks_origin = False
            case OneVersion(origin=origin):
                # Others may ask once there are several versions.
                self._bind(origin)
            case None:
                raise UnknownBegin('it is not known which version began it')
