"""Decoding of backend server entries."""

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    TypeAdapter,
    ValidationError,
)

from mallowspindle.catalog.servers import BackendServer
from mallowspindle.platform.errors import DecodeError
from mallowspindle.platform.fields import (
    Duration,
    Endpoint,
    Identifier,
    Name,
    PositiveCount,
    Text,
    WholeNumber,
)

_KNOWN_STATES = frozenset(('ready', 'draining'))
_MS = 1000


class _Model(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class _LoadedModel(_Model):
    version: WholeNumber = 1


class _ServerEntry(_Model):
    service: Name
    address: Endpoint
    zone: Text
    slots: PositiveCount
    state: Text
    # Version of the server's software; that of the weights is in ``models``.
    version: Text = ''
    # Milliseconds until the server is warm; it is slow until then.
    cold_remaining_ms: Duration = 0
    # Start time of the server, in Unix milliseconds.
    born: WholeNumber = 0
    spot: bool = Field(False, strict=True)
    models: list[_LoadedModel] = Field(default_factory=list)


_server_id = TypeAdapter(Identifier)


def decode_server(server_id: str, value: bytes) -> BackendServer:
    """Decode a server entry; raise ``DecodeError`` if it is invalid."""
    try:
        _server_id.validate_python(server_id)
        entry = _ServerEntry.model_validate_json(value)
    except ValidationError as error:
        raise DecodeError(
            f'invalid entry of server {server_id!r}: {error}'
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
