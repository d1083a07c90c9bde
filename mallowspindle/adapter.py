"""What the adapter of a platform provides to the other services."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

from mallowspindle.catalog.configuration import Configuration
from mallowspindle.catalog.orders import OrderCodec
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.kernel.service import Service
from mallowspindle.log.interface import Log
from mallowspindle.log.records import KeyedRecord, LogRecord
from mallowspindle.proxy.messages import (
    CallerRequest,
    Dispatch,
    MovedRun,
    ResponseHead,
)


@dataclass(frozen=True, slots=True)
class LogLayout:
    """Streams, keys and codecs of what operators and servers write.

    All streams but the first two have keys and are written by this system
    itself. Without ``orders``, operators can't order rollouts.
    """

    configuration_stream: str
    configuration_key: str
    servers_stream: str
    quarantine_stream: str
    versions_stream: str
    streams_stream: str
    decode_keyed: Callable[[LogRecord], KeyedRecord]
    encode_keyed: Callable[[str, bytes], bytes]
    decode_configuration: Callable[[bytes], Configuration]
    decode_server: Callable[[str, bytes], BackendServer]
    orders: OrderCodec | None = None
    rollouts_stream: str = ''
    status_stream: str = ''
    retries_stream: str = ''


class HttpCodec(ABC):
    """Decodes and encodes the platform's HTTP requests and responses."""

    @abstractmethod
    def decode_request(
        self,
        method: str,
        target: str,
        headers: CIMultiDictProxy[str],
    ) -> CallerRequest:
        """Return a caller's request; raise ``BadRequest`` if malformed."""

    @abstractmethod
    def encode_dispatch(
        self, request: CallerRequest, dispatch: Dispatch
    ) -> CIMultiDict[str]:
        """Return the headers with which the request is sent to a server."""

    @abstractmethod
    def encode_relay(
        self,
        request: CallerRequest,
        time_left_s: float,
        last_event_id: str | None,
    ) -> CIMultiDict[str]:
        """Return the headers with which the request is sent to a peer."""

    @abstractmethod
    def decode_response_head(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> ResponseHead:
        """Return the decoded status and headers of a server's response."""

    @abstractmethod
    def decode_zone(self, query: Mapping[str, str]) -> str | None:
        """Return the zone that a query for addresses names, if any."""

    @abstractmethod
    def encode_addresses(
        self, addresses: list[str], valid_for_s: float
    ) -> bytes:
        """Return the body of the response to a query for addresses."""

    @property
    @abstractmethod
    def id_header(self) -> str:
        """Name of the header in which servers return the id of a request."""


class Duties(ABC):
    """Calls to the platform that only one node at a time makes."""

    @abstractmethod
    async def report_usage(
        self, fencing_number: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Report how many requests each organisation began in a window."""

    @abstractmethod
    async def scale_service(
        self, fencing_number: int, request: 'ScaleRequest'
    ) -> None:
        """Set how many servers a service has in a zone.

        Raises ``NoServersAvailable`` if the zone has none to give.
        """


class MigrationClient(ABC):
    """Moves running requests between model engines."""

    @abstractmethod
    async def time_until_reclaim_s(self, address: str) -> float | None:
        """Return the seconds until a server is reclaimed, or None if it stays.

        Raises ``MigrationError`` if the server gives no valid answer.
        """

    @abstractmethod
    async def report_runs(self, address: str) -> 'RunsReport':
        """Return the requests that a server reports as running.

        Raises ``NobodyListens`` if its process has ended, ``NoConnection`` if
        its address does not react, and ``MigrationError`` if it gives no valid
        answer.
        """

    @abstractmethod
    async def copy(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Copy a run's memory to another server while the run continues.

        Raises ``TargetFull`` if that server has no room for it, and
        ``MigrationError`` if the run has ended or can't be moved at all.
        """

    @abstractmethod
    async def move(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Stop a run and copy the rest of its memory to another server.

        The run's stream breaks off without its last event. Raises
        ``TargetFull`` if the run can continue only at its source,
        ``NoSuchRun`` if it has ended, and ``MigrationError`` if there is no
        memory left to continue it from.
        """

    @abstractmethod
    async def drop(self, run: MovedRun) -> None:
        """Free a copy that is no longer needed."""


@dataclass(frozen=True, slots=True)
class RunsReport:
    """The requests that run at a server, as it reports them with a delay.

    ``server_id`` and ``started_at_ms`` (Unix time) tell which lifetime of a
    server answers; None if it does not state them.
    """

    request_ids: frozenset[str]
    server_id: str | None = None
    started_at_ms: int | None = None


class MigrationError(Exception):
    """A run was not moved."""


class NobodyListens(MigrationError):
    """The address of a server refuses connections."""


class NoConnection(MigrationError):
    """The address of a server does not react within the connect time-out."""


class NoSuchRun(MigrationError):
    """The run ended before it could be stopped."""


class TargetFull(MigrationError):
    """The target server has no room for a run.

    ``source_copy`` is the run's memory at the source if it was stopped.
    """

    def __init__(
        self, reason: str, source_copy: MovedRun | None = None
    ) -> None:
        super().__init__(reason)
        self.source_copy = source_copy


@dataclass(frozen=True, slots=True)
class ScaleRequest:
    """Number of servers of one class that a service should have in a zone."""

    service: str
    zone: str
    desired: int
    reclaimable: bool


class DutyError(Exception):
    """A call of a duty failed or got no valid answer."""


class StaleFencingNumber(DutyError):
    """The platform has already seen a higher fencing number."""


class NoServersAvailable(DutyError):
    """The platform has no server of that class in the zone at present."""


class AdapterService(Service):
    """The adapter to a platform, registered as the service ``border``."""

    @property
    def log(self) -> Log:
        """The log that holds all durable data."""
        raise NotImplementedError

    @property
    def layout(self) -> LogLayout:
        """The layout of the configuration and the servers in the log."""
        raise NotImplementedError

    @property
    def http_codec(self) -> HttpCodec:
        """The codec of the platform's requests and responses."""
        raise NotImplementedError

    @property
    def migration(self) -> MigrationClient:
        """The client that moves running requests."""
        raise NotImplementedError

    @property
    def duties(self) -> Duties | None:
        """The client for duties; None if the platform has none."""
        raise NotImplementedError
