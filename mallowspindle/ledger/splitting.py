"""Splits whole amounts so that the parts add up exactly."""

from collections.abc import Mapping
from decimal import ROUND_FLOOR, Decimal

from mallowspindle.ledger.errors import LedgerError

_PERCENT = Decimal(100)


def split_amount(amount: int, shares: Mapping[str, Decimal]) -> dict[str, int]:
    """Split ``amount`` minor units by shares in percent.

    Each part is rounded down; the units left over go one by one to the
    largest remainders, ties by name, so that the parts add up to ``amount``.
    """
    if sum(shares.values()) != _PERCENT:
        raise LedgerError('shares do not add up to 100 percent')
    exact = {name: amount * share / _PERCENT for name, share in shares.items()}
    parts = {
        name: int(value.to_integral_value(ROUND_FLOOR))
        for name, value in exact.items()
    }
    left = amount - sum(parts.values())
    by_remainder = sorted(
        exact, key=lambda name: (parts[name] - exact[name], name)
    )
    for name in by_remainder[:left]:
        parts[name] += 1
    return parts
