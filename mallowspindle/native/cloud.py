"""Client of the platform's cloud API: VMs and reclaim notices."""

from enum import StrEnum
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout
from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from mallowspindle.native.errors import CloudError
from mallowspindle.utils.bodies import read_bounded

_OK = 200
# Some hundred bytes for each VM.
_MAX_ANSWER_BYTES = 4_000_000


class Role(StrEnum):
    """Kind of software that a VM runs."""

    ENTRY = 'entry'
    ENGINE = 'engine'
    PLAIN = 'plain'


class Vm(BaseModel):
    """A VM in the platform's list; ``serves`` names a model or service."""

    model_config = ConfigDict(frozen=True, extra='ignore')

    vm_id: str
    role: Role
    zone: str
    address: str
    serves: str = ''
    leaving: bool = False
    vm_class: str = 'standard'
    reclaimable: bool = True
    price_micro_per_hour: int = 0
    checks_fencing: bool = False


class Notice(BaseModel):
    """A reclaim notice with the seconds until the VM is reclaimed."""

    model_config = ConfigDict(frozen=True, extra='ignore')

    leaves_in_s: float


_document: TypeAdapter[Any] = TypeAdapter(Any)
_vm_list: TypeAdapter[list[Vm]] = TypeAdapter(list[Vm])


class CloudClient:
    """Reads the list of VMs, which may be stale, and VMs' reclaim notices."""

    def __init__(
        self, session: ClientSession, url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = url.rstrip('/')
        self._timeout = ClientTimeout(total=timeout_s)

    async def list_vms(self) -> list[Vm]:
        """Return the listed VMs; the list lags behind their actual state."""
        try:
            return _vm_list.validate_python(await self._get('/vms'))
        except ValidationError as error:
            raise CloudError(f'malformed VM list: {error}') from error

    async def notice(self, vm_id: str) -> Notice | None:
        """Return the reclaim notice of a VM, or None if there is none."""
        answer = await self._get(f'/vms/{vm_id}/notice')
        try:
            return Notice.model_validate(answer) if answer else None
        except ValidationError as error:
            raise CloudError(f'malformed reclaim notice: {error}') from error

    async def _get(self, path: str) -> Any:
        try:
            async with self._session.get(
                f'{self._url}{path}', timeout=self._timeout
            ) as response:
                if response.status != _OK:
                    raise CloudError(
                        f'cloud API: expected 200, found {response.status}'
                    )
                return _document.validate_json(
                    await read_bounded(response, _MAX_ANSWER_BYTES)
                )
        except (ClientError, TimeoutError, ValueError) as error:
            raise CloudError(
                f'no valid answer from the cloud API: {error}'
            ) from error
