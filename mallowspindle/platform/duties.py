"""Client for duties: platform calls that only one node at a time may make."""

from collections.abc import Mapping
from typing import Any

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)

from mallowspindle.adapter import (
    Duties,
    DutyError,
    NoServersAvailable,
    ScaleRequest,
    StaleFencingNumber,
)
from mallowspindle.utils.bodies import read_bounded, tells_its_length

_OK = 200
_CONFLICT = 409


class PlatformDuties(Duties):
    """Client of the platform's API for duties."""

    def __init__(
        self,
        session: ClientSession,
        address: str,
        holder: str,
        timeout_s: float,
    ) -> None:
        self._session = session
        self._url = f'http://{address}'
        self._holder = holder
        self._timeout = ClientTimeout(total=timeout_s)

    async def report_usage(
        self, fencing_number: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Report usage; see ``Duties.report_usage``."""
        body = {'window_id': window, 'counts': dict(counts)}
        status, _ = await self._post('/usage', fencing_number, body)
        if status == _CONFLICT:
            raise StaleFencingNumber('a higher fencing number reported usage')
        _require_ok(status)

    async def scale_service(
        self, fencing_number: int, request: ScaleRequest
    ) -> None:
        """Order servers; see ``Duties.scale_service``."""
        body = {
            'service': request.service,
            'zone': request.zone,
            'desired_count': request.desired,
        }
        if request.reclaimable:
            body['spot'] = True
        status, answer = await self._post('/scale', fencing_number, body)
        if status == _CONFLICT:
            # The platform answers 409 both to a stale fencing number and
            # for a zone without such servers. Only the body shows which.
            if b'fence' in answer.lower():
                raise StaleFencingNumber(
                    'a higher fencing number ordered servers'
                )
            raise NoServersAvailable(answer.decode('utf-8', 'replace')[:200])
        _require_ok(status)

    async def _post(
        self, path: str, fencing_number: int, body: dict[str, Any]
    ) -> tuple[int, bytes]:
        headers = {
            'Lease-Holder': self._holder,
            'Fencing-Token': str(fencing_number),
        }
        try:
            async with self._session.post(
                f'{self._url}{path}',
                json=body,
                headers=headers,
                timeout=self._timeout,
            ) as response:
                answer = await read_bounded(response)
                if response.status == _CONFLICT:
                    _require_whole(response)
                return response.status, answer
        except (ClientError, TimeoutError) as error:
            raise DutyError(
                f'no answer from the platform: {error!r}'
            ) from error


def _require_whole(response: ClientResponse) -> None:
    """Raise ``DutyError`` if the text of a refusal may have been cut.

    Only the text tells which conflict it is.
    """
    if not tells_its_length(response):
        raise DutyError('the refusal does not tell its length')


def _require_ok(status: int) -> None:
    if status != _OK:
        raise DutyError(
            f'expected status 200 from the platform, found {status}'
        )
