"""Orders as operators may write them."""

import json

import pytest

from mallowspindle.catalog.orders import OrderState, RolloutOrder
from mallowspindle.log.records import KeyedRecord
from mallowspindle.platform.errors import DecodeError
from mallowspindle.platform.rollouts import PlatformOrderCodec
from mallowspindle.policies.rollout import Phase

KEY = 'rollout/huvo11a'
ORDER = b'{"service":"huvo11a","to":"v2","duration_s":12}'


def test_an_order_is_decoded() -> None:
    order = PlatformOrderCodec().decode(KEY, ORDER, 7)
    assert order == RolloutOrder('huvo11a', 'v2', 12, 7)


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'null',
        b'{"service":"huvo11a","to":"v2"}',
        b'{"service":"huvo11a","to":"","duration_s":12}',
        b'{"service":"huvo11a","to":2,"duration_s":12}',
        b'{"service":"huvo11a","to":"v2","duration_s":0}',
        b'{"service":"huvo11a","to":"v2","duration_s":NaN}',
        b'{"service":"huvo11a","to":"v2","duration_s":"12"}',
        b'{"service":"other","to":"v2","duration_s":12}',
    ],
)
def test_malformed_orders_are_refused(text: bytes) -> None:
    """Guards against an order that is taken for another one."""
    with pytest.raises(DecodeError):
        PlatformOrderCodec().decode(KEY, text, 7)


@pytest.mark.parametrize(
    ('phase', 'state'),
    [
        (Phase.HOLD, 'running'),
        (Phase.CANARY, 'running'),
        (Phase.SWITCH, 'running'),
        (Phase.COMPLETED, 'completed'),
        (Phase.ROLLED_BACK, 'rolled_back'),
    ],
)
def test_the_status_names_state_and_version(phase: Phase, state: str) -> None:
    key, status = PlatformOrderCodec().encode_status('huvo11a', 'v2', phase)
    assert key == KEY
    assert json.loads(status) == {'state': state, 'to': 'v2'}


def test_deleted_and_repeated_records_change_nothing() -> None:
    """Guards against a rollout that begins again or ends by a deletion."""
    orders = OrderState(PlatformOrderCodec())
    assert orders.fold(KeyedRecord(KEY, ORDER, 7))
    assert not orders.fold(KeyedRecord(KEY, None, 8))
    assert not orders.fold(KeyedRecord(KEY, b'{}', 9))
    assert not orders.fold(KeyedRecord(KEY, ORDER, (1 << 40) + 3))
    assert orders.orders['huvo11a'].position == 7
    assert orders.fold(KeyedRecord(KEY, ORDER, 10))
    assert orders.orders['huvo11a'].position == 10
