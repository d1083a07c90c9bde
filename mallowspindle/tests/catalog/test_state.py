"""Tests of the configuration in force and of the server list."""

import json

import pytest

from mallowspindle.catalog import state as state_module
from mallowspindle.catalog.state import ConfigurationState, ServerState
from mallowspindle.log.records import KeyedRecord
from mallowspindle.platform.configuration import decode_configuration
from mallowspindle.platform.servers import decode_server
from mallowspindle.tests.clock import FakeClock

ENTRY = {
    'service': 'models',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
    'born': 1,
}


def _entry(offset: int, **changes: object) -> KeyedRecord:
    text = json.dumps({**ENTRY, **changes})
    return KeyedRecord('one', text.encode(), offset)


def _configuration(offset: int, version: int) -> KeyedRecord:
    text = json.dumps({'version': version})
    return KeyedRecord('config', text.encode(), offset)


@pytest.fixture(name='clock')
def _clock(monkeypatch: pytest.MonkeyPatch) -> FakeClock:
    clock = FakeClock()
    monkeypatch.setattr(state_module.time, 'monotonic', clock)
    return clock


def test_a_lower_version_never_comes_into_force() -> None:
    state = ConfigurationState('config', decode_configuration)
    assert state.fold(_configuration(0, 7))
    assert not state.fold(_configuration(1, 5))
    assert state.current is not None
    assert state.current.version == 7


def test_an_invalid_configuration_leaves_the_old_one_in_force() -> None:
    state = ConfigurationState('config', decode_configuration)
    state.fold(_configuration(0, 7))
    assert not state.fold(KeyedRecord('config', b'{"version": "x"', 1))
    assert state.current is not None


def test_a_heartbeat_is_not_sent_to_peers() -> None:
    servers = ServerState(decode_server)
    assert servers.fold(_entry(0))
    assert not servers.fold(_entry(1, sequence=5, cold_remaining_ms=10))
    assert servers.fold(_entry(2, state='draining'))
    assert servers.servers['one'].draining


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'odd'},
        {'service': 5},
        {'slots': 'many'},
        {'address': 'nowhere'},
    ],
)
def test_an_invalid_entry_removes_the_server(
    changes: dict[str, object],
) -> None:
    servers = ServerState(decode_server)
    servers.fold(_entry(0))
    servers.fold(_entry(1, **changes))
    assert not servers.servers


def test_a_server_that_returns_after_an_outage_is_kept(
    clock: FakeClock,
) -> None:
    servers = ServerState(decode_server)
    servers.fold(_entry(0))
    servers.note_outage()
    servers.fold(KeyedRecord('one', None, 1))
    assert servers.servers
    clock.advance(1)
    # Peers must be told of the return: they delay the removal as well.
    assert servers.fold(_entry(2))
    clock.advance(5)
    servers.expire_lapsed()
    assert servers.servers


def test_a_server_that_does_not_return_in_time_is_removed(
    clock: FakeClock,
) -> None:
    servers = ServerState(decode_server)
    servers.fold(_entry(0))
    servers.note_outage()
    servers.fold(KeyedRecord('one', None, 1))
    clock.advance(2.5)
    servers.expire_lapsed()
    assert not servers.servers


def test_a_removal_without_an_outage_takes_effect_at_once(
    clock: FakeClock,
) -> None:
    servers = ServerState(decode_server)
    servers.fold(_entry(0))
    servers.fold(KeyedRecord('one', None, 1))
    assert not servers.servers


def test_a_server_that_says_it_leaves_stays_draining_until_it_restarts() -> (
    None
):
    state = ServerState(decode_server)
    state.fold(_entry(1, born=1))
    assert state.note_leaving('one', 1)
    assert not state.note_leaving('one', 1)
    state.fold(_entry(2, born=1))
    assert state.servers['one'].draining
    state.fold(_entry(3, born=2))
    assert not state.servers['one'].draining
    assert not state.note_leaving('one', 1)
