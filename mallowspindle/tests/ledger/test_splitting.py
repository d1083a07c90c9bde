"""The parts of a split amount add up to it exactly."""

from decimal import Decimal

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowspindle.ledger.errors import LedgerError
from mallowspindle.ledger.splitting import split_amount

_HUNDREDTHS = 10_000


@st.composite
def _shares(draw: st.DrawFn) -> dict[str, Decimal]:
    cuts = sorted(draw(st.lists(st.integers(0, _HUNDREDTHS), max_size=6)))
    bounds = [0, *cuts, _HUNDREDTHS]
    return {
        f'partner-{number}': Decimal(end - start) / 100
        for number, (start, end) in enumerate(
            zip(bounds, bounds[1:], strict=False)
        )
    }


@given(amount=st.integers(0, 10**15), shares=_shares())
def test_parts_add_up(amount: int, shares: dict[str, Decimal]) -> None:
    parts = split_amount(amount, shares)
    assert sum(parts.values()) == amount
    for name, share in shares.items():
        assert abs(parts[name] - amount * share / 100) < 1


def test_shares_that_do_not_add_up_are_refused() -> None:
    with pytest.raises(LedgerError):
        split_amount(10, {'north': Decimal(99)})


def test_remaining_unit_goes_to_largest_remainder() -> None:
    shares = {
        'a': Decimal('33.3'),
        'b': Decimal('33.3'),
        'c': Decimal('33.4'),
    }
    assert split_amount(100, shares) == {'a': 33, 'b': 33, 'c': 34}
