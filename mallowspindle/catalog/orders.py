"""Orders of the operators to move a service to another software version."""

import logging
from abc import ABC, abstractmethod
from dataclasses import dataclass

from mallowspindle.catalog.errors import UnusableRecord
from mallowspindle.log.positions import era_of
from mallowspindle.log.records import KeyedRecord
from mallowspindle.policies.rollout import Phase
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

# Orders that are remembered, to know them again in a log that came back from an
# older copy.
_MAX_SEEN = 100

orders_total = meter.create_counter('rollout_orders')


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order to move a service's traffic to the version ``target``.

    ``position`` is that of its record, so a newer order has a higher one.
    """

    service: str
    target: str
    duration_s: float
    position: int = 0

    def is_same(self, other: 'RolloutOrder') -> bool:
        """Return whether both are one order.

        A log that came back from an older copy gives it a position of the new
        era.
        """
        if self.position == other.position:
            return True
        return (
            era_of(self.position) != era_of(other.position)
            and self.service == other.service
            and self.target == other.target
            and self.duration_s == other.duration_s
        )


class OrderCodec(ABC):
    """Decodes orders, and encodes what operators read about them."""

    @abstractmethod
    def is_order(self, key: str) -> bool:
        """Return whether a record of the operators' stream is an order."""

    @abstractmethod
    def decode(self, key: str, value: bytes, position: int) -> RolloutOrder:
        """Return the order in a record; raise ``UnusableRecord`` if invalid."""

    @abstractmethod
    def encode_status(
        self, service: str, target: str, phase: Phase
    ) -> tuple[str, bytes]:
        """Return key and value of the record about a rollout."""


class OrderState:
    """The newest order of each service; a deleted record changes nothing."""

    def __init__(self, codec: OrderCodec) -> None:
        self._codec = codec
        self._orders: dict[str, RolloutOrder] = {}
        self._seen: list[RolloutOrder] = []

    @property
    def orders(self) -> dict[str, RolloutOrder]:
        """The newest order of each service."""
        return self._orders

    def accepts(self, record: KeyedRecord) -> bool:
        """Return whether a record is an order, usable or not."""
        return self._codec.is_order(record.key)

    def fold(self, record: KeyedRecord) -> bool:
        """Apply an order; return whether peers need to receive it."""
        if record.value is None:
            log.info('rollout order deleted', extra={'key': record.key})
            orders_total.add(1, {'outcome': 'deleted'})
            return False
        try:
            order = self._codec.decode(record.key, record.value, record.offset)
        except UnusableRecord as error:
            log.error('rollout order ignored', extra={'error': str(error)})
            orders_total.add(1, {'outcome': 'malformed'})
            return False
        if any(map(order.is_same, self._seen)):
            return False
        self._seen = [*self._seen, order][-_MAX_SEEN:]
        self._orders[order.service] = order
        log.info(
            'rollout ordered',
            extra={
                'service': order.service,
                'target': order.target,
                'duration_s': order.duration_s,
                'offset': order.position,
            },
        )
        return True
