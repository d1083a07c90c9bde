"""What an interface gives to the services behind it."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

from mallowspindle.catalog.configuration import Configuration
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.kernel.service import Service
from mallowspindle.log.interface import Log
from mallowspindle.log.records import KeyedRecord, LogRecord
from mallowspindle.proxy.messages import (
    AnswerHead,
    CallerRequest,
    Dispatch,
    MovedRun,
)


@dataclass(frozen=True, slots=True)
class LogLayout:
    """Where the log holds what operators and servers write, and how."""

    configuration_stream: str
    configuration_key: str
    servers_stream: str
    decode_keyed: Callable[[LogRecord], KeyedRecord]
    decode_configuration: Callable[[bytes], Configuration]
    decode_server: Callable[[str, bytes], BackendServer]


class HttpCodec(ABC):
    """How requests and answers are spelled on the wire."""

    @abstractmethod
    def decode_request(
        self,
        method: str,
        target: str,
        headers: CIMultiDictProxy[str],
    ) -> CallerRequest:
        """Return a caller's request; ``BadRequest`` if it is malformed."""

    @abstractmethod
    def encode_dispatch(
        self, request: CallerRequest, dispatch: Dispatch
    ) -> CIMultiDict[str]:
        """Return the headers with which a server gets the request."""

    @abstractmethod
    def decode_response_head(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> AnswerHead:
        """Return what the head of a server's answer says."""

    @abstractmethod
    def decode_zone(self, query: Mapping[str, str]) -> str | None:
        """Return the zone of a caller that asks for addresses."""

    @abstractmethod
    def encode_addresses(
        self, addresses: list[str], valid_for_s: float
    ) -> bytes:
        """Return the answer to a caller that asks for addresses."""

    @property
    @abstractmethod
    def id_header(self) -> str:
        """The header in which servers return the id of a request."""


class Duties(ABC):
    """Calls to the platform that one node makes at a time."""

    @abstractmethod
    async def report_usage(
        self, fencing_number: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Report the requests that each organisation began in a window."""

    @abstractmethod
    async def scale_service(
        self, fencing_number: int, order: 'ScaleRequest'
    ) -> None:
        """Order servers; ``NoServersAvailable`` if the zone has none."""


class MigrationClient(ABC):
    """Moves of running requests between model engines."""

    @abstractmethod
    async def time_left_s(self, address: str) -> float | None:
        """Return when a server will be taken away; None if it won't.

        ``MigrationError`` if it does not answer.
        """

    @abstractmethod
    async def copy(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Copy a run's memory to another server while the run goes on.

        ``TargetFull`` if that server can't take it; ``MigrationError`` if the run
        has ended or can't be moved at all.
        """

    @abstractmethod
    async def move(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Stop a run and copy what another server still lacks of its memory.

        Its stream ends without an end. ``TargetFull`` if it can only go on where
        it was; ``NoSuchRun`` if it has ended; ``MigrationError`` if there is
        nothing to go on from.
        """

    @abstractmethod
    async def drop(self, run: MovedRun) -> None:
        """Free a copy that is of no use any longer."""


class MigrationError(Exception):
    """A run was not moved."""


class NoSuchRun(MigrationError):
    """The run has ended before it could be stopped."""


class TargetFull(MigrationError):
    """The other server can't take a run.

    ``source_copy`` is the memory at the source if the run was stopped.
    """

    def __init__(
        self, reason: str, source_copy: MovedRun | None = None
    ) -> None:
        super().__init__(reason)
        self.source_copy = source_copy


@dataclass(frozen=True, slots=True)
class ScaleRequest:
    """How many servers of one class a service shall have in a zone."""

    service: str
    zone: str
    desired: int
    reclaimable: bool


class DutyError(Exception):
    """The platform gave no usable answer to a duty's call."""


class StaleFencingNumber(DutyError):
    """A higher fencing number was used before."""


class NoServersAvailable(DutyError):
    """No such server is to be had at present."""


class AdapterService(Service):
    """The service that an interface registers under the name ``border``."""

    @property
    def log(self) -> Log:
        """The log in which everything is kept that must last."""
        raise NotImplementedError

    @property
    def layout(self) -> LogLayout:
        """Where the log holds the configuration and the servers."""
        raise NotImplementedError

    @property
    def http_codec(self) -> HttpCodec:
        """How requests and answers are spelled."""
        raise NotImplementedError

    @property
    def migration(self) -> MigrationClient:
        """Moves of running requests."""
        raise NotImplementedError

    @property
    def duties(self) -> Duties | None:
        """The duties of the platform; None if there are none."""
        raise NotImplementedError
