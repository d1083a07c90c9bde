"""The platform service: clients shared by the other services."""

from typing import Self

from aiohttp import ClientSession

from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.native.cloud import CloudClient
from mallowspindle.native.log import LogClient


@service('native')
class NativeService(Service):
    """Holds one log client and one cloud client."""

    def __init__(
        self, session: ClientSession, log_client: LogClient, cloud: CloudClient
    ) -> None:
        self._session = session
        self._log = log_client
        self._cloud = cloud

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the clients for the addresses in ``[native]``."""
        section = kernel.config.native
        session = ClientSession()
        return cls(
            session,
            LogClient(session, section.log_url, section.log_timeout_s),
            CloudClient(session, section.cloud_url, section.log_timeout_s),
        )

    @property
    def log(self) -> LogClient:
        """The client of the append-only log."""
        return self._log

    @property
    def cloud(self) -> CloudClient:
        """The client of the cloud API."""
        return self._cloud

    async def stop(self) -> None:
        """Close the connections."""
        await self._session.close()
