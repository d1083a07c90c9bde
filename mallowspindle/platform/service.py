"""Service that connects to the users' platform."""

from typing import Self

from aiohttp import ClientSession, TCPConnector

from mallowspindle.adapter import (
    AdapterService,
    Duties,
    HttpCodec,
    LogLayout,
    MigrationClient,
)
from mallowspindle.config.platform import PlatformSettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import service
from mallowspindle.log.interface import Log
from mallowspindle.platform.codec import PlatformHttpCodec
from mallowspindle.platform.configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from mallowspindle.platform.duties import PlatformDuties
from mallowspindle.platform.migration import PlatformMigrationClient
from mallowspindle.platform.rollouts import PlatformOrderCodec
from mallowspindle.platform.servers import decode_server
from mallowspindle.platform.store import (
    CONFIGURATION_STREAM,
    QUARANTINE_STREAM,
    RETRIES_STREAM,
    ROLLOUTS_STREAM,
    SERVERS_STREAM,
    STATUS_STREAM,
    STREAMS_STREAM,
    VERSIONS_STREAM,
    StoreLog,
    decode_keyed,
    encode_keyed,
)

# After a reclaim notice, a server has only a few seconds left for moves.
_MOVE_TIMEOUT_S = 2.0
# A lost path is found out only by a call that times out, after 1.5 s for each
# idle connection that it took. A node that reads for all calls every 0.5 s.
_IDLE_TIMEOUT_S = 2.0


@service('border')
class PlatformService(AdapterService):
    """Provides the platform's clients, log layout and header codec."""

    def __init__(
        self, config: PlatformSettings, session: ClientSession
    ) -> None:
        self._session = session
        self._log = StoreLog(
            session, config.store.address, config.store.timeout_s
        )
        self._http_codec = PlatformHttpCodec()
        # Answers to moves tell no id, so that one which comes late on a kept
        # connection would be taken for the answer to the next move.
        self._migration_session = ClientSession(
            connector=TCPConnector(limit=0, force_close=True)
        )
        self._migration = PlatformMigrationClient(
            self._migration_session, _MOVE_TIMEOUT_S
        )
        address = config.duties.address
        self._duties = address and PlatformDuties(
            session, address, config.node.name, config.duties.timeout_s
        )

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the clients for the addresses in the settings."""
        connector = TCPConnector(limit=0, keepalive_timeout=_IDLE_TIMEOUT_S)
        session = ClientSession(connector=connector)
        return cls(kernel.settings(PlatformSettings), session)

    @property
    def log(self) -> Log:
        """The platform's store, accessed as a log."""
        return self._log

    @property
    def layout(self) -> LogLayout:
        """Streams and decoders of the configuration and the servers."""
        return LogLayout(
            configuration_stream=CONFIGURATION_STREAM,
            configuration_key=CONFIGURATION_KEY,
            servers_stream=SERVERS_STREAM,
            quarantine_stream=QUARANTINE_STREAM,
            versions_stream=VERSIONS_STREAM,
            streams_stream=STREAMS_STREAM,
            decode_keyed=decode_keyed,
            encode_keyed=encode_keyed,
            decode_configuration=decode_configuration,
            decode_server=decode_server,
            orders=PlatformOrderCodec(),
            rollouts_stream=ROLLOUTS_STREAM,
            status_stream=STATUS_STREAM,
            retries_stream=RETRIES_STREAM,
        )

    @property
    def http_codec(self) -> HttpCodec:
        """Codec for the headers of requests and responses."""
        return self._http_codec

    @property
    def migration(self) -> MigrationClient:
        """Client that moves running requests."""
        return self._migration

    @property
    def duties(self) -> Duties | None:
        """Client for duties; None if no address is configured."""
        return self._duties or None

    async def stop(self) -> None:
        """Close the connections."""
        await self._session.close()
        await self._migration_session.close()
