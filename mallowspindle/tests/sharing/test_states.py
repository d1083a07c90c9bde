"""What is kept of the states that other nodes tell."""

from dataclasses import replace

import pytest

from mallowspindle.sharing.messages import (
    LeaseNews,
    NodeState,
    QuotaSpent,
    ServerLoad,
    VentureState,
    WorkSum,
    ZoneState,
)
from mallowspindle.sharing.states import PeerStates
from mallowspindle.tests.clock import FakeClock

_WORK = WorkSum(
    nodes=1,
    loads={'i-1': ServerLoad(2, 500)},
    quota_use={'farm': QuotaSpent(100, 10, 40)},
)


def _state(node: str, zone: str, number: int = 1) -> NodeState:
    return NodeState(node, 1, zone, number, _WORK)


def test_work_is_brought_up_to_the_present() -> None:
    clock = FakeClock()
    known = PeerStates('a', 'one', clock)
    known.receive(_state('two', 'a'))
    clock.advance(0.25)
    work = known.peer_work()
    assert work.loads == {'i-1': ServerLoad(2, 250)}
    assert work.quota_use == {'farm': QuotaSpent(110, 20, 40)}


def test_old_states_say_nothing() -> None:
    clock = FakeClock()
    known = PeerStates('a', 'one', clock)
    known.receive(_state('two', 'a'))
    clock.advance(2.5)
    assert known.peer_work() == WorkSum()


def test_the_own_part_is_taken_off_what_a_relay_tells() -> None:
    known = PeerStates('a', 'one', FakeClock())
    known.note_own(_state('one', 'a', number=4))
    known.note_own(_state('one', 'a', number=5))
    all_work = WorkSum(nodes=9, loads={'i-1': ServerLoad(7, 900)})
    known.receive(VentureState('two', all_work, {'one': 4}))
    work = known.peer_work()
    assert work.nodes == 8
    assert work.loads == {'i-1': ServerLoad(5, 400)}


def test_a_state_that_is_not_included_is_not_taken_off() -> None:
    known = PeerStates('a', 'one', FakeClock())
    known.note_own(_state('one', 'a'))
    all_work = WorkSum(nodes=9, loads={'i-1': ServerLoad(7, 900)})
    known.receive(VentureState('two', all_work, {}))
    assert known.peer_work() == all_work


def test_the_fuller_of_two_relays_of_a_zone_counts() -> None:
    known = PeerStates('a', 'one', FakeClock())
    known.receive(ZoneState('b', 'two', WorkSum(nodes=3)))
    known.receive(ZoneState('b', 'three', WorkSum(nodes=1)))
    known.receive(ZoneState('c', 'four', WorkSum(nodes=2)))
    assert known.peer_work().nodes == 5


def test_news_of_the_lease_never_goes_round_in_circles() -> None:
    """Each round would make the news of a lost holder younger."""
    clock = FakeClock()
    known = PeerStates('a', 'one', clock)
    news = LeaseNews('nine', 7, 0)
    known.receive(NodeState('nine', 1, 'a', 1, _WORK, news))
    clock.advance(1)
    known.receive(VentureState('two', WorkSum(), {}, LeaseNews('nine', 7, 0.5)))
    assert known.zone_lease == known.venture_lease == LeaseNews('nine', 7, 1)


def test_a_later_tenure_replaces_news_of_an_earlier_one() -> None:
    clock = FakeClock()
    known = PeerStates('a', 'one', clock)
    for number in (7, 8, 7):
        news = LeaseNews(f'holder-{number}', number, 0)
        known.receive(ZoneState('b', 'two', WorkSum(), news))
    assert known.venture_lease == LeaseNews('holder-8', 8, 0)


def test_a_server_reads_for_all_nodes_one_after_the_other() -> None:
    """Replays prompts of several nodes at one server: each waits its turn."""
    clock = FakeClock()
    known = PeerStates('a', 'one', clock)
    for node in ('two', 'three'):
        known.receive(_state(node, 'a'))
    known.receive(ZoneState('b', 'four', _WORK))
    known.receive(ZoneState('c', 'five', _WORK))
    clock.advance(0.25)
    assert known.peer_work().loads == {'i-1': ServerLoad(8, 1750)}


def test_the_age_of_what_is_known_adds_up_along_its_way() -> None:
    clock = FakeClock()
    known = PeerStates('a', 'one', clock)
    known.receive(ZoneState('b', 'two', WorkSum(nodes=3, ages_s=0.6)))
    clock.advance(0.25)
    known.receive(_state('three', 'a'))
    clock.advance(0.25)
    assert known.peer_work().ages_s == 0.6 + 3 * 0.5 + 0.25


def test_nodes_that_find_a_server_unreachable_are_counted() -> None:
    known = PeerStates('a', 'one', FakeClock())
    own = WorkSum(nodes=1, unreachable={'a': {'i-1': 1}})
    known.note_own(NodeState('one', 1, 'a', 4, own))
    all_work = WorkSum(nodes=9, unreachable={'a': {'i-1': 3}, 'b': {'i-2': 1}})
    known.receive(VentureState('two', all_work, {'one': 4}))
    expected = {'a': {'i-1': 2}, 'b': {'i-2': 1}}
    assert known.peer_work().unreachable == expected
    known.receive(ZoneState('b', 'three', all_work))
    known.receive(NodeState('four', 1, 'a', 4, own))
    expected = {'a': {'i-1': 4}, 'b': {'i-2': 1}}
    assert known.collected_work().unreachable == expected


def test_the_fresher_of_two_equal_relays_counts() -> None:
    """Replays a relay that has gone silent beside the one that took over."""
    clock = FakeClock()
    known = PeerStates('a', 'one', clock)
    known.receive(ZoneState('b', 'second', WorkSum(nodes=3)))
    known.receive(ZoneState('b', 'first', WorkSum(nodes=3)))
    clock.advance(1.5)
    known.receive(ZoneState('b', 'second', replace(_WORK, nodes=3)))
    assert known.peer_work().loads == _WORK.loads


def test_the_own_part_is_taken_off_as_it_is_by_then() -> None:
    """The relay's sum holds what is left of the backlog that it was told."""
    clock = FakeClock()
    known = PeerStates('a', 'one', clock)
    known.note_own(_state('one', 'a', number=4))
    clock.advance(0.3)
    told = WorkSum(nodes=2, loads={'i-1': ServerLoad(3, 200 + 900)})
    known.receive(VentureState('two', told, {'one': 4}))
    others = known.peer_work().loads['i-1']
    assert others.running == 1
    assert others.backlog_ms == pytest.approx(900, abs=2)
