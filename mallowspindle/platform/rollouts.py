"""Orders of the operators to roll out a version, and reports of the outcome."""

import json
from types import MappingProxyType
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mallowspindle.catalog.orders import OrderCodec, RolloutOrder
from mallowspindle.platform.errors import DecodeError
from mallowspindle.platform.fields import Name
from mallowspindle.policies.rollout import Phase

_KEY_PREFIX = 'rollout/'
_MAX_DURATION_S = 86_400
_STATES = MappingProxyType(
    {Phase.COMPLETED: 'completed', Phase.ROLLED_BACK: 'rolled_back'}
)


class _Order(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)

    service: Name
    to: Name
    duration_s: Annotated[
        float,
        Field(strict=True, gt=0, le=_MAX_DURATION_S, allow_inf_nan=False),
    ]


class PlatformOrderCodec(OrderCodec):
    """Codec of the records with the key ``rollout/SERVICE``."""

    def is_order(self, key: str) -> bool:
        """Return whether a record is an order; see ``OrderCodec``."""
        return key.startswith(_KEY_PREFIX)

    def decode(self, key: str, value: bytes, position: int) -> RolloutOrder:
        """Return an order; raise ``DecodeError`` if it is invalid."""
        try:
            order = _Order.model_validate_json(value)
        except ValidationError as error:
            raise DecodeError(f'invalid order {key!r}: {error}') from error
        if key != f'{_KEY_PREFIX}{order.service}':
            raise DecodeError(
                f'order {key!r} is for the service {order.service!r}'
            )
        return RolloutOrder(order.service, order.to, order.duration_s, position)

    def encode_status(
        self, service: str, target: str, phase: Phase
    ) -> tuple[str, bytes]:
        """Return key and value of a status record; see ``OrderCodec``."""
        status = {'state': _STATES.get(phase, 'running'), 'to': target}
        return f'{_KEY_PREFIX}{service}', json.dumps(status).encode()
