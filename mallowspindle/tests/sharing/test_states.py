"""Tests of the states received from other nodes."""

from dataclasses import replace

import pytest

from mallowspindle.sharing.aggregation import subtract
from mallowspindle.sharing.messages import (
    LeaseUpdate,
    NodeState,
    QuotaUse,
    ServerLimit,
    ServerLoad,
    ServerReport,
    ServerTime,
    VentureState,
    WorkSum,
    ZoneState,
)
from mallowspindle.sharing.states import PeerStates
from mallowspindle.tests.clock import FakeClock

_WORK = WorkSum(
    nodes=1,
    loads={'i-1': ServerLoad(2, 500)},
    quota_use={'farm': QuotaUse(100, 10, 40)},
)


def _state(node: str, zone: str, number: int = 1) -> NodeState:
    return NodeState(node, 1, zone, number, _WORK)


def test_work_is_projected_to_the_present() -> None:
    clock = FakeClock()
    states = PeerStates('a', 'one', clock)
    states.receive(_state('two', 'a'))
    clock.advance(0.25)
    work = states.peer_work()
    assert work.loads == {'i-1': ServerLoad(2, 250)}
    assert work.quota_use == {'farm': QuotaUse(110, 20, 40)}


def test_stale_states_are_ignored() -> None:
    clock = FakeClock()
    states = PeerStates('a', 'one', clock)
    states.receive(_state('two', 'a'))
    clock.advance(2.5)
    assert states.peer_work() == WorkSum()


def test_own_work_is_subtracted_from_the_sum_of_a_relay() -> None:
    states = PeerStates('a', 'one', FakeClock())
    states.record_own_state(_state('one', 'a', number=4))
    states.record_own_state(_state('one', 'a', number=5))
    all_work = WorkSum(nodes=9, loads={'i-1': ServerLoad(7, 900)})
    states.receive(VentureState('two', all_work, {'one': 4}))
    work = states.peer_work()
    assert work.nodes == 8
    assert work.loads == {'i-1': ServerLoad(5, 400)}


def test_own_work_is_not_subtracted_if_not_included() -> None:
    states = PeerStates('a', 'one', FakeClock())
    states.record_own_state(_state('one', 'a'))
    all_work = WorkSum(nodes=9, loads={'i-1': ServerLoad(7, 900)})
    states.receive(VentureState('two', all_work, {}))
    assert states.peer_work() == all_work


def test_the_relay_that_covers_more_nodes_of_a_zone_is_used() -> None:
    states = PeerStates('a', 'one', FakeClock())
    states.receive(ZoneState('b', 'two', WorkSum(nodes=3)))
    states.receive(ZoneState('b', 'three', WorkSum(nodes=1)))
    states.receive(ZoneState('c', 'four', WorkSum(nodes=2)))
    assert states.peer_work().nodes == 5


def test_the_newest_limit_of_a_server_counts() -> None:
    clock = FakeClock()
    states = PeerStates('a', 'one', clock)
    for node, limit in (('two', 1.0), ('three', None)):
        work = WorkSum(limits={'i-1': ServerLimit(limit, 0.1, node)})
        states.receive(NodeState(node, 1, 'a', 1, work))
        clock.advance(0.5)
    assert states.peer_work().limits == {'i-1': ServerLimit(None, 0.6, 'three')}


def test_lease_updates_from_relays_are_not_sent_back() -> None:
    """Else each round would make the update of a lost holder look newer."""
    clock = FakeClock()
    states = PeerStates('a', 'one', clock)
    update = LeaseUpdate('nine', 7, 0)
    states.receive(NodeState('nine', 1, 'a', 1, _WORK, update))
    clock.advance(1)
    states.receive(
        VentureState('two', WorkSum(), {}, LeaseUpdate('nine', 7, 0.5))
    )
    assert (
        states.zone_lease == states.venture_lease == LeaseUpdate('nine', 7, 1)
    )


def test_a_higher_fencing_number_replaces_a_lower_one() -> None:
    clock = FakeClock()
    states = PeerStates('a', 'one', clock)
    for number in (7, 8, 7):
        update = LeaseUpdate(f'holder-{number}', number, 0)
        states.receive(ZoneState('b', 'two', WorkSum(), update))
    assert states.venture_lease == LeaseUpdate('holder-8', 8, 0)


