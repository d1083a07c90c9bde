"""Splits integer amounts into parts that add up to them exactly."""

from collections.abc import Mapping
from decimal import ROUND_FLOOR, Decimal

from mallowspindle.ledger.errors import LedgerError

_PERCENT = Decimal(100)


def split_amount(amount: int, shares: Mapping[str, Decimal]) -> dict[str, int]:
    """Split an integer amount by shares in percent.

    Each part is rounded down. The remaining units go one by one to the parts
    with the largest remainders, ties in the order of names, so that the parts
    add up to ``amount``. Raises ``LedgerError`` if the shares don't add up to
    100.
    """
    if sum(shares.values()) != _PERCENT:
        raise LedgerError('shares do not add up to 100 percent')
    exact = {name: amount * share / _PERCENT for name, share in shares.items()}
    parts = {
        name: int(value.to_integral_value(ROUND_FLOOR))
        for name, value in exact.items()
    }
    undistributed = amount - sum(parts.values())
    by_remainder = sorted(
        exact, key=lambda name: (parts[name] - exact[name], name)
    )
    for name in by_remainder[:undistributed]:
        parts[name] += 1
    return parts
