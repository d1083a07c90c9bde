"""Service that provides the clients of the log and the cloud API."""

import asyncio
import logging
from typing import Self

from aiohttp import ClientSession

from mallowspindle.config.native import NativeSettings
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.native.cloud import CloudClient
from mallowspindle.native.errors import CloudError
from mallowspindle.native.log import LogClient

log = logging.getLogger(__name__)


@service('native')
class NativeService(Service):
    """Holds the log client and the cloud client that all services share."""

    def __init__(self, config: NativeSettings, session: ClientSession) -> None:
        section = config.native
        timeout_s = section.log_timeout_s
        self._session = session
        self._log = LogClient(session, section.log_url, timeout_s)
        self._cloud = CloudClient(session, section.cloud_url, timeout_s)
        self._vm_id = config.node.vm_id
        self._poll_interval_s = section.notice_poll_interval_s

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the clients for the addresses in ``[native]``."""
        return cls(kernel.settings(NativeSettings), ClientSession())

    @property
    def log(self) -> LogClient:
        """The client of the append-only log."""
        return self._log

    @property
    def cloud(self) -> CloudClient:
        """The client of the cloud API."""
        return self._cloud

    async def wait_for_reclaim_notice(self) -> float:
        """Wait for this VM's reclaim notice; return the seconds left."""
        while True:
            await asyncio.sleep(self._poll_interval_s)
            if not self._vm_id:
                continue
            try:
                notice = await self._cloud.notice(self._vm_id)
            except CloudError as error:
                log.debug('reclaim notice not read: %s', error)
                continue
            if notice is not None:
                log.info(
                    'this VM will be reclaimed in %.1f s', notice.leaves_in_s
                )
                return notice.leaves_in_s

    async def stop(self) -> None:
        """Close the connections."""
        await self._session.close()