def test_nodes_share_the_time_passed_at_a_server() -> None:
    """Guards against counting the elapsed time once for each node.

    The server reads the prompts of all nodes one after the other.
    """
    clock = FakeClock()
    states = PeerStates('a', 'one', clock)
    for node in ('two', 'three'):
        states.receive(_state(node, 'a'))
    states.receive(ZoneState('b', 'four', _WORK))
    states.receive(ZoneState('c', 'five', _WORK))
    clock.advance(0.25)
    assert states.peer_work().loads == {'i-1': ServerLoad(8, 1750)}


def test_ages_add_up_over_relays() -> None:
    clock = FakeClock()
    states = PeerStates('a', 'one', clock)
    states.receive(ZoneState('b', 'two', WorkSum(nodes=3, ages_s=0.6)))
    clock.advance(0.25)
    states.receive(_state('three', 'a'))
    clock.advance(0.25)
    assert states.peer_work().ages_s == 0.6 + 3 * 0.5 + 0.25


def test_nodes_that_cannot_reach_a_server_are_counted() -> None:
    states = PeerStates('a', 'one', FakeClock())
    own = WorkSum(nodes=1, unreachable={'a': {'i-1': 1}})
    states.record_own_state(NodeState('one', 1, 'a', 4, own))
    all_work = WorkSum(nodes=9, unreachable={'a': {'i-1': 3}, 'b': {'i-2': 1}})
    states.receive(VentureState('two', all_work, {'one': 4}))
    expected = {'a': {'i-1': 2}, 'b': {'i-2': 1}}
    assert states.peer_work().unreachable == expected
    states.receive(ZoneState('b', 'three', all_work))
    states.receive(NodeState('four', 1, 'a', 4, own))
    expected = {'a': {'i-1': 4}, 'b': {'i-2': 1}}
    assert states.collected_work().unreachable == expected


def test_the_fresher_of_two_equal_relays_is_used() -> None:
    """Guards against using a silent relay after another has taken over."""
    clock = FakeClock()
    states = PeerStates('a', 'one', clock)
    states.receive(ZoneState('b', 'second', WorkSum(nodes=3)))
    states.receive(ZoneState('b', 'first', WorkSum(nodes=3)))
    clock.advance(1.5)
    states.receive(ZoneState('b', 'second', replace(_WORK, nodes=3)))
    assert states.peer_work().loads == _WORK.loads


def test_own_work_is_projected_before_it_is_subtracted() -> None:
    """The relay's sum holds the backlog that remains by its own time."""
    clock = FakeClock()
    states = PeerStates('a', 'one', clock)
    states.record_own_state(_state('one', 'a', number=4))
    clock.advance(0.3)
    relayed = WorkSum(nodes=2, loads={'i-1': ServerLoad(3, 200 + 900)})
    states.receive(VentureState('two', relayed, {'one': 4}))
    others = states.peer_work().loads['i-1']
    assert others.running == 1
    assert others.backlog_ms == pytest.approx(900, abs=2)


def test_the_newest_report_of_a_server_counts() -> None:
    """Guards against a stated slowdown that an older one replaces."""
    clock = FakeClock()
    states = PeerStates('a', 'one', clock)
    for node, percent, age_ms in (('two', 250, 100), ('three', 100, 50)):
        work = WorkSum(reports={'i-1': ServerReport(2, percent, age_ms)})
        states.receive(NodeState(node, 1, 'a', 1, work))
    clock.advance(0.5)
    assert states.peer_work().reports == {'i-1': ServerReport(2, 100, 550)}


def test_own_times_of_responses_are_subtracted() -> None:
    """Guards against own responses that count twice."""
    whole = WorkSum(nodes=2, times={'i-1': ServerTime(900, 12_000)})
    own = WorkSum(nodes=1, times={'i-1': ServerTime(300, 4000)})
    assert subtract(whole, own).times == {'i-1': ServerTime(600, 8000)}
