"""Which nodes callers are told to use."""

from collections import Counter
from dataclasses import replace

import pytest

from mallowspindle.entry.addresses import addresses_for
from mallowspindle.membership.messages import MemberInfo

_CALLERS_TAKE = 64
_FLOOR = 8


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


def _answer(zone: str, members: list[MemberInfo]) -> list[str]:
    own, *live = members
    return addresses_for(zone, own, live)


@pytest.mark.parametrize('size', [8, 15, 20, 64])
def test_all_nodes_of_a_zone_are_named(size: int) -> None:
    """Replays the grown deployments: 8 of 10 to 20 nodes had all callers."""
    members = _members({'a': size, 'b': 15})
    named = _answer('a', members)
    assert sorted(named) == [f'h-a-{number:02}' for number in range(size)]


def test_no_more_are_named_than_callers_take() -> None:
    named = _answer('a', _members({'a': 90}))
    assert len(set(named)) == len(named) == _CALLERS_TAKE


def test_other_zones_fill_up_a_short_answer() -> None:
    members = _members({'a': 3, 'b': 10, 'c': 10})
    named = _answer('a', members)
    assert [_zone_of(address) for address in named].count('a') == 3
    assert {_zone_of(address) for address in named[:3]} == {'a'}
    assert len(set(named)) == _FLOOR
    assert _answer('a', list(reversed(members))) == named


def test_zones_are_given_different_nodes_of_others() -> None:
    """A node must not carry all callers of all zones without nodes."""
    members = _members({'a': 20, 'b': 20})
    callers = Counter(
        address
        for number in range(30)
        for address in _answer(f'empty-{number}', members)
    )
    mean = 30 * _FLOOR / len(members)
    assert len(callers) >= len(members) * 0.9
    assert max(callers.values()) <= 3 * mean


def test_loss_of_a_filling_node_changes_no_other() -> None:
    members = _members({'a': 3, 'b': 10, 'c': 10})
    named = _answer('a', members)
    left = [info for info in members if info.http_address != named[-1]]
    assert set(named[:-1]) < set(_answer('a', left))


def test_leaving_and_starting_nodes_are_left_out() -> None:
    own, leaving, starting, *others = _members({'a': 12})
    live = [
        replace(leaving, leaving=True),
        replace(starting, http_address=''),
        *others,
    ]
    named = addresses_for('a', own, live)
    assert sorted(named) == sorted(info.http_address for info in (own, *others))
