"""Decoding of backend server entries."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mallowspindle.catalog.servers import BackendServer
from mallowspindle.platform.errors import DecodeError

_KNOWN_STATES = frozenset(('ready', 'draining'))
_MS = 1000


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _LoadedModel(_Model):
    version: int = 1


class _ServerEntry(_Model):
    service: str = Field(min_length=1, strict=True)
    address: str = Field(pattern=r'^[0-9.]+:\d+$', strict=True)
    zone: str = Field(strict=True)
    slots: int = Field(ge=1, strict=True)
    state: str = Field(strict=True)
    # Version of the server's software; that of the weights is in ``models``.
    version: str = Field('', strict=True)
    # Milliseconds until the server is warm; it is slow until then.
    cold_remaining_ms: float = 0
    # Start time of the server, in Unix milliseconds.
    born: int = 0
    spot: bool = False
    models: list[_LoadedModel] = Field(default_factory=list)


def decode_server(server_id: str, value: bytes) -> BackendServer:
    """Decode a server entry; raise ``DecodeError`` if it is invalid."""
    try:
        entry = _ServerEntry.model_validate_json(value)
    except ValidationError as error:
        raise DecodeError(
            f'invalid entry of server {server_id}: {error}'
        ) from error
    if entry.state not in _KNOWN_STATES:
        raise DecodeError(
            f'server {server_id} has the unknown state {entry.state!r}'
        )
    return BackendServer(
        server_id=server_id,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        draining=entry.state == 'draining',
        started_at_ms=entry.born,
        cold_remaining_s=entry.cold_remaining_ms / _MS,
        reclaimable=entry.spot,
        software_version=entry.version,
        model_version=entry.models[0].version if entry.models else None,
    )
