"""Which members are live, by heartbeats and by news of their watchers."""

import asyncio
from dataclasses import replace

import pytest

from mallowspindle.membership.messages import LostMember, MemberInfo
from mallowspindle.membership.table import MemberTable
from mallowspindle.tests.simulation import simulated

INFO = MemberInfo('b', 'r', 'z', 'p:1', 'h:1', incarnation=10, beat=5)


def _names(table: MemberTable) -> list[str]:
    return [info.name for info in table.live()]


@pytest.mark.parametrize(
    ('lost', 'believed'),
    [
        (LostMember('b', 10, 5), True),
        (LostMember('b', 10, 9), True),
        (LostMember('b', 10, 4), False),
        (LostMember('b', 9, 99), False),
        (LostMember('c', 10, 5), False),
    ],
)
def test_lost_news_of_an_unheard_member(
    lost: LostMember, believed: bool
) -> None:
    table = MemberTable('a', 60)
    table.merge(INFO)
    assert table.mark_lost(lost) == believed
    assert ('b' in _names(table)) != believed


def test_lost_news_of_a_heard_member_is_ignored() -> None:
    table = MemberTable('a', 60)
    table.merge(INFO, direct=True)
    assert not table.mark_lost(LostMember('b', 10, 5))
    assert _names(table) == ['b']


def test_later_lost_news_is_spread_again() -> None:
    """Peers that heard the member later accept only this news."""
    table = MemberTable('a', 60)
    table.merge(INFO)
    assert table.mark_lost(LostMember('b', 10, 5))
    assert not table.mark_lost(LostMember('b', 10, 5))
    assert table.mark_lost(LostMember('b', 10, 6))
    assert not table.mark_lost(LostMember('b', 10, 6))


def test_newer_news_makes_a_member_live_again() -> None:
    table = MemberTable('a', 60)
    table.merge(INFO)
    table.mark_lost(LostMember('b', 10, 5))
    assert not table.merge(INFO)
    assert _names(table) == []
    assert table.merge(replace(INFO, beat=6))
    assert _names(table) == ['b']


def test_silent_member_is_not_live() -> None:
    table = MemberTable('a', 0)
    table.merge(INFO, direct=True)
    assert _names(table) == []
    assert [member.info for member in table.silent()] == [INFO]
    assert not table.has_quorum()


def test_a_new_beat_alone_is_not_spread() -> None:
    table = MemberTable('a', 60)
    assert table.merge(INFO)
    assert not table.merge(replace(INFO, beat=6))
    assert table.merge(replace(INFO, beat=7, leaving=True))
    assert not table.merge(replace(INFO, name='a'))


def test_live_members_follow_each_change() -> None:
    table = MemberTable('a', 60)
    table.merge(INFO)
    assert _names(table) == ['b']
    table.merge(replace(INFO, name='c'))
    assert _names(table) == ['b', 'c']
    table.merge(replace(INFO, beat=6, leaving=True))
    assert [info.leaving for info in table.live()] == [True, False]
    table.mark_lost(LostMember('c', 10, 5))
    assert _names(table) == ['b']


@simulated
async def test_a_member_that_falls_silent_is_listed_no_longer() -> None:
    table = MemberTable('a', 1.5)
    table.merge(INFO, direct=True)
    for _ in range(14):
        await asyncio.sleep(0.1)
        assert _names(table) == ['b']
    await asyncio.sleep(0.2)
    assert _names(table) == []


def test_lists_of_live_members_are_the_callers_own() -> None:
    table = MemberTable('a', 60)
    table.merge(INFO)
    table.live().clear()
    assert _names(table) == ['b']
