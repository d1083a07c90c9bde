"""Selection of the addresses that callers should use."""

from collections import Counter
from dataclasses import replace

import pytest

from mallowspindle.entry.addresses import addresses_for
from mallowspindle.membership.messages import MemberInfo

_MAX_ADDRESSES = 64
_MIN_ADDRESSES = 8


def _member(name: str, zone: str) -> MemberInfo:
    return MemberInfo(name, 'one', zone, f'p-{name}', f'h-{name}', 1, 1)


def _members(zones: dict[str, int]) -> list[MemberInfo]:
    return [
        _member(f'{zone}-{number:02}', zone)
        for zone, count in zones.items()
        for number in range(count)
    ]


def _zone_of(address: str) -> str:
    return address.split('-')[1]


def _addresses(zone: str, members: list[MemberInfo]) -> list[str]:
    own, *live = members
    return addresses_for(zone, own, live)


@pytest.mark.parametrize('size', [8, 15, 20, 64])
def test_all_nodes_of_a_zone_are_listed(size: int) -> None:
    """In grown deployments, 8 of 10 to 20 nodes received all callers."""
    members = _members({'a': size, 'b': 15})
    addresses = _addresses('a', members)
    assert sorted(addresses) == [f'h-a-{number:02}' for number in range(size)]


def test_list_length_is_limited() -> None:
    addresses = _addresses('a', _members({'a': 90}))
    assert len(set(addresses)) == len(addresses) == _MAX_ADDRESSES


def test_short_list_is_filled_from_other_zones() -> None:
    members = _members({'a': 3, 'b': 10, 'c': 10})
    addresses = _addresses('a', members)
    assert [_zone_of(address) for address in addresses].count('a') == 3
    assert {_zone_of(address) for address in addresses[:3]} == {'a'}
    assert len(set(addresses)) == _MIN_ADDRESSES
    assert _addresses('a', list(reversed(members))) == addresses


def test_empty_zones_are_spread_over_all_nodes() -> None:
    """Callers of zones without nodes must not all use the same nodes."""
    members = _members({'a': 20, 'b': 20})
    callers = Counter(
        address
        for number in range(30)
        for address in _addresses(f'empty-{number}', members)
    )
    mean = 30 * _MIN_ADDRESSES / len(members)
    assert len(callers) >= len(members) * 0.9
    assert max(callers.values()) <= 3 * mean


def test_loss_of_an_extra_node_keeps_the_others() -> None:
    members = _members({'a': 3, 'b': 10, 'c': 10})
    addresses = _addresses('a', members)
    remaining = [info for info in members if info.http_address != addresses[-1]]
    assert set(addresses[:-1]) < set(_addresses('a', remaining))


def test_leaving_and_starting_nodes_are_left_out() -> None:
    own, leaving, starting, *others = _members({'a': 12})
    live = [
        replace(leaving, leaving=True),
        replace(starting, http_address=''),
        *others,
    ]
    addresses = addresses_for('a', own, live)
    assert sorted(addresses) == sorted(
        info.http_address for info in (own, *others)
    )


@pytest.mark.parametrize(('disconnected', 'named'), [(1, 3), (2, 4), (3, 4)])
def test_nodes_that_reach_no_server_are_not_named_if_most_do(
    disconnected: int, named: int
) -> None:
    members = [_member(f'n{number}', 'a') for number in range(4)]
    own, *live = members
    names = [info.name for info in members[:disconnected]]
    assert len(addresses_for('a', own, live, names)) == named
